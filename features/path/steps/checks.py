"""Steps that check what became of requests, targets and entries."""

import json

from behave import then, when
from mulberryledge_testing.processes import wait_until
from mulberryledge_testing.reactor_thread import run_coroutine
from twisted.web.client import ResponseFailed


@when("the target has begun a request")
def step_begun(context):
    wait_until(lambda: context.target.runs, "the target has begun a request")


@then("the target has run {count:d} requests")
def step_runs(context, count):
    assert len(context.target.runs) == count, context.target.runs


@then("the target has got {count:d} bytes")
def step_got(context, count):
    assert [len(body) for body in context.target.runs] == [count]


@then("the answer is {status:d} with {count:d} bytes")
def step_answer_bytes(context, status, count):
    found = (context.response.status, len(context.response.body))
    assert found == (status, count), found


@then("the caller's connection is cut")
def step_cut(context):
    assert isinstance(context.response, ResponseFailed), context.response


@then("the target was connected to {count:d} times")
def step_connections(context, count):
    assert context.target.connections == count, context.target.connections


@then('every reply is {status:d} with "{body}"')
def step_replies(context, status, body):
    found = {(one.status, one.body.decode()) for one in context.responses}
    assert found == {(status, body)}, found


@then("every reply is {status:d}")
def step_statuses(context, status):
    bad = [one.body for one in context.responses if one.status != status]
    assert not bad, bad


@then("the target never ran more than {count:d} at once")
def step_most(context, count):
    assert 0 < context.most_running <= count, context.most_running


@then('the begun request is answered with "{body}"')
def step_begun(context, body):
    async def run():
        return await context.begun.pop()

    response = run_coroutine(run)
    assert (response.status, response.body.decode()) == (200, body), response


@then("it did not wait for the one that runs")
def step_not_waited(context):
    assert not context.begun[0].called


@then('the begun request is refused with {status:d} "{code}" and outcome "{outcome}"')
def step_begun_refused(context, status, code, outcome):
    async def run():
        return await context.begun.pop()

    context.response = run_coroutine(run)
    said = json.loads(context.response.body)
    found = (context.response.status, said["code"], said["outcome"])
    assert found == (status, code, outcome), found


@then('the refusal is {status:d} and names "{place}" and "{text}"')
def step_named(context, status, place, text):
    said = json.loads(context.response.body)
    assert context.response.status == status, said
    assert place in said["message"] and text in said["message"], said


@then("no entry has a claim in use")
def step_no_claims(context):
    assert not any(
        daemon.entry.loans.count_in_use() for daemon in context.daemons.values()
    )


@then('"{entry:S}" has a session of another name')
def step_other_session(context, entry):
    name = context.daemons[entry].entry.session.name
    assert name != context.closed and name in context.daemon.log.state.sessions, name


@then("the job is taken")
def step_taken(context):
    assert context.response.status == 200, context.response


@then("it has cut off {count:d} requests and holds no session")
def step_stopped(context, count):
    assert context.cut_off == count, context.cut_off
    assert set(context.daemon.log.state.sessions) == {"life-1"}


@then("it has cut off {count:d} requests")
def step_cut_off_count(context, count):
    assert context.cut_off == count, context.cut_off


@then('"{entry:S}" is not ready')
def step_not_ready(context, entry):
    assert not context.daemons[entry].is_ready()
