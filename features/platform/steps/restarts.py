"""Steps on targets that start again while orders for their former process are due."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial

from behave import given, then, when
from mulberryledge_testing.batch.demand import site_named
from mulberryledge_testing.batch.plans import Plan
from mulberryledge_testing.batch.play import DAEMONS, Day
from mulberryledge_testing.batch.target import TaskTruth
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from mulberryledge_core.batch.commands import SubmitJob
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_daemon.batch.host_losses import LossDetector
from mulberryledge_daemon.batch.ports import HostState
from mulberryledge_platform_testing.virtual_targets import (
    VirtualTargets,
    simulate_connected,
)

QUEUE = "plan"
WORKERS = 3
DAY_S = 18.0
SITES, SEEDS = ("falaj", "yayla"), (1, 2)
RESTARTS_S, TROUBLES_S = (3.5, 6.5, 9.5), (4.3, 10.2)
LATE_ORDERS_S = (3.5, 10.2)
WARM_UP_S = 8.0  # the clocks are ahead of those of processes that start later
CHANGE_S = 0.1  # until a leader that has ordered starts is replaced
LEASE_LOST_S = 0.2
STILL_S = 1.0
MAX_FORGET_S, MAX_BEGIN_S = 2.0, 6.0
STEP_S = 0.001
LATE_LIST_S = 1.5  # the target has missed calls by then
END_MS = 20


class RestartFixture:
    """A target, on which all runs start at first, and another one of its pool."""

    def __init__(self):
        self.day = day = Day(replace(site_named("falaj"), hosts=2), 1, None)
        day.site = replace(day.site, kinds=())
        self.targets = VirtualTargets(day)
        self.jobs = []
        day.pass_time(WARM_UP_S)
        queue = day.leader.state.configuration.queues_by_name[QUEUE]
        hosts = [
            host
            for host, process in day.fleet.targets.items()
            if process.target.pool == queue.pool
        ]
        self.host, self.other_host = hosts
        self.cordons = {
            name: scheduler.cordon() for name, scheduler in day.schedulers.items()
        }
        for name in day.schedulers:
            self.reserve(name)

    def reserve(self, name):
        """Let a daemon start all runs on the first target."""
        self.cordons[name].add(self.other_host)

    def release(self):
        """Let the leader start runs on both targets."""
        for cordon in self.cordons.values():
            cordon.clear()

    def submit(self, count, duration_ms):
        """Submit a job, whose tasks are ordered at once."""
        job_id = f"{len(self.jobs) + 1:016x}"
        self.jobs.append(job_id)
        step = StepSpec(count, Size(1_000, 512), int(duration_ms))
        self.day.truths[job_id] = (TaskTruth(step, duration_ms),)
        change = SubmitJob(job_id, QUEUE, "team-0", JobSpec("", (step,)))
        self.day.checker.submitted[job_id] = change
        self.day.leader.cycles.submit(change)

    def pass_until(self, holds, max_s):
        """Let time pass until a condition holds; return whether it does."""
        end_s = self.day.clock.seconds() + max_s
        while not holds() and self.day.clock.seconds() < end_s:
            self.day.pass_time(STEP_S)
        return holds()

    def lease_end_ms(self, process):
        """Return when the lease of a process ends, on the leader's clock."""
        return 1_000 * process.started_s + process.lease_ms / process.rate


def is_replaced(fixture):
    fixture.day.log.elect(DAEMONS[1])


def is_killed(fixture):
    fixture.targets.daemons[DAEMONS[0]].lost = True
    fixture.day.log.elect(DAEMONS[1])


def loses_lease(fixture):
    day = fixture.day
    day.log.frozen.add(day.log.leader)
    day.pass_time(LEASE_LOST_S)
    day.log.frozen.clear()


def stands_still(fixture):
    """Stop the leader's process for a while, in which another daemon is elected."""
    daemon = fixture.targets.daemons[DAEMONS[0]]
    daemon.pause()
    fixture.day.log.elect(DAEMONS[1])
    fixture.day.pass_time(STILL_S)
    daemon.resume()


SILENT_ENDS = {"resets them": False, "leaves them open": True}
CHANGES = {
    "stays": lambda fixture: None,
    "is replaced": is_replaced,
    "is killed": is_killed,
    "loses and regains its lease": loses_lease,
    "stands still and is replaced": stands_still,
}


@given("a target and another one, behind connections")
def two_targets(context):
    context.fixture = RestartFixture()


@given("the leader has read {count:d} ends of the target")
def ends_read(context, count):
    fixture = context.fixture
    if not count:
        return
    fixture.submit(count, END_MS)
    fixture.day.pass_time(1.0)
    process = fixture.day.fleet.targets[fixture.host]
    assert process.number == count and not process.ended, process.number


@when("the target starts again and {connections}")
def starts_again(context, connections):
    fixture = context.fixture
    fixture.targets.silent_ends = SILENT_ENDS[connections]
    fixture.former = fixture.day.fleet.targets[fixture.host]
    fixture.restarted_ms = fixture.day.log.now()
    fixture.next = fixture.targets.restart(fixture.host)


@when(
    "{count:d} tasks of {duration_ms:d} ms are ordered on it, and the leader {change}"
)
def tasks_ordered(context, count, duration_ms, change):
    fixture = context.fixture
    fixture.submit(count, float(duration_ms))
    fixture.day.pass_time(CHANGE_S)
    fixture.release()
    CHANGES[change](fixture)


@when(
    "{count:d} tasks of {duration_ms:d} ms are ordered on it, and once some ends are"
    " forgotten the leader {change}"
)
def tasks_end(context, count, duration_ms, change):
    fixture, process = context.fixture, context.fixture.next
    fixture.submit(count, float(duration_ms))
    fixture.pass_until(lambda: len(process.ended) < process.number, MAX_FORGET_S)
    fixture.release()
    CHANGES[change](fixture)


@when(
    "a start and a renewal are due for the former process, the next one {refuses}, and"
    " the leader {change}"
)
def renewal_due(context, refuses, change):
    fixture = context.fixture
    fixture.next.behaviour.sheds = refuses == "is busy"
    fixture.next.behaviour.full = refuses == "has no room"
    fixture.submit(1, 20_000.0)
    fixture.day.pass_time(CHANGE_S)
    CHANGES[change](fixture)


@when("the next process reports itself after {seconds:f} seconds")
def reports_itself(context, seconds):
    fixture = context.fixture
    fixture.day.pass_time(seconds)
    fixture.targets.report(fixture.host)


@when(
    "the next process reports itself, begins a task of {duration_ms:d} ms, and is cut"
    " off"
)
def begins_and_is_cut_off(context, duration_ms):
    fixture = context.fixture
    day, process = fixture.day, fixture.next
    process.behaviour.sheds = process.behaviour.full = False
    assert fixture.pass_until(lambda: day.leader.term is not None, MAX_BEGIN_S)
    fixture.reserve(day.log.leader)
    fixture.targets.report(fixture.host)
    assert fixture.pass_until(lambda: process.running, MAX_BEGIN_S)
    day.fleet.faults.cut.add(fixture.host)
    fixture.release()


@when(
    "the next process reports itself and begins {count:d} tasks of {duration_ms:d} ms,"
    " and the leader {change}"
)
def begins_tasks(context, count, duration_ms, change):
    fixture = context.fixture
    fixture.reserve(fixture.day.log.leader)
    fixture.targets.report(fixture.host)
    fixture.submit(count, float(duration_ms))
    assert fixture.pass_until(lambda: len(fixture.next.running) >= count, MAX_BEGIN_S)
    fixture.release()
    CHANGES[change](fixture)


@when("{message} arrives, and the target is cut off for {seconds:d} seconds")
def message_arrives(context, message, seconds):
    fixture = context.fixture
    day, former = fixture.day, fixture.former
    assert fixture.pass_until(lambda: day.leader.term is not None, MAX_BEGIN_S)
    day.fleet.faults.cut.add(fixture.host)
    MESSAGES[message](fixture, former.target, int(former.now_ms()))
    day.pass_time(seconds)
    day.fleet.faults.cut.discard(fixture.host)


def report_again(fixture, target, clock_ms):
    fixture.day.on_announcement(target, clock_ms)


def report_draining(fixture, target, clock_ms):
    fixture.day.on_announcement(replace(target, draining=True), clock_ms)


def report_without_start(fixture, target, clock_ms):
    fixture.day.on_announcement(replace(target, started_ms=0), clock_ms)


def leave_again(fixture, target, clock_ms):
    fixture.day.leader.record_leave(target.name, target.started_ms)


def leave_without_start(fixture, target, clock_ms):
    fixture.day.leader.record_leave(target.name)


def list_as_before(fixture, target, clock_ms):
    """Answer late a list that was asked for while the host was down."""
    detector = next(
        callback.__self__
        for callback in fixture.day.leader.tick_callbacks
        if isinstance(getattr(callback, "__self__", None), LossDetector)
    )
    cloud = fixture.day.fleet.cloud
    usual = cloud.list_hosts
    row = cloud.hosts[fixture.host]

    async def list_late():
        row.state = HostState.DOWN
        view = await usual()
        row.state = HostState.UP
        cloud.list_hosts = usual
        await deferLater(fixture.day.clock, LATE_LIST_S)
        return view

    cloud.list_hosts = list_late
    detector.querying = True
    ensureDeferred(detector.query(fixture.restarted_ms))


MESSAGES = {
    "a report of the former process": report_again,
    "a draining report of the former process": report_draining,
    "a report without a start": report_without_start,
    "a leave of the former process": leave_again,
    "a leave without a start": leave_without_start,
    "a list of hosts as it was before": list_as_before,
}


@then("the next process is still recorded")
def still_recorded(context):
    fixture = context.fixture
    targets = fixture.day.log.machine.state.targets
    assert fixture.next.target.incarnation in targets, sorted(targets)


@then("its lease has ended when the leader expected it")
def lease_as_expected(context):
    fixture = context.fixture
    session = fixture.day.leader.sessions[fixture.next.target.incarnation]
    lease_end_ms = fixture.lease_end_ms(fixture.next)
    assert lease_end_ms <= session.lease_end_ms, (lease_end_ms, session.lease_end_ms)


@then("no task runs twice or again, and the job ends within {seconds:d} seconds")
def held_and_ended(context, seconds):
    held(context, seconds)
    jobs = context.fixture.day.log.machine.state.jobs
    assert all(jobs[job_id].ended for job_id in context.fixture.jobs)


@then("no task runs twice or again within {seconds:d} seconds")
def held(context, seconds):
    fixture = context.fixture
    fixture.day.pass_time(seconds)
    problems = fixture.day.checker.problems
    assert not problems, problems


@when("days with restarts and cuts beside {trouble} are simulated over connections")
def simulate_days(context, trouble):
    faults = [("restarts and cuts", at_s) for at_s in RESTARTS_S]
    faults += [(trouble, at_s) for at_s in TROUBLES_S]
    plans = [Plan(site, seed, DAY_S, tuple(faults)) for site in SITES for seed in SEEDS]
    with ProcessPoolExecutor(WORKERS) as pool:
        context.outcomes = list(pool.map(simulate_connected, plans))


@when("days on which the next process executes late orders are simulated")
def simulate_late_days(context):
    faults = tuple(("late orders and restarts", at_s) for at_s in LATE_ORDERS_S)
    plans = [Plan(site, seed, DAY_S, faults) for site in SITES for seed in SEEDS]
    simulate_late = partial(simulate_connected, late_at_next=True)
    with ProcessPoolExecutor(WORKERS) as pool:
        context.outcomes = list(pool.map(simulate_late, plans))


@then("no invariant is violated on these days, and every job ends")
def days_held(context):
    found = [
        (outcome.plan, outcome.problems[:3], outcome.unfinished[:3])
        for outcome in context.outcomes
        if outcome.problems or outcome.unfinished
    ]
    assert not found, found
