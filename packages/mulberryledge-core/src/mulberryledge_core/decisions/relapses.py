"""
mulberryledge_core.decisions.relapses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Losses soon after a maintenance, which speak against going on with a wave.
"""

from collections.abc import Iterator

from mulberryledge_core.decisions.regions import Domain, group_by_domain
from mulberryledge_core.model.hosts import Host
from mulberryledge_core.model.maintenance import MaintenanceStep, Wave
from mulberryledge_core.state.tables import ClusterState

__all__ = ["relapse_cause", "relapsed_hosts"]

RELAPSE_MS = 1_800_000
SETTLE_MS = 30_000
TOGETHER_MS = 60_000
CANARY_HOSTS = 4
MAX_RELAPSES = 1


def relapse_cause(state: ClusterState, wave: Wave, now_ms: int) -> str:
    """
    Return why a wave must stop for hosts lost soon after their maintenance.

    One such loss stops a wave that has done few hosts, and a second one any wave; a
    single loss among many is taken for one of the ordinary ones of a day.
    """
    hosts = [host.name for host in relapsed_hosts(state, wave, now_ms)]
    few = wave.streak <= CANARY_HOSTS
    if len(hosts) > MAX_RELAPSES or (hosts and few):
        return f"hosts {', '.join(hosts)}: lost soon after their maintenance"
    return ""


def relapsed_hosts(state: ClusterState, wave: Wave, now_ms: int) -> Iterator[Host]:
    """Yield the hosts lost soon after the wave maintained them, each on its own."""
    for name in wave.hosts:
        permit = state.permits.get(wave.permit_id(name))
        host = state.hosts.get(name)
        if permit is None or host is None or permit.step != MaintenanceStep.DONE:
            continue
        lost_ms = host.upkeep.lost_ms
        soon = permit.step_ms < lost_ms < permit.step_ms + RELAPSE_MS
        settled = now_ms - lost_ms >= SETTLE_MS
        if soon and settled and lost_ms > wave.resumed_ms and lost_alone(state, host):
            yield host


def lost_alone(state: ClusterState, host: Host) -> bool:
    """Return whether the loss was not that of a whole rack or availability zone."""
    together = [
        other
        for other in state.hosts.values()
        if abs(other.upkeep.lost_ms - host.upkeep.lost_ms) <= TOGETHER_MS
        and other.upkeep.lost_ms
    ]
    return any(
        event.domain == Domain.HOST and host.name in event.hosts
        for event in group_by_domain(together, state.hosts)
    )
