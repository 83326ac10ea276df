"""Steps on jobs and usage over HTTP."""

import json
import time
from base64 import b64decode

from behave import then, when
from mulberryledge_testing.reactor_thread import run_coroutine


def send(context, method, path, body=b"", **headers):
    response = run_coroutine(lambda: context.caller.send(method, path, body, **headers))
    context.response = response
    return json.loads(response.body) if response.body else {}


@when('"{method} {path}" is sent with "{body}" and size "{size}"')
def step_send(context, method, path, body, size):
    headers = {"X_Job_Size": size.replace("'", '"')} if size else {}
    send(context, method, path, body.replace("'", '"').encode(), **headers)


@when('"{method} {path}" is sent with "{body}" and size ""')
def step_send_plain(context, method, path, body):
    step_send(context, method, path, body, "")


@when('"{method} {path}" is sent with "" and size ""')
def step_send_empty(context, method, path):
    step_send(context, method, path, "", "")


@then('the answer is {status:d} and says "{text}"')
def step_says(context, status, text):
    said = json.loads(context.response.body)["message"]
    assert context.response.status == status, context.response
    assert text in said, said


def submit(context, cores):
    size = json.dumps({"processors": cores})
    return send(context, "POST", "/v1/queues/settlements/jobs", b"x", X_Job_Size=size)


@when("a job of {cores:d} processors is queued and taken")
def step_taken(context, cores):
    submit(context, cores)
    context.taken = run_coroutine(lambda: context.target.take(5))
    assert context.taken is not None


def attempt_path(context):
    taken = context.taken
    return f"/v1/jobs/{taken['job_id']}/attempts/{taken['attempt']}"


@when("its target reports its usage and renews its lease")
def step_report(context):
    usage = {
        "job_id": context.taken["job_id"],
        "attempt": context.taken["attempt"],
        "used": {"processors": 1.5},
    }
    body = json.dumps({"used": {"processors": 3.5}, "jobs": [usage]}).encode()
    send(context, "POST", "/v1/targets/t1/usage", body)
    assert context.response.status == 204, context.response
    until = time.monotonic() + 5
    estimates = context.daemon.leader.usage.size_estimates
    while not estimates and time.monotonic() < until:
        time.sleep(0.05)
    assert estimates["settlements", "accounts"].processors == 1.5, estimates
    lease = send(context, "POST", attempt_path(context) + "/lease?wait_s=0.1")
    assert lease["order"] == "none", lease


@when('its target hands it back with checkpoint "{state}"')
def step_hand_back(context, state):
    send(context, "POST", attempt_path(context) + "/handback", state.encode())
    assert context.response.status == 200, context.response


@then('the next take gives it with checkpoint "{state}"')
def step_goes_on(context, state):
    before = context.taken
    context.taken = run_coroutine(lambda: context.target.take(5))
    assert context.taken["job_id"] == before["job_id"], context.taken
    assert context.taken["attempt"] == 2, context.taken
    assert b64decode(context.taken["checkpoint"]) == state.encode(), context.taken


@when("a job of {cores:d} processors is queued")
def step_queue(context, cores):
    context.large = submit(context, cores)["job_id"]


@then('its status is held by "{text}"')
def step_status(context, text):
    said = send(context, "GET", f"/v1/jobs/{context.large}")
    assert said["held"].startswith(text), said


@when("the queue is cancelled")
def step_cancel(context):
    context.cancelled = send(context, "DELETE", "/v1/queues/settlements/jobs")


@then("{count:d} jobs were cancelled")
def step_cancelled(context, count):
    assert context.cancelled == {"cancelled": count}, context.cancelled


@then("the renewal of the running one says so")
def step_renewal(context):
    lease = send(context, "POST", attempt_path(context) + "/lease?wait_s=5")
    assert lease["cancel_requested"], lease
