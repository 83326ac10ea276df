"""Steps on the acceptance of jobs."""

import logging
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from mulberryledge_testing.batch.demand import site_named
from mulberryledge_testing.batch.play import POOL_POLICY, Day
from mulberryledge_testing.batch.target import TaskTruth
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from mulberryledge_core.batch.commands import PutConfiguration, RunEnd, SubmitJob
from mulberryledge_core.batch.requests import SubmitAsk, Verdict
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, Schedule, StepSpec
from mulberryledge_daemon.batch.history import JobHistory
from mulberryledge_daemon.batch.metrics import BatchMetrics
from mulberryledge_daemon.batch.moves import HostMover
from mulberryledge_daemon.batch.ports import CloudOutcome
from mulberryledge_daemon.batch.service import JobService

WARM_UP_S = 3.0
MOVES_ORDERED_S = 2.5  # the first moves are ordered by then
HOST_DOWN_S = 6.0


class AdmissionFixture:
    """Fault-free fleet with a leader that accepts jobs."""

    def __init__(
        self, limit_cores=0, warm_up_s=WARM_UP_S, prepare_cloud=None, moves=True
    ):
        self.day = Day(site_named("falaj"), 1, POOL_POLICY if moves else None)
        if prepare_cloud is not None:
            prepare_cloud(self.day.fleet.cloud)
        self.day.site = replace(self.day.site, kinds=())
        leader = self.day.leader
        state = leader.state
        if limit_cores:
            old = state.configuration
            teams = tuple(
                replace(team, upper_limit=Size(limit_cores * 1_000))
                for team in old.teams
            )
            new = replace(old, version=2, teams=teams)
            leader.call_later(
                0.5, lambda: leader.cycles.submit(PutConfiguration(new, b""))
            )
        table = self.day.tables[self.day.log.leader]
        self.service = JobService(leader, table.places)
        self.metrics = BatchMetrics(dict)
        self.history = JobHistory(leader, self.metrics)
        self.job_number = 0
        self.duration_ms = 200.0
        self.day.pass_time(warm_up_s)

    @property
    def mover(self):
        """The leader's task that moves hosts."""
        return next(
            callback.__self__
            for callback in self.day.leader.tick_callbacks
            if isinstance(getattr(callback, "__self__", None), HostMover)
        )

    def submit(self, step):
        """Submit a job of one step; return the reply."""
        return self.submit_spec(JobSpec("", (step,)))

    def submit_spec(self, spec):
        """Submit a job; return the reply."""
        self.job_number += 1
        job_id = f"{self.job_number:016x}"
        self.day.truths[job_id] = tuple(
            TaskTruth(step, self.duration_ms) for step in spec.steps
        )
        submitted = SubmitJob(job_id, "plan", "team-0", spec)
        self.day.checker.submitted[job_id] = submitted
        ask = SubmitAsk("example", f"/plan/{job_id}", "key-0", spec)
        replies = []
        answered = ensureDeferred(self.service.answer(ask))
        answered.addCallback(lambda reply: replies.append(reply.unwrap()))
        self.day.pass_time(0.2)
        return replies[0]


@given("a team with an upper limit of {cores:d} cores")
def limited_team(context, cores):
    context.fixture = AdmissionFixture(cores)


@given("an idle fleet")
def idle_fleet(context):
    context.fixture = AdmissionFixture()


@given(
    "a fleet whose surplus hosts are being moved by a cloud that takes {seconds:d}"
    " second"
)
@given(
    "a fleet whose surplus hosts are being moved by a cloud that takes {seconds:d}"
    " seconds"
)
def slow_moves(context, seconds):
    def prepare(cloud):
        move = cloud.move

        async def move_slowly(host, pool, fence):
            await deferLater(cloud.clock, seconds)
            return await move(host, pool, fence)

        cloud.move = move_slowly

    context.fixture = AdmissionFixture(warm_up_s=MOVES_ORDERED_S, prepare_cloud=prepare)
    context.fixture.duration_ms = 3_000.0
    assert context.fixture.mover.calling


@given("a fleet whose cloud {what} the moves of its surplus hosts")
def refused_moves(context, what):
    def prepare(cloud):
        move = cloud.move

        async def refuse(host, pool, fence):
            if cloud.clock.seconds() > MOVES_ORDERED_S:
                return await move(host, pool, fence)
            if what == "throttles":
                return CloudOutcome.THROTTLED
            raise RuntimeError("the call failed")

        cloud.move = refuse

    context.fixture = AdmissionFixture(warm_up_s=MOVES_ORDERED_S, prepare_cloud=prepare)


@given('an idle fleet with fixed pools, and two targets with label "{label}"')
def labelled_targets(context, label):
    context.fixture = AdmissionFixture(moves=False)
    fleet = context.fixture.day.fleet
    targets = [one for one in fleet.targets.values() if one.target.pool == "rounds"]
    context.labelled_targets = targets[:2]
    for process in context.labelled_targets:
        target = process.target
        process.target = replace(target, labels=(label, target.rack))
    context.fixture.day.pass_time(2.0)  # they have announced themselves again


@given("an idle fleet whose cloud lists its hosts incompletely")
def incomplete_lists(context):
    def prepare(cloud):
        list_hosts = cloud.list_hosts

        async def list_first_pages():
            return replace(await list_hosts(), truncated=True)

        cloud.list_hosts = list_first_pages

    context.fixture = AdmissionFixture(prepare_cloud=prepare)


@given("a cloud that carries out moves without an answer for {seconds:d} seconds")
def unanswered_moves(context, seconds):
    context.fixture.duration_ms = 200.0
    cloud = context.fixture.day.fleet.cloud
    move, end_s = cloud.move, cloud.clock.seconds() + seconds

    async def move_unanswered(host, pool, fence):
        outcome = await move(host, pool, fence)
        return outcome if cloud.clock.seconds() > end_s else CloudOutcome.UNKNOWN

    cloud.move = move_unanswered


@when("the pool of a queue loses the hosts that are not being moved, but {count:d}")
def lose_hosts(context, count):
    day, calling = context.fixture.day, context.fixture.mover.calling
    pool = [one for one in day.fleet.cloud.hosts.values() if one.pool == "rounds"]
    staying = [one.host for one in pool if one.host not in calling]
    assert len(staying) < len(pool), "no host of the pool is being moved"
    for host in staying[count:]:
        day.fleet.lose(host)
    day.pass_time(3.0)


@when("all targets of its pool shed all starts for {seconds:d} seconds")
def shed_in_pool(context, seconds):
    day = context.fixture.day
    pool = [one for one in day.fleet.targets.values() if one.target.pool == "rounds"]
    assert pool
    for process in pool:
        process.behaviour.sheds = True
        day.at(float(seconds), setattr, process.behaviour, "sheds", False)


@then("the leader counts the hosts of each pool as the cloud does")
def pools_counted(context):
    day, mover = context.fixture.day, context.fixture.mover
    serving = mover.serving_hosts(day.leader.now())
    counted = {pool: len(serving.get(pool, ())) for pool in day.site.pools}
    listed = Counter(host.pool for host in day.fleet.cloud.hosts.values())
    assert counted == {pool: listed[pool] for pool in day.site.pools}, counted


@then("no host is cordoned or waits for a call")
def no_host_blocked(context):
    mover = context.fixture.mover
    context.fixture.day.pass_time(4.0)
    assert not mover.calling, mover.calling


@given("an idle fleet that loses the next lease renewal")
def lose_next_renewal(context):
    context.fixture = AdmissionFixture()
    context.fixture.duration_ms = 2_000.0
    context.fixture.day.fleet.faults.lost_renewals = 1


@given("an idle fleet whose tasks take {seconds:d} seconds")
def slow_tasks(context, seconds):
    context.fixture = AdmissionFixture()
    context.fixture.duration_ms = 1_000.0 * seconds
    context.log_records = []
    handler = logging.Handler()
    handler.emit = context.log_records.append
    logger = logging.getLogger(JobHistory.__module__)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, handler)


@given("a target that runs {factor:d} times slower")
def slow_target(context, factor):
    fleet = context.fixture.day.fleet
    context.slow_target = next(
        one for one in fleet.targets.values() if one.target.pool == "rounds"
    )
    context.slow_target.behaviour.slow = float(factor)


@then("tasks ran on the slow target")
def ran_on_slow_target(context):
    assert context.slow_target.number, context.slow_target


@given("a pool that always asks for one host more than it has")
def demanding_pool(context):
    fixture = context.fixture
    fixture.day.leader.host_requests.append(lambda: Counter({"depots": 1}))


@when("a target announces that it drains, and an earlier announcement arrives later")
def delayed_announcement(context):
    day = context.fixture.day
    process = next(one for one in day.fleet.targets.values() if one.alive)
    ready, clock_ms = process.target, int(process.now_ms())
    context.draining_target = process
    process.target = replace(ready, draining=True)
    day.leader.record_target(process.target, clock_ms, 5)
    day.pass_time(0.1)
    day.leader.record_target(ready, clock_ms, 4)
    day.pass_time(0.1)


@then("no task was started on the target that drains")
def no_start_while_draining(context):
    process = context.draining_target
    assert process.alive and not process.running and not process.number, process


@when("the target of one of its tasks restarts")
def target_restarts(context):
    fleet = context.fixture.day.fleet
    host = next(host for host, process in fleet.targets.items() if process.running)
    fleet.crash(host, 0.05)


@when("the host of one of its tasks {what}")
def host_fails(context, what):
    day = context.fixture.day
    fleet = day.fleet
    host = next(host for host, process in fleet.targets.items() if process.running)
    context.failed_at_s = day.clock.seconds()
    context.restarts_s = {}
    lost_runs = {task: run.run for task, run in fleet.targets[host].running.items()}
    check_event = day.checker.on_event

    def on_event(event, target, task, run, how):
        if event == "start" and run > lost_runs.get(task, run):
            context.restarts_s[task] = day.clock.seconds() - context.failed_at_s
        check_event(event, target, task, run, how)

    fleet.watch = on_event
    for process in fleet.targets.values():
        process.watch = on_event
    context.lost_runs = lost_runs
    failures = {
        "goes down": lambda: fleet.crash(host, HOST_DOWN_S),
        "is lost": lambda: fleet.lose(host),
        "is cut off": lambda: fleet.faults.cut.add(host),
    }
    failures[what]()


@then("its tasks are restarted {min_s:f} to {max_s:f} seconds later")
def tasks_restarted(context, min_s, max_s):
    day = context.fixture.day
    day.pass_time(max_s)
    assert context.restarts_s.keys() == context.lost_runs.keys(), context.restarts_s
    outside = [
        at_s for at_s in context.restarts_s.values() if not min_s <= at_s <= max_s
    ]
    assert not outside, context.restarts_s
    assert not day.checker.problems, day.checker.problems


@then('the log has a run that ended "{how}", and the end of the job')
def run_end_logged(context, how):
    ends = [
        record for record in context.log_records if record.getMessage() == "run ended"
    ]
    assert ends and {record.how for record in ends} == {how}, ends
    assert not context.fixture.history.run_incarnations, (
        context.fixture.history.run_incarnations
    )
    last = context.log_records[-1]
    assert last.getMessage() == "job ended", last
    assert last.phase == "completed" and last.lost_runs == len(ends), last


@when("{seconds:d} seconds pass on the fleet")
def time_passes(context, seconds):
    context.fixture.day.pass_time(seconds)


@then("every task of it was started once")
def each_started_once(context):
    assert context.fixture.day.checker.starts == context.step.count
    assert not context.fixture.day.fleet.faults.lost_renewals


@then("each pool with a queue has {count:d} hosts")
def pool_sizes_are(context, count):
    day = context.fixture.day
    sizes = Counter(host.pool for host in day.fleet.cloud.hosts.values())
    found = {pool: sizes[pool] for pool in day.site.pools}
    assert set(found.values()) == {count}, found


@given("a leader on which {count:d} tasks are open")
def leader_at_limit(context, count):
    context.fixture = AdmissionFixture()
    context.fixture.service.open_tasks = count
    context.fixture.service.count_open = lambda: None
    callbacks = context.fixture.day.leader.tick_callbacks
    callbacks[:] = [
        callback
        for callback in callbacks
        if getattr(callback, "__name__", "") != "count_open"
    ]


def step_of(tasks, cpu, label, gang=False):
    size = Size(cpu * 1_000, 512)
    return StepSpec(tasks, size, 200, required_label=label, gang=gang)


@when('a job of {tasks:d} tasks of {cpu:d} cores with label "{label}" is submitted')
@when('a job of {tasks:d} tasks of {cpu:d} cores with label "" is submitted')
def submit_job(context, tasks, cpu, label=""):
    if "fixture" not in context:
        context.fixture = AdmissionFixture()
    context.step = step_of(tasks, cpu, label)
    context.reply = context.fixture.submit(context.step)


@when(
    'a job of {tasks:d} tasks of {cpu:d} cores with label "" is submitted whose tasks'
    " take {duration:d} ms"
)
def submit_job_taking(context, tasks, cpu, duration):
    context.fixture.duration_ms = float(duration)
    submit_job(context, tasks, cpu)


@when('a gang of {tasks:d} tasks of {cpu:d} cores with label "" is submitted')
def submit_gang(context, tasks, cpu):
    context.reply = context.fixture.submit(step_of(tasks, cpu, "", gang=True))


@when("jobs are submitted until {count:d} more tasks are open")
def submit_many(context, count):
    context.replies = [
        context.fixture.submit(step_of(100, 1, "")) for _ in range(count // 100)
    ]


def submit_twice(fixture):
    """Submit a job twice before its acceptance is durable; return the replies."""
    fixture.job_number += 1
    job_id = f"{fixture.job_number:016x}"
    step = step_of(100, 1, "")
    fixture.day.truths[job_id] = (TaskTruth(step, fixture.duration_ms),)
    spec = JobSpec("", (step,))
    fixture.day.checker.submitted[job_id] = SubmitJob(job_id, "plan", "team-0", spec)
    replies = []
    for _ in range(2):
        ask = SubmitAsk("example", f"/plan/{job_id}", "key-0", spec)
        answered = ensureDeferred(fixture.service.answer(ask))
        answered.addCallback(lambda reply: replies.append(reply.unwrap()))
    return replies


@when("a job of 100 tasks is submitted twice before its acceptance is durable")
def submit_twice_normally(context):
    context.replies = submit_twice(context.fixture)
    assert not context.replies
    context.fixture.day.pass_time(0.2)


@when("a job of 100 tasks is submitted twice and the leader is deposed meanwhile")
def submit_twice_deposed(context):
    context.fixture.service.open_tasks = 199_950
    context.replies = submit_twice(context.fixture)
    context.fixture.day.pass_time(0.005)
    context.fixture.day.leader.step_down()
    context.fixture.day.pass_time(0.2)


@then("both are told that it is accepted, and it is one job")
def both_accepted(context):
    assert [one.verdict for one in context.replies] == [Verdict.OK] * 2
    jobs = context.fixture.day.log.machine.state.jobs
    assert list(jobs) == [f"{context.fixture.job_number:016x}"], list(jobs)


@then("neither is told that it has not run")
def neither_refused(context):
    assert [one.verdict for one in context.replies] == [Verdict.UNKNOWN] * 2, (
        context.replies
    )


@when(
    "a job of {tasks:d} tasks is submitted that runs {count:d} times, all of them due"
)
def submit_schedule(context, tasks, count):
    step = step_of(tasks, 1, "")
    spec = JobSpec("", (step,), Schedule(0, 0, count))
    context.fixture.submit_spec(spec)
    context.scheduled_job = f"{context.fixture.job_number:016x}"


@then("it has at most {count:d} open tasks, and more than one occurrence")
def open_tasks_bounded(context, count):
    job = context.fixture.day.log.machine.state.jobs[context.scheduled_job]
    tasks = sum(len(one.steps[0].tasks) for one in job.occurrences.values())
    assert len(job.occurrences) > 1 and tasks <= count, (len(job.occurrences), tasks)


@then("it is accepted")
def accepted(context):
    assert context.reply.verdict == Verdict.OK, context.reply


@then("it is refused")
def refused(context):
    assert context.reply.verdict == Verdict.REFUSED, context.reply
    assert context.reply.retry_after_ms >= 1_000, context.reply
    assert context.reply.reason


@then("its tasks run one after the other")
def tasks_run_sequentially(context):
    running_counts = []
    check_event = context.fixture.day.checker.on_event
    running = set()

    def on_event(what, target, task, run, how):
        if what == "start":
            running.add(task)
            running_counts.append(len(running))
        elif what == "end":
            running.discard(task)
            assert how == RunEnd.DONE, how
        check_event(what, target, task, run, how)

    for process in context.fixture.day.fleet.targets.values():
        for task, run in process.running.items():
            running.add(task)
            assert run.run == 1
        process.watch = on_event
    assert len(running) <= 1, running
    context.fixture.day.pass_time(2.0)
    assert set(running_counts) <= {1}, running_counts
    assert not context.fixture.day.checker.problems, (
        context.fixture.day.checker.problems
    )
    job = context.fixture.day.log.machine.state.jobs[
        f"{context.fixture.job_number:016x}"
    ]
    assert job.phase == "completed", job.phase


@then(
    "those above the limit are refused, with a retry delay of {min_s:d} to {max_s:d}"
    " seconds"
)
def refused_after(context, min_s, max_s):
    verdicts = [reply.verdict for reply in context.replies]
    assert verdicts == [Verdict.REFUSED] * len(verdicts), verdicts
    waits = [reply.retry_after_ms / 1_000 for reply in context.replies]
    assert all(min_s <= wait <= max_s for wait in waits), waits
    assert len(set(waits)) > 1, waits
