"""
mulberryledge_core.decisions.rollouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Roll-outs of service documents that need a restart of the targets, as waves.
"""

from collections import defaultdict

from mulberryledge_core.commands.maintenance import StartWave
from mulberryledge_core.model.maintenance import Wave
from mulberryledge_core.model.services import Service
from mulberryledge_core.state.budgets import service_hosts
from mulberryledge_core.state.tables import ClusterState

__all__ = ["rollout_duration_ms", "rollout_waves", "superseded_cause"]


def rollout_waves(state: ClusterState, service: Service) -> tuple[StartWave, ...]:
    """Return a wave over the service's hosts for each pool that has any."""
    pools = defaultdict(list)
    for host in service_hosts(state, service.name):
        pools[host.pool].append(host.name)
    return tuple(
        StartWave(
            name=f"v{service.version}-{service.name}-{pool}"[:64],
            pool=pool,
            hosts=tuple(hosts),
            service=service.name,
            version=service.version,
        )
        for pool, hosts in sorted(pools.items())
    )


def superseded_cause(state: ClusterState, wave: Wave) -> str:
    """Return why a roll-out's version is obsolete, or an empty text."""
    if not wave.service:
        return ""
    service = state.services.get(wave.service)
    if service is None:
        return f"service {wave.service!r} was removed"
    if service.version != wave.version:
        return f"service {wave.service!r} is at version {service.version} now"
    return ""


def rollout_duration_ms(state: ClusterState, wave: Wave) -> int | None:
    """
    Return the time from a version's acceptance to the end of its wave, or None.

    It is None while the wave runs, or if the service or its version is unknown.
    """
    service = state.services.get(wave.service)
    if service is None or not wave.ended_ms:
        return None
    for version in service.history:
        if version.version == wave.version:
            return wave.ended_ms - version.accepted_ms
    return None
