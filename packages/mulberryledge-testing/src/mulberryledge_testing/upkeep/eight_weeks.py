"""
mulberryledge_testing.upkeep.eight_weeks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Eight weeks of the maintenance calendar at the design size, with daily failures.
"""

from dataclasses import dataclass, replace

from mulberryledge_core.commands.maintenance import SetWavePhase
from mulberryledge_core.decisions.calendar import (
    CYCLE_DAYS,
    due_waves,
    overdue_hosts,
    turn_start_day,
)
from mulberryledge_core.model.maintenance import WavePhase
from mulberryledge_testing.upkeep.checks import check_world
from mulberryledge_testing.upkeep.fleets import LARGE, Fleet
from mulberryledge_testing.upkeep.world import START_MS, World

__all__ = ["EightWeeks", "run_eight_weeks"]

DAY_MS = 86_400_000
MINUTE_MS = 60_000
IDLE_STEP_MS = 10 * MINUTE_MS
BUSY_STEP_MS = 20_000
FAILURES_A_DAY = 21
RESTARTS_A_DAY = 110
RESTART_MS = (2 * MINUTE_MS, 10 * MINUTE_MS)
REPAIR_MS = (4 * 60 * MINUTE_MS, 24 * 60 * MINUTE_MS)
RESUMES_A_DAY = 4


@dataclass(frozen=True, slots=True)
class EightWeeks:
    """
    Results of one calendar run.

    Attributes
    ----------
    missed, overdue : int
        Hosts not maintained within the eight weeks, and the maximum of hosts at
        once whose last maintenance was longer ago.
    done, stops : int
        Permits done, and stopped waves that an operator resumed.
    broken, cut_off : int
        Permits that exceeded a budget, and slots in use at planned reboots.
    """

    missed: int
    overdue: int
    done: int
    stops: int
    broken: int
    cut_off: int


def run_eight_weeks(
    seed: int, fleet: Fleet = LARGE, days: int = CYCLE_DAYS
) -> EightWeeks:
    """Run the calendar; operators resume stopped waves every six hours."""
    world = World(fleet, seed)
    set_last_maintenance(world)
    stops = overdue = 0
    end_ms = START_MS + days * DAY_MS
    for day in range(days):
        schedule_failures(world, START_MS + day * DAY_MS)
    next_resume_ms = START_MS
    while world.clock.now_ms < end_ms:
        busy = any(wave.open for wave in world.state.waves.values())
        world.step(BUSY_STEP_MS if busy else IDLE_STEP_MS)
        for command in due_waves(world.state, world.clock.now_ms):
            world.must(command)
        if world.clock.now_ms >= next_resume_ms:
            next_resume_ms += DAY_MS // RESUMES_A_DAY
            stops += resume_stopped(world)
            late = overdue_hosts(world.state, world.clock.now_ms)
            overdue = max(overdue, sum(host.pool != "office" for host in late))
            check_world(world)
    missed = sum(
        host.maintained_ms < START_MS and host.pool != "office"
        for host in world.state.hosts.values()
    )
    done = sum(permit.step == "done" for permit in world.state.permits.values())
    return EightWeeks(
        missed, overdue, done, stops, len(world.budget_violations), world.cut_off
    )


def set_last_maintenance(world: World) -> None:
    """Set the last maintenance of each host to the start of its pool's last turn."""
    for host in list(world.state.hosts.values()):
        pool = world.state.pools[host.pool]
        day = turn_start_day(pool, world.state.pools, START_MS - DAY_MS)
        done = replace(host, maintained_ms=day * DAY_MS)
        world.state.hosts[host.name] = done


def schedule_failures(world: World, day_ms: int) -> None:
    """Schedule the failures and restarts of a day at random times."""
    hosts = sorted(world.services)
    kinds = [(FAILURES_A_DAY, REPAIR_MS), (RESTARTS_A_DAY, RESTART_MS)]
    for count, times in kinds:
        for _ in range(count):
            at_ms = day_ms + world.random.randrange(DAY_MS)
            host = world.random.choice(hosts)
            back_ms = world.draw_ms(times)
            world.clock.later(
                at_ms - world.clock.now_ms,
                lambda one=host, back=back_ms: fail(world, one, back),
            )


def fail(world: World, host: str, back_ms: int) -> None:
    """Fail a host unless it was removed meanwhile."""
    if host in world.state.hosts:
        world.fail(host, back_ms)


def resume_stopped(world: World) -> int:
    """Resume the stopped waves and return their number."""
    count = 0
    for wave in list(world.state.waves.values()):
        if wave.phase == WavePhase.STOPPED:
            count += 1
            world.must(SetWavePhase(wave.name, wave.phase, WavePhase.RUNNING))
    return count
