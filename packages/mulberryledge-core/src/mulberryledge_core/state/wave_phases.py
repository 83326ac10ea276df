"""
mulberryledge_core.state.wave_phases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of a wave's phase.
"""

from dataclasses import replace

from mulberryledge_core.model.maintenance import Wave, WavePhase
from mulberryledge_core.state.tables import ClusterState

__all__ = ["enter_wave_phase", "stop_wave"]


def enter_wave_phase(
    state: ClusterState, wave: Wave, phase: WavePhase, reason: str
) -> None:
    """Change the phase; a wave resumed after a stop starts with a canary again."""
    stopped = wave.phase == WavePhase.STOPPED
    ended = phase in (WavePhase.DONE, WavePhase.ABANDONED)
    state.waves[wave.name] = replace(
        wave,
        phase=phase,
        reason=reason,
        revision=wave.revision + 1,
        streak=0 if stopped else wave.streak,
        ended_ms=state.now_ms if ended else 0,
        resumed_ms=state.now_ms if stopped else wave.resumed_ms,
    )


def stop_wave(state: ClusterState, wave: Wave, reason: str) -> None:
    """Stop a wave until an operator resumes it."""
    if wave.phase in (WavePhase.RUNNING, WavePhase.PAUSED):
        enter_wave_phase(state, wave, WavePhase.STOPPED, reason)
