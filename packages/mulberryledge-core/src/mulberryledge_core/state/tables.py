"""
mulberryledge_core.state.tables
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tables of the replicated state; only the task that applies the log changes them.
"""

from dataclasses import dataclass, field

from mulberryledge_core.model.hosts import Host, HostPhase, Pool
from mulberryledge_core.model.jobs import Job, JobPhase, Reservation
from mulberryledge_core.model.maintenance import Permit, Wave
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.sessions import Session
from mulberryledge_core.model.targets import Target
from mulberryledge_core.model.teams import Team, TeamKey
from mulberryledge_core.state.indexes import Index, Table, Tally

__all__ = ["ClusterState", "Context", "Indexes", "reservation_id"]


@dataclass(frozen=True, slots=True)
class Context:
    """Log index, log time in milliseconds and term of the entry being applied."""

    index: int
    now_ms: int
    term: int = 0


class Indexes:
    """
    Indexes and sums derived from the tables; not part of snapshots.

    Attributes
    ----------
    hosts_by_pool, targets_by_host, targets_by_service : Index
        Rows grouped by name.
    running_by_target, queued_by_service : Index
        Jobs in that phase, grouped by name.
    permits_in_use : Tally
        Permits on loan plus running jobs, by team.
    slots_in_use : Tally
        Slots on loan plus running jobs, by target.
    """

    def __init__(self):
        self.hosts_by_pool = Index(lambda host: host.pool)
        self.targets_by_host = Index(lambda target: target.host)
        self.targets_by_service = Index(lambda target: target.service)
        self.running_by_target = Index(
            lambda job: job.target if job.phase == JobPhase.RUNNING else None
        )
        self.queued_by_service = Index(
            lambda job: job.service if job.phase == JobPhase.QUEUED else None
        )
        self.permits_in_use = Tally(_permits_of)
        self.slots_in_use = Tally(_slots_of)


def _permits_of(row: Session | Job) -> list[tuple[str, int]]:
    if isinstance(row, Session):
        return [(grant.team, grant.permits) for grant in row.permits]
    return [(row.team, 1)] if row.phase == JobPhase.RUNNING else []


def _slots_of(row: Session | Job) -> list[tuple[str, int]]:
    if isinstance(row, Session):
        return [(grant.target, grant.slots) for grant in row.slots]
    return [(row.target, 1)] if row.phase == JobPhase.RUNNING else []


@dataclass(slots=True)
class ClusterState:
    """
    State that results from applying the replicated log.

    Rows are frozen; only appliers replace them, and they never replace a table.
    Attributes are tables of rows by name unless stated otherwise.

    Attributes
    ----------
    applied_index : int
        Index of the last applied entry.
    now_ms : int
        Highest log time seen, in milliseconds.
    reservations : dict of str to Reservation
        Keyed by :func:`reservation_id`.
    withdrawn_keys : dict of str to int
        Log times, in milliseconds, of the most recent withdrawals.
    removed_services : dict of str to int
        Last versions of the most recently removed services.
    sessions : dict of str to Session
        Keyed by session identifier.
    service_removed_ms : int
        Log time of the last removal of a service, in milliseconds.
    indexes : Indexes
        Derived from the tables.
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
    removed_services: dict[str, int] = field(default_factory=dict)
    service_removed_ms: int = 0
    jobs: dict[str, Job] = field(default_factory=dict)
    reservations: dict[str, Reservation] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)
    indexes: Indexes = field(
        default_factory=Indexes, init=False, repr=False, compare=False
    )

    def __post_init__(self):
        derived = self.indexes
        self.hosts = Table(self.hosts, (derived.hosts_by_pool,))
        self.targets = Table(
            self.targets, (derived.targets_by_host, derived.targets_by_service)
        )
        self.jobs = Table(
            self.jobs,
            (
                derived.running_by_target,
                derived.queued_by_service,
                derived.permits_in_use,
                derived.slots_in_use,
            ),
        )
        self.sessions = Table(
            self.sessions, (derived.permits_in_use, derived.slots_in_use)
        )
        self.keys = Table(self.keys)
        self.reservations = Table(self.reservations)

    def target_accepts_work(self, name: str) -> bool:
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
    """Return the table key of a reservation; team names contain no slash."""
    return f"{team}/{request_id}"
