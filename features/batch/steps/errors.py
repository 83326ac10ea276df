"""Steps on unexpected errors in the leader's tasks."""

from behave import given, then, when
from result import Err, Ok
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_core.outcomes import Applied, Code, Refusal
from mulberryledge_daemon.batch.scheduling_cycles import SchedulingCycles

FAULTY_CHANGE_SETS = 4
TICK_FAULT_S = 1.5  # until the leader has reported its load
WAVE_S = 20.0


class CyclesFixture:
    """Scheduling cycles whose first change set has a fault."""

    def __init__(self, fault):
        self.clock = Clock()
        self.fault = fault
        self.proposed = 0
        self.cycles = SchedulingCycles(
            self.clock, self.propose, lambda changes: [], self.on_committed
        )
        self.cycles.start(1)

    def propose(self, change_set):
        self.proposed += 1
        if self.proposed == 1 and self.fault == "raises an error when proposed":
            return fail(RuntimeError("no such field"))
        if self.proposed == 1 and self.fault == "is refused as impossible to encode":
            return succeed(Err(Refusal(Code.BAD_REQUEST, "cannot be encoded")))
        return succeed(Ok(Applied(1)))

    def on_committed(self, changes):
        if self.proposed == 1 and self.fault == "raises an error once committed":
            raise RuntimeError("no such job")


@given("scheduling cycles whose first change set {fault}")
def faulty_cycles(context, fault):
    context.cycles = CyclesFixture(fault)


@when("two changes are submitted in one cycle, and a third one later")
def submit_changes(context):
    context.outcomes = []
    cycles, clock = context.cycles.cycles, context.cycles.clock
    for change in ("first", "second"):
        cycles.submit(change).addCallback(context.outcomes.append)
    clock.advance(1)
    cycles.submit("third").addCallback(context.outcomes.append)
    clock.advance(1)


@then("the outcomes are {first}, {second} and {third}")
def outcomes_are(context, first, second, third):
    assert context.outcomes == [first, second, third], context.outcomes


@given("a task of the leader that raises an error on each tick and each commit")
def failing_task(context):
    leader = context.fixture.day.leader

    def fail_always(*arguments):
        raise RuntimeError("a task failed")

    leader.tick_callbacks.insert(0, fail_always)
    leader.commit_callbacks.insert(0, fail_always)


@given("a leader that {fails} in its tick, once")
def failing_tick(context, fails):
    day = context.fixture.day
    owner, name = {
        "fails to report its load": (day.leader, "log_load"),
        "fails to look for idle targets": (
            next(iter(day.leader.sessions.values())),
            "check_idle",
        ),
    }[fails]
    usual = getattr(owner, name)

    def fail_once(*arguments):
        setattr(owner, name, usual)
        raise RuntimeError("no such field")

    setattr(owner, name, fail_once)
    day.pass_time(TICK_FAULT_S)
    assert getattr(owner, name) == usual


@then("the leader steps down once it has lost its lease")
def leader_steps_down(context):
    day = context.fixture.day
    leader = day.leader
    day.log.frozen.add(day.log.leader)
    day.pass_time(TICK_FAULT_S)
    assert leader.term is None


@given("a filler whose first order on its speed raises an error")
def failing_throttle(context):
    fixture = context.fixture
    fleet = fixture.day.fleet
    usual, context.sent = fleet.throttle, []

    async def fail_first(target, order):
        context.sent.append(order.task)
        if len(context.sent) == 1:
            raise RuntimeError("no such field")
        return await usual(target, order)

    fleet.throttle = fail_first
    fixture.duration_ms = 10_000.0
    fixture.submit(StepSpec(1, Size(1_000, 64), 10_000, filler=True))
    fixture.day.pass_time(2 * TICK_FAULT_S)


@then("the order is sent again, once")
def sent_again(context):
    assert len(context.sent) == 2, context.sent


@then("the job has ended")
def job_ended(context):
    jobs = context.fixture.day.log.machine.state.jobs
    job = jobs[f"{context.fixture.job_number:016x}"]
    assert job.phase == "completed", job.phase


@when("one report of the load raises an error")
def failing_report(context):
    leader, context.reports = context.fixture.day.leader, []

    def report():
        context.reports.append(leader.now())
        if len(context.reports) == 1:
            raise RuntimeError("no such target")

    leader.log_load = report


@then("the leader has reported the load since")
def reported_since(context):
    assert len(context.reports) > 1, context.reports


@when("the leader loses its lease and takes no notice for {seconds:d} seconds")
def lose_lease_unnoticed(context, seconds):
    day = context.fixture.day
    leader, context.proposed = day.leader, []
    usual = leader.cycles.submit

    def submit(change):
        context.proposed.append(change)
        return usual(change)

    leader.cycles.submit = submit
    day.log.frozen.add(day.log.leader)
    leader.loop.stop()
    day.pass_time(seconds)


@when("the time of day jumps ahead by {seconds:d} seconds")
def jump_ahead(context, seconds):
    context.fixture.day.log.skew_ms += 1_000 * seconds


@then("{count:d} jobs are recorded")
def jobs_recorded(context, count):
    jobs = context.fixture.day.log.machine.state.jobs
    assert len(jobs) == count, list(jobs)


@when("a wave begins, and the outcome of its first change sets is unknown")
def wave_with_unknown_outcomes(context):
    day = context.fixture.day
    day.begin_wave(1, 0.5, WAVE_S, 8)
    day.pass_time(0.05)
    cycles, commit = day.leader.cycles, day.leader.cycles.propose
    remaining = [FAULTY_CHANGE_SETS]

    def propose(change_set):
        if not remaining[0]:
            return commit(change_set)
        remaining[0] -= 1
        done = Deferred()
        refusal = Err(Refusal(Code.NO_LEADER, "no confirmation in time"))
        day.clock.callLater(0.01, done.callback, refusal)
        return done

    cycles.propose = propose


@then("the wave is complete")
def wave_complete(context):
    wave = context.fixture.day.log.machine.state.waves[1]
    assert wave.completed, wave.hosts
