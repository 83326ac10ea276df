"""Steps on calls through one daemon."""

import json
import os

from behave import given, then, when
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.reactor_thread import run_coroutine
from mulberryledge_testing.targets import StandInTarget
from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred, gatherResults

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import (
    ApplyDocument,
    CreateTeam,
    GiveKey,
    WithdrawKey,
)
from mulberryledge_core.keys import KEY_BYTES, make_key

DOCUMENT = """
[service]
name = "{service}"
team = "{team}"
pool = "interior"
[calls]
deadline_ms = 5000
"""


def propose(context, command):
    outcome = run_coroutine(lambda: context.daemon.log.propose(command))
    assert isinstance(outcome, Ok), outcome
    return outcome.ok_value


@given('pool "{pool}" with host "{host}" and team "{team}" with limit {limit:d}')
def step_pool(context, pool, host, team, limit):
    propose(context, CreatePool(pool))
    propose(context, AddHost(host, pool, availability_zone="nizwa"))
    propose(context, CreateTeam(team, upper_limit=limit))


@given('service "{service}" of team "{team}"')
def step_service(context, service, team):
    context.service = service
    propose(context, ApplyDocument(DOCUMENT.format(service=service, team=team), 1))


@given('team "{team}" has a key')
def step_key(context, team):
    context.key = make_key(os.urandom(KEY_BYTES))
    key = context.key
    propose(context, GiveKey(key.key_id, team, key.salt, key.digest))
    url = f"http://127.0.0.1:{context.daemon.callers_port}"
    context.caller = Caller(reactor, url, key.text)
    context.add_cleanup(run_coroutine, context.caller.close)


@given('target "{name}" on host "{host}" serves "{service}"')
def step_target(context, name, host, service):
    async def start():
        target = StandInTarget(reactor, name, host, service, context.caller)
        target.listen()
        response = await target.announce()
        assert response.status == 200, response
        return target

    async def close():
        await context.target.close()

    context.target = run_coroutine(start)
    context.add_cleanup(run_coroutine, close)


@given("each call takes {delay:d} ms")
def step_delay(context, delay):
    context.target.delay_s = delay / 1_000


def send(context, body, **headers):
    path = f"/v1/services/{context.service}/calls/today"
    return context.caller.send("POST", path, body.encode(), **headers)


@when('a caller sends "{body}"')
def step_send(context, body):
    context.response = run_coroutine(lambda: send(context, body))


@when('a caller sends "{body}" with a deadline of {deadline} ms')
def step_send_deadline(context, body, deadline):
    context.response = run_coroutine(
        lambda: send(context, body, X_Deadline_Ms=deadline)
    )


@when("{count:d} callers send at once")
def step_send_many(context, count):
    async def send_all():
        sent = [ensureDeferred(send(context, f"van {n}")) for n in range(count)]
        return await gatherResults(sent)

    context.responses = run_coroutine(send_all)


@when('the key of team "{team}" is withdrawn')
def step_withdraw(context, team):
    propose(context, WithdrawKey(context.key.key_id))


@when('target "{name}" says that it leaves')
def step_leave(context, name):
    response = run_coroutine(context.target.leave)
    assert response.status == 200, response


@then('the answer is {status:d} with "{body}"')
def step_answer(context, status, body):
    response = context.response
    assert (response.status, response.body.decode()) == (status, body), response


@then('the call is refused with {status:d} "{code}" and outcome "{outcome}"')
def step_refused(context, status, code, outcome):
    said = json.loads(context.response.body)
    found = (context.response.status, said["code"], said["outcome"])
    assert found == (status, code, outcome), found


@then('target "{name}" has run {count:d} calls')
def step_count(context, name, count):
    assert len(context.target.calls) == count, context.target.calls


@then("every answer is 200")
def step_all_answered(context):
    bodies = [one.body.decode() for one in context.responses]
    assert bodies == [f"echo:van {n}" for n in range(len(bodies))], bodies


@then('target "{name}" never ran more than {count:d} calls at once')
def step_most(context, name, count):
    assert 0 < context.target.most_running <= count, context.target.most_running
