"""
mulberryledge_core.state.absences
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The durable record of which host counts as out for which service, and since when.
"""

from dataclasses import replace

from mulberryledge_core.model.hosts import Host
from mulberryledge_core.model.maintenance import (
    Absence,
    AbsenceCause,
    OutageDay,
    Upkeep,
)
from mulberryledge_core.model.targets import Target, TargetPhase
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = [
    "DAY_MS",
    "absence_of",
    "close_absence",
    "count_host",
    "forget_service",
    "note_announced",
    "note_dropped",
    "note_host_lost",
    "note_moved",
    "open_absence",
    "release_service",
    "serving_target",
]

DAY_MS = 86_400_000
LONGEST_WINDOW_DAYS = 366
CALM_MS = DAY_MS  # after a day without a loss, the count of losses starts again


def absence_of(host: Host, service: str) -> Absence | None:
    """Return the open absence of a host for a service, or None."""
    for absence in host.upkeep.absences:
        if absence.service == service:
            return absence
    return None


def serving_target(state: ClusterState, host: str, service: str) -> Target | None:
    """Return a target of the service if all that the host has of it serve."""
    found = None
    for target in state.indexes.targets_by_host.rows(host):
        if target.service != service:
            continue
        if target.phase != TargetPhase.SERVING:
            return None
        found = target
    return found


def count_host(state: ClusterState, name: str, service: str) -> None:
    """Count a host for a service from now on."""
    host = state.hosts[name]
    if service not in host.upkeep.services:
        services = tuple(sorted((*host.upkeep.services, service)))
        set_upkeep(state, host, replace(host.upkeep, services=services))


def open_absence(
    state: ClusterState, name: str, service: str, cause: AbsenceCause, ctx: Context
) -> None:
    """Count a host as out for a service; a loss or a move outweighs what was before."""
    host = state.hosts[name]
    if service not in host.upkeep.services:
        return
    present = absence_of(host, service)
    if present is not None and cause not in (AbsenceCause.LOST, AbsenceCause.MOVED):
        return
    since_ms = present.since_ms if present is not None else ctx.now_ms
    kept = (one for one in host.upkeep.absences if one.service != service)
    absences = (*kept, Absence(service, since_ms, cause))
    set_upkeep(state, host, replace(host.upkeep, absences=absences))


def close_absence(state: ClusterState, name: str, service: str, ctx: Context) -> None:
    """Count a host as serving again, and keep for how long it was out."""
    host = state.hosts[name]
    absence = absence_of(host, service)
    if absence is None:
        return
    absences = tuple(one for one in host.upkeep.absences if one != absence)
    day = ctx.now_ms // DAY_MS
    outages = add_outage(host.upkeep.outages, absence, day, ctx.now_ms)
    replacement = host.upkeep.replacement if absences else ""
    upkeep = replace(
        host.upkeep, absences=absences, outages=outages, replacement=replacement
    )
    set_upkeep(state, host, upkeep)


def add_outage(
    outages: tuple[OutageDay, ...], absence: Absence, day: int, now_ms: int
) -> tuple[OutageDay, ...]:
    """Add an ended absence to the outages, and drop those older than any window."""
    out_ms = now_ms - absence.since_ms
    kept = []
    for outage in outages:
        if (outage.service, outage.day) == (absence.service, day):
            out_ms += outage.out_ms
        elif day - outage.day <= LONGEST_WINDOW_DAYS:
            kept.append(outage)
    return (*kept, OutageDay(absence.service, day, out_ms))


def release_service(state: ClusterState, name: str, service: str, ctx: Context) -> None:
    """Count a host for a service no longer."""
    close_absence(state, name, service, ctx)
    host = state.hosts[name]
    services = tuple(one for one in host.upkeep.services if one != service)
    set_upkeep(state, host, replace(host.upkeep, services=services))


def forget_service(state: ClusterState, service: str, ctx: Context) -> None:
    """Count no host for a removed service."""
    for host in list(state.hosts.values()):
        if service in host.upkeep.services:
            release_service(state, host.name, service, ctx)


def note_announced(
    state: ClusterState, target: Target, present: Target | None, ctx: Context
) -> None:
    """Count the target's host; a target that changed hosts has left the old one."""
    if present is not None and present != target:
        elsewhere = (present.host, present.service) != (target.host, target.service)
        if elsewhere and present.host in state.hosts:
            cause = AbsenceCause.LEFT
            open_absence(state, present.host, present.service, cause, ctx)
    count_host(state, target.host, target.service)


def note_dropped(state: ClusterState, target: Target, lost: bool, ctx: Context) -> None:
    """
    Count the host of a target that is no longer there as out.

    A host that was moved away from the service's pool is counted no longer once its
    target has left; so is none whose other targets of the service go on serving.
    """
    host = state.hosts.get(target.host)
    if host is None:
        return
    if lost:
        note_lost(state, host, target, ctx)
        return
    present = absence_of(host, target.service)
    if present is not None and present.cause == AbsenceCause.MOVED:
        release_service(state, host.name, target.service, ctx)
    elif serving_target(state, host.name, target.service) is None:
        cause = AbsenceCause.LEFT
        open_absence(state, host.name, target.service, cause, ctx)


def note_lost(state: ClusterState, host: Host, target: Target, ctx: Context) -> None:
    """Count an unplanned loss; what a permit covers stays planned."""
    present = absence_of(host, target.service)
    if present is not None and present.cause == AbsenceCause.PERMIT:
        return
    if present is not None and present.cause == AbsenceCause.MOVED:
        release_service(state, host.name, target.service, ctx)
    open_absence(state, host.name, target.service, AbsenceCause.LOST, ctx)
    if target.announced_ms >= host.upkeep.lost_ms:
        add_loss(state, host.name, ctx)


def note_host_lost(state: ClusterState, name: str, ctx: Context) -> None:
    """Count a whole host as lost for each of its services."""
    host = state.hosts[name]
    known = any(one.cause == AbsenceCause.LOST for one in host.upkeep.absences)
    for service in host.upkeep.services:
        open_absence(state, name, service, AbsenceCause.LOST, ctx)
    if not known:
        add_loss(state, name, ctx)


def add_loss(state: ClusterState, name: str, ctx: Context) -> None:
    """Count one more loss of a host; after a calm day the count starts again."""
    host = state.hosts[name]
    upkeep = host.upkeep
    calm = ctx.now_ms - upkeep.lost_ms > CALM_MS
    losses = 1 if calm else upkeep.losses + 1
    set_upkeep(state, host, replace(upkeep, losses=losses, lost_ms=ctx.now_ms))


def note_moved(state: ClusterState, name: str, ctx: Context) -> None:
    """Count a moved host as out for services of other pools until it left them."""
    host = state.hosts[name]
    for service_name in host.upkeep.services:
        service = state.services.get(service_name)
        present = absence_of(state.hosts[name], service_name)
        if service is not None and service.document.service.pool == host.pool:
            if present is not None and present.cause == AbsenceCause.MOVED:
                close_absence(state, name, service_name, ctx)
        elif serving_target(state, name, service_name) is None:
            release_service(state, name, service_name, ctx)
        else:
            open_absence(state, name, service_name, AbsenceCause.MOVED, ctx)


def set_upkeep(state: ClusterState, host: Host, upkeep: Upkeep) -> None:
    """Replace the upkeep of a host."""
    state.hosts[host.name] = replace(host, upkeep=upkeep)
