"""Steps on the frequency of scheduling cycles."""

from behave import given, then, when
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from mulberryledge_core.outcomes import Applied
from mulberryledge_daemon.batch.scheduling_cycles import SchedulingCycles

STEP_S = 0.001


class TimedCycles:
    """Scheduling cycles whose change sets commit after a delay."""

    def __init__(self, commit_s):
        self.clock = Clock()
        self.commit_s = commit_s
        self.proposed_s = []
        self.outcomes = []
        self.cycles = SchedulingCycles(
            self.clock, self.propose, lambda changes: [], lambda changes: None
        )
        self.cycles.start(1)
        self.pass_time(0.1)

    def propose(self, change_set):
        self.proposed_s.append(self.clock.seconds())
        done = Deferred()
        self.clock.callLater(self.commit_s, done.callback, Ok(Applied(1)))
        return done

    def submit(self):
        self.cycles.submit("change").addCallback(self.outcomes.append)

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)


@given("scheduling cycles whose change sets commit after {delay:d} ms")
def timed_cycles(context, delay):
    context.timed = TimedCycles(delay / 1_000)


@when("a change is submitted every {interval:d} ms for {seconds:d} second")
def submit_often(context, interval, seconds):
    context.submitted = 1_000 * seconds // interval
    for _ in range(context.submitted):
        context.timed.submit()
        context.timed.pass_time(interval / 1_000)
    context.timed.pass_time(0.1)


@then("all changes are committed, in at most {count:d} change sets")
def few_change_sets(context, count):
    assert context.timed.outcomes == ["yes"] * context.submitted
    assert len(context.timed.proposed_s) <= count, len(context.timed.proposed_s)


@when("a change is submitted after a pause of {seconds:d} second")
def submit_after_pause(context, seconds):
    context.timed.submit()
    context.timed.pass_time(seconds)
    context.submitted_s = context.timed.clock.seconds()
    context.timed.submit()
    context.timed.pass_time(0.1)


@then("it is proposed within {delay:d} ms")
def proposed_at_once(context, delay):
    delay_s = context.timed.proposed_s[-1] - context.submitted_s
    assert 0 < delay_s <= delay / 1_000 + 1e-9, delay_s
