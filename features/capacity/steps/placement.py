"""Steps on placement, sizes, quarantine, pools, retention and reclaims."""

from collections import Counter

from behave import given, then, when
from result import Ok

from mulberryledge_core.commands.work import ForgetWork
from mulberryledge_core.decisions.loads import Load
from mulberryledge_core.decisions.placement import (
    HostCandidate,
    JobRequirements,
    Spread,
    choose_host,
    host_capacity,
    unplaceable_reason,
)
from mulberryledge_core.decisions.pools import (
    Burst,
    DemandTrend,
    LossScenario,
    PoolView,
    Weights,
    buffer_size,
    observe_demand,
    plan_moves,
    serve_burst,
)
from mulberryledge_core.decisions.preemption import (
    FairShare,
    Order,
    RunningJob,
    ServiceCapacity,
    due_demands,
    plan_reclaims,
)
from mulberryledge_core.decisions.quarantine import (
    Quarantine,
    WorkerHistory,
    after_trial,
    may_start_trial,
    workers_to_quarantine,
)
from mulberryledge_core.decisions.queues import QueueDemand
from mulberryledge_core.decisions.retention import removal_limits
from mulberryledge_core.decisions.sizes import (
    SizeEstimate,
    corrected_size,
    observe_size,
)
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import (
    Job,
    JobPhase,
    Reservation,
    ReservationPhase,
)
from mulberryledge_core.state import ClusterState, Context, apply

NOW_MS = 100_000_000


@given("hosts")
def step_hosts(context):
    context.rooms, context.resources = [], []
    for row in context.table:
        resources = Resources(
            float(row["processors"]), 65_536, int(row["accelerators"])
        )
        context.resources.append(resources)
        used = Load(float(row["jobs"]), float(row["used"]), 256 * float(row["jobs"]))
        room = HostCandidate(
            row["host"],
            row["zone"],
            row["rack"],
            host_capacity(resources),
            used,
            int(row["unseen"]),
            row["borrowed"] == "yes",
        )
        context.rooms.append(room)


@when(
    "a job of {cores:g} processors and {devices:d} accelerators, measured"
    ' "{seen}", comes to a team with jobs in "{zones}"'
)
def step_place(context, cores, devices, seen, zones):
    need = JobRequirements(
        Load(1, cores, 256, devices), Load(1, cores, 256, devices), seen == "yes"
    )
    spread = Spread(Counter(zones.split()), Counter())
    context.chosen = choose_host(context.rooms, need, spread)


@when(
    "a job of {cores:g} processors and {devices:d} accelerators, measured"
    ' "{seen}", comes to a team with jobs in ""'
)
def step_place_first(context, cores, devices, seen):
    step_place(context, cores, devices, seen, "")


@then('it goes to "{host}"')
def step_goes(context, host):
    assert isinstance(context.chosen, Ok), context.chosen
    assert context.chosen.ok_value.host == host, context.chosen


@then('a job of {cores:g} processors is refused with "{text}"')
def step_never(context, cores, text):
    why = unplaceable_reason(Load(1, cores, 256), context.resources)
    assert why is not None and why.startswith(text), why


@given("a job declared with {cores:g} processors")
def step_declared(context, cores):
    context.declared = Resources(cores, 256)


@when("its use of {cores:g} processors is reported {times:d} times")
def step_reported(context, cores, times):
    context.estimate = SizeEstimate()
    for _ in range(times):
        context.estimate = observe_size(context.estimate, Resources(cores, 256))


@then("its size is between {least:g} and {most:g} processors")
def step_size(context, least, most):
    size = corrected_size(context.declared, context.estimate, Resources(64.0, 65_536))
    assert least <= size.processors <= most, size


@given(
    "8 workers that each ended 10 jobs, of which {failed:d} failed on the first and"
    " {others:d} on each other"
)
def step_workers(context, failed, others):
    context.history, context.failed_jobs = WorkerHistory(), []
    for worker in range(8):
        for number in range(10):
            bad = number < (failed if worker == 0 else others)
            job_id = f"w{worker}-{number}"
            context.history.record(f"w{worker}", job_id, bad)
            if bad:
                context.failed_jobs.append((worker, job_id))


@given("each failed job was completed elsewhere")
def step_completed(context):
    for worker, job_id in context.failed_jobs:
        context.history.record(f"w{(worker + 1) % 8}", job_id, False)


@given("each failed job failed everywhere")
def step_everywhere(context):
    for worker, job_id in context.failed_jobs:
        for other in (1, 2):
            context.history.record(f"w{(worker + other) % 8}", job_id, True)


@then("{count:d} workers are quarantined")
def step_quarantined(context, count):
    rates = [context.history.rate(f"w{number}") for number in range(8)]
    found = workers_to_quarantine(rates, {})
    assert len(found) == count, found


@given("a worker in quarantine since 0 s")
def step_in_quarantine(context):
    context.quarantine = Quarantine("w0", 10.0)


@then("it may not be tried at {s:d} s")
def step_not_tried(context, s):
    assert not may_start_trial(context.quarantine, s), context.quarantine


@then("it may be tried at {s:d} s")
def step_tried(context, s):
    assert may_start_trial(context.quarantine, s), context.quarantine


@when("its trial {outcome} at {s:d} s")
def step_trial(context, outcome, s):
    failed = outcome == "fails"
    context.outcome, context.quarantine = after_trial(context.quarantine, failed, s)


@then("it is released")
def step_released(context):
    assert context.outcome == "released", context.outcome


@when(
    "{missing:d} slots are missing for {lasts:d} s, {lendable:d} can be lent and"
    " {hosts:d} hosts moved in {move:d} s, at {price:d} a move"
)
def step_burst(context, missing, lasts, lendable, hosts, move, price):
    burst = Burst(missing, lasts, lendable, hosts, 8, move)
    context.choice = serve_burst(burst, Weights(moves=price))


@then('the burst is served by "{option}"')
def step_option(context, option):
    assert context.choice.option == option, context.choice


@then(
    "with {promised:d} promised hosts in a zone's loss and a host price of {price:g},"
    " the buffer holds {hosts:d} hosts"
)
def step_buffer(context, promised, price, hosts):
    zone = LossScenario("zone", 8, 0.33, 1.0, promised)
    found = buffer_size([zone], 8, Weights(buffer=price))
    assert found.hosts == hosts, found


def pool(name, mean, since=1_000.0, hosts=8, spare=False):
    names = tuple(f"{name}-{number}" for number in range(hosts))
    trend = DemandTrend(mean, mean, 1.0, 1.0)
    return PoolView(name, spare, names, hosts, 1, 8, trend, 2_000.0 - since)


@given(
    "a pool of 8 hosts with a mean demand of {mean:d} slots, changed {since:d} s ago"
)
def step_pool(context, mean, since):
    context.pools = [pool("busy", mean, since)]


@given("an idle pool, and a spare pool of {hosts:d} hosts for a buffer of 1")
def step_other_pools(context, hosts):
    context.pools += [pool("idle", 4), pool("spare", 0, hosts=hosts, spare=True)]


@then('{count:d} hosts move, from "{giver}"')
def step_moves(context, count, giver):
    moves = plan_moves(context.pools, 1, 2_000.0, Weights())
    assert [move.from_pool for move in moves] == [giver] * count, moves


@then('0 hosts move, from ""')
def step_no_moves(context):
    assert plan_moves(context.pools, 1, 2_000.0, Weights()) == ()


@given("a pool with a mean demand of {mean:d} slots over an hour")
def step_trend(context, mean):
    context.trend = DemandTrend()
    for second in range(3_600):
        context.trend = observe_demand(context.trend, mean, second + 1.0)


@when("it asks for {slots:d} slots for {s:d} s")
def step_burst_demand(context, slots, s):
    for second in range(s):
        context.trend = observe_demand(context.trend, slots, 3_601.0 + second)


@then("its mean demand is below {mean:d} slots")
def step_mean(context, mean):
    assert context.trend.mean < mean, context.trend


@given("{count:d} jobs that ended {age:d} s ago with results of {size:d} kB each")
def step_ended(context, count, age, size):
    result = bytes(size * 1_024)
    context.limits = removal_limits(
        [
            Job(
                f"job-{number}",
                "s",
                "t",
                b"",
                phase=JobPhase.DONE,
                ended_ms=NOW_MS - age * 1_000 + number,
                result=result,
            )
            for number in range(count)
        ],
        [],
        NOW_MS,
    )
    context.newest_ms = NOW_MS - age * 1_000 + count - 1


@then('"{what}" is forgotten')
def step_forgotten(context, what):
    limits = context.limits
    if what == "nothing":
        assert limits is None, limits
    elif what == "jobs":
        assert limits.before_ms > context.newest_ms, limits
    else:
        assert limits.before_ms < context.newest_ms >= limits.results_before_ms, limits
        assert limits.results_before_ms > limits.before_ms, limits


@given("a {kind} that must not be repeated and ended {age:d} s ago")
def step_once(context, kind, age):
    context.state = ClusterState()
    at_ms = NOW_MS - age * 1_000
    if kind == "job":
        context.state.jobs["once"] = Job(
            "once", "s", "t", b"", repeatable=False, phase=JobPhase.DONE, ended_ms=at_ms
        )
    else:
        context.state.reservations["once"] = Reservation(
            "once", "t", "s", b"", "e", "e", ReservationPhase.ANSWERED, None, at_ms
        )


@when("what is over is forgotten")
def step_forget(context):
    state = context.state
    limits = removal_limits(state.jobs.values(), state.reservations.values(), NOW_MS)
    if limits is not None:
        command = ForgetWork(
            limits.before_ms, limits.results_before_ms, limits.once_before_ms
        )
        apply(state, command, Context(1, NOW_MS))


@then("its record of the {kind} is {fate}")
def step_fate(context, kind, fate):
    table = context.state.jobs if kind == "job" else context.state.reservations
    assert ("once" in table) == (fate == "kept"), table


@given(
    'team "over" runs 10 of a fair 5, and team "under" runs 0 and has 5 jobs waiting'
    " for {waited:d} ms"
)
def step_over(context, waited):
    context.demands = [QueueDemand("s", "under", 5, oldest_ms=waited)]
    context.shares = {
        "over": FairShare("over", 5, 0.5),
        "under": FairShare("under", 5, 0.5),
    }


@given(
    'the running jobs allow "{orders}", were stopped {stops:d} times and wait since'
    " {age:d} s"
)
def step_allow(context, orders, stops, age):
    context.running = [
        RunningJob(
            f"job-{number}",
            1,
            "s",
            "over",
            tuple(Order(one) for one in orders.split()),
            ran_ms=1_000,
            waited_ms=age * 1_000,
            stops=stops,
        )
        for number in range(10)
    ]


@given(
    'the running jobs allow "", were stopped {stops:d} times and wait since {age:d} s'
)
def step_allow_nothing(context, stops, age):
    step_allow(context, "", stops, age)


@then('{count:d} jobs are asked to "{order}"')
def step_asked(context, count, order):
    rooms, tasks = [ServiceCapacity("s", 0)], {"over": 10}
    due = due_demands(rooms, context.demands, tasks, context.shares)
    found = plan_reclaims(rooms, due, context.running, tasks, context.shares)
    assert [one.order for one in found] == [order] * count, found


@then('0 jobs are asked to ""')
def step_asked_nothing(context):
    step_asked(context, 0, "")


@given('team "urgent" runs {runs:d} of a fair 5 and has an urgent job waiting')
def step_urgent_waits(context, runs):
    context.counts = {"urgent": runs}
    context.demands = [QueueDemand("s", "urgent", 1, 1, 1_000, 1_000)]


@given('team "over" runs {over:d} of a fair 5')
def step_over_runs(context, over):
    context.counts["over"] = over


@then('a job of team "{victim}" is asked to stop')
def step_victim(context, victim):
    shares = {team: FairShare(team, 5, 0.5) for team in context.counts}
    running = [
        RunningJob(f"{team}-{number}", 1, "s", team, (Order.STOP,))
        for team, count in context.counts.items()
        for number in range(count)
    ]
    rooms = [ServiceCapacity("s", 0)]
    due = due_demands(rooms, context.demands, context.counts, shares)
    found = plan_reclaims(rooms, due, running, context.counts, shares)
    assert [one.job_id.split("-")[0] for one in found] == [victim], found
