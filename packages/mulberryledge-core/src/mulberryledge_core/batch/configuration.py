"""
mulberryledge_core.batch.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' configuration of queues, pools and teams. It is replaced atomically by
one with a higher version.
"""

from dataclasses import dataclass
from functools import cached_property

from mulberryledge_core.batch.sizes import Size

__all__ = ["AdviceCost", "FleetConfiguration", "PoolConfig", "Queue", "TeamConfig"]


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """
    Cost of a request to the placement advisor of a queue.

    Attributes
    ----------
    decision_ms, per_target_ms : int
        Time to answer, and the additional time for each target in the request.
    validity_ms : int
        How long a ticket is valid.
    """

    decision_ms: int
    per_target_ms: int
    validity_ms: int


@dataclass(frozen=True, slots=True)
class Queue:
    """
    A queue to which callers submit jobs.

    Attributes
    ----------
    host, path_prefix : str
        Host and path prefix of the requests that belong to the queue.
    pool : str
        Pool whose targets run its jobs.
    public : bool
        Whether jobs are accepted without a key.
    priority : int
        Lower values are placed first.
    max_attempts : int
        Failed runs of one task after which its job fails.
    stretch : float
        Latency objective of a job as a multiple of its critical path.
    target_latency_ms : int
        Constant added to that product.
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
        Whether its hosts are powered off and incur no cost.
    checks_admission : bool
        Whether its targets reject tasks that do not fit.
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
        Share of the team when the fleet is fully used.
    upper_limit : Size
        Maximum size of the team's live runs; 0 means no limit.
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
        Higher versions replace lower ones; 0 if none was set.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[PoolConfig, ...] = ()
    teams: tuple[TeamConfig, ...] = ()

    @cached_property
    def queues_by_host(self) -> dict[str, list[Queue]]:
        """Queues by host, longest path prefix first."""
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
        """Names of teams by their keys."""
        return {key: team.name for team in self.teams for key in team.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request: the longest prefix of the host wins."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def team_of_key(self, key: str) -> str | None:
        """Return the team that holds a key, or None."""
        return self.teams_by_key.get(key)
