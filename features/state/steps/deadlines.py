"""Steps on deadlines of past versions."""

from behave import given, then, when
from result import Ok

from mulberryledge_core.commands import fleet, teams
from mulberryledge_core.commands.members import Nothing
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_core.state.deadlines import longest_deadline_ms

TEXT = """
[service]
name = "a"
team = "a"
pool = "a"
[calls]
deadline_ms = {deadline}
"""


def play_at(context, second, command):
    state = context.state
    outcome = apply(state, command, Context(state.applied_index + 1, second * 1_000))
    assert isinstance(outcome, Ok), outcome


def apply_versions(context, versions):
    context.state = ClusterState()
    play_at(context, 0, fleet.CreatePool("a"))
    play_at(context, 0, teams.CreateTeam("a"))
    for number, (second, deadline) in enumerate(versions, start=1):
        text = TEXT.format(deadline=deadline)
        play_at(context, second, teams.ApplyDocument(text, number))


@given(
    "a service whose versions had deadlines of {deadlines} ms, accepted at {times} s"
)
def step_versions(context, deadlines, times):
    seconds = [int(one) for one in times.split(",")]
    apply_versions(context, zip(seconds, deadlines.split(","), strict=True))


@given("a service with {count:d} versions of {deadline:d} ms, one a second")
def step_many(context, count, deadline):
    apply_versions(
        context, [(second, deadline + second % 2) for second in range(count)]
    )


@when("it is {second:d} s")
def step_now(context, second):
    play_at(context, second, Nothing())


@when("it is removed at {second:d} s")
def step_removed(context, second):
    play_at(context, second, teams.RemoveService("a"))


@then("a call may still run for {longest:d} ms")
def step_longest(context, longest):
    found = longest_deadline_ms(context.state)
    assert found == longest, found
