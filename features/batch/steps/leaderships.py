"""Steps on a leader that loses its lease and regains it in the same term."""

from behave import given, then

LEASE_LOST_S = 0.2
WAIT_S = 2.0


def lose_lease(day):
    """Let the leader lose its quorum lease, and regain it in the same term."""
    name, term = day.log.leader, day.log.term
    day.log.frozen.add(name)
    day.pass_time(LEASE_LOST_S)
    assert day.leader.term is None
    day.log.frozen.discard(name)
    day.pass_time(LEASE_LOST_S)
    assert day.leader.term == day.log.term == term


@given(
    "a call that is due in 0.5 seconds, and a leader that loses its lease for 0.2"
    " seconds"
)
def call_and_lost_lease(context):
    context.calls = []
    day = context.fixture.day
    day.leader.call_later(0.5, lambda: context.calls.append(day.clock.seconds()))
    lose_lease(day)


@then("the call is dropped")
def call_dropped(context):
    context.fixture.day.pass_time(WAIT_S)
    assert not context.calls, context.calls
