"""
mulberryledge_testing.bench.groups.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Roll-out time, buffer cost, moves and broken budgets; the calendar; the repair.
"""

import time
from collections.abc import Iterator
from dataclasses import replace
from statistics import mean

from mulberryledge_core.decisions.waves import plan_wave
from mulberryledge_core.state.budgets import OutageCounts, budget_refusal
from mulberryledge_testing.bench.measures import HIGHER, LOWER, Measure
from mulberryledge_testing.upkeep.eight_weeks import run_eight_weeks
from mulberryledge_testing.upkeep.fakes import run_now
from mulberryledge_testing.upkeep.fleets import FALAJ, LARGE, YAYLA, Fleet
from mulberryledge_testing.upkeep.groupings import score_groupings
from mulberryledge_testing.upkeep.rollouts import (
    Rollout,
    get_policy_by_name,
    roll_out,
)
from mulberryledge_testing.upkeep.world import World

__all__ = ["run"]

SEEDS = (1, 2, 3)
STEP_MS = 2_000
LARGE_STEP_MS = 10_000
ROLLOUT_GOAL = 1.25
REPEATS = 50


def run() -> Iterator[Measure]:
    """Yield the measures of maintenance and repair."""
    for fleet in (FALAJ, YAYLA):
        yield from measure_fleet(fleet, SEEDS, "plain", STEP_MS)
    open_fleet = replace(LARGE, always_quiet=True)
    yield from measure_fleet(open_fleet, SEEDS[:1], "static", LARGE_STEP_MS)
    yield from measure_costs()
    yield from measure_calendar()
    yield from measure_groupings()


def measure_fleet(
    fleet: Fleet, seeds: tuple[int, ...], other: str, step_ms: int
) -> Iterator[Measure]:
    """Yield the measures of a roll-out, against the static and another policy."""
    name = f"maintenance.{fleet.name}"
    runs = {
        policy: [
            roll_out(fleet, seed, get_policy_by_name(policy), step_ms) for seed in seeds
        ]
        for policy in ("waves", "static", other)
    }
    waves, static = runs["waves"], runs["static"]
    for field, unit, bound in (
        ("over_least", "ratio", ROLLOUT_GOAL),
        ("took_minutes", "min", None),
    ):
        value, baseline = average(waves, field), average(runs[other], field)
        yield Measure(f"{name}.{field}", value, unit, LOWER, bound, baseline)
    for field, unit in (
        ("over_least", "ratio"),
        ("out_minutes", "min/host"),
        ("most_out", "hosts"),
    ):
        value, baseline = average(waves, field), average(static, field)
        yield Measure(f"{name}.static.{field}", value, unit, LOWER, None, baseline)
    for field, unit, bound in (
        ("moves", "moves", None),
        ("broken", "permits", 0),
        ("cut_off", "slots", 0),
    ):
        value = sum(getattr(one, field) for one in waves)
        yield Measure(f"{name}.{field}", value, unit, LOWER, bound, None)


def average(rollouts: list[Rollout], field: str) -> float:
    """Return the mean of one field."""
    return mean(getattr(one, field) for one in rollouts)


def measure_costs() -> Iterator[Measure]:
    """Yield what counting costs with 1,000 hosts."""
    world = World(replace(LARGE, always_quiet=True), 1)
    host = world.state.hosts["host-7-7"]
    wave = world.wave(world.start_wave(7))
    name = "maintenance.large"
    permit = milliseconds(lambda: budget_refusal(world.state, host))
    yield Measure(f"{name}.permit_check", permit, "ms", LOWER, None, None)
    ledger = milliseconds(lambda: OutageCounts(world.state))
    yield Measure(f"{name}.full_count", ledger, "ms", LOWER, None, None)
    plan = milliseconds(lambda: plan_wave(world.state, wave, world.clock.now_ms))
    yield Measure(f"{name}.preview", plan, "ms", LOWER, None, None)
    for pool in range(world.fleet.pools):
        world.start_wave(pool, f"all-{pool}")
    for _ in range(15):
        world.step(LARGE_STEP_MS)
    tick = milliseconds(lambda: run_now(world.leader.maintenance.plan()))
    yield Measure(f"{name}.plan_all_pools", tick, "ms", LOWER, None, None)


def milliseconds(work) -> float:
    """Return the processor time of some work, in milliseconds."""
    begin = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - begin) * 1_000 / REPEATS


def measure_calendar() -> Iterator[Measure]:
    """Yield what eight weeks with daily failures come to."""
    weeks = run_eight_weeks(SEEDS[0])
    name = "maintenance.calendar"
    yield Measure(f"{name}.hosts_missed", weeks.missed, "hosts", LOWER, 0, None)
    yield Measure(f"{name}.hosts_overdue", weeks.overdue, "hosts", LOWER, 0, None)
    yield Measure(f"{name}.broken_budgets", weeks.broken, "permits", LOWER, 0, None)
    yield Measure(f"{name}.cut_off", weeks.cut_off, "slots", LOWER, 0, None)
    yield Measure(f"{name}.permits_done", weeks.done, "permits", LOWER, None, None)
    yield Measure(f"{name}.operator_resumes", weeks.stops, "waves", LOWER, None, None)


def measure_groupings() -> Iterator[Measure]:
    """Yield how well lost hosts are grouped, against connected regions."""
    scores = score_groupings(SEEDS[0])
    domain, region = scores["domain"], scores["region"]
    name = "maintenance.repair"
    yield Measure(
        f"{name}.events_right", domain.right, "share", HIGHER, None, region.right
    )
    yield Measure(
        f"{name}.messages", domain.messages, "messages", LOWER, None, region.messages
    )
