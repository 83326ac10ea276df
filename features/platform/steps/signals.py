"""Steps on programs of a deployment that get signals."""

import json
import re
import signal
import socket
import tempfile
import threading
import time
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from support.calls import (
    HOST,
    KEY,
    PREFIX,
    READY_S,
    STEP,
    call,
    control_url,
    leader_of,
    machines,
    readiness_of,
    send_manifest,
    wait_until,
)
from twisted.internet.defer import ensureDeferred

from mulberryledge_platform.running import stop_program
from mulberryledge_platform_testing.programs import (
    CALLERS_PORT,
    CONTROL_PORT,
    running_deployment,
)

LOSS_SLACK_S = 0.2  # the platform's loss_slack_ms
PAUSE_S = 0.3
STOP_SETTLE_S = 0.1
CALLER_TIMEOUT_S = 5.0
SIGNAL_GAP_S = 0.2
SIGHUP_GAP_S = 0.005
PARTS = (b"POST /Instances.Leave/nobody HTTP/1.1\r\nHost: core\r\n", b"\r\n")
LENGTH = re.compile(rb"content-length: (\d+)\r\n", re.IGNORECASE)
MAX_JOBS = 10_000  # of one caller
SUBMIT_GAP_S = 0.01
SUBMIT = (
    f"POST {PREFIX}{{:016x}} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n"
    "X-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n"
)
LIST_QUEUE = f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n\r\n".encode()


def start_deployment(context, cores):
    """Start a deployment without entries."""
    folder = Path(context.scenario_stack.enter_context(tempfile.TemporaryDirectory()))
    context.deployment = context.scenario_stack.enter_context(
        running_deployment(folder, cores, 0)
    )


@given("an entry at an address that another process has")
def entry_without_port(context):
    start_deployment(context, 0)
    other = context.scenario_stack.enter_context(socket.socket())
    other.bind((f"127.{context.deployment.network}.0.1", CALLERS_PORT))
    other.listen()
    context.program = context.deployment.add("entry")
    wait_until(
        READY_S,
        lambda: '"started"' in context.deployment.log(context.program),
        "the entry has started",
    )


@given("a program whose stop raises an error")
def failing_program(context):
    async def stop():
        raise RuntimeError("no port")

    context.program = SimpleNamespace(stop=stop)


@when("the program is told to stop")
def stop_failing_program(context):
    context.reactor_stops = []
    reactor = SimpleNamespace(stop=lambda: context.reactor_stops.append(True))
    stopped = ensureDeferred(stop_program(context.program, reactor))
    stopped.addErrback(lambda failure: failure.trap(RuntimeError))


@then("its reactor is stopped")
def reactor_stopped(context):
    assert context.reactor_stops == [True], context.reactor_stops


@given("three core machines that know one another")
def core_machines(context):
    start_deployment(context, 3)
    for name in machines(context, "core"):
        url = control_url(context, name) + "/Configuration.Get"
        wait_until(READY_S, lambda url=url: call(url)[0] != 0, f"{name} serves")
    wait_until(READY_S, lambda: send_manifest(context, 3), "a manifest")


@when('it gets "{names}"')
def send_signals(context, names):
    context.stop_s = time.monotonic()
    for name in names.split():
        context.deployment.signal(context.program, getattr(signal, name))
        time.sleep(SIGNAL_GAP_S)


@when('it gets other seeds and "{first}", and is stopped by "{last}"')
def send_series(context, first, last):
    send_signals(context, first)
    path = context.deployment.programs[context.program].folder / "local.toml"
    seeds = json.dumps(context.deployment.seeds()[:1])
    path.write_text(re.sub(r"seeds = .*", f"seeds = {seeds}", path.read_text()))
    send_signals(context, first)
    send_signals(context, last)


@then("it ends with code {code:d} within {seconds:g} seconds")
def ends(context, code, seconds):
    process = context.deployment.programs[context.program].process
    remaining_s = context.stop_s + seconds - time.monotonic()
    assert process.wait(remaining_s) == code, context.deployment.log(context.program)


@when("a core machine that does not lead gets the two parts before and after its stop")
def stop_core(context):
    leader = leader_of(context)
    names = machines(context, "core")
    context.program = next(name for name in names if name != leader)
    ip = context.deployment.programs[context.program].ip
    first, second = PARTS
    with socket.create_connection((ip, CONTROL_PORT), CALLER_TIMEOUT_S) as caller:
        caller.sendall(first)
        time.sleep(PAUSE_S)
        send_signals(context, "SIGTERM")
        caller.sendall(second)
        context.reply = receive(caller)


@then("the request has got an answer")
def answered(context):
    assert context.reply.startswith(b"HTTP/1.1 "), context.reply


def receive(connection):
    """Return what comes up to the end of a reply or of the connection."""
    data = b""
    try:
        while part := connection.recv(4_096):
            data += part
            head, found, body = data.partition(b"\r\n\r\n")
            if found and len(body) == int(LENGTH.search(head + b"\r\n")[1]):
                return data
    except OSError:
        pass  # an incomplete reply is judged by the caller
    return b""


@given("{count:d} connections on which callers use an entry all the time")
def used_entry(context, count):
    context.program = context.deployment.add("entry")
    wait_until(
        READY_S, lambda: readiness_of(context, context.program) == 200, "it is ready"
    )
    context.outcomes = []
    program = context.deployment.programs[context.program]
    address = (program.ip, CALLERS_PORT)

    def use():
        while program.process.poll() is None:
            try:
                use_connection()
            except OSError:
                time.sleep(SIGNAL_GAP_S)  # refused, or closed before the request

    def use_connection():
        with socket.create_connection(address, CALLER_TIMEOUT_S) as connection:
            reply = b"first"
            while reply and b"connection: close" not in reply.lower():
                connection.sendall(LIST_QUEUE)
                sent_s = time.monotonic()
                reply = receive(connection)
                waited_s = time.monotonic() - sent_s
                context.outcomes.append((bool(reply), waited_s))

    context.callers = [threading.Thread(target=use) for _ in range(count)]
    for caller in context.callers:
        caller.start()
    context.scenario_stack.callback(context.deployment.close)


@given("{count:d} connections on which callers submit jobs to an entry all the time")
def submitting_callers(context, count):
    context.program = context.deployment.add("entry")
    wait_until(
        READY_S, lambda: readiness_of(context, context.program) == 200, "it is ready"
    )
    context.outcomes = []
    context.ended = threading.Event()
    address = (context.deployment.programs[context.program].ip, CALLERS_PORT)
    body = json.dumps({"task_spec": "text", "steps": [STEP]})

    def submit_jobs(caller):
        with socket.create_connection(address, CALLER_TIMEOUT_S) as connection:
            for number in range(MAX_JOBS):
                if context.ended.is_set():
                    return
                request = SUBMIT.format(caller * MAX_JOBS + number, len(body)) + body
                sent_s = time.monotonic()
                connection.sendall(request.encode())
                status = receive(connection)[:12].decode()
                context.outcomes.append((status, time.monotonic() - sent_s))
                time.sleep(SUBMIT_GAP_S)

    context.callers = [
        threading.Thread(target=submit_jobs, args=[number]) for number in range(count)
    ]
    for caller in context.callers:
        caller.start()
    context.scenario_stack.callback(context.ended.set)


@when("the leader is stopped, and {seconds:g} seconds pass")
def stop_leader(context, seconds):
    time.sleep(PAUSE_S)
    before = len(context.outcomes)
    context.deployment.signal(leader_of(context), signal.SIGTERM)
    time.sleep(seconds)
    context.ended.set()
    for caller in context.callers:
        caller.join()
    assert len(context.outcomes) > before > 0, context.outcomes


@then("each of these jobs was accepted within {seconds:g} seconds")
def all_accepted(context, seconds):
    others = [
        outcome
        for outcome in context.outcomes
        if outcome[0] != "HTTP/1.1 200" or outcome[1] > seconds
    ]
    assert not others, f"{len(others)} of {len(context.outcomes)}: {others[:5]}"


@then("no request of its callers ended without an answer")
def none_lost(context):
    for caller in context.callers:
        caller.join()
    waits_s = [wait_s for answered, wait_s in context.outcomes if not answered]
    assert all(wait_s < LOSS_SLACK_S for wait_s in waits_s), waits_s
    assert len(waits_s) < len(context.outcomes) / 2, len(waits_s)


@when("an entry starts, and gets SIGHUP again and again once it accepts connections")
def hang_up_early(context):
    deployment = context.deployment
    context.program = deployment.add("entry")
    process = deployment.programs[context.program].process
    while not deployment.listens(context.program):
        time.sleep(SIGHUP_GAP_S)
    while not deployment.log(context.program) and process.poll() is None:
        process.send_signal(signal.SIGHUP)
        time.sleep(SIGHUP_GAP_S)


@then("it starts")
def has_started(context):
    process = context.deployment.programs[context.program].process

    def started():
        assert process.poll() is None, f"it ended with {process.poll()}"
        return '"started"' in context.deployment.log(context.program)

    wait_until(READY_S, started, "it has started")
