"""
mulberryledge_core.state.appliers.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on holds and on hosts that are out.
"""

from dataclasses import replace

from mulberryledge_core.commands.maintenance import (
    HoldHost,
    HoldService,
    ProveHost,
    ReleaseHost,
    ReplaceHost,
)
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.maintenance import AbsenceCause
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.absences import (
    absence_of,
    close_absence,
    remove_host_service,
    serving_target,
)
from mulberryledge_core.state.results import not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]


def prove_host(state: ClusterState, command: ProveHost, ctx: Context) -> ApplyResult:
    """Count a host as serving again once a recent enough target of it serves."""
    host = state.hosts.get(command.host)
    if host is None:
        return not_found("host", command.host)
    absence = absence_of(host, command.service)
    if absence is None:
        return ok(ctx.index, "present")
    if absence.cause not in (AbsenceCause.LOST, AbsenceCause.LEFT):
        text = f"host {host.name!r} is out for {command.service!r}: {absence.cause}"
        return refuse(Code.CONFLICT, text)
    if host.phase != HostPhase.SERVING:
        return refuse(Code.CONFLICT, f"host {host.name!r} is {host.phase}")
    target = serving_target(state, host.name, command.service)
    if target is None or target.generation < command.generation:
        text = f"host {host.name!r} does not serve {command.service!r}"
        return refuse(Code.CONFLICT, text)
    close_absence(state, host.name, command.service, ctx)
    return ok(ctx.index)


def replace_host(
    state: ClusterState, command: ReplaceHost, ctx: Context
) -> ApplyResult:
    """Move a spare host to the pool of a lost one, at most once for each loss."""
    host, spare = state.hosts.get(command.host), state.hosts.get(command.spare)
    if host is None or spare is None:
        return not_found("host", command.host if host is None else command.spare)
    if host.upkeep.replacement == spare.name:
        return ok(ctx.index, "present")
    if host.phase != HostPhase.LOST or host.upkeep.replacement:
        text = f"host {host.name!r} is {host.phase}, replaced by"
        return refuse(Code.CONFLICT, f"{text} {host.upkeep.replacement or 'none'!r}")
    pool = state.pools[spare.pool]
    idle = spare.phase == HostPhase.SERVING and not spare.upkeep.permit
    if spare.pool != command.spare_pool or not pool.spare or not idle:
        text = f"host {spare.name!r} is {spare.phase} in pool {spare.pool!r}"
        return refuse(Code.CONFLICT, text)
    if spare.upkeep.services:
        return refuse(Code.IN_USE, f"host {spare.name!r} counts for services")
    upkeep = replace(host.upkeep, replacement=spare.name)
    state.hosts[host.name] = replace(host, upkeep=upkeep)
    state.hosts[spare.name] = replace(spare, pool=host.pool)
    return ok(ctx.index, spare.name)


def release_host(
    state: ClusterState, command: ReleaseHost, ctx: Context
) -> ApplyResult:
    """Stop counting a host that is out for a service."""
    host = state.hosts.get(command.host)
    if host is None:
        return not_found("host", command.host)
    if command.service not in host.upkeep.services:
        return ok(ctx.index, "present")
    if host.upkeep.permit:
        text = f"host {host.name!r} is in maintenance under {host.upkeep.permit!r}"
        return refuse(Code.IN_USE, text)
    if serving_target(state, host.name, command.service) is not None:
        text = f"host {host.name!r} serves {command.service!r}"
        return refuse(Code.IN_USE, text)
    remove_host_service(state, host.name, command.service, ctx)
    return ok(ctx.index)


def hold_host(state: ClusterState, command: HoldHost, ctx: Context) -> ApplyResult:
    """Exclude a host from maintenance, or end the hold."""
    host = state.hosts.get(command.host)
    if host is None:
        return not_found("host", command.host)
    upkeep = replace(host.upkeep, hold=command.reason)
    state.hosts[host.name] = replace(host, upkeep=upkeep)
    return ok(ctx.index)


def hold_service(
    state: ClusterState, command: HoldService, ctx: Context
) -> ApplyResult:
    """Exclude the hosts of a service from maintenance, or end the hold."""
    service = state.services.get(command.service)
    if service is None:
        return not_found("service", command.service)
    state.services[service.name] = replace(service, hold=command.reason)
    return ok(ctx.index)


APPLIERS = {
    ProveHost: prove_host,
    ReplaceHost: replace_host,
    ReleaseHost: release_host,
    HoldHost: hold_host,
    HoldService: hold_service,
}
