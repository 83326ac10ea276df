"""
mulberryledge_core.state.tables
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The tables of the replicated state, owned by the task that applies the log.
"""

from dataclasses import dataclass, field

from mulberryledge_core.model.hosts import Host, HostPhase, Pool
from mulberryledge_core.model.jobs import Job, Reservation
from mulberryledge_core.model.maintenance import Permit, Wave
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.sessions import Session
from mulberryledge_core.model.targets import Target
from mulberryledge_core.model.teams import Team, TeamKey

__all__ = ["ClusterState", "Context", "reservation_id"]


@dataclass(frozen=True, slots=True)
class Context:
    """Log index and log time, in milliseconds, of the entry being applied."""

    index: int
    now_ms: int


@dataclass(slots=True)
class ClusterState:
    """
    Everything that the replicated log has decided.

    Values are frozen; only appliers replace them. Attributes map names to
    values unless said otherwise.

    Attributes
    ----------
    applied_index : int
        Index of the last applied entry.
    now_ms : int
        Highest log time seen, in milliseconds.
    reservations : dict of str to Reservation
        Keyed by :func:`reservation_id`.
    withdrawn_keys : dict of str to int
        Log times, in milliseconds, of the last withdrawals.
    sessions : dict of str to Session
        Keyed by session identifier.
    """

    applied_index: int = 0
    now_ms: int = 0
    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, TeamKey] = field(default_factory=dict)
    withdrawn_keys: dict[str, int] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)

    def target_serves(self, name: str) -> bool:
        """Return whether the target may be given new work."""
        target = self.targets.get(name)
        if target is None or target.phase != "serving":
            return False
        host = self.hosts.get(target.host)
        return host is not None and host.phase in (
            HostPhase.SERVING,
            HostPhase.PROBATION,
        )


def reservation_id(team: str, request_id: str) -> str:
    """Return the table key of a reservation; team names hold no slash."""
    return f"{team}/{request_id}"
