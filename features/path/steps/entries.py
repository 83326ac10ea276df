"""Steps on several entries that share one log, and one scripted target."""

import socket
import time

from behave import given, then, when
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.reactor_thread import run_coroutine
from mulberryledge_testing.scripted import HUGE_BYTES, ScriptedTarget
from mulberryledge_testing.views import set_up_service
from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import ResponseFailed

from mulberryledge_core.commands.fleet import AnnounceTarget
from mulberryledge_core.commands.table import COMMANDS
from mulberryledge_core.commands.teams import GiveKey, WithdrawKey
from mulberryledge_core.commands.work import CloseSession, ForgetAnswers
from mulberryledge_core.keys import split_key

DOCUMENT = """
[service]
name = "{name}"
team = "dispatch"
pool = "interior"
[calls]
repeatable = {repeatable}
deadline_ms = 3000
max_body_kb = 4000
[queue]
lease_ms = 5000
"""
TAKE_WAIT_S = 5
BEGIN_S = 0.05


def propose(context, command):
    outcome = run_coroutine(lambda: context.daemon.log.propose(command))
    assert isinstance(outcome, Ok), outcome


def caller_of(context, entry):
    if entry not in context.callers:
        url = f"http://127.0.0.1:{context.daemons[entry].callers_port}"
        context.callers[entry] = Caller(reactor, url, context.key)
        context.add_cleanup(run_coroutine, context.callers[entry].close)
    return context.callers[entry]


def send(context, entry, request_id, body=None, **headers):
    path = f"/v1/services/{context.service}/calls/today"
    body = request_id.encode() if body is None else body
    if request_id:
        headers["Idempotency_Key"] = request_id
    return caller_of(context, entry).send("POST", path, body, **headers)


@given('service "{name}" that {repeatable} repeatable, on a scripted target')
def step_service(context, name, repeatable):
    async def start():
        context.target = ScriptedTarget(reactor)
        document = DOCUMENT.format(
            name=name, repeatable="true" if repeatable == "is" else "false"
        )
        log = context.daemon.log
        context.key = await set_up_service(log, document, [context.target.port])

    context.service, context.callers, context.begun = name, {}, []
    context.most_running = 0
    run_coroutine(start)
    context.add_cleanup(run_coroutine, lambda: context.target.close())


@given('the target\'s next answer is "{behaviour}"')
def step_script(context, behaviour):
    context.target.script.append(behaviour)


@given("the target takes {delay:d} ms")
def step_delay(context, delay):
    context.target.delay_s = delay / 1_000


def announce(context, **changes):
    key_id = split_key(context.key)[0]
    port = changes.pop("port", context.target.port)
    command = AnnounceTarget(
        f"{context.service}-t0",
        f"{context.service}-h0",
        context.service,
        "127.0.0.1",
        port,
        key=key_id,
        **changes,
    )
    propose(context, command)


@given("the target has {slots:d} slot")
def step_slots(context, slots):
    announce(context, slots=slots)


@when("the target is announced as a new process")
def step_new_process(context):
    announce(context, instance="new")


@given("the target listens no more")
def step_close(context):
    run_coroutine(context.target.close)


@given("the target listens again")
def step_open(context):
    async def start():
        runs = context.target.runs
        context.target = ScriptedTarget(reactor)
        context.target.runs = runs

    run_coroutine(start)
    announce(context)


@given('"{entry:S}" loses the outcomes of "{command:S}" as "{fates}"')
def step_lose(context, entry, command, fates):
    context.views[entry].lose[COMMANDS[command]] = fates.split(",")


@when('request "{request_id:w}" is sent through "{entry:S}"')
def step_send(context, request_id, entry):
    async def run():
        try:
            return await send(context, entry, request_id)
        except ResponseFailed as error:
            return error

    context.response = run_coroutine(run)


@when(
    'request "{request_id:w}" is sent through "{entry:S}"'
    " with a deadline of {deadline} ms"
)
def step_send_deadline(context, request_id, entry, deadline):
    context.response = run_coroutine(
        lambda: send(context, entry, request_id, X_Deadline_Ms=deadline)
    )


@when('request "{request_id:w}" with body "{body}" is sent through "{entry:S}"')
def step_send_body(context, request_id, body, entry):
    context.response = run_coroutine(
        lambda: send(context, entry, request_id, body.encode())
    )


@when('a request without an id is sent through "{entry:S}"')
def step_send_without(context, entry):
    context.response = run_coroutine(lambda: send(context, entry, "", b"x"))


@when('a caller that does not read sends "{body:w}" with a deadline of {ms:d} ms')
def step_slow_reader(context, body, ms):
    context.socket = socket.socket()
    context.add_cleanup(context.socket.close)
    context.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    context.socket.connect(("127.0.0.1", context.daemon.callers_port))
    head = (
        f"POST /v1/services/{context.service}/calls/x HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {context.key}\r\nX-Deadline-Ms: {ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    context.socket.sendall(head.encode())
    time.sleep(2 * ms / 1_000)


@when("a raw request with a {what} of {size:d} bytes is sent")
def step_raw(context, what, size):
    line = "X-Large: " + "y" * size if what == "header" else f"Content-Length: {size}"
    head = f"POST /v1/services/x/calls/y HTTP/1.1\r\nHost: a\r\n{line}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", context.daemon.callers_port)) as raw:
        raw.sendall(head.encode())
        context.raw = raw.recv(1_000).decode()


@then('the raw answer begins with "{text}"')
def step_raw_answer(context, text):
    assert context.raw.startswith(text), context.raw


@then("its connection is cut within {timeout:d} s and the answer is not whole")
def step_slow_cut(context, timeout):
    context.socket.settimeout(timeout)
    size = 0
    try:
        while data := context.socket.recv(1_000_000):
            size += len(data)
    except ConnectionResetError:
        pass
    assert 0 < size < HUGE_BYTES, size


@when('{count:d} bytes are sent through "{entry:S}"')
def step_send_bytes(context, count, entry):
    context.response = run_coroutine(lambda: send(context, entry, "r1", b"y" * count))


@when('{count:d} requests with a deadline of {ms:d} ms are sent through "{entry:S}"')
def step_send_hurried(context, count, ms, entry):
    for number in range(count):
        run_coroutine(
            lambda n=number: send(context, entry, f"h{n}", X_Deadline_Ms=str(ms))
        )


def failures_of(context, entry):
    seen = context.daemons[entry].entry.loans.health.health_by_target
    return sum(health.failures for health in seen.values())


@then('"{entry:S}" has noted no failure of a target')
def step_no_failure(context, entry):
    assert failures_of(context, entry) == 0, context.response


@then('"{entry:S}" has noted a failure of a target')
def step_failure(context, entry):
    assert failures_of(context, entry) > 0, context.response


@when('request "{request_id:w}" is sent through "{one:S}" and "{other:S}" at once')
def step_send_both(context, request_id, one, other):
    async def run():
        sent = [ensureDeferred(send(context, e, request_id)) for e in (one, other)]
        return await gatherResults(sent)

    context.responses = run_coroutine(run)


@when('{count:d} requests are sent through "{entry:S}"')
def step_send_many(context, count, entry):
    context.responses = run_coroutine(lambda: send_many(context, count, [entry]))


@when("{count:d} requests are sent through each entry")
def step_send_many_each(context, count):
    context.responses = run_coroutine(
        lambda: send_many(context, count, list(context.daemons))
    )


async def send_many(context, count, entries):
    sent = [
        ensureDeferred(send(context, entry, f"{entry}-{number}"))
        for number in range(count)
        for entry in entries
    ]
    done = gatherResults(sent)
    while not done.called:
        running = sum(
            daemon.entry.loans.count_in_use() for daemon in context.daemons.values()
        )
        context.most_running = max(context.most_running, running)
        await deferLater(reactor, 0.002)
    return await done


@when('request "{request_id:w}" is begun through "{entry:S}"')
def step_begin(context, request_id, entry):
    async def begin():
        context.begun.append(ensureDeferred(send(context, entry, request_id)))
        await deferLater(reactor, BEGIN_S)

    run_coroutine(begin)


@when('request "{request_id:w}" is begun through "{entry:S}" and its caller goes away')
def step_begin_gone(context, request_id, entry):
    async def begin():
        sent = ensureDeferred(send(context, entry, request_id))
        sent.addErrback(lambda failure: None)
        await deferLater(reactor, BEGIN_S)
        sent.cancel()

    run_coroutine(begin)


@when('"{entry:S}" is cut off')
def step_cut_off(context, entry):
    context.views[entry].fresh = context.views[entry].reachable = False


@when('"{entry:S}" is cut off and its session is closed')
def step_cut_off_close(context, entry):
    step_cut_off(context, entry)
    step_close_session(context, entry)


@when('the session of "{entry:S}" is closed')
def step_close_session(context, entry):
    context.closed = context.daemons[entry].entry.session.name
    propose(context, CloseSession(entry, context.closed))


@when("kept answers are forgotten")
def step_forget(context):
    log = context.daemon.log
    propose(context, ForgetAnswers(log.time_ms() + 1))


@when("the service's key is withdrawn")
def step_withdraw(context):
    propose(context, WithdrawKey(split_key(context.key)[0]))


@when('"{method:S}" "{path}" is sent with "{header:S}" as "{value}"')
def step_send_number(context, method, path, header, value):
    headers = {header.replace("-", "_"): value}
    context.response = run_coroutine(
        lambda: caller_of(context, "entry-1").send(method, path, b"", **headers)
    )


def submit_job(context):
    path = f"/v1/queues/{context.service}/jobs"
    return caller_of(context, "entry-1").send("POST", path, b"settle the month")


def take_job(context, wait_s):
    path = f"/v1/queues/{context.service}/take?target={context.service}-t0"
    return caller_of(context, "entry-2").send("POST", f"{path}&wait_s={wait_s}")


@when("a job is taken while the key that takes it is withdrawn")
def step_take_withdrawn(context):
    key_id, secret = split_key(context.key)
    kept = context.daemon.log.state.keys[key_id]
    propose(context, GiveKey("other", "dispatch", kept.salt, kept.digest))

    async def run():
        taking = ensureDeferred(take_job(context, 2))
        await deferLater(reactor, BEGIN_S)
        await context.daemon.log.propose(WithdrawKey(key_id))
        submitter = caller_of(context, "entry-1")
        submitter.key = f"mlk_other_{secret}"
        assert (await submit_job(context)).status == 202
        return await taking

    context.response = run_coroutine(run)


@when("a job is taken while calls fill the pool")
def step_take_full(context):
    async def fill(taking):
        while not taking.called:
            await send_many(context, 20, list(context.daemons))

    async def run():
        await submit_job(context)
        calls = ensureDeferred(send_many(context, 20, list(context.daemons)))
        await deferLater(reactor, BEGIN_S)
        taking = ensureDeferred(take_job(context, TAKE_WAIT_S))
        filling = ensureDeferred(fill(taking))
        response = await taking
        await gatherResults([calls, filling])
        return response

    context.response = run_coroutine(run)


@when('"{entry:S}" is stopped')
def step_stop(context, entry):
    context.cut_off = run_coroutine(context.daemons[entry].stop)


@when('"{entry:S}" is stopped in a hurry')
def step_hurry(context, entry):
    async def run():
        daemon = context.daemons[entry]
        stopped = ensureDeferred(daemon.stop())
        await deferLater(reactor, BEGIN_S)
        daemon.expedite_stop()
        cut_off = await stopped
        context.begun.pop().addErrback(lambda failure: None)
        return cut_off

    context.cut_off = run_coroutine(run)


@when('"{entry:S}" begins to stop')
def step_begin_stop(context, entry):
    async def run():
        ensureDeferred(context.daemons[entry].stop())

    run_coroutine(run)
