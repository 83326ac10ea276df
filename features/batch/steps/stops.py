"""Steps on stops that take effect late."""

from behave import given, then
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_daemon.batch.ports import OrderAnswer, OrderOutcome

EFFECT_S = 5.0  # from the stop until it takes effect
ANSWER_S = 0.6
LEASE_LOST_S = 0.2
SETTLE_S = 1.5
SAMPLE_S = 0.05


@given("an idle fleet, and a long-running task at work")
def task_at_work(context):
    context.execute_steps("Given an idle fleet")
    fixture = context.fixture
    fixture.submit(StepSpec(1, Size(1_000, 64), 0, long_running=True))
    fixture.day.pass_time(SETTLE_S)
    (context.key,) = running_keys(fixture.day)
    assert works(context)


def running_keys(day):
    """Return the runs that are on targets."""
    return [
        (task, run.run)
        for target in day.fleet.targets.values()
        for task, run in target.running.items()
    ]


def session_of(context):
    """Return the leader's session with the target of the run, None without one."""
    key, day = context.key, context.fixture.day
    incarnation = day.log.machine.state.task(key[0]).live.get(key[1], "")
    return day.leader.sessions.get(incarnation)


def works(context):
    session = session_of(context)
    return session is not None and session.works(context.key)


def lose_lease(day):
    """Let the leader lose its quorum lease, and regain it in the same term."""
    name = day.log.leader
    day.log.frozen.add(name)
    day.at(LEASE_LOST_S, day.log.frozen.discard, name)


def late_stop(context):
    """Return a stop that takes effect late, and whose answer is lost."""
    day = context.fixture.day
    usual = day.fleet.stop

    async def stop(target, order):
        day.at(EFFECT_S, lambda: ensureDeferred(usual(target, order)))
        await deferLater(day.clock, ANSWER_S)
        return OrderAnswer(OrderOutcome.UNKNOWN)

    return stop


async def unsent_stop(clock, target, order):
    await deferLater(clock, ANSWER_S)
    return OrderAnswer(OrderOutcome.NOT_SENT)


def send_stop(context, stop):
    """Send a stop by one function, and leave the usual one in its place."""
    fleet = context.fixture.day.fleet
    usual, fleet.stop = fleet.stop, stop
    session_of(context).stop(context.key)
    fleet.stop = usual


@given("it is told to stop, and that takes effect 5 seconds later without an answer")
def stop_late(context):
    send_stop(context, late_stop(context))


@given(
    "it is told to stop, and it is told again before the first order turns out not to"
    " be sent"
)
def stop_twice(context):
    day = context.fixture.day
    late = late_stop(context)
    send_stop(context, lambda target, order: unsent_stop(day.clock, target, order))
    day.pass_time(ANSWER_S - SAMPLE_S)
    send_stop(context, late)


@given(
    "it is told to stop, and the leader loses its lease for 0.2 seconds before that"
    " takes effect"
)
def stop_and_lose_lease(context):
    stop_late(context)
    lose_lease(context.fixture.day)


@given(
    "it is told to stop, and the leader loses its lease twice before that takes effect"
)
def stop_and_lose_lease_twice(context):
    stop_and_lose_lease(context)
    day = context.fixture.day
    day.at(LEASE_LOST_S + SAMPLE_S, lose_lease, day)


@given("it is told to stop, and the order is not sent")
def stop_not_sent(context):
    day = context.fixture.day
    send_stop(context, lambda target, order: unsent_stop(day.clock, target, order))


@then("it is not counted as at work until it has ended")
def not_at_work(context):
    day = context.fixture.day
    term = day.log.term
    while context.key in running_keys(day):
        day.pass_time(SAMPLE_S)
        assert not works(context), day.clock.seconds()
    assert day.log.term == term


@then("it is counted as at work a second later")
def at_work_again(context):
    context.fixture.day.pass_time(ANSWER_S + 1.0)
    assert works(context)
