"""Steps on the fleet in virtual time."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from behave import given, then, when
from mulberryledge_testing.batch.plans import Outcome, Plan, carry_out
from mulberryledge_testing.batch.troubles import TROUBLES

WORKERS = 3
CALM_S, TROUBLED_S, HEAVY_S, TURNS_S = 16.0, 18.0, 20.0, 34.0
LONG_TAIL_S = 45.0  # three runs of the longest task, one after the other, and its chain
SITES = ("falaj", "yayla")
NOT_MIXED = (
    "silent advisor",
    "clock jump",
    "underestimated jobs",
    "host lost in upkeep",
    "tight wave",
)  # in scenarios of their own


def play_all(plans) -> list[Outcome]:
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(carry_out, plans))


@when('a calm day of "{site}" is played with seeds {first:d} to {last:d}')
def play_calm(context, site, first, last):
    context.outcomes = play_all(
        Plan(site, seed, CALM_S) for seed in range(first, last + 1)
    )


@when("a day of each site with {name} is played, twice on each day")
def play_trouble(context, name):
    assert name in TROUBLES, name
    times = ((name, 5.0), (name, 12.0))
    context.outcomes = play_all(
        Plan(site, seed, TROUBLED_S, times) for seed, site in enumerate(SITES, 1)
    )


@when('a day of "{site}" with {name} is played, twice on the day')
def play_on_site(context, site, name):
    times = ((name, 4.0), (name, 10.0))
    context.outcomes = play_all(Plan(site, seed, TROUBLED_S, times) for seed in (1, 2))


@when('a day of "{site}" is played with a wave and a clock jump {gap:f} seconds after')
def play_jump(context, site, gap):
    times = (("wave", 4.0), ("clock jump", 4.0 + gap))
    context.outcomes = play_all(Plan(site, seed, TROUBLED_S, times) for seed in (1, 2))


@when("days with underestimated jobs are played")
def play_underestimated(context):
    times = (("underestimated jobs", 5.0), ("underestimated jobs", 12.0))
    days = (("falaj", 6), ("yayla", 1), ("yayla", 3), ("yayla", 4))
    context.outcomes = play_all(
        Plan(site, seed, TROUBLED_S, times, tail_s=LONG_TAIL_S) for site, seed in days
    )


@when("a day of each site with a wave and a host lost in upkeep is played")
def play_lost(context):
    times = (("wave", 4.0), ("host lost in upkeep", 4.1))
    context.outcomes = play_all(
        Plan(site, seed, TROUBLED_S, times) for site in SITES for seed in (1, 2)
    )


@when('days of "{site}" are played on which the lead changes four times')
def play_changing(context, site):
    times = [("silent advisor", 4.0)]
    times += [("new leader", at_s) for at_s in (4.6, 7.5, 10.5, 13.0)]
    context.outcomes = play_all(
        Plan(site, seed, TROUBLED_S, tuple(times)) for seed in (1, 7)
    )


@then("nothing is started where a target is about to leave")
def none_void(context):
    found = [one.void_starts for one in context.outcomes]
    assert not any(found), found


@then("no member of a gang waits for others in vain")
def none_alone(context):
    found = [one.alone[:3] for one in context.outcomes if one.alone]
    assert not found, found


@then("the leader knows the pool of each host")
def well_placed(context):
    found = [(one.plan, one.misplaced) for one in context.outcomes if one.misplaced]
    assert not found, found


@when('a busy day of "{site}" is played without "{part}"')
def play_busy_without(context, site, part):
    context.outcomes = [carry_out(Plan(site, 1, CALM_S, load=1.5, without=(part,)))]


@when('a calm day of "{site}" is played without "{part}"')
def play_without(context, site, part):
    context.outcomes = [carry_out(Plan(site, 1, CALM_S, without=(part,)))]


@then("a job never ends")
def never_ends(context):
    assert any(one.unfinished for one in context.outcomes)


@when("{count:d} days with three troubles each are played")
def play_mixed(context, count):
    names = sorted(name for name in TROUBLES if name not in NOT_MIXED)
    plans = []
    for number in range(count):
        chosen = [names[(5 * number + 3 * step) % len(names)] for step in range(3)]
        times = tuple((name, 5.0 + 1.5 * at) for at, name in enumerate(chosen))
        plans.append(Plan(SITES[number % 2], 10 + number, TROUBLED_S, times))
    context.outcomes = play_all(plans)


@when('a calm day of "{site}" is played with targets that seem to hold more')
def play_without_capacity(context, site):
    plan = Plan(site, 1, CALM_S, moves=False, without=("capacity",))
    context.outcomes = [carry_out(plan)]


@when("a day with cut targets is played without waiting for their leases")
def play_without_leases(context):
    times = (("cut targets", 5.0),)
    plan = Plan("falaj", 2, TROUBLED_S, times, without=("leases",))
    context.outcomes = [carry_out(plan)]


@then("no promise is broken")
def nothing_broken(context):
    found = [(one.plan, one.problems[:3]) for one in context.outcomes if one.problems]
    assert not found, found


@then("a promise is broken")
def something_broken(context):
    assert any(one.problems for one in context.outcomes)


@then("every job that can be done has ended")
def all_ended(context):
    found = [(one.plan, one.unfinished) for one in context.outcomes if one.unfinished]
    assert not found, found


@when('days of "{site}" are played with a wave of which few hosts may be down at once')
def play_tight(context, site):
    times = (("tight wave", 3.0),)
    context.outcomes = play_all(Plan(site, seed, TURNS_S, times) for seed in (1, 2))


@then("each wave has ended in its time")
def waves_in_time(context):
    found = [(one.plan, one.late_waves) for one in context.outcomes if one.late_waves]
    assert not found, found


@then("no wave had more hosts down than allowed, and each is complete")
def waves_kept(context):
    found = [(one.plan, one.waves) for one in context.outcomes if one.waves]
    assert not found, found


@given('a heavy day of "{site}" whose pools keep their hosts')
def heavy_day(context, site):
    context.plans = [
        Plan(site, seed, HEAVY_S, load=1.5, moves=False) for seed in (1, 2)
    ]


@given('a day of "{site}" at its usual load')
def usual_day(context, site):
    context.plans = [Plan(site, seed, TURNS_S) for seed in (1, 2)]


@given('a day of "{site}" at {load:f} times its usual load')
def loaded_day(context, site, load):
    context.plans = [Plan(site, seed, HEAVY_S, load=load) for seed in (1, 2)]


@given('a day of "{site}" on which a target begins to {what}')
def troubled_day(context, site, what):
    names = {
        "fail all that it starts": "failing target",
        "let its work stand still": "hanging target",
    }
    times = ((names[what], 5.0),)
    context.plans = [Plan(site, seed, TROUBLED_S, times) for seed in (2, 6, 8)]


@given('a day of "{site}" with {name}')
def named_day(context, site, name):
    times = ((name, 6.0), (name, 13.0))
    context.plans = [Plan(site, seed, TROUBLED_S, times) for seed in (1, 2, 3, 4)]


def play_both(context, **changes):
    others = [replace(plan, **changes) for plan in context.plans]
    outcomes = play_all([*context.plans, *others])
    context.ours = outcomes[: len(others)]
    context.others = outcomes[len(others) :]


@when("it is played in order of what can be in time, and first in, first out")
def play_orders(context):
    play_both(context, without=("order",))


@when("it is played with hosts that move, and with hosts that stay")
def play_moves(context):
    play_both(context, moves=False)


@when("it is played with and without the cloud's word on lost hosts")
def play_losses(context):
    play_both(context, without=("losses",))


@when("it is played with and without the judgement of targets")
def play_judgement(context):
    play_both(context, without=("judgement", "watchdog"))


def mean(values) -> float:
    values = list(values)
    return sum(values) / len(values)


def in_time(outcomes) -> float:
    return mean(one.in_time for one in outcomes)


@then("at least a tenth more of the jobs end in time than first in, first out")
def more_in_time(context):
    ours, others = in_time(context.ours), in_time(context.others)
    assert ours >= others + 0.1, (ours, others)


@then("no more are given up")
def no_more_given_up(context):
    ours = sum(one.given_up for one in context.ours)
    others = sum(one.given_up for one in context.others)
    assert ours <= others, (ours, others)


@then("at least {percent:d} of 100 jobs more end in time where the cloud is asked")
def more_where_asked(context, percent):
    ours, others = in_time(context.ours), in_time(context.others)
    assert ours >= others + percent / 100, (ours, others)


@then("lasting tasks are at work for longer")
def lasting_longer(context):
    ours = mean(one.lasting for one in context.ours)
    others = mean(one.lasting for one in context.others)
    assert ours > others, (ours, others)


@then("callers get as many jobs in time, give or take {percent:d} of 100")
def as_many(context, percent):
    ours, others = in_time(context.ours), in_time(context.others)
    assert ours >= others - percent / 100, (ours, others)


@then("pools cost at most three quarters as many host-seconds")
def cheaper(context):
    ours = mean(one.host_seconds for one in context.ours)
    others = mean(one.host_seconds for one in context.others)
    assert ours <= 0.75 * others, (ours, others)


@then("more jobs end in time where hosts move")
def more_where_moved(context):
    ours, others = in_time(context.ours), in_time(context.others)
    assert ours > others, (ours, others)


@then("fewer runs fail where targets are judged")
def fewer_failures(context):
    ours = sum(one.failed_runs for one in context.ours)
    others = sum(one.failed_runs for one in context.others)
    assert ours < others, (ours, others)


@then("every job ends where targets are judged, and not without it")
def ends_where_judged(context):
    assert not any(one.unfinished for one in context.ours)
    assert any(one.unfinished for one in context.others)
