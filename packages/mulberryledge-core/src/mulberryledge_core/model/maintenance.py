"""
mulberryledge_core.model.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maintenance waves, the single-use permits to take a host out, and each host's upkeep.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "OPEN_STEPS",
    "Absence",
    "AbsenceCause",
    "LongJobs",
    "MaintenanceStep",
    "OutageDay",
    "Permit",
    "Upkeep",
    "Wave",
    "WavePhase",
]


class WavePhase(StrEnum):
    """Lifecycle phase of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    DONE = "done"
    ABANDONED = "abandoned"


class MaintenanceStep(StrEnum):
    """Step that a permitted host has reached."""

    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBATION = "probation"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


OPEN_STEPS = frozenset(
    (MaintenanceStep.DRAINING, MaintenanceStep.REBOOTING, MaintenanceStep.PROBATION)
)


class LongJobs(StrEnum):
    """How a wave treats a host whose drain waits for a long job."""

    WAIT = "wait"
    SKIP = "skip"


class AbsenceCause(StrEnum):
    """Why a host counts as out for a service."""

    PERMIT = "permit"
    LOST = "lost"
    LEFT = "left"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Absence:
    """
    A service for which a host counts as out until it is known to serve again.

    Attributes
    ----------
    since_ms : int
        Log time in milliseconds from which the host counts as out.
    """

    service: str
    since_ms: int
    cause: AbsenceCause


@dataclass(frozen=True, slots=True)
class OutageDay:
    """
    Ended absences of one host and service, summed by day.

    Attributes
    ----------
    day : int
        Days since the epoch, UTC, of the day on which the absences ended.
    out_ms : int
        Milliseconds out.
    """

    service: str
    day: int
    out_ms: int


@dataclass(frozen=True, slots=True)
class Upkeep:
    """
    Maintenance record of a host, used by the availability budgets and the repair.

    Attributes
    ----------
    services : tuple of str
        Services that the host counts for, whether or not it runs them now.
    absences : tuple of Absence
        Services for which the host counts as out.
    outages : tuple of OutageDay
        Ended absences within the longest window.
    permit : str
        Open permit of the host, empty if none.
    losses : int
        Unplanned losses with at most a day from one to the next.
    lost_ms : int
        Log time of the last unplanned loss in milliseconds, zero if none.
    hold : str
        Why an operator excludes the host from maintenance, empty if not.
    replacement : str
        Spare host that was moved in to replace this lost one, empty if none.
    """

    services: tuple[str, ...] = ()
    absences: tuple[Absence, ...] = ()
    outages: tuple[OutageDay, ...] = ()
    permit: str = ""
    losses: int = 0
    lost_ms: int = 0
    hold: str = ""
    replacement: str = ""


@dataclass(frozen=True, slots=True)
class Permit:
    """
    Single-use permission to take one host out.

    Attributes
    ----------
    permit_id : str
        Unique identifier, also the platform's idempotency key.
    wave, host : str
        Requesting wave, and host to take out.
    step : MaintenanceStep
        Step reached.
    granted_ms, step_ms : int
        Log times in milliseconds of the grant and of the last step.
    step_index : int
        Log index of the last step.
    """

    permit_id: str
    wave: str
    host: str
    step: MaintenanceStep = MaintenanceStep.DRAINING
    granted_ms: int = 0
    step_ms: int = 0
    step_index: int = 0


@dataclass(frozen=True, slots=True)
class Wave:
    """
    The maintenance of a set of hosts of one pool.

    Attributes
    ----------
    name : str
        Unique name.
    pool : str
        Pool whose hosts are maintained.
    hosts : tuple of str
        Hosts in planned order.
    phase : WavePhase
        Lifecycle phase.
    reason : str
        Why the wave was paused or stopped.
    ignore_quiet : bool
        Whether the wave may run outside the pool's quiet window.
    started_ms : int
        Log time of the start in milliseconds.
    long_jobs : LongJobs
        What to do when a drain waits for a long job.
    index : int
        Log index of the start, which makes permit identifiers unique.
    epoch : int
        Log index of the last claim by a leader; commands with another are refused.
    holder : str
        Session of the daemon that holds the claim.
    revision : int
        Number of changes of phase.
    open : int
        Number of open permits.
    streak : int
        Hosts done since the start or the last stop; each allows more hosts out.
    resumed_ms : int
        Log time at which the wave was last resumed after a stop, zero if never.
    ended_ms : int
        Log time at which the wave was done or abandoned, zero before.
    service, version : str, int
        Service document that the wave rolls out; empty and zero for none.
    """

    name: str
    pool: str
    hosts: tuple[str, ...]
    phase: WavePhase = WavePhase.RUNNING
    reason: str = ""
    ignore_quiet: bool = False
    started_ms: int = 0
    long_jobs: LongJobs = LongJobs.WAIT
    index: int = 0
    epoch: int = 0
    holder: str = ""
    revision: int = 0
    open: int = 0
    streak: int = 0
    resumed_ms: int = 0
    ended_ms: int = 0
    service: str = ""
    version: int = 0

    def permit_id(self, host: str) -> str:
        """Return the identifier of the one permit that the wave may hold for a host."""
        return f"{self.name}.{self.index}.{host}"
