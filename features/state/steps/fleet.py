"""Steps on single commands against a small state."""

from behave import given, then, when
from replay import play, prepared
from result import Err, Ok

from mulberryledge_core.commands import fleet, teams
from mulberryledge_core.commands.work import SubmitJob


def announcement(name, service, key, **fields):
    return fleet.AnnounceTarget(
        **(
            {
                "name": name,
                "host": "a",
                "service": service,
                "address": "127.0.0.1",
                "port": 80,
                "key": key,
            }
            | fields
        )
    )


@given("a state with two of everything")
def step_state(context):
    context.state = prepared()
    assert isinstance(play(context.state, fleet.CreatePool("c")), Ok)


@when('target "{name}" of instance "{instance}" is announced by key "{key}"')
def step_announce(context, name, instance, key):
    command = announcement(name, "a", key, instance=instance)
    context.outcome = play(context.state, command)


@when('target "{name}" for service "{service}" is announced by key "{key}"')
def step_announce_other(context, name, service, key):
    context.outcome = play(context.state, announcement(name, service, key))


@when('target "{name}" is announced with {field} {value:d}')
def step_announce_bad(context, name, field, value):
    command = announcement(name, "a", "a", **{field: value})
    context.outcome = play(context.state, command)


@when('target "{name}" leaves')
def step_leave(context, name):
    generation = context.state.targets[name].generation
    context.outcome = play(context.state, fleet.LeaveTarget(name, generation))


@when('host "{host}" is moved from pool "{expected}" to pool "{pool}"')
def step_move(context, host, expected, pool):
    context.outcome = play(context.state, fleet.MoveHost(host, expected, pool))


@when('team "{team}" without services is removed')
def step_remove_team(context, team):
    play(context.state, teams.CreateTeam("c"))
    play(context.state, SubmitJob("late", "b", "c", b""))
    context.outcome = play(context.state, teams.RemoveTeam("c"))


@then('target "{name}" is "{phase}"')
def step_phase(context, name, phase):
    assert context.state.targets[name].phase == phase, context.state.targets[name]


@then('the command is refused with "{code}"')
def step_refused(context, code):
    assert isinstance(context.outcome, Err), context.outcome
    assert context.outcome.err_value.code == code, context.outcome


@then('the refusal names "{field}"')
def step_names(context, field):
    assert field in context.outcome.err_value.message, context.outcome


@then('host "{host}" belongs to pool "{pool}"')
def step_pool(context, host, pool):
    assert context.state.hosts[host].pool == pool
