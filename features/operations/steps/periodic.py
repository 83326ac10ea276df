"""Steps on periodic tasks, on a model clock."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from mulberryledge_daemon.periodic import run_periodically

TICK_S = 0.1


def clock_of(context):
    if "clock" not in context:
        context.clock = Clock()
    return context.clock


@given("a periodic task that fails in its first {count:d} runs")
def step_failing(context, count):
    context.runs = 0

    async def task():
        context.runs += 1
        if context.runs <= count:
            raise KeyError("no such host")

    run_periodically(clock_of(context), TICK_S, task)


@given("a periodic task that waits for an answer that never comes")
def step_waiting(context):
    async def task():
        await Deferred()

    run_periodically(clock_of(context), TICK_S, task)


@when("1 second passes")
def step_pass(context):
    context.clock.pump([TICK_S] * 10)


@then("it has run {count:d} times")
def step_runs(context, count):
    assert context.runs == count, context.runs
