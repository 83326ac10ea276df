"""Steps on roll-outs of service documents."""

from behave import then, when
from result import Err
from waves import is_at, pass_until, wave

from mulberryledge_core.commands.teams import ApplyDocument
from mulberryledge_core.decisions.rollouts import rollout_duration_ms, rollout_waves
from mulberryledge_core.model.maintenance import MaintenanceStep


def accept(context, version, name):
    text = context.world.state.services[name].text + f"# {version}\n"
    context.world.must(ApplyDocument(text, version))


@when('version {version:d} of "{name}" is accepted and rolled out')
def step_roll_out(context, version, name):
    accept(context, version, name)
    service = context.world.state.services[name]
    (command,) = rollout_waves(context.world.state, service)
    context.command = command
    context.world.must(command)
    context.names.append(command.name)
    pass_until(context, lambda: is_at(context, MaintenanceStep.DRAINING))


@when('version {version:d} of "{name}" is accepted')
def step_accept(context, version, name):
    accept(context, version, name)


@then("the time from acceptance to the last host is told")
def step_told(context):
    took_ms = rollout_duration_ms(context.world.state, wave(context))
    assert took_ms > 0, took_ms
    told = f"version 2 reached the last host after {took_ms} ms"
    decisions = context.world.decisions
    assert any(one.cause == told for one in decisions), decisions[-3:]


@then('the wave is "{phase}" because of "{reason}"')
def step_is(context, phase, reason):
    now = wave(context)
    assert now.phase == phase, now
    assert reason in now.reason, now


@then('rolling version {version:d} out again is refused with "{code}"')
def step_again(context, version, code):
    name = "again"
    command = type(context.command)(
        name,
        context.command.pool,
        context.command.hosts,
        service=context.command.service,
        version=version,
    )
    outcome = context.world.propose(command)
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.code == code, outcome
