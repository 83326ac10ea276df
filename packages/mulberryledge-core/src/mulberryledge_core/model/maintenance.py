"""
mulberryledge_core.model.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maintenance waves and the single-use permits to take a host out.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["MaintenanceStep", "Permit", "Wave", "WavePhase"]


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


@dataclass(frozen=True, slots=True)
class Permit:
    """
    Leave to take one host out, used once.

    Attributes
    ----------
    permit_id : str
        Unique identifier, also the platform's idempotency key.
    wave, host : str
        Wave that asked, and host that goes out.
    step : MaintenanceStep
        Step reached.
    granted_ms, step_ms : int
        Log times in milliseconds of the grant and of the last step.
    """

    permit_id: str
    wave: str
    host: str
    step: MaintenanceStep = MaintenanceStep.DRAINING
    granted_ms: int = 0
    step_ms: int = 0


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
    """

    name: str
    pool: str
    hosts: tuple[str, ...]
    phase: WavePhase = WavePhase.RUNNING
    reason: str = ""
    ignore_quiet: bool = False
    started_ms: int = 0
