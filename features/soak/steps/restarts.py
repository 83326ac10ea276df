"""Steps for targets that start again under their names."""

import json
import socket
from http.client import HTTPConnection

from behave import given, then, when
from mulberryledge_testing.batch.target import SimulatedTarget, TaskTruth
from twisted.internet import reactor
from twisted.internet.task import Clock, deferLater
from twisted.internet.threads import blockingCallFromThread

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec, TaskId
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import RenewOrder, StartOrder
from mulberryledge_platform.jobs import encode_task
from mulberryledge_platform_testing.http_targets import HttpTargets

TASK = TaskId("00000000000000aa", 0, 0, 0)
OTHER_TASK = TASK._replace(index=1)
FENCE, DEADLINE_MS, DURATION_MS = 7, 60_000, 20_000.0
SILENCE_S = 0.5
RESTART_S = 0.1


def make_targets():
    """Return one target that runs long tasks and reports to nobody."""
    targets = HttpTargets(reactor, [], {"plans-pool": 1})
    targets.durations_ms[TASK.job_id] = DURATION_MS
    return targets


def send(connection, path, fence=FENCE):
    """Send an order on a connection."""
    payload = {"fencing_token": fence, "deadline_ms": DEADLINE_MS}
    if path == "run-start":
        payload |= {"task": encode_task(OTHER_TASK), "run": 1, "task_spec": "text"}
    else:
        payload["last_seen"] = 3
    connection.request("POST", f"/{path}", json.dumps(payload))


def open_connection(target):
    """Open a connection to a target's address."""
    ip, _, port = target.address.partition(":")
    connection = HTTPConnection(ip, int(port), timeout=SILENCE_S)
    connection.auto_open = False
    connection.connect()
    return connection


@given("a target on loopback that runs a task, and an open connection to it")
def running_target(context):
    context.targets = blockingCallFromThread(reactor, make_targets)
    context.scenario_stack.callback(
        blockingCallFromThread, reactor, context.targets.stop_all
    )
    (context.host,) = context.targets.incarnations
    context.former = context.targets.incarnations[context.host]
    context.connection = open_connection(context.former.target)
    context.scenario_stack.callback(context.connection.close)
    send(context.connection, "run-start")
    assert context.connection.getresponse().read()
    assert context.former.running and context.former.fence == FENCE


@when("it crashes {how}, and its next process starts")
def restart(context, how):
    silently = how == "silently"
    target = blockingCallFromThread(
        reactor, context.targets.remove, context.host, silently
    )
    blockingCallFromThread(
        reactor, deferLater, reactor, RESTART_S, context.targets.restart, target
    )
    context.next = context.targets.incarnations[context.host]


@when("a {path} order is sent on the connection")
def send_on_old(context, path):
    context.failure = None
    try:
        send(context.connection, path)
        context.connection.getresponse()
    except OSError as error:
        context.failure = error


@when("a {path} order is sent on a new connection")
def send_on_new(context, path):
    connection = open_connection(context.next.target)
    context.scenario_stack.callback(connection.close)
    send(connection, path, FENCE - 1)
    context.answer = json.loads(connection.getresponse().read())


@then("the connection is open but silent")
def open_but_silent(context):
    assert isinstance(context.failure, socket.timeout), repr(context.failure)


@then("the connection is closed")
def closed(context):
    assert isinstance(context.failure, ConnectionError), repr(context.failure)


@then("the next process runs nothing, and has seen no order")
def nothing_executed(context):
    following = context.next
    assert not following.running and not following.closed_runs
    assert (following.fence, following.lease_ms, following.seen_number) == (0, 0, 0)


@then("the answer names a later start, and a clock that has just started")
def later_start(context):
    former, following = context.former.target, context.next.target
    assert following.name == former.name and following.address == former.address
    assert context.answer["born"] == following.started_ms > former.started_ms
    assert 0 <= context.answer["clock_ms"] < 2_000, context.answer


@then("the next process runs nothing, and has no fencing token and no end")
def counts_anew(context):
    assert context.answer["running"] == [] and context.answer["ended"] == []
    # The order's token is lower than the one that the former process has seen.
    assert context.next.number == 0 and context.next.fence == FENCE - 1


@then("the next process holds a lease of at most {seconds:d} s from now")
def bounded_lease(context, seconds):
    remaining_ms = context.next.lease_ms - context.answer["clock_ms"]
    assert 0 < remaining_ms <= seconds * 1_000 + 1, remaining_ms
    assert OTHER_TASK in context.next.running


def make_process(context):
    """Return a simulated process that notes what its ends are."""
    context.clock = Clock()
    context.clock.advance(100.0)
    context.noted = []
    target = Target("i-1", 1, "m-1", "", "", "", "", (), Size(8_000, 16_384))
    truth = TaskTruth(StepSpec(1, Size(500, 512)), DURATION_MS)

    def watch(what, process, task, run, how):
        if what == "noted":
            context.noted.append((task, run, str(how)))

    return SimulatedTarget(target, context.clock, lambda task: truth, watch)


def start_order(task, run, deadline_ms, fence=FENCE):
    """Return a start order."""
    return StartOrder(task, run, "text", deadline_ms, fence)


@given("a simulated process whose lease ends at 1,000 ms")
def leased_process(context):
    context.process = make_process(context)
    context.process.start(start_order(TASK, 2, 1_000))
    assert context.process.lease_ms == 1_000


@when("at {now:d} ms {what} arrives with a deadline of {deadline:d} ms")
def order_arrives(context, now, what, deadline):
    context.clock.advance(now / 1_000)
    orders = {
        "a renewal": RenewOrder(FENCE, 0, deadline),
        "a start": start_order(OTHER_TASK, 1, deadline),
        "the start of what runs there": start_order(TASK, 2, deadline),
        "a start refused as old": start_order(TASK, 1, deadline),
        "a start of a former leader": start_order(OTHER_TASK, 1, deadline, FENCE - 1),
    }
    order = orders[what]
    if isinstance(order, RenewOrder):
        context.process.view(order)
    else:
        context.process.start(order)


@then("its lease ends at {end:d} ms")
def lease_ends(context, end):
    assert context.process.lease_ms == end, context.process.lease_ms
    context.clock.advance((end - context.process.now_ms() + 2) / 1_000)
    assert not context.process.running


@given("a simulated process with an end as done")
def ended_process(context):
    context.process = make_process(context)
    context.process.start(start_order(TASK, 1, 6_000))
    context.process.end(TASK, 1, "done")
    context.expected = (TASK, 1, "done")


@when("an order has seen its number")
def seen(context):
    context.process.view(RenewOrder(FENCE, 1, None))


@when("an order has seen a number above all that it listed")
def seen_above(context):
    context.process.view(RenewOrder(FENCE, 57, None))


@when("an order has seen its number before it, and the task ends again")
def seen_before(context):
    context.process.view(RenewOrder(FENCE, 2, None))
    context.process.start(start_order(TASK, 2, 6_000))
    context.process.end(TASK, 2, "done")
    context.expected = (TASK, 2, "done")


@when("an order of a former leader has seen its number")
def seen_by_former(context):
    context.process.view(RenewOrder(FENCE - 1, 1, None))


@when("the lease expires, and an order has seen its number")
def seen_after_expiry(context):
    context.clock.advance(7.0)
    context.process.view(RenewOrder(FENCE, 1, None))


@then("the end is taken note of")
def end_noted(context):
    assert context.expected in context.noted, context.noted


@then("the end is not taken note of")
def end_not_noted(context):
    assert not context.noted, context.noted
