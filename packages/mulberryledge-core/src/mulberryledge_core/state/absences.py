"""
mulberryledge_core.state.absences
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Durable record of the hosts that count as out for a service, and since when.
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
    "add_host_service",
    "close_absence",
    "open_absence",
    "record_host_lost",
    "record_host_moved",
    "record_target_announced",
    "record_target_dropped",
    "remove_host_service",
    "remove_service_from_hosts",
    "serving_target",
]

DAY_MS = 86_400_000
MAX_WINDOW_DAYS = 366
LOSS_COUNT_RESET_MS = DAY_MS  # a later loss starts a new count


def absence_of(host: Host, service: str) -> Absence | None:
    """Return the open absence of a host for a service, or None."""
    for absence in host.upkeep.absences:
        if absence.service == service:
            return absence
    return None


def serving_target(state: ClusterState, host: str, service: str) -> Target | None:
    """Return a target of the service on the host, or None unless all of them serve."""
    found = None
    for target in state.indexes.targets_by_host.rows(host):
        if target.service != service:
            continue
        if target.phase != TargetPhase.SERVING:
            return None
        found = target
    return found


def add_host_service(state: ClusterState, name: str, service: str) -> None:
    """Add a host to those that count for a service."""
    host = state.hosts[name]
    if service not in host.upkeep.services:
        services = tuple(sorted((*host.upkeep.services, service)))
        set_upkeep(state, host, replace(host.upkeep, services=services))


def open_absence(
    state: ClusterState, name: str, service: str, cause: AbsenceCause, ctx: Context
) -> None:
    """Count a host as out for a service; a loss or a move replaces an earlier cause."""
    host = state.hosts[name]
    if service not in host.upkeep.services:
        return
    current = absence_of(host, service)
    if current is not None and cause not in (AbsenceCause.LOST, AbsenceCause.MOVED):
        return
    since_ms = current.since_ms if current is not None else ctx.now_ms
    others = (item for item in host.upkeep.absences if item.service != service)
    absences = (*others, Absence(service, since_ms, cause))
    set_upkeep(state, host, replace(host.upkeep, absences=absences))


def close_absence(state: ClusterState, name: str, service: str, ctx: Context) -> None:
    """Count a host as serving again, and record how long it was out."""
    host = state.hosts[name]
    absence = absence_of(host, service)
    if absence is None:
        return
    absences = tuple(item for item in host.upkeep.absences if item != absence)
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
    """Add an ended absence to the outages, without those older than any window."""
    out_ms = now_ms - absence.since_ms
    kept = []
    for outage in outages:
        if (outage.service, outage.day) == (absence.service, day):
            out_ms += outage.out_ms
        elif day - outage.day <= MAX_WINDOW_DAYS:
            kept.append(outage)
    return (*kept, OutageDay(absence.service, day, out_ms))


def remove_host_service(
    state: ClusterState, name: str, service: str, ctx: Context
) -> None:
    """Stop counting a host for a service."""
    close_absence(state, name, service, ctx)
    host = state.hosts[name]
    services = tuple(item for item in host.upkeep.services if item != service)
    set_upkeep(state, host, replace(host.upkeep, services=services))


def remove_service_from_hosts(state: ClusterState, service: str, ctx: Context) -> None:
    """Stop counting hosts for a removed service."""
    for host in list(state.hosts.values()):
        if service in host.upkeep.services:
            remove_host_service(state, host.name, service, ctx)


def record_target_announced(
    state: ClusterState, target: Target, present: Target | None, ctx: Context
) -> None:
    """Count the host of an announced target; a host that the target left is out."""
    if present is not None and present != target:
        elsewhere = (present.host, present.service) != (target.host, target.service)
        if elsewhere and present.host in state.hosts:
            cause = AbsenceCause.LEFT
            open_absence(state, present.host, present.service, cause, ctx)
    add_host_service(state, target.host, target.service)


def record_target_dropped(
    state: ClusterState, target: Target, lost: bool, ctx: Context
) -> None:
    """
    Count the host of a dropped target as out.

    A host that was moved out of the service's pool no longer counts for the service.
    A host whose other targets all serve the service is not out.
    """
    host = state.hosts.get(target.host)
    if host is None:
        return
    if lost:
        record_target_lost(state, host, target, ctx)
        return
    present = absence_of(host, target.service)
    if present is not None and present.cause == AbsenceCause.MOVED:
        remove_host_service(state, host.name, target.service, ctx)
    elif serving_target(state, host.name, target.service) is None:
        cause = AbsenceCause.LEFT
        open_absence(state, host.name, target.service, cause, ctx)


def record_target_lost(
    state: ClusterState, host: Host, target: Target, ctx: Context
) -> None:
    """Record an unplanned loss; a loss during a permitted absence stays planned."""
    present = absence_of(host, target.service)
    if present is not None and present.cause == AbsenceCause.PERMIT:
        return
    if present is not None and present.cause == AbsenceCause.MOVED:
        remove_host_service(state, host.name, target.service, ctx)
    open_absence(state, host.name, target.service, AbsenceCause.LOST, ctx)
    # A target announced before the last loss was part of that loss.
    if target.announced_ms >= host.upkeep.lost_ms:
        add_loss(state, host.name, ctx)


def record_host_lost(state: ClusterState, name: str, ctx: Context) -> None:
    """Record the loss of a host for each of its services."""
    host = state.hosts[name]
    was_lost = any(item.cause == AbsenceCause.LOST for item in host.upkeep.absences)
    for service in host.upkeep.services:
        open_absence(state, name, service, AbsenceCause.LOST, ctx)
    if not was_lost:
        add_loss(state, name, ctx)


def add_loss(state: ClusterState, name: str, ctx: Context) -> None:
    """Count a loss of a host; the count restarts after ``LOSS_COUNT_RESET_MS``."""
    host = state.hosts[name]
    upkeep = host.upkeep
    is_reset = ctx.now_ms - upkeep.lost_ms > LOSS_COUNT_RESET_MS
    losses = 1 if is_reset else upkeep.losses + 1
    set_upkeep(state, host, replace(upkeep, losses=losses, lost_ms=ctx.now_ms))


def record_host_moved(state: ClusterState, name: str, ctx: Context) -> None:
    """Count a moved host as out for other pools' services until their targets leave."""
    host = state.hosts[name]
    for service_name in host.upkeep.services:
        service = state.services.get(service_name)
        present = absence_of(state.hosts[name], service_name)
        if service is not None and service.document.service.pool == host.pool:
            if present is not None and present.cause == AbsenceCause.MOVED:
                close_absence(state, name, service_name, ctx)
        elif serving_target(state, name, service_name) is None:
            remove_host_service(state, name, service_name, ctx)
        else:
            open_absence(state, name, service_name, AbsenceCause.MOVED, ctx)


def set_upkeep(state: ClusterState, host: Host, upkeep: Upkeep) -> None:
    """Store the upkeep of a host."""
    state.hosts[host.name] = replace(host, upkeep=upkeep)
