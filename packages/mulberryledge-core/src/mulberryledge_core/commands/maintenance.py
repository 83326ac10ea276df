"""
mulberryledge_core.commands.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on maintenance waves, permits, holds and hosts that are out.
"""

from dataclasses import dataclass

from mulberryledge_core.model.maintenance import LongJobs, MaintenanceStep, WavePhase

__all__ = [
    "COMMANDS",
    "AdvancePermit",
    "ClaimWave",
    "ForgetWaves",
    "GrantPermit",
    "HoldHost",
    "HoldService",
    "ProveHost",
    "ReleaseHost",
    "ReplaceHost",
    "SetWavePhase",
    "StartWave",
]


@dataclass(frozen=True, slots=True)
class StartWave:
    """
    Start the maintenance of hosts of one pool.

    With a service and a version, the wave rolls that version out to hosts of the
    service, and takes no further host out once another version is in force.
    """

    name: str
    pool: str
    hosts: tuple[str, ...]
    ignore_quiet: bool = False
    long_jobs: LongJobs = LongJobs.WAIT
    service: str = ""
    version: int = 0


@dataclass(frozen=True, slots=True)
class SetWavePhase:
    """
    Pause, resume, stop, finish or abandon a wave.

    ``revision`` is the revision that the sender saw; zero is not checked.
    """

    name: str
    expected: WavePhase
    phase: WavePhase
    reason: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ClaimWave:
    """Make one daemon the only one that may drive the wave."""

    name: str
    holder: str


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """
    Take one host out, if every availability budget allows it.

    ``epoch`` is the log index of the claim under which the sender drives the wave.
    """

    permit_id: str
    wave: str
    host: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class AdvancePermit:
    """Record the next step of a permitted host."""

    permit_id: str
    expected: MaintenanceStep
    step: MaintenanceStep
    epoch: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ProveHost:
    """Count a host as serving again after an absence that no permit covered."""

    host: str
    service: str
    generation: int


@dataclass(frozen=True, slots=True)
class ReplaceHost:
    """Move a host of a spare pool to the pool of a lost host, once for each loss."""

    host: str
    spare: str
    spare_pool: str


@dataclass(frozen=True, slots=True)
class ReleaseHost:
    """Stop counting a host for a service although it has not come back."""

    host: str
    service: str


@dataclass(frozen=True, slots=True)
class HoldHost:
    """Exclude a host from maintenance; an empty reason ends the hold."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class HoldService:
    """Exclude a service's hosts from maintenance; an empty reason ends the hold."""

    service: str
    reason: str


@dataclass(frozen=True, slots=True)
class ForgetWaves:
    """Remove ended waves that started before ``before_ms``, with their permits."""

    before_ms: int


COMMANDS = (
    StartWave,
    SetWavePhase,
    ClaimWave,
    GrantPermit,
    AdvancePermit,
    ProveHost,
    ReplaceHost,
    ReleaseHost,
    HoldHost,
    HoldService,
    ForgetWaves,
)
