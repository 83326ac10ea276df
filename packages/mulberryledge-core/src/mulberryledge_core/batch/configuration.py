"""
mulberryledge_core.batch.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' configuration of queues, pools and teams. It is replaced as a whole
by one with a higher version.
"""

from dataclasses import dataclass
from functools import cached_property

from mulberryledge_core.batch.sizes import Size

__all__ = ["AdviceCost", "FleetConfiguration", "PoolConfig", "Queue", "TeamConfig"]


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """
    What a question to the placement advisor of a queue costs.

    Attributes
    ----------
    decision_ms, per_target_ms : int
        Time of an answer, and how much more each named target adds.
    validity_ms : int
        How long a ticket is valid.
    """

    decision_ms: int
    per_target_ms: int
    validity_ms: int


@dataclass(frozen=True, slots=True)
class Queue:
    """
    Where callers hand in jobs.

    Attributes
    ----------
    host, path_prefix : str
        Which requests are for the queue.
    pool : str
        Pool whose targets run its jobs.
    public : bool
        Whether jobs are taken without a key.
    priority : int
        Lower goes first.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    stretch : float
        The objective of a job as a multiple of its longest chain of work.
    target_latency_ms : int
        What is added to that product.
    advice : AdviceCost or None
        Set if an advisor decides which targets may run a step.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    public: bool = False
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    advice: AdviceCost | None = None


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """
    A pool of hosts.

    Attributes
    ----------
    spare : bool
        Whether its hosts are off, and cost nothing.
    checks_admission : bool
        Whether its targets refuse what does not fit.
    """

    name: str
    spare: bool = False
    checks_admission: bool = False


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """
    A customer's team.

    Attributes
    ----------
    keys : tuple of str
        Keys that callers of the team present.
    weight : float
        Share of the team when all is full.
    upper_limit : Size
        What the team may have running at once; 0 means no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int = 0
    upper_limit: Size = Size()


@dataclass(frozen=True)
class FleetConfiguration:
    """
    One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Higher versions replace lower ones; 0 before the first.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[PoolConfig, ...] = ()
    teams: tuple[TeamConfig, ...] = ()

    @cached_property
    def prefixes(self) -> dict[str, list[Queue]]:
        """Queues by host, the longest prefix first."""
        found: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda one: -len(one.path_prefix)):
            found.setdefault(queue.host, []).append(queue)
        return found

    @cached_property
    def queues_by_name(self) -> dict[str, Queue]:
        """Queues by name."""
        return {queue.name: queue for queue in self.queues}

    @cached_property
    def pools_by_name(self) -> dict[str, PoolConfig]:
        """Pools by name."""
        return {pool.name: pool for pool in self.pools}

    @cached_property
    def teams_by_name(self) -> dict[str, TeamConfig]:
        """Teams by name."""
        return {team.name: team for team in self.teams}

    @cached_property
    def teams_by_key(self) -> dict[str, str]:
        """Names of teams by the keys that they hold."""
        return {key: team.name for team in self.teams for key in team.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request: the longest prefix of the host wins."""
        for queue in self.prefixes.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def team_of_key(self, key: str) -> str | None:
        """Return the team that holds a key, or None."""
        return self.teams_by_key.get(key)
