"""
mulberryledge_core.commands.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on maintenance waves and permits.
"""

from dataclasses import dataclass

from mulberryledge_core.model.maintenance import MaintenanceStep, WavePhase

__all__ = ["COMMANDS", "AdvancePermit", "GrantPermit", "SetWavePhase", "StartWave"]


@dataclass(frozen=True, slots=True)
class StartWave:
    """Start the maintenance of hosts of one pool."""

    name: str
    pool: str
    hosts: tuple[str, ...]
    ignore_quiet: bool = False


@dataclass(frozen=True, slots=True)
class SetWavePhase:
    """Pause, resume, stop, finish or abandon a wave."""

    name: str
    expected: WavePhase
    phase: WavePhase
    reason: str = ""


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Take one host out, if every availability budget allows it."""

    permit_id: str
    wave: str
    host: str


@dataclass(frozen=True, slots=True)
class AdvancePermit:
    """Record the next step of a permitted host."""

    permit_id: str
    expected: MaintenanceStep
    step: MaintenanceStep


COMMANDS = (StartWave, SetWavePhase, GrantPermit, AdvancePermit)
