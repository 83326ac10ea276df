"""
mulberryledge_core.state.appliers.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on pools, hosts and targets.
"""

from dataclasses import replace

from mulberryledge_core.commands.fleet import (
    AddHost,
    AnnounceTarget,
    CreatePool,
    DropTarget,
    LeaveTarget,
    MoveHost,
    RemoveHost,
    RemovePool,
    SetHostPhase,
)
from mulberryledge_core.documents import is_name
from mulberryledge_core.model.hosts import Host, HostPhase, Pool
from mulberryledge_core.model.maintenance import AbsenceCause
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.targets import Target, TargetPhase
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.absences import (
    open_absence,
    record_host_lost,
    record_host_moved,
    record_target_announced,
    record_target_dropped,
)
from mulberryledge_core.state.budgets import budget_refusal
from mulberryledge_core.state.results import invalid_name, not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]

DAY_MIN = 1_440
PLANNED_PHASES = (HostPhase.CORDONED, HostPhase.DRAINING, HostPhase.REBOOTING)
ANNOUNCEMENT_RANGES = (
    ("port", 0, 65_535),
    ("slots", 1, 1_024),
    ("connections", 1, 65_536),
)


def create_pool(state: ClusterState, command: CreatePool, ctx: Context) -> ApplyResult:
    """Create a pool."""
    if not is_name(command.name):
        return invalid_name("pool", command.name)
    for minute in (command.quiet_start_min, command.quiet_end_min):
        if not 0 <= minute < DAY_MIN:
            text = f"quiet time {minute} is out of range: use 0 to {DAY_MIN - 1}"
            return refuse(Code.BAD_REQUEST, text)
    pool = Pool(
        command.name, command.quiet_start_min, command.quiet_end_min, command.spare
    )
    present = state.pools.get(pool.name)
    if present is not None and present != pool:
        return refuse(
            Code.EXISTS, f"pool {pool.name!r} exists with other values: {present}"
        )
    state.pools[pool.name] = pool
    return ok(ctx.index)


def remove_pool(state: ClusterState, command: RemovePool, ctx: Context) -> ApplyResult:
    """Remove an empty pool that no service uses."""
    if command.name not in state.pools:
        return not_found("pool", command.name)
    for host in state.hosts.values():
        if host.pool == command.name:
            return refuse(
                Code.IN_USE, f"pool {command.name!r} contains host {host.name!r}"
            )
    for service in state.services.values():
        if service.document.service.pool == command.name:
            text = f"pool {command.name!r} is used by service {service.name!r}"
            return refuse(Code.IN_USE, text)
    del state.pools[command.name]
    return ok(ctx.index)


def add_host(state: ClusterState, command: AddHost, ctx: Context) -> ApplyResult:
    """Assign a new host to a pool."""
    if not is_name(command.name):
        return invalid_name("host", command.name)
    if command.pool not in state.pools:
        return not_found("pool", command.pool)
    present = state.hosts.get(command.name)
    if present is not None and present.pool != command.pool:
        text = f"host {command.name!r} belongs to pool {present.pool!r}: move it"
        return refuse(Code.EXISTS, text)
    host = Host(
        name=command.name,
        pool=command.pool,
        region=command.region,
        availability_zone=command.availability_zone,
        rack=command.rack,
        resources=command.resources,
        phase_since_ms=ctx.now_ms,
    )
    if present is None:
        state.hosts[host.name] = host
        return ok(ctx.index)
    if _declared(present) != _declared(host):
        text = f"host {host.name!r} exists with other values: remove it first"
        return refuse(Code.EXISTS, text)
    return ok(ctx.index, "present")


def _declared(host: Host) -> tuple[object, ...]:
    return (host.region, host.availability_zone, host.rack, host.resources)


def remove_host(state: ClusterState, command: RemoveHost, ctx: Context) -> ApplyResult:
    """Remove a host that runs no target; it stops counting for its services."""
    host = state.hosts.get(command.name)
    if host is None:
        return not_found("host", command.name)
    if host.upkeep.permit:
        return _maintenance_refusal(host)
    for target in state.targets.values():
        if target.host == command.name and target.phase != TargetPhase.LOST:
            return refuse(Code.IN_USE, f"host {command.name!r} runs {target.name!r}")
    del state.hosts[command.name]
    return ok(ctx.index)


def move_host(state: ClusterState, command: MoveHost, ctx: Context) -> ApplyResult:
    """Move a host between pools by compare-and-set on the owning pool."""
    host = state.hosts.get(command.name)
    if host is None:
        return not_found("host", command.name)
    if command.pool not in state.pools:
        return not_found("pool", command.pool)
    if host.pool == command.pool:
        return ok(ctx.index, "present")
    if host.pool != command.expected_pool:
        text = (
            f"host {host.name!r} belongs to pool {host.pool!r},"
            f" not to {command.expected_pool!r}"
        )
        return refuse(Code.CONFLICT, text)
    if host.upkeep.permit:
        return _maintenance_refusal(host)
    if command.within_budgets and host.phase == HostPhase.SERVING:
        refusal = budget_refusal(state, host, exempt_pool=command.pool)
        if refusal is not None:
            return refuse(Code.BUDGET, refusal)
    state.hosts[host.name] = replace(host, pool=command.pool)
    record_host_moved(state, host.name, ctx)
    return ok(ctx.index)


def set_host_phase(
    state: ClusterState, command: SetHostPhase, ctx: Context
) -> ApplyResult:
    """Change the phase of a host by compare-and-set."""
    host = state.hosts.get(command.name)
    if host is None:
        return not_found("host", command.name)
    if host.phase == command.phase:
        return ok(ctx.index, "present")
    if host.phase != command.expected:
        text = f"host {host.name!r} is {host.phase}, not {command.expected}"
        return refuse(Code.CONFLICT, text)
    if host.upkeep.permit:
        return _maintenance_refusal(host)
    if host.phase == HostPhase.SERVING and command.phase in PLANNED_PHASES:
        refusal = budget_refusal(state, host)
        if refusal is not None:
            return refuse(Code.BUDGET, refusal)
    state.hosts[host.name] = replace(
        host, phase=command.phase, phase_since_ms=ctx.now_ms
    )
    if command.phase == HostPhase.LOST:
        record_host_lost(state, host.name, ctx)
    return ok(ctx.index)


def _maintenance_refusal(host: Host) -> ApplyResult:
    text = f"host {host.name!r} is in maintenance under {host.upkeep.permit!r}"
    return refuse(Code.IN_USE, text)


def announce_target(
    state: ClusterState, command: AnnounceTarget, ctx: Context
) -> ApplyResult:
    """Announce a target on a known host, with a key of the service's team."""
    if command.host not in state.hosts:
        return not_found("host", command.host)
    service = state.services.get(command.service)
    if service is None:
        return not_found("service", command.service)
    key = state.keys.get(command.key)
    if key is None or key.team != service.document.service.team:
        text = (
            f"target {command.name!r} has no key of the team that owns {service.name!r}"
        )
        return refuse(Code.BAD_KEY, text)
    refusal = _announcement_refusal(state, command, service)
    if refusal is not None:
        return refusal
    target = Target(
        name=command.name,
        host=command.host,
        service=command.service,
        address=command.address,
        port=command.port,
        slots=command.slots,
        connections=command.connections,
        generation=ctx.index,
        announced_ms=ctx.now_ms,
        key=command.key,
        instance=command.instance,
    )
    present = state.targets.get(command.name)
    if present is not None and _same_incarnation(present, target):
        return ok(present.generation, "present")
    state.targets[target.name] = target
    record_target_announced(state, target, present, ctx)
    return ok(ctx.index)


def _announcement_refusal(
    state: ClusterState, command: AnnounceTarget, service: Service
) -> ApplyResult | None:
    for field, min_value, max_value in ANNOUNCEMENT_RANGES:
        value = getattr(command, field)
        if not min_value <= value <= max_value:
            text = f"{field} {value} is out of range: use {min_value} to {max_value}"
            return refuse(Code.BAD_REQUEST, text)
    present = state.targets.get(command.name)
    owner = state.services.get(present.service) if present is not None else None
    if owner is None or present.phase == TargetPhase.LOST:
        return None
    if owner.document.service.team != service.document.service.team:
        text = f"target {command.name!r} belongs to service {owner.name!r}"
        return refuse(Code.EXISTS, text)
    return None


def _same_incarnation(present: Target, announced: Target) -> bool:
    # A late announcement does not revive a process that has reported its leave.
    if present.phase == TargetPhase.LEAVING:
        return present.instance == announced.instance
    return announced == replace(
        present,
        generation=announced.generation,
        announced_ms=announced.announced_ms,
    )


def leave_target(
    state: ClusterState, command: LeaveTarget, ctx: Context
) -> ApplyResult:
    """Mark a target as leaving, so that it gets no new work."""
    target = state.targets.get(command.name)
    if target is None or target.generation != command.generation:
        return not_found("target", command.name)
    host = state.hosts.get(target.host)
    if command.within_budgets and host is not None:
        refusal = budget_refusal(state, host)
        if refusal is not None:
            return refuse(Code.BUDGET, refusal)
    state.targets[target.name] = replace(target, phase=TargetPhase.LEAVING)
    if host is not None:
        cause = AbsenceCause.LEFT
        open_absence(state, target.host, target.service, cause, ctx)
    return ok(ctx.index)


def drop_target(state: ClusterState, command: DropTarget, ctx: Context) -> ApplyResult:
    """Remove a target, or keep it as lost."""
    target = state.targets.get(command.name)
    if target is None or target.generation != command.generation:
        return not_found("target", command.name)
    if command.lost:
        state.targets[target.name] = replace(target, phase=TargetPhase.LOST)
    else:
        del state.targets[target.name]
    record_target_dropped(state, target, command.lost, ctx)
    return ok(ctx.index)


APPLIERS = {
    CreatePool: create_pool,
    RemovePool: remove_pool,
    AddHost: add_host,
    RemoveHost: remove_host,
    MoveHost: move_host,
    SetHostPhase: set_host_phase,
    AnnounceTarget: announce_target,
    LeaveTarget: leave_target,
    DropTarget: drop_target,
}
