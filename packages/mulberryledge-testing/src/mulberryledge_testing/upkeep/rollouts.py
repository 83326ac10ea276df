"""
mulberryledge_testing.upkeep.rollouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One roll-out over a fleet in memory, by waves or by a simpler policy.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from mulberryledge_core.commands.maintenance import StartWave
from mulberryledge_core.model.maintenance import MaintenanceStep, WavePhase
from mulberryledge_testing.upkeep.fleets import Fleet
from mulberryledge_testing.upkeep.world import World

__all__ = ["Rollout", "get_policy_by_name", "roll_out"]

LIMIT_MS = 24 * 3_600_000


@dataclass(frozen=True, slots=True)
class Rollout:
    """
    Results of a roll-out.

    Attributes
    ----------
    took_ms, min_ms : int
        Time until the last host was done, and the minimum that the budgets allow
        for the same outages of the same hosts.
    out_minutes : float
        Mean time out per host, in minutes.
    most_out : int
        Maximum of hosts out at once.
    """

    took_ms: int
    min_ms: int
    out_minutes: float
    most_out: int
    moves: int
    broken: int
    cut_off: int

    @property
    def took_minutes(self) -> float:
        """Duration in minutes."""
        return self.took_ms / 60_000

    @property
    def over_least(self) -> float:
        """Ratio of the duration to the minimum."""
        return self.took_ms / self.min_ms


def roll_out(
    fleet: Fleet, seed: int, policy: Callable[[World, int], None], step_ms: int
) -> Rollout:
    """Maintain each host of each pool once."""
    world = World(fleet, seed)
    start_ms = world.clock.now_ms
    policy(world, step_ms)
    hosts = sum(host.pool != "office" for host in world.state.hosts.values())
    done = [
        permit
        for permit in world.state.permits.values()
        if permit.step == MaintenanceStep.DONE
    ]
    assert len(done) == hosts, (len(done), hosts)
    last_ms = max(permit.step_ms for permit in done)
    return Rollout(
        took_ms=last_ms - start_ms,
        min_ms=min_rollout_ms(world),
        out_minutes=world.host_out_ms / hosts / 60_000,
        most_out=world.most_out,
        moves=world.moves,
        broken=len(world.budget_violations),
        cut_off=world.cut_off,
    )


def min_rollout_ms(world: World) -> int:
    """Return the time that the service with the longest total outage needs."""
    totals: dict[str, int] = defaultdict(int)
    for permit in world.state.permits.values():
        totals[world.services[permit.host]] += permit.step_ms - permit.granted_ms
    return max(totals.values()) // world.fleet.out


def by_waves(world: World, step_ms: int) -> None:
    """Maintain each pool in one wave, all pools at once."""
    names = [world.start_wave(pool) for pool in range(world.fleet.pools)]
    world.run_until_done(step_ms, LIMIT_MS, *names)


def one_by_one(world: World, step_ms: int) -> None:
    """Maintain the hosts of each pool one at a time."""
    queues = [pool_hosts(world, pool) for pool in range(world.fleet.pools)]
    running: dict[int, str] = {}
    while any(queues) or running:
        for pool, queue in enumerate(queues):
            if pool in running and is_done(world, running[pool]):
                del running[pool]
            if pool not in running and queue:
                running[pool] = start_single(world, pool, queue.pop(0))
        world.step(step_ms)


def in_fixed_slots(world: World, step_ms: int) -> None:
    """Maintain one host of each service per time slot, sized for the longest outage."""
    times = world.times
    slot_ms = times.drain_ms[1] + times.reboot_ms[1] + times.probation_ms + step_ms * 5
    for number in range(world.fleet.hosts):
        for pool in range(world.fleet.pools):
            batch = defaultdict(list)
            for host in pool_hosts(world, pool):
                batch[world.services[host]].append(host)
            for hosts in batch.values():
                start_single(world, pool, hosts[number])
        end_ms = world.clock.now_ms + slot_ms
        while world.clock.now_ms < end_ms:
            world.step(step_ms)


def pool_hosts(world: World, pool: int) -> list[str]:
    """Return the hosts of a pool."""
    name = f"pool-{pool}"
    return [host.name for host in world.state.hosts.values() if host.pool == name]


def start_single(world: World, pool: int, host: str) -> str:
    """Start a wave of one host."""
    name = f"single-{host}"
    world.must(StartWave(name, f"pool-{pool}", (host,)))
    return name


def is_done(world: World, name: str) -> bool:
    """Return whether a wave is done."""
    return world.state.waves[name].phase == WavePhase.DONE


POLICIES = {"waves": by_waves, "plain": one_by_one, "static": in_fixed_slots}


def get_policy_by_name(name: str) -> Callable | None:
    """Return a policy, or None."""
    return POLICIES.get(name)
