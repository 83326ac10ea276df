"""
mulberryledge_testing.upkeep.checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Invariants of maintenance, checked after each step of a fleet in memory.
"""

from collections import Counter

from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.maintenance import OPEN_STEPS, MaintenanceStep
from mulberryledge_core.state import restore, snapshot
from mulberryledge_core.state.budgets import is_out
from mulberryledge_testing.upkeep.world import World

__all__ = ["check_snapshot", "check_world"]

EXPECTED_PHASES = {
    MaintenanceStep.DRAINING: HostPhase.DRAINING,
    MaintenanceStep.REBOOTING: HostPhase.REBOOTING,
    MaintenanceStep.PROBATION: HostPhase.PROBATION,
}


def check_world(world: World) -> None:
    """Check permits, reboots, counts and budgets of a fleet."""
    check_permits(world)
    check_reboots(world)
    check_counts(world)
    assert not world.budget_violations, (
        f"permits over a budget: {world.budget_violations}"
    )


def check_permits(world: World) -> None:
    """Check for one open permit a host at most, and the waves' counts of them."""
    state = world.state
    permits = [one for one in state.permits.values() if one.step in OPEN_STEPS]
    held = {permit.host: permit.permit_id for permit in permits}
    assert len(held) == len(permits), permits
    for host in state.hosts.values():
        assert host.upkeep.permit == held.get(host.name, ""), host
    for permit in permits:
        assert state.hosts[permit.host].phase == EXPECTED_PHASES[permit.step], permit
    counted = Counter(permit.wave for permit in permits)
    for wave in state.waves.values():
        assert wave.open == counted[wave.name], wave


def check_reboots(world: World) -> None:
    """Check for one reboot a permit at most, and none with slots in use."""
    uses = Counter(world.platform.carried_out)
    assert not [permit for permit, count in uses.items() if count > 1], uses
    assert world.cut_off == 0, f"{world.cut_off} slots were in use at reboots"


def check_counts(world: World) -> None:
    """Check that hosts down for longer than a lease count as out for their services."""
    known_ms = world.clock.now_ms - world.times.lease_ms
    for name, since_ms in world.down_since.items():
        host = world.state.hosts.get(name)
        if host is None or since_ms >= known_ms:
            continue
        for service in host.upkeep.services:
            assert is_out(host, service), (host, service)


def check_snapshot(world: World) -> None:
    """Check that a restored snapshot equals the state."""
    assert snapshot(restore(snapshot(world.state))) == snapshot(world.state)
