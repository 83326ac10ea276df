"""Steps and properties of shares and queues."""

from random import Random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from mulberryledge_core.decisions.loads import Load
from mulberryledge_core.decisions.queues import JobQueues, ShareStatus, urgent_reserve
from mulberryledge_core.decisions.shares import (
    Claimant,
    TeamUsage,
    advance_usage,
    fair_tasks,
    share_score,
)
from mulberryledge_core.model.jobs import Job

ALWAYS = settings(max_examples=200, derandomize=True, database=None, deadline=None)
SOME = settings(max_examples=50, derandomize=True, database=None, deadline=None)
CAPACITY = Load(100.0, 200.0, 1_000.0, 10.0)
NEAR = 1e-6

sizes = st.builds(
    Load,
    st.just(1.0),
    st.floats(0.1, 20),
    st.floats(1, 100),
    st.sampled_from((0.0, 0.0, 1.0)),
)
weights = st.floats(0.5, 8)
demands = st.floats(0, 300)
teams = st.lists(st.tuples(weights, demands, sizes), min_size=1, max_size=8)


def claimants(rows):
    return [Claimant(f"t{n}", w, d, s) for n, (w, d, s) in enumerate(rows)]


def quantities(load):
    return load.slots, load.processors, load.memory_mb, load.accelerators


def used(rows, tasks):
    sums = [0.0] * 4
    for number, (_, _, size) in enumerate(rows):
        for kind, value in enumerate(quantities(size)):
            sums[kind] += tasks[f"t{number}"] * value
    return [a / b for a, b in zip(sums, quantities(CAPACITY), strict=True)]


@ALWAYS
@given_any(teams)
def never_more_than_the_capacity(rows):
    tasks = fair_tasks(claimants(rows), CAPACITY)
    assert max(used(rows, tasks)) <= 1 + NEAR
    assert all(0 <= tasks[f"t{n}"] <= d + NEAR for n, (_, d, _) in enumerate(rows))


@ALWAYS
@given_any(teams)
def nothing_idle(rows):
    tasks = fair_tasks(claimants(rows), CAPACITY)
    parts = used(rows, tasks)
    for number, (_, demand, size) in enumerate(rows):
        scarce = any(
            part >= 1 - 1e-3 and value > 0
            for part, value in zip(parts, quantities(size), strict=True)
        )
        assert tasks[f"t{number}"] >= demand - 1e-3 or scarce


@ALWAYS
@given_any(teams, st.floats(1, 4))
def weight_is_monotonic(rows, factor):
    before = fair_tasks(claimants(rows), CAPACITY)["t0"]
    weight, demand, size = rows[0]
    after = fair_tasks(
        claimants([(weight * factor, demand, size), *rows[1:]]), CAPACITY
    )
    assert after["t0"] >= before - 1e-3


@ALWAYS
@given_any(teams, st.integers(2, 5))
def splitting_gains_nothing(rows, parts):
    # Tasks cut into equal parts weigh less each and are more in number.
    weight, demand, size = rows[0]
    whole = fair_tasks(claimants(rows), CAPACITY)["t0"]
    small = Load(*(value / parts for value in quantities(size)))
    split = [(weight, demand * parts, small), *rows[1:]]
    cut = fair_tasks(claimants(split), CAPACITY)["t0"] / parts
    assert cut <= whole + 1e-3


@ALWAYS
@given_any(teams, st.floats(1, 3))
def inflated_demand_gains_nothing(rows, factor):
    weight, demand, size = rows[0]
    honest = fair_tasks(claimants(rows), CAPACITY)["t0"]
    asked = fair_tasks(
        claimants([(weight, demand * factor, size), *rows[1:]]), CAPACITY
    )
    assert min(asked["t0"], demand) <= honest + 1e-3


@ALWAYS
@given_any(teams)
def at_least_the_weighted_part(rows):
    tasks = fair_tasks(claimants(rows), CAPACITY)
    whole = sum(weight for weight, _, _ in rows)
    for number, (weight, demand, size) in enumerate(rows):
        pairs = zip(quantities(size), quantities(CAPACITY), strict=True)
        part = max(a / b for a, b in pairs)
        assert tasks[f"t{number}"] >= min(demand, weight / whole / part) - 1e-3


SHARE_PROPERTIES = {
    "never more than the capacity": never_more_than_the_capacity,
    "nothing idle while a team wants it": nothing_idle,
    "a higher weight never gives less": weight_is_monotonic,
    "a team that splits its work gains nothing": splitting_gains_nothing,
    "asking for more than is needed gains nothing": inflated_demand_gains_nothing,
    "nobody gets less than its weighted part": at_least_the_weighted_part,
}


def job(number, team, urgent=False, at_ms=0):
    return Job(f"job-{number:04}", "s", team, b"", urgent=urgent, submitted_ms=at_ms)


actions = st.lists(
    st.tuples(
        st.sampled_from(("add", "add", "discard", "pick")),
        st.integers(0, 3),
        st.booleans(),
        st.integers(0, 50),
    ),
    max_size=60,
)


@SOME
@given_any(actions)
def index_agrees(steps):
    queues, jobs = JobQueues(), {}
    for number, (action, team, urgent, at_ms) in enumerate(steps):
        if action == "add":
            one = job(number, f"t{team}", urgent, at_ms)
            jobs[one.job_id] = one
            queues.add(one)
        elif action == "discard" and jobs:
            queues.discard(jobs.pop(sorted(jobs)[at_ms % len(jobs)]).job_id)
        elif action == "pick":
            picked = next(queues.candidates("s", lambda _: ShareStatus(0.0), 100), None)
            order = [
                (not one.urgent, one.submitted_ms, one.job_id) for one in jobs.values()
            ]
            assert picked == (min(order)[2] if order else None)
        assert len(queues) == len(jobs)
        waiting = sum(one.waiting for one in queues.demands(100))
        assert waiting == len(jobs)
        assert queues.urgent_count == sum(one.urgent for one in jobs.values())


@SOME
@given_any(st.integers(0, 10_000))
def every_job_runs(seed):
    random, queues, use = Random(seed), JobQueues(), {f"t{n}": 0.0 for n in range(4)}
    for number in range(100):
        queues.add(
            job(number, random.choice(tuple(use)), random.random() < 0.5, number)
        )
    picked = []
    while queues:
        now_ms = len(picked) * 20_000
        one = next(queues.candidates("s", lambda team: ShareStatus(use[team]), now_ms))
        use[queues.locations[one][1]] += 1
        queues.discard(one, started=True)
        picked.append(one)
    assert len(set(picked)) == 100


@SOME
@given_any(st.integers(0, 10_000), st.floats(1, 8))
def bursts_starve_nobody(seed, big):
    # One slot comes free at a time; "big" is on and off, "small" always waits.
    random, uses = Random(seed), {"big": TeamUsage(), "small": TeamUsage()}
    weight, running = {"big": big, "small": 1.0}, []
    got, on, wanted = {"big": 0.0, "small": 0.0}, True, 0.0
    for step in range(2_000):
        now_s = step * 0.1
        on = not on if random.random() < 0.01 else on
        running = [(end, team) for end, team in running if end > now_s]
        while len(running) < 20:
            asking = [one for one in uses if on or one == "small"]
            team = min(
                asking, key=lambda one: share_score(uses[one], weight[one], now_s)
            )
            running.append((now_s + random.uniform(0.5, 2), team))
            held = sum(one == team for _, one in running)
            uses[team] = advance_usage(uses[team], held / 20, now_s)
        for team in uses:
            held = sum(one == team for _, one in running)
            uses[team] = advance_usage(uses[team], held / 20, now_s)
            got[team] += held
        wanted += 20 / (1 + big) if on else 20
    assert got["small"] >= 0.8 * wanted


QUEUE_PROPERTIES = {
    "the index agrees with a scan": index_agrees,
    "every job runs in the end": every_job_runs,
    "an on-off team does not starve a small one": bursts_starve_nobody,
}


@then('shares keep the property "{name}"')
def step_share_property(context, name):
    SHARE_PROPERTIES[name]()


@then('queues keep the property "{name}"')
def step_queue_property(context, name):
    QUEUE_PROPERTIES[name]()


@given("a fleet of {slots:d} slots")
def step_fleet(context, slots):
    context.capacity = Load(float(slots))


@when("teams with weights {weight} ask for {demand} tasks")
def step_ask(context, weight, demand):
    pairs = zip(weight.split(), demand.split(), strict=True)
    rows = [(float(w), float(d), Load(1.0)) for w, d in pairs]
    context.tasks = fair_tasks(claimants(rows), context.capacity)


@then("they get {tasks} tasks")
def step_get(context, tasks):
    found = [round(context.tasks[f"t{n}"], 6) for n in range(len(context.tasks))]
    assert found == [float(one) for one in tasks.split()], found


@given("a fleet of {slots:d} slots, {cores:d} processors and {memory:d} MB")
def step_mixed_fleet(context, slots, cores, memory):
    context.capacity = Load(float(slots), float(cores), float(memory))


@when("one team's tasks take 1 processor and 4 MB, and another's 3 and 1")
def step_mixed(context):
    rows = [(1.0, 99.0, Load(1, 1, 4)), (1.0, 99.0, Load(1, 3, 1))]
    context.tasks = fair_tasks(claimants(rows), context.capacity)


@then("the first gets {first:d} tasks and the second {second:d}")
def step_mixed_get(context, first, second):
    found = round(context.tasks["t0"], 6), round(context.tasks["t1"], 6)
    assert found == (first, second), found


@given("a team with {urgent:d} urgent jobs and an ordinary job that has waited {s:d} s")
def step_lane(context, urgent, s):
    context.queues, context.now_ms = JobQueues(), 1_000_000
    context.queues.add(job(0, "t", at_ms=context.now_ms - s * 1_000))
    for number in range(urgent):
        context.queues.add(job(number + 1, "t", True, context.now_ms))


@when("{picks:d} jobs are picked")
def step_pick(context, picks):
    context.picked = []
    for _ in range(picks):
        found = context.queues.candidates("s", lambda _: ShareStatus(0), context.now_ms)
        one = next(found)
        context.queues.discard(one, started=True)
        context.picked.append(one)


@then("{count:d} of them are ordinary")
def step_ordinary(context, count):
    assert context.picked.count("job-0000") == count, context.picked


@given('team "loud" is above its share and has only urgent jobs')
def step_loud(context):
    context.queues = JobQueues()
    context.queues.add(job(1, "loud", True, 0))


@given('team "calm" is below its share and has ordinary jobs')
def step_calm(context):
    context.queues.add(job(2, "calm", False, 50))


@then('the next job is one of team "calm"')
def step_next_calm(context):
    standings = {"loud": ShareStatus(0.9, False), "calm": ShareStatus(0.1, True)}
    found = next(context.queues.candidates("s", standings.get, 100))
    assert found == "job-0002", found


@then(
    "of {slots:d} slots with jobs of {run:g} s, {rate:g} urgent jobs a second and"
    " {stoppable:d} stoppable jobs, {reserve:d} are held"
)
def step_reserve(context, slots, run, rate, stoppable, reserve):
    found = urgent_reserve(slots, run, rate, stoppable)
    assert found == reserve, found
