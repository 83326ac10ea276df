"""Steps on the simulated fleet in virtual time."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from random import Random

from behave import given, then, when
from mulberryledge_testing.batch.plans import Outcome, Plan, simulate
from mulberryledge_testing.batch.troubles import FAULTS

WORKERS = 3
FAULT_FREE_S, FAULTY_S, HEAVY_S, SHIFTING_S = 16.0, 18.0, 20.0, 34.0
LONG_TAIL_S = 45.0  # three consecutive runs of the longest task, and later steps
SITES = ("falaj", "yayla")
SEPARATE_FAULTS = (
    "silent advisor",
    "clock jump",
    "underestimated jobs",
    "host lost in upkeep",
    "tight wave",
    "lost lease",
    "shedding targets",
    "restarts and cuts",
    "late orders and restarts",
)  # tested in separate scenarios


def simulate_all(plans) -> list[Outcome]:
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(simulate, plans))


@when('a fault-free day of "{site}" is simulated with seeds {first:d} to {last:d}')
def simulate_fault_free(context, site, first, last):
    context.outcomes = simulate_all(
        Plan(site, seed, FAULT_FREE_S) for seed in range(first, last + 1)
    )


@when("a day of each site with {name} is simulated, twice on each day")
def simulate_faults(context, name):
    assert name in FAULTS, name
    fault_times_s = ((name, 5.0), (name, 12.0))
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, fault_times_s) for seed, site in enumerate(SITES, 1)
    )


@when('a day of "{site}" with {name} is simulated, twice on the day')
def simulate_faults_on_site(context, site, name):
    fault_times_s = ((name, 4.0), (name, 10.0))
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, fault_times_s) for seed in (1, 2)
    )


@when(
    'a day of "{site}" is simulated with a wave and a clock jump {gap:f} seconds later'
)
def simulate_clock_jump(context, site, gap):
    fault_times_s = (("wave", 4.0), ("clock jump", 4.0 + gap))
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, fault_times_s) for seed in (1, 2)
    )


@when("days with underestimated jobs are simulated")
def simulate_underestimated(context):
    fault_times_s = (("underestimated jobs", 5.0), ("underestimated jobs", 12.0))
    days = (("falaj", 6), ("yayla", 1), ("yayla", 3), ("yayla", 4))
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, fault_times_s, tail_s=LONG_TAIL_S)
        for site, seed in days
    )


@when("a day of each site with a wave and a host lost in upkeep is simulated")
def simulate_host_lost(context):
    fault_times_s = (("wave", 4.0), ("host lost in upkeep", 4.1))
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, fault_times_s) for site in SITES for seed in (1, 2)
    )


@when('days of "{site}" are simulated on which the leader changes four times')
def simulate_leader_changes(context, site):
    fault_times_s = [("silent advisor", 4.0)]
    fault_times_s += [("new leader", at_s) for at_s in (4.6, 7.5, 10.5, 13.0)]
    context.outcomes = simulate_all(
        Plan(site, seed, FAULTY_S, tuple(fault_times_s)) for seed in (1, 7)
    )


@then("no run is started on an incarnation that has ended")
def no_obsolete_starts(context):
    found = [outcome.obsolete_starts for outcome in context.outcomes]
    assert not any(found), found


@then("no gang member waits for missing members")
def no_incomplete_gangs(context):
    found = [
        outcome.gang_timeouts[:3]
        for outcome in context.outcomes
        if outcome.gang_timeouts
    ]
    assert not found, found


@then("the leader knows the pool of each host")
def pools_match(context):
    found = [
        (outcome.plan, outcome.misplaced)
        for outcome in context.outcomes
        if outcome.misplaced
    ]
    assert not found, found


@when('a busy day of "{site}" is simulated without "{part}"')
def simulate_busy_without(context, site, part):
    context.outcomes = [
        simulate(Plan(site, 1, FAULT_FREE_S, load=1.5, without=(part,)))
    ]


@when('a fault-free day of "{site}" is simulated without "{part}"')
def simulate_without_part(context, site, part):
    context.outcomes = [simulate(Plan(site, 1, FAULT_FREE_S, without=(part,)))]


@then("a job never ends")
def never_ends(context):
    assert any(outcome.unfinished for outcome in context.outcomes)


@when("{count:d} days with three faults each are simulated")
def simulate_mixed(context, count):
    names = sorted(name for name in FAULTS if name not in SEPARATE_FAULTS)
    plans = []
    for number in range(count):
        chosen = [names[(5 * number + 3 * offset) % len(names)] for offset in range(3)]
        fault_times_s = tuple(
            (name, 5.0 + 1.5 * order) for order, name in enumerate(chosen)
        )
        plans.append(Plan(SITES[number % 2], 10 + number, FAULTY_S, fault_times_s))
    context.outcomes = simulate_all(plans)


def random_day(seed) -> Plan:
    random = Random(seed)
    usual = sorted(set(FAULTS) - set(SEPARATE_FAULTS))
    names = [*usual, "lost lease", "shedding targets"]
    fault_times_s = tuple(
        (random.choice(names), random.uniform(3.0, 12.0)) for _ in range(3)
    )
    return Plan(random.choice(SITES), seed, HEAVY_S, fault_times_s)


@when("{count:d} days with random faults are simulated")
def simulate_random(context, count):
    context.outcomes = simulate_all(random_day(seed) for seed in range(count))


@when("a day with crashes is simulated without starting their tasks again")
def simulate_without_restarts(context):
    fault_times_s = (("crash", 5.0),)
    plan = Plan("yayla", 1, FAULTY_S, fault_times_s, without=("restarts",))
    context.outcomes = [simulate(plan)]


@then("no task waits while sound targets have room")
def none_starved(context):
    found = [
        (outcome.plan, outcome.starved[:3])
        for outcome in context.outcomes
        if outcome.starved
    ]
    assert not found, found


@then("a task waits while sound targets have room")
def some_starved(context):
    assert any(outcome.starved for outcome in context.outcomes)


@when('a fault-free day of "{site}" is simulated with unenforced capacity')
def simulate_without_capacity(context, site):
    plan = Plan(site, 1, FAULT_FREE_S, moves=False, without=("capacity",))
    context.outcomes = [simulate(plan)]


@when("a day with cut targets is simulated without waiting for their leases")
def simulate_without_leases(context):
    fault_times_s = (("cut targets", 5.0),)
    plan = Plan("falaj", 2, FAULTY_S, fault_times_s, without=("leases",))
    context.outcomes = [simulate(plan)]


@then("no invariant is violated")
def no_violation(context):
    found = [
        (outcome.plan, outcome.problems[:3])
        for outcome in context.outcomes
        if outcome.problems
    ]
    assert not found, found


@then("an invariant is violated")
def some_violation(context):
    assert any(outcome.problems for outcome in context.outcomes)


@then("every job that can complete has ended")
def all_ended(context):
    found = [
        (outcome.plan, outcome.unfinished)
        for outcome in context.outcomes
        if outcome.unfinished
    ]
    assert not found, found


@when('days of "{site}" are simulated with a wave that allows few hosts down at once')
def simulate_tight_wave(context, site):
    fault_times_s = (("tight wave", 3.0),)
    context.outcomes = simulate_all(
        Plan(site, seed, SHIFTING_S, fault_times_s) for seed in (1, 2)
    )


@then("each wave has ended within its duration")
def waves_in_time(context):
    found = [
        (outcome.plan, outcome.late_waves)
        for outcome in context.outcomes
        if outcome.late_waves
    ]
    assert not found, found


@then("no wave had more hosts down than allowed, and each is complete")
def wave_limits_kept(context):
    found = [
        (outcome.plan, outcome.waves) for outcome in context.outcomes if outcome.waves
    ]
    assert not found, found


@given('a heavy day of "{site}" with fixed pools')
def heavy_day(context, site):
    context.plans = [
        Plan(site, seed, HEAVY_S, load=1.5, moves=False) for seed in (1, 2)
    ]


@given('a day of "{site}" at its usual load')
def usual_day(context, site):
    context.plans = [Plan(site, seed, SHIFTING_S) for seed in (1, 2)]


@given('a day of "{site}" at {load:f} times its usual load')
def loaded_day(context, site, load):
    context.plans = [Plan(site, seed, HEAVY_S, load=load) for seed in (1, 2)]


@given('a day of "{site}" on which a target starts to {what}')
def day_with_failing_target(context, site, what):
    names = {
        "fail all its tasks": "failing target",
        "hang its tasks": "hanging target",
    }
    fault_times_s = ((names[what], 5.0),)
    context.plans = [Plan(site, seed, FAULTY_S, fault_times_s) for seed in (2, 6, 8)]


@given('a day of "{site}" with {name}')
def day_with_faults(context, site, name):
    fault_times_s = ((name, 6.0), (name, 13.0))
    context.plans = [Plan(site, seed, FAULTY_S, fault_times_s) for seed in (1, 2, 3, 4)]


def simulate_with_changes(context, **changes):
    changed = [replace(plan, **changes) for plan in context.plans]
    outcomes = simulate_all([*context.plans, *changed])
    context.baseline = outcomes[: len(changed)]
    context.changed = outcomes[len(changed) :]


@when(
    "it is simulated with jobs ordered by deadline feasibility, and first in, first out"
)
def simulate_orders(context):
    simulate_with_changes(context, without=("order",))


@when("it is simulated with hosts that move, and with fixed pools")
def simulate_moves(context):
    simulate_with_changes(context, moves=False)


@when("it is simulated with and without the cloud's host list")
def simulate_losses(context):
    simulate_with_changes(context, without=("losses",))


@when("it is simulated with and without target health checks")
def simulate_target_health(context):
    simulate_with_changes(context, without=("judgement", "watchdog"))


def mean(values) -> float:
    values = list(values)
    return sum(values) / len(values)


def in_time(outcomes) -> float:
    return mean(outcome.in_time for outcome in outcomes)


@then("at least a tenth more of the jobs end in time than first in, first out")
def more_in_time(context):
    baseline, changed = in_time(context.baseline), in_time(context.changed)
    assert baseline >= changed + 0.1, (baseline, changed)


@then("no more are abandoned")
def no_more_given_up(context):
    baseline = sum(outcome.given_up for outcome in context.baseline)
    changed = sum(outcome.given_up for outcome in context.changed)
    assert baseline <= changed, (baseline, changed)


@then("at least {percent:d} of 100 more jobs end in time with the host list")
def more_with_host_list(context, percent):
    baseline, changed = in_time(context.baseline), in_time(context.changed)
    assert baseline >= changed + percent / 100, (baseline, changed)


@then("long-running tasks run for longer")
def long_running_tasks_run_longer(context):
    baseline = mean(outcome.long_running_share for outcome in context.baseline)
    changed = mean(outcome.long_running_share for outcome in context.changed)
    assert baseline > changed, (baseline, changed)


@then("at most {percent:d} of 100 fewer jobs end in time")
def similar_share_in_time(context, percent):
    baseline, changed = in_time(context.baseline), in_time(context.changed)
    assert baseline >= changed - percent / 100, (baseline, changed)


@then("pools cost at most three quarters as many host-seconds")
def fewer_host_seconds(context):
    baseline = mean(outcome.host_seconds for outcome in context.baseline)
    changed = mean(outcome.host_seconds for outcome in context.changed)
    assert baseline <= 0.75 * changed, (baseline, changed)


@then("more jobs end in time with hosts that move")
def more_with_moves(context):
    baseline, changed = in_time(context.baseline), in_time(context.changed)
    assert baseline > changed, (baseline, changed)


@then("fewer runs fail with target health checks")
def fewer_failures(context):
    baseline = sum(outcome.failed_runs for outcome in context.baseline)
    changed = sum(outcome.failed_runs for outcome in context.changed)
    assert baseline < changed, (baseline, changed)


@then("every job ends with target health checks, and not without them")
def ends_with_health_checks(context):
    assert not any(outcome.unfinished for outcome in context.baseline)
    assert any(outcome.unfinished for outcome in context.changed)
