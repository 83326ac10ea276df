"""Steps on permits over a fleet in memory."""

from collections import Counter

from behave import then, when
from result import Err, Ok
from waves import (
    SECOND_MS,
    canary,
    host_of,
    is_at,
    pass_time,
    pass_until,
    permits,
    wave,
)

from mulberryledge_core.commands.maintenance import AdvancePermit, GrantPermit
from mulberryledge_core.commands.work import Lend
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.maintenance import MaintenanceStep
from mulberryledge_core.model.sessions import SlotGrant


@when("its canary has a permit and drains")
def step_draining(context):
    pass_until(context, lambda: is_at(context, MaintenanceStep.DRAINING))


@when("another leader takes over")
def step_take_over(context):
    context.world.take_over("leader-2").log.leading = False


@when("another leader takes over while the old one goes on")
def step_take_over_split(context):
    context.old = context.world.take_over("leader-2")
    pass_time(context, 2 * SECOND_MS)


@when("the platform's answers are lost")
def step_lose_answers(context):
    context.world.platform.lose_answer = lambda: True


@when("the platform's answers arrive")
def step_answers(context):
    context.world.platform.lose_answer = lambda: False


@then("each permit was used once")
def step_used_once(context):
    uses = Counter(context.world.platform.carried_out)
    assert set(uses.values()) == {1}, uses
    asked = sum(context.world.platform.requests.values())
    assert asked > len(uses), "resends took place"


@then('commands of the old leader are refused with "{code}"')
def step_old_refused(context, code):
    world = context.world
    permit, now = canary(context), wave(context)
    assert now.holder == "leader-2", now
    old_epoch = now.epoch - 1
    step = MaintenanceStep.CANCELLED
    for command in (
        GrantPermit("new", now.name, "host-0-17", old_epoch),
        AdvancePermit(permit.permit_id, permit.step, step, old_epoch),
    ):
        outcome = world.propose(command)
        assert isinstance(outcome, Err), outcome
        assert outcome.err_value.code == code, outcome


@then("the platform is asked by the new leader only")
def step_asked_by_new(context):
    pass_until(context, lambda: is_at(context, MaintenanceStep.REBOOTING))
    context.old.log.connected = False
    before = context.world.platform.requests.copy()
    context.old.maintenance.request_reboot(canary(context))
    assert context.world.platform.requests == before


@when("the canary's permit is sent again")
def step_send_again(context):
    pass_until(context, lambda: permits(context))
    permit, now = canary(context), wave(context)
    context.world.must(GrantPermit(permit.permit_id, now.name, permit.host, now.epoch))
    other = GrantPermit("other-id", now.name, permit.host, now.epoch)
    assert isinstance(context.world.propose(other), Err)


@then("there is one permit for the canary")
def step_one_permit(context):
    assert len(permits(context)) == 1, permits(context)


@then('the canary drains and its reboot is refused with "{code}"')
def step_not_idle(context, code):
    permit = canary(context)
    assert permit.step == MaintenanceStep.DRAINING, permit
    command = AdvancePermit(
        permit.permit_id, permit.step, MaintenanceStep.REBOOTING, wave(context).epoch
    )
    outcome = context.world.propose(command)
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.code == code, outcome


@then("its target is lent {count:d} slot and no second one")
def step_trial(context, count):
    host = canary(context).host
    assert host_of(context, host).phase == HostPhase.PROBATION
    target = context.world.state.targets[f"{host}-t"]
    context.world.return_slot(host)
    grant = SlotGrant(target.name, target.generation, count)
    assert isinstance(context.world.propose(Lend("entry-2", (grant,))), Ok)
    assert isinstance(context.world.propose(Lend("entry-2", (grant,))), Err)
