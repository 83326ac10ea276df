"""
mulberryledge_core.decisions.post_maintenance_losses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts lost soon after their maintenance, which stop the wave that maintained them.
"""

from collections.abc import Iterator

from mulberryledge_core.decisions.loss_grouping import FailureDomain, group_by_domain
from mulberryledge_core.model.hosts import Host
from mulberryledge_core.model.maintenance import MaintenanceStep, Wave
from mulberryledge_core.state.tables import ClusterState

__all__ = ["hosts_lost_after_maintenance", "maintenance_loss_cause"]

POST_MAINTENANCE_MS = 1_800_000
CORRELATION_WAIT_MS = 30_000
CORRELATION_MS = 60_000
MAX_CANARY_HOSTS = 4
MAX_ISOLATED_LOSSES = 1


def maintenance_loss_cause(state: ClusterState, wave: Wave, now_ms: int) -> str:
    """
    Return why hosts lost soon after their maintenance stop a wave, or an empty text.

    One such loss stops a wave that has maintained at most :data:`MAX_CANARY_HOSTS`
    hosts, more than :data:`MAX_ISOLATED_LOSSES` stop any wave. A single loss among
    many maintained hosts is within the usual rate of host failures.
    """
    hosts = [host.name for host in hosts_lost_after_maintenance(state, wave, now_ms)]
    is_canary = wave.streak <= MAX_CANARY_HOSTS
    if len(hosts) > MAX_ISOLATED_LOSSES or (hosts and is_canary):
        return f"hosts {', '.join(hosts)}: lost soon after their maintenance"
    return ""


def hosts_lost_after_maintenance(
    state: ClusterState, wave: Wave, now_ms: int
) -> Iterator[Host]:
    """Yield the hosts lost in isolation soon after the wave maintained them."""
    for name in wave.hosts:
        permit = state.permits.get(wave.permit_id(name))
        host = state.hosts.get(name)
        if permit is None or host is None or permit.step != MaintenanceStep.DONE:
            continue
        lost_ms = host.upkeep.lost_ms
        soon = permit.step_ms < lost_ms < permit.step_ms + POST_MAINTENANCE_MS
        settled = now_ms - lost_ms >= CORRELATION_WAIT_MS
        if (
            soon
            and settled
            and lost_ms > wave.resumed_ms
            and is_isolated_loss(state, host)
        ):
            yield host


def is_isolated_loss(state: ClusterState, host: Host) -> bool:
    """Return whether the host was not lost together with its rack or zone."""
    lost_together = [
        other
        for other in state.hosts.values()
        if abs(other.upkeep.lost_ms - host.upkeep.lost_ms) <= CORRELATION_MS
        and other.upkeep.lost_ms
    ]
    return any(
        event.domain == FailureDomain.HOST and host.name in event.hosts
        for event in group_by_domain(lost_together, state.hosts)
    )
