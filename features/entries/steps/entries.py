"""Steps on real daemons and one scripted target."""

import os
import signal
import threading
import time

import httpx
from behave import given, then, when
from mulberryledge_testing.processes import STOP_TIMEOUT_S, wait_until
from result import Ok

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.keys import KEY_BYTES, make_key

DOCUMENT = """
[service]
name = "{name}"
team = "dispatch"
pool = "interior"
[calls]
repeatable = false
deadline_ms = 5000
"""
CALL_TIMEOUT_S = 8.0
SIGNAL_PAUSE_S = 0.2


@given('service "{name}" that is not repeatable, on a scripted target')
def step_service(context, name):
    key = make_key(os.urandom(KEY_BYTES))
    context.service, context.key = name, key.text
    operator = context.cluster.operator()
    for command in (
        CreatePool("interior"),
        AddHost("h1", "interior"),
        CreateTeam("dispatch"),
        ApplyDocument(DOCUMENT.format(name=name), 1),
        GiveKey(key.key_id, "dispatch", key.salt, key.digest),
    ):
        outcome = operator.propose(command)
        assert isinstance(outcome, Ok), outcome
    announcement = {
        "host": "h1",
        "service": name,
        "address": "127.0.0.1",
        "port": context.target.port,
    }
    response = httpx.put(
        f"{context.cluster.daemons['e2'].callers_url}/v1/targets/t1",
        json=announcement,
        headers={"Authorization": f"Bearer {context.key}"},
        trust_env=False,
    )
    assert response.status_code == 200, response.text


@given("the target takes {delay:d} ms")
def step_delay(context, delay):
    context.target.delay_s = delay / 1_000


@given('the target\'s next answer is "{behaviour}"')
def step_script(context, behaviour):
    context.target.script.append(behaviour)


def send(context, request_id, entry, **headers):
    url = context.cluster.daemons[entry].callers_url
    headers |= {
        "Authorization": f"Bearer {context.key}",
        "Idempotency-Key": request_id,
    }
    return httpx.post(
        f"{url}/v1/services/{context.service}/calls/x",
        content=request_id,
        headers=headers,
        timeout=CALL_TIMEOUT_S,
        trust_env=False,
    )


@when('request "{request_id:w}" is begun through "{entry:w}"')
def step_begin(context, request_id, entry):
    def run():
        try:
            context.begun_response = send(context, request_id, entry)
        except httpx.TransportError as error:
            context.begun_response = error

    context.begun = threading.Thread(target=run)
    context.begun.start()
    wait_until(lambda: context.target.runs, "the call runs")


@when('"{entry:w}" is killed')
def step_kill(context, entry):
    context.cluster.kill(entry)


@when("the leader is killed")
def step_kill_leader(context):
    context.cluster.kill(context.cluster.leader())


@when(
    'request "{request_id:w}" is sent through "{entry:w}" with a deadline of {ms:d} ms'
)
def step_send(context, request_id, entry, ms):
    headers = {"X-Deadline-Ms": str(ms)}
    context.response = send(context, request_id, entry, **headers)


@when(
    'request "{request_id:w}" is sent through "{entry:w}"'
    ' until it is answered with "{body}"'
)
def step_send_until(context, request_id, entry, body):
    def answered():
        response = send(context, request_id, entry)
        return (response.status_code, response.text) == (200, body)

    wait_until(answered, "the kept answer")


@when('"{entry:w}" is sent {count:d} signals')
def step_signals(context, entry, count):
    for _ in range(count):
        context.cluster.daemons[entry].process.send_signal(signal.SIGTERM)
        time.sleep(SIGNAL_PAUSE_S)


@then('it is told {status:d} with outcome "{outcome}"')
def step_told(context, status, outcome):
    found = (context.response.status_code, context.response.json()["outcome"])
    assert found == (status, outcome), context.response.text


@then('it is answered with "{body}"')
def step_answered(context, body):
    found = (context.response.status_code, context.response.text)
    assert found == (200, body), found


@then('"{entry:w}" ends with code {code:d}')
def step_ends(context, entry, code):
    context.ended = context.cluster.daemons[entry]
    assert context.ended.process.wait(STOP_TIMEOUT_S) == code


@then('the begun request is answered with "{body}"')
def step_begun(context, body):
    context.begun.join()
    response = context.begun_response
    assert isinstance(response, httpx.Response), response
    assert (response.status_code, response.text) == (200, body), response.text


@then('its log names the call "{request_id:w}" as cut off')
def step_log(context, request_id):
    context.begun.join()
    lines = context.ended.log_lines("stopped")
    assert lines and request_id in str(lines[-1]), lines


@then("the target has run {count:d} requests")
def step_runs(context, count):
    assert len(context.target.runs) == count, context.target.runs
