"""
mulberryledge_core.state.appliers.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on maintenance waves and permits.
"""

from dataclasses import replace

from mulberryledge_core.commands.maintenance import (
    AdvancePermit,
    ClaimWave,
    ForgetWaves,
    GrantPermit,
    SetWavePhase,
    StartWave,
)
from mulberryledge_core.decisions.quiet_windows import in_quiet_window
from mulberryledge_core.documents import is_name
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import (
    OPEN_STEPS,
    AbsenceCause,
    MaintenanceStep,
    Permit,
    Wave,
    WavePhase,
)
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.absences import (
    absence_of,
    close_absence,
    open_absence,
    record_host_lost,
    serving_target,
)
from mulberryledge_core.state.budgets import OutageCounts
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_core.state.results import invalid_name, not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context
from mulberryledge_core.state.wave_phases import enter_wave_phase, stop_wave

__all__ = ["APPLIERS", "GROWTH_FACTOR", "max_wave_hosts_out"]

GROWTH_FACTOR = 4  # of the hosts out at once, when all of them are done
STEP_PHASES = {
    MaintenanceStep.DRAINING: HostPhase.DRAINING,
    MaintenanceStep.REBOOTING: HostPhase.REBOOTING,
    MaintenanceStep.PROBATION: HostPhase.PROBATION,
    MaintenanceStep.DONE: HostPhase.SERVING,
    MaintenanceStep.FAILED: HostPhase.LOST,
    MaintenanceStep.CANCELLED: HostPhase.SERVING,
}
NEXT_STEPS = {
    MaintenanceStep.DRAINING: (
        MaintenanceStep.REBOOTING,
        MaintenanceStep.CANCELLED,
        MaintenanceStep.FAILED,
    ),
    MaintenanceStep.REBOOTING: (MaintenanceStep.PROBATION, MaintenanceStep.FAILED),
    MaintenanceStep.PROBATION: (MaintenanceStep.DONE, MaintenanceStep.FAILED),
}
NEXT_PHASES = {
    WavePhase.RUNNING: frozenset(WavePhase) - {WavePhase.RUNNING},
    WavePhase.PAUSED: (WavePhase.RUNNING, WavePhase.STOPPED, WavePhase.ABANDONED),
    WavePhase.STOPPED: (WavePhase.RUNNING, WavePhase.ABANDONED),
    WavePhase.DONE: (),
    WavePhase.ABANDONED: (),
}


def max_wave_hosts_out(wave: Wave) -> int:
    """Return how many hosts the wave may have out: one canary first, then more."""
    return 1 + (GROWTH_FACTOR - 1) * wave.streak


def start_wave(state: ClusterState, command: StartWave, ctx: Context) -> ApplyResult:
    """Start a wave over hosts of one pool."""
    if not is_name(command.name):
        return invalid_name("wave", command.name)
    present = state.waves.get(command.name)
    if present is not None:
        fields = ("pool", "hosts", "service", "version")
        if all(getattr(present, field) == getattr(command, field) for field in fields):
            return ok(present.index, "present")
        return refuse(Code.EXISTS, f"wave {command.name!r} exists with other values")
    if not command.hosts:
        return refuse(Code.BAD_REQUEST, f"wave {command.name!r} lists no host")
    if len(set(command.hosts)) < len(command.hosts):
        return refuse(Code.BAD_REQUEST, f"wave {command.name!r} lists a host twice")
    for name in command.hosts:
        host = state.hosts.get(name)
        if host is None or host.pool != command.pool:
            return not_found(f"host of pool {command.pool!r}", name)
        if command.service and command.service not in host.upkeep.services:
            return not_found(f"host of service {command.service!r}", name)
    refusal = rollout_refusal(state, command.service, command.version)
    if refusal is not None:
        return refusal
    state.waves[command.name] = Wave(
        name=command.name,
        pool=command.pool,
        hosts=command.hosts,
        ignore_quiet=command.ignore_quiet,
        started_ms=ctx.now_ms,
        long_jobs=command.long_jobs,
        index=ctx.index,
        revision=1,
        service=command.service,
        version=command.version,
    )
    return ok(ctx.index)


def rollout_refusal(state: ClusterState, name: str, version: int) -> ApplyResult | None:
    """Return why a version of a service may not be rolled out, or None."""
    if not name:
        return None
    service = state.services.get(name)
    if service is None:
        return not_found("service", name)
    if service.version != version:
        text = f"service {name!r} is at version {service.version}, not {version}"
        return refuse(Code.CONFLICT, text)
    return None


def set_wave_phase(
    state: ClusterState, command: SetWavePhase, ctx: Context
) -> ApplyResult:
    """Change the phase of a wave by compare-and-set."""
    wave = state.waves.get(command.name)
    if wave is None:
        return not_found("wave", command.name)
    if wave.phase == command.phase:
        return ok(ctx.index, "present")
    stale = command.revision and command.revision != wave.revision
    allowed = command.phase in NEXT_PHASES[wave.phase]
    if wave.phase != command.expected or stale or not allowed:
        reason = f" ({wave.reason})" if wave.reason else ""
        text = f"wave {wave.name!r} is {wave.phase}{reason}, revision {wave.revision}"
        return refuse(Code.CONFLICT, text)
    if command.phase == WavePhase.DONE and wave.open:
        return refuse(Code.CONFLICT, f"wave {wave.name!r} has {wave.open} hosts out")
    enter_wave_phase(state, wave, command.phase, command.reason)
    return ok(ctx.index)


def claim_wave(state: ClusterState, command: ClaimWave, ctx: Context) -> ApplyResult:
    """Make one daemon the only one that may drive the wave."""
    wave = state.waves.get(command.name)
    if wave is None:
        return not_found("wave", command.name)
    if wave.holder != command.holder:
        state.waves[wave.name] = replace(wave, holder=command.holder, epoch=ctx.index)
    return ok(state.waves[wave.name].epoch, "claimed")


def grant_permit(
    state: ClusterState, command: GrantPermit, ctx: Context
) -> ApplyResult:
    """Take one host out if the wave may continue and every budget allows it."""
    if command.permit_id in state.permits:
        return ok(ctx.index, "present")
    wave = state.waves.get(command.wave)
    if wave is None or command.host not in wave.hosts:
        return not_found("wave", command.wave)
    host = state.hosts.get(command.host)
    if host is None:
        return not_found("host", command.host)
    refusal = wave_refusal(state, wave, command, ctx) or host_refusal(state, wave, host)
    if refusal is not None:
        return refusal
    state.permits[command.permit_id] = Permit(
        permit_id=command.permit_id,
        wave=wave.name,
        host=host.name,
        granted_ms=ctx.now_ms,
        step_ms=ctx.now_ms,
        step_index=ctx.index,
    )
    state.waves[wave.name] = replace(wave, open=wave.open + 1)
    state.hosts[host.name] = replace(
        host, upkeep=replace(host.upkeep, permit=command.permit_id)
    )
    for service in host.upkeep.services:
        open_absence(state, host.name, service, AbsenceCause.PERMIT, ctx)
    enter_host_phase(state, host.name, HostPhase.DRAINING, ctx)
    assert_within_budgets(state, state.hosts[host.name])
    return ok(ctx.index, command.permit_id)


def wave_refusal(
    state: ClusterState, wave: Wave, command: GrantPermit, ctx: Context
) -> ApplyResult | None:
    """Return why the wave may take no further host out now, or None."""
    if wave.epoch != command.epoch:
        return refuse(Code.STALE, f"wave {wave.name!r} is driven by {wave.holder!r}")
    if wave.phase != WavePhase.RUNNING:
        return refuse(Code.CONFLICT, f"wave {wave.name!r} is {wave.phase}")
    refusal = rollout_refusal(state, wave.service, wave.version)
    if refusal is not None:
        return refusal
    if wave.open >= max_wave_hosts_out(wave):
        text = (
            f"wave {wave.name!r} may have {max_wave_hosts_out(wave)} hosts out for now"
        )
        return refuse(Code.LIMIT, text)
    if not wave.ignore_quiet and not in_quiet_window(
        state.pools[wave.pool], ctx.now_ms
    ):
        return refuse(Code.CONFLICT, f"pool {wave.pool!r} is not in its quiet time")
    permit_id = wave.permit_id(command.host)
    for name in (permit_id, f"{wave.name}.{command.host}"):
        if name in state.permits:
            text = f"wave {wave.name!r} has used its permit for {command.host!r}"
            return refuse(Code.CONFLICT, text)
    return None


def host_refusal(state: ClusterState, wave: Wave, host: Host) -> ApplyResult | None:
    """Return why the host may not be taken out now, or None."""
    if host.pool != wave.pool:
        return refuse(Code.CONFLICT, f"host {host.name!r} moved to {host.pool!r}")
    if host.phase != HostPhase.SERVING or host.upkeep.permit:
        return refuse(Code.CONFLICT, f"host {host.name!r} is {host.phase}")
    for absence in host.upkeep.absences:
        text = f"host {host.name!r} is out for {absence.service!r}: {absence.cause}"
        return refuse(Code.CONFLICT, text)
    if host.upkeep.hold:
        return refuse(Code.CONFLICT, f"host {host.name!r}: {host.upkeep.hold}")
    ledger = OutageCounts(state, host.upkeep.services)
    for name, count in ledger.counts.items():
        if count.service.hold:
            return refuse(Code.CONFLICT, f"service {name!r}: {count.service.hold}")
    violation = ledger.first_violation(host) or ledger.recent_loss(host)
    if violation is not None:
        return refuse(Code.BUDGET, violation.text())
    return None


def assert_within_budgets(state: ClusterState, host: Host) -> None:
    """Check by a separate count that the permit exceeds no budget."""
    ledger = OutageCounts(state, host.upkeep.services)
    for count in ledger.counts.values():
        budget = count.budget
        zone = count.out_by_zone[host.availability_zone]
        rack = count.out_by_rack[host.availability_zone, host.rack]
        assert count.out_count <= budget.max_hosts_out, (host, budget)
        assert zone <= budget.max_hosts_out_per_zone, (host, budget)
        assert rack <= budget.max_hosts_out_per_rack, (host, budget)
        assert count.host_count - count.out_count >= budget.min_hosts_serving, (
            host,
            budget,
        )


def advance_permit(
    state: ClusterState, command: AdvancePermit, ctx: Context
) -> ApplyResult:
    """Record the next step of a permitted host by compare-and-set."""
    permit = state.permits.get(command.permit_id)
    if permit is None:
        return not_found("permit", command.permit_id)
    if permit.step == command.step:
        return ok(ctx.index, "present")
    if permit.step != command.expected or permit.step not in OPEN_STEPS:
        return refuse(Code.CONFLICT, f"permit {permit.permit_id!r} is {permit.step}")
    if command.step not in NEXT_STEPS[permit.step]:
        text = (
            f"permit {permit.permit_id!r} is {permit.step}: its next step cannot be"
            f" {command.step}"
        )
        return refuse(Code.BAD_REQUEST, text)
    wave = state.waves[permit.wave]
    if wave.epoch != command.epoch:
        return refuse(Code.STALE, f"wave {wave.name!r} is driven by {wave.holder!r}")
    refusal = step_refusal(state, permit, command.step)
    if refusal is not None:
        return refusal
    state.permits[permit.permit_id] = replace(
        permit, step=command.step, step_ms=ctx.now_ms, step_index=ctx.index
    )
    enter_host_phase(state, permit.host, STEP_PHASES[command.step], ctx)
    if command.step not in OPEN_STEPS:
        close_permit(state, permit, command, ctx)
    return ok(ctx.index)


def step_refusal(
    state: ClusterState, permit: Permit, step: MaintenanceStep
) -> ApplyResult | None:
    """Return why the host may not take the step yet, or None."""
    if step == MaintenanceStep.REBOOTING:
        for target in state.indexes.targets_by_host.rows(permit.host):
            if slots_in_use(state, target.name):
                return refuse(Code.IN_USE, f"target {target.name!r} has slots in use")
    if step == MaintenanceStep.DONE:
        for service in state.hosts[permit.host].upkeep.services:
            if serving_target(state, permit.host, service) is None:
                text = f"host {permit.host!r} does not serve {service!r} yet"
                return refuse(Code.CONFLICT, text)
    return None


def close_permit(
    state: ClusterState, permit: Permit, command: AdvancePermit, ctx: Context
) -> None:
    """Close a permit whose maintenance is done, failed or cancelled."""
    host = state.hosts[permit.host]
    assert host.upkeep.permit == permit.permit_id, "one open permit a host"
    upkeep = replace(host.upkeep, permit="")
    done = command.step == MaintenanceStep.DONE
    maintained_ms = ctx.now_ms if done else host.maintained_ms
    state.hosts[host.name] = replace(host, upkeep=upkeep, maintained_ms=maintained_ms)
    wave = state.waves[permit.wave]
    wave = replace(wave, open=wave.open - 1, streak=wave.streak + done)
    assert wave.open >= 0, wave
    state.waves[wave.name] = wave
    if command.step == MaintenanceStep.FAILED:
        record_host_lost(state, host.name, ctx)
        stop_wave(state, wave, f"host {host.name!r}: {command.reason or 'failed'}")
        return
    for service in upkeep.services:
        if done or serving_target(state, host.name, service) is not None:
            close_permit_absence(state, host.name, service, ctx)


def close_permit_absence(
    state: ClusterState, name: str, service: str, ctx: Context
) -> None:
    """Close the absence that the permit opened."""
    absence = absence_of(state.hosts[name], service)
    if absence is not None and absence.cause == AbsenceCause.PERMIT:
        close_absence(state, name, service, ctx)


def forget_waves(
    state: ClusterState, command: ForgetWaves, ctx: Context
) -> ApplyResult:
    """Remove ended waves and their permits."""
    ended_phases = (WavePhase.DONE, WavePhase.ABANDONED)
    removed = [
        wave.name
        for wave in state.waves.values()
        if wave.phase in ended_phases
        and not wave.open
        and wave.started_ms < command.before_ms
    ]
    for name in removed:
        del state.waves[name]
    for permit in list(state.permits.values()):
        if permit.wave in removed:
            del state.permits[permit.permit_id]
    return ok(ctx.index, str(len(removed)))


def enter_host_phase(
    state: ClusterState, name: str, phase: HostPhase, ctx: Context
) -> None:
    """Change the phase of a host."""
    host = state.hosts[name]
    state.hosts[name] = replace(host, phase=phase, phase_since_ms=ctx.now_ms)


APPLIERS = {
    StartWave: start_wave,
    SetWavePhase: set_wave_phase,
    ClaimWave: claim_wave,
    GrantPermit: grant_permit,
    AdvancePermit: advance_permit,
    ForgetWaves: forget_waves,
}
