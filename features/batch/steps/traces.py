"""Steps on what the leader logs about targets that were given up."""

import logging

from behave import given, then

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_daemon.batch import sessions
from mulberryledge_daemon.batch.ports import StartOrder

TASK_S = 2.0
CORES = Size(4_000, 64)
DEADLINE_MS = 600
DOWN_S = 0.6
SETTLE_S = 2.0


@given("an idle fleet whose sessions are logged")
def logged_sessions(context):
    context.execute_steps("Given an idle fleet")
    context.fixture.duration_ms = TASK_S * 1_000
    context.session_records = []
    handler = logging.Handler()
    handler.emit = context.session_records.append
    sessions.logger.addHandler(handler)
    sessions.logger.setLevel(logging.INFO)
    context.add_cleanup(sessions.logger.removeHandler, handler)


def record_of(context, message):
    """Return the only log record with a message about the target."""
    incarnation = context.process.target.incarnation
    records = [
        record
        for record in context.session_records
        if record.getMessage() == message and record.target == incarnation
    ]
    assert len(records) == 1, records
    return records[0]


def busy_process(context):
    """Return a process with runs."""
    return next(one for one in processes(context) if one.running)


def processes(context):
    return context.fixture.day.fleet.targets.values()


@given("a target that carries out a start that was sent to another one, and ends it")
def misdirected_start(context):
    fixture = context.fixture
    fixture.submit(StepSpec(1, CORES, int(fixture.duration_ms)))
    ((task, run),) = busy_process(context).running.items()
    pool = busy_process(context).target.pool
    other = next(
        one for one in processes(context) if one.target.pool == pool and not one.running
    )
    fence, deadline_ms = fixture.day.leader.fence, int(other.now_ms()) + DEADLINE_MS
    other.start(StartOrder(task, run.run, "", deadline_ms, fence, "", ""))
    other.end(task, run.run, RunEnd.DONE)
    context.process, context.key = other, (task, run.run)
    fixture.day.leader.sessions[other.target.incarnation].check_presence()
    fixture.day.pass_time(SETTLE_S)


@then("the log has one end as done of a run that is not live, on that target")
def stray_end_logged(context):
    record = record_of(context, "ends of runs that are not live")
    assert (record.ends, record.done) == (1, 1), (record.ends, record.done)
    assert record.runs == [[*context.key, RunEnd.DONE]], record.runs


@given("the target of a run that is cut off for {seconds:d} seconds")
def cut_off_busy_target(context, seconds):
    fixture = context.fixture
    fixture.duration_ms = 60_000.0
    fixture.submit(StepSpec(1, CORES, int(fixture.duration_ms)))
    context.process = busy_process(context)
    fixture.day.fleet.faults.cut.add(context.process.target.host)
    fixture.day.pass_time(seconds)


@then(
    "the log tells that the lease had ended when its runs lapsed, and when it was last"
    " renewed"
)
def lapse_logged(context):
    record = record_of(context, "runs lapsed")
    lease_ms = context.fixture.day.leader.timing.lease_ms
    assert record.lease_ended_ms >= 0, record.lease_ended_ms
    assert record.since_renewal_ms - record.lease_ended_ms >= lease_ms, vars(record)


@given("a target that starts again under its name while it gets starts")
def restart_during_starts(context):
    fixture = context.fixture
    day = fixture.day
    pool = day.leader.state.queue_named("plan").pool
    context.process = next(one for one in processes(context) if one.target.pool == pool)
    count = 2 * len([one for one in processes(context) if one.target.pool == pool])
    day.fleet.crash(context.process.target.host, DOWN_S, keeps_name=True)
    fixture.submit(StepSpec(count, CORES, int(fixture.duration_ms), max_per_target=2))
    incarnation = context.process.target.incarnation
    context.ordered = len(day.leader.state.live_runs(incarnation))
    day.pass_time(SETTLE_S)


@then("the log tells how many starts its former process had not confirmed")
def unconfirmed_logged(context):
    record = record_of(context, "target session ended")
    assert context.ordered, "no start was ordered"
    assert record.unconfirmed == context.ordered, (record.unconfirmed, context.ordered)
    assert record.acked_end == record.last_seen == 0, vars(record)
    assert record.since_contact_ms >= 0, record.since_contact_ms


@given("a target that forgets the end of a run")
def forget_end(context):
    fixture = context.fixture
    fixture.submit(StepSpec(1, CORES, int(fixture.duration_ms)))
    process = context.process = busy_process(context)
    ((task, run),) = process.running.items()
    context.key = (task, run.run)
    process.end(task, run.run, RunEnd.DONE)
    process.ended.clear()
    fixture.day.pass_time(SETTLE_S)


@then("the log tells which run is missing from its lists")
def missing_run_logged(context):
    record = record_of(context, "run is missing from the lists")
    (task, run), logged = context.key, (record.job, record.task, record.run)
    assert logged == (task.job_id, task[1:], run), logged
