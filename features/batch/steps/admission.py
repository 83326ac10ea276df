"""Steps on which jobs are accepted."""

import logging
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from mulberryledge_testing.batch.demand import site_named
from mulberryledge_testing.batch.play import Day
from mulberryledge_testing.batch.target import TaskTruth
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import PutConfiguration, RunEnd, SubmitJob
from mulberryledge_core.batch.requests import SubmitAsk, Verdict
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_daemon.batch.history import JobHistory
from mulberryledge_daemon.batch.metrics import BatchMetrics
from mulberryledge_daemon.batch.service import JobService

WARM_UP_S = 3.0
DARK_S = 6.0


class Desk:
    """A calm fleet with a leader that takes jobs."""

    def __init__(self, limit=0):
        self.day = Day(site_named("falaj"), 1)
        self.day.site = replace(self.day.site, kinds=())
        leader = self.day.leader
        state = leader.state
        if limit:
            old = state.configuration
            teams = tuple(
                replace(team, upper_limit=Size(limit * 1_000)) for team in old.teams
            )
            new = replace(old, version=2, teams=teams)
            leader.call_later(
                0.5, lambda: leader.cycles.submit(PutConfiguration(new, b""))
            )
        table = self.day.tables[self.day.log.leader]
        self.service = JobService(leader, table.places)
        self.metrics = BatchMetrics(dict)
        self.history = JobHistory(leader, self.metrics)
        self.number = 0
        self.duration_ms = 200.0
        self.day.pass_time(WARM_UP_S)

    def hand_in(self, step):
        """Hand a job of one step in; return the reply."""
        self.number += 1
        job_id = f"{self.number:016x}"
        self.day.truths[job_id] = (TaskTruth(step, self.duration_ms),)
        submitted = SubmitJob(job_id, "plan", "team-0", JobSpec("", (step,)))
        self.day.witness.submitted[job_id] = submitted
        ask = SubmitAsk("example", f"/plan/{job_id}", "key-0", JobSpec("", (step,)))
        replies = []
        answered = ensureDeferred(self.service.answer(ask))
        answered.addCallback(lambda reply: replies.append(reply.unwrap()))
        self.day.pass_time(0.2)
        return replies[0]


@given("a team with an upper limit of {cores:d} cores")
def limited(context, cores):
    context.desk = Desk(cores)


@given("an idle fleet")
def idle(context):
    context.desk = Desk()


@given("an idle fleet on which the next renewal of a lease is lost")
def losing(context):
    context.desk = Desk()
    context.desk.duration_ms = 2_000.0
    context.desk.day.fleet.faults.lost_renewals = 1


@given("an idle fleet whose tasks take {seconds:d} seconds")
def slow_tasks(context, seconds):
    context.desk = Desk()
    context.desk.duration_ms = 1_000.0 * seconds
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger(JobHistory.__module__)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, handler)


@when("the target of one of its tasks starts again")
def starts_again(context):
    fleet = context.desk.day.fleet
    host = next(host for host, life in fleet.targets.items() if life.running)
    fleet.crash(host, 0.05)


@when("the host of one of its tasks {what}")
def host_hurt(context, what):
    day = context.desk.day
    fleet = day.fleet
    host = next(host for host, life in fleet.targets.items() if life.running)
    context.hurt_s = day.clock.seconds()
    context.restarts_s = {}
    lost = {task: run.run for task, run in fleet.targets[host].running.items()}
    watch = day.witness.on_event

    def on_event(event, target, task, run, how):
        if event == "start" and run > lost.get(task, run):
            context.restarts_s[task] = day.clock.seconds() - context.hurt_s
        watch(event, target, task, run, how)

    fleet.watch = on_event
    for life in fleet.targets.values():
        life.watch = on_event
    context.lost = lost
    hurt = {
        "goes down": lambda: fleet.crash(host, DARK_S),
        "is lost": lambda: fleet.lose(host),
        "is cut off": lambda: fleet.faults.cut.add(host),
    }
    hurt[what]()


@then("its tasks are started again {least:f} to {most:f} seconds after")
def started_again(context, least, most):
    day = context.desk.day
    day.pass_time(most)
    assert context.restarts_s.keys() == context.lost.keys(), context.restarts_s
    early = [one for one in context.restarts_s.values() if not least <= one <= most]
    assert not early, context.restarts_s
    assert not day.witness.problems, day.witness.problems


@then('the log tells of a run that ended "{how}", and of the end of the job')
def told(context, how):
    ends = [line for line in context.lines if line.getMessage() == "run ended"]
    assert ends and {line.how for line in ends} == {how}, ends
    assert not context.desk.history.run_incarnations, (
        context.desk.history.run_incarnations
    )
    last = context.lines[-1]
    assert last.getMessage() == "job ended", last
    assert last.phase == "completed" and last.lost_runs == len(ends), last


@when("{seconds:d} seconds pass on the fleet")
def time_passes(context, seconds):
    context.desk.day.pass_time(seconds)


@then("every task of it was started once")
def each_once(context):
    assert context.desk.day.witness.starts == context.step.count
    assert not context.desk.day.fleet.faults.lost_renewals


@then("each pool with a queue has {count:d} hosts")
def hosts_of_pools(context, count):
    day = context.desk.day
    sizes = Counter(host.pool for host in day.fleet.cloud.hosts.values())
    found = {pool: sizes[pool] for pool in day.site.pools}
    assert set(found.values()) == {count}, found


@given("a leader on which {count:d} tasks are open")
def flooded(context, count):
    context.desk = Desk()
    context.desk.service.open_tasks = count
    context.desk.service.count_open = lambda: None
    followers = context.desk.day.leader.tick_callbacks
    followers[:] = [
        one for one in followers if getattr(one, "__name__", "") != "count_open"
    ]


def step_of(tasks, cpu, label, gang=False):
    size = Size(cpu * 1_000, 512)
    return StepSpec(tasks, size, 200, required_label=label, gang=gang)


@when('a job of {tasks:d} tasks of {cpu:d} cores with label "{label}" is handed in')
@when('a job of {tasks:d} tasks of {cpu:d} cores with label "" is handed in')
def hand_in(context, tasks, cpu, label=""):
    if "desk" not in context:
        context.desk = Desk()
    context.step = step_of(tasks, cpu, label)
    context.reply = context.desk.hand_in(context.step)


@when('a gang of {tasks:d} tasks of {cpu:d} cores with label "" is handed in')
def hand_gang_in(context, tasks, cpu):
    context.reply = context.desk.hand_in(step_of(tasks, cpu, "", gang=True))


@when("jobs are handed in until {count:d} more tasks are open")
def hand_many_in(context, count):
    context.replies = [
        context.desk.hand_in(step_of(100, 1, "")) for _ in range(count // 100)
    ]


@then("it is accepted")
def accepted(context):
    assert context.reply.verdict == Verdict.OK, context.reply


@then("it is refused")
def refused(context):
    assert context.reply.verdict == Verdict.REFUSED, context.reply
    assert context.reply.retry_after_ms >= 1_000, context.reply
    assert context.reply.reason


@then("its tasks run one after the other")
def one_by_one(context):
    seen = []
    watch = context.desk.day.witness.on_event
    running = set()

    def on_event(what, target, task, run, how):
        if what == "start":
            running.add(task)
            seen.append(len(running))
        elif what == "end":
            running.discard(task)
            assert how == RunEnd.DONE, how
        return watch

    for life in context.desk.day.fleet.targets.values():
        for task, run in life.running.items():
            running.add(task)
            assert run.run == 1
        life.watch = on_event
    assert len(running) <= 1, running
    context.desk.day.pass_time(2.0)
    assert set(seen) <= {1}, seen
    job = context.desk.day.log.machine.state.jobs[f"{context.desk.number:016x}"]
    assert job.phase == "completed", job.phase


@then("those after the bound are refused, with {least:d} to {most:d} seconds to wait")
def refused_after(context, least, most):
    verdicts = [reply.verdict for reply in context.replies]
    assert verdicts == [Verdict.REFUSED] * len(verdicts), verdicts
    waits = [reply.retry_after_ms / 1_000 for reply in context.replies]
    assert all(least <= wait <= most for wait in waits), waits
    assert len(set(waits)) > 1, waits
