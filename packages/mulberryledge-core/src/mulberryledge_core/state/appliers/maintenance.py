"""
mulberryledge_core.state.appliers.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on maintenance waves and permits.
"""

from dataclasses import replace

from mulberryledge_core.commands.maintenance import (
    AdvancePermit,
    GrantPermit,
    SetWavePhase,
    StartWave,
)
from mulberryledge_core.documents import is_name
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.maintenance import (
    MaintenanceStep,
    Permit,
    Wave,
    WavePhase,
)
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.answers import bad_name, missing, ok, refuse
from mulberryledge_core.state.budgets import budget_refusal
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]

STEP_PHASES = {
    MaintenanceStep.DRAINING: HostPhase.DRAINING,
    MaintenanceStep.REBOOTING: HostPhase.REBOOTING,
    MaintenanceStep.PROBATION: HostPhase.PROBATION,
    MaintenanceStep.DONE: HostPhase.SERVING,
    MaintenanceStep.FAILED: HostPhase.LOST,
}
OPEN_STEPS = frozenset(STEP_PHASES) - {MaintenanceStep.DONE, MaintenanceStep.FAILED}


def start_wave(state: ClusterState, command: StartWave, ctx: Context) -> ApplyResult:
    """Start a wave over hosts of one pool."""
    if not is_name(command.name):
        return bad_name("wave", command.name)
    for name in command.hosts:
        host = state.hosts.get(name)
        if host is None or host.pool != command.pool:
            return missing(f"host of pool {command.pool!r}", name)
    present = state.waves.get(command.name)
    wave = Wave(
        name=command.name,
        pool=command.pool,
        hosts=command.hosts,
        ignore_quiet=command.ignore_quiet,
        started_ms=ctx.now_ms,
    )
    if present is None:
        state.waves[wave.name] = wave
        return ok(ctx.index)
    if (present.pool, present.hosts) == (wave.pool, wave.hosts):
        return ok(ctx.index, "present")
    return refuse(Code.EXISTS, f"wave {wave.name!r} exists with other hosts")


def set_wave_phase(
    state: ClusterState, command: SetWavePhase, ctx: Context
) -> ApplyResult:
    """Change the phase of a wave by compare-and-set."""
    wave = state.waves.get(command.name)
    if wave is None:
        return missing("wave", command.name)
    if wave.phase == command.phase:
        return ok(ctx.index, "present")
    if wave.phase != command.expected:
        return refuse(Code.CONFLICT, f"wave {wave.name!r} is {wave.phase}")
    state.waves[wave.name] = replace(wave, phase=command.phase, reason=command.reason)
    return ok(ctx.index)


def grant_permit(
    state: ClusterState, command: GrantPermit, ctx: Context
) -> ApplyResult:
    """Take one host out if the wave runs and every budget allows it."""
    if command.permit_id in state.permits:
        return ok(ctx.index, "present")
    wave = state.waves.get(command.wave)
    if wave is None or command.host not in wave.hosts:
        return missing("wave", command.wave)
    if wave.phase != WavePhase.RUNNING:
        return refuse(Code.CONFLICT, f"wave {wave.name!r} is {wave.phase}")
    host = state.hosts.get(command.host)
    if host is None:
        return missing("host", command.host)
    if host.phase != HostPhase.SERVING:
        return refuse(Code.CONFLICT, f"host {host.name!r} is {host.phase}")
    refusal = budget_refusal(state, host)
    if refusal is not None:
        return refuse(Code.BUDGET, refusal)
    state.permits[command.permit_id] = Permit(
        permit_id=command.permit_id,
        wave=command.wave,
        host=command.host,
        granted_ms=ctx.now_ms,
        step_ms=ctx.now_ms,
    )
    _enter(state, host.name, HostPhase.DRAINING, ctx)
    return ok(ctx.index, command.permit_id)


def advance_permit(
    state: ClusterState, command: AdvancePermit, ctx: Context
) -> ApplyResult:
    """Record the next step of a permitted host by compare-and-set."""
    permit = state.permits.get(command.permit_id)
    if permit is None:
        return missing("permit", command.permit_id)
    if permit.step == command.step:
        return ok(ctx.index, "present")
    if permit.step != command.expected:
        return refuse(Code.CONFLICT, f"permit {permit.permit_id!r} is {permit.step}")
    state.permits[permit.permit_id] = replace(
        permit, step=command.step, step_ms=ctx.now_ms
    )
    _enter(state, permit.host, STEP_PHASES[command.step], ctx)
    if command.step == MaintenanceStep.DONE:
        host = state.hosts[permit.host]
        state.hosts[host.name] = replace(host, maintained_ms=ctx.now_ms)
    return ok(ctx.index)


def _enter(state: ClusterState, name: str, phase: HostPhase, ctx: Context) -> None:
    host = state.hosts.get(name)
    if host is not None:
        state.hosts[name] = replace(host, phase=phase, phase_since_ms=ctx.now_ms)


APPLIERS = {
    StartWave: start_wave,
    SetWavePhase: set_wave_phase,
    GrantPermit: grant_permit,
    AdvancePermit: advance_permit,
}
