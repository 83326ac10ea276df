"""Steps on orders whose sender or target may be another one before they are sent."""

import re
from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import TaskId
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import (
    OrderOutcome,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from mulberryledge_platform.http_client import HttpClient
from mulberryledge_platform.targets import ORDER_TIMEOUT_S, HttpTargetOrders

TARGET = Target("i-1", 1, "m-1", "10.0.0.9:80", "plans", "z1", "r1", (), Size(1, 1))
FENCE, LAST_SEEN = 3, 57
STATUS_LINE = re.compile(r"status (\d+)(?:: (.*))?")


class Transport(StringTransport):
    """Transport of a connection whose peer is simulated."""

    def setTcpNoDelay(self, enabled):
        pass


def encode_answer(body, status=200):
    """Return an answer of a target."""
    data = body.encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


ANSWER = encode_answer('{"clock_ms":7,"running":[],"ended":[]}')


def collect(outcome):
    answers = []
    ensureDeferred(outcome).addCallback(answers.append)
    return answers


def order_start(context, index, target=TARGET):
    order = StartOrder(TaskId("0" * 16, 0, 0, index), 1, "", 1_000, FENCE)
    return collect(context.orders.start(target, order))


def open_connection(context):
    """Complete the last attempt to connect; the target gets the check."""
    factory = context.reactor.tcpClients[-1][2]
    context.protocol = factory.buildProtocol(None)
    context.transport = Transport()
    context.protocol.makeConnection(context.transport)


def open_checked_connection(context):
    open_connection(context)
    context.protocol.dataReceived(ANSWER)


@given("orders to a target over a connection that {state}")
def orders_over_connection(context, state):
    context.reactor = MemoryReactorClock()
    context.permission = [True]
    client = HttpClient(context.reactor, 1)
    context.orders = HttpTargetOrders(client, lambda: context.permission[0])
    context.busy = state == "is busy"
    if context.busy:
        order_start(context, 0)
        open_checked_connection(context)


@when("a start is ordered, {change}, and the connection is ready")
def start_ordered(context, change):
    context.answers = order_start(context, 1)
    if not context.busy:
        open_connection(context)  # the permission is lost during its check
    context.permission[0] = change == "nothing changes"
    context.protocol.dataReceived(ANSWER)


@then("the order is sent")
def is_sent(context):
    assert b".0.0.1" in context.transport.value()
    context.protocol.dataReceived(ANSWER)
    assert context.answers[0].outcome == OrderOutcome.DONE, context.answers


@then("the order is not sent")
def is_not_sent(context):
    assert b".0.0.1" not in context.transport.value()
    assert context.answers[0].outcome == OrderOutcome.NOT_SENT, context.answers


ORDERS = {
    "a start": lambda orders, target: orders.start(
        target, StartOrder(TaskId("0" * 16, 0, 0, 1), 1, "", 1_000, FENCE)
    ),
    "a stop": lambda orders, target: orders.stop(
        target, StopOrder(TaskId("0" * 16, 0, 0, 1), 1, FENCE)
    ),
    "a speed": lambda orders, target: orders.throttle(
        target, ThrottleOrder(TaskId("0" * 16, 0, 0, 1), 1, 50, FENCE)
    ),
    "a renewal": lambda orders, target: orders.renew_lease(
        target, RenewOrder(FENCE, LAST_SEEN, 1_000, 100)
    ),
}
CHECK = b'{"fencing_token":3,"last_seen":0}'


@given("a new connection to a target that was started at {born_ms:d}")
def new_connection(context, born_ms):
    context.reactor = MemoryReactorClock()
    context.permission = [True]
    context.client = HttpClient(context.reactor, 1)
    context.orders = HttpTargetOrders(context.client, lambda: context.permission[0])
    context.target = replace(TARGET, started_ms=born_ms)


@given("a checked connection to a target that was started at {born_ms:d}")
def checked_connection(context, born_ms):
    new_connection(context, born_ms)
    order_start(context, 1, context.target)
    open_checked_connection(context)
    context.protocol.dataReceived(ANSWER)


@when("{order} is due, and the lists on the connection are {lists}")
def order_due(context, order, lists):
    context.answers = collect(ORDERS[order](context.orders, context.target))
    open_connection(context)
    sent = context.transport.value()
    assert sent.count(b"POST ") == 1 and sent.endswith(CHECK), sent
    context.transport.clear()
    status = STATUS_LINE.fullmatch(lists)
    if lists == "closed":
        context.protocol.connectionLost()
    elif lists == "silent":
        context.reactor.advance(ORDER_TIMEOUT_S)
    elif status is not None:
        answer = encode_answer(status[2] or "", int(status[1]))
        context.protocol.dataReceived(answer)
    else:
        context.protocol.dataReceived(encode_answer(lists))


@then('the order is {fate}, and its outcome is "{outcome}"')
def order_has_fate(context, fate, outcome):
    if fate == "sent":
        assert context.transport.value().count(b"POST ") == 1
        context.protocol.dataReceived(ANSWER)
    else:
        assert context.transport.value() == b"", context.transport.value()
        assert not context.protocol.open
    assert [one.outcome for one in context.answers] == [outcome], context.answers


@when("an order for its next process, started at {born_ms:d}, is due")
def order_for_next(context, born_ms):
    context.attempts = len(context.reactor.tcpClients)
    context.transport.clear()
    order_start(context, 2, replace(context.target, started_ms=born_ms))


@then("a new connection is opened for it")
def connection_opened(context):
    assert len(context.reactor.tcpClients) == context.attempts + 1
    assert context.transport.value() == b"", context.transport.value()


@when("a start is due, and {change} while the connection is opened")
def changes_while_connecting(context, change):
    context.answers = order_start(context, 1, context.target)
    if change == "the session ends":
        context.orders.close_connections(context.target)
    else:
        context.permission[0] = False
    open_connection(context)


@then("nothing is sent, and the connection is closed")
def nothing_sent(context):
    assert context.transport.value() == b"", context.transport.value()
    assert context.transport.disconnected or context.transport.disconnecting
    found = [one.outcome for one in context.answers]
    assert found == [OrderOutcome.NOT_SENT], found


def sent_starts(context):
    """Return how many starts were sent on the last connection."""
    return context.transport.value().count(b"/run-start")


@when("two starts are due, and the check is answered in part")
def answered_in_part(context):
    two_starts_due(context)
    context.protocol.dataReceived(ANSWER[:-1])


@when("two starts are due, and the check is answered, and the answer has a second one")
def answered_twice(context):
    two_starts_due(context)
    context.protocol.dataReceived(ANSWER + ANSWER)


@when("two starts are due, and the check is answered, and the connection is to end")
def answered_last(context):
    two_starts_due(context)
    head, _, body = ANSWER.partition(b"\r\n\r\n")
    answer = head + b"\r\nConnection: close\r\n\r\n" + body
    context.protocol.dataReceived(answer)


@when("two starts are due, and the check isn't answered, and the connection ends")
def unanswered_and_ended(context):
    two_starts_due(context)
    context.protocol.connectionLost()
    open_connection(context)


@when("two starts are due, and the check is answered completely")
def answered(context):
    two_starts_due(context)
    context.protocol.dataReceived(ANSWER)


def two_starts_due(context):
    context.answers = [order_start(context, 1, context.target)]
    context.answers.append(order_start(context, 2, context.target))
    open_connection(context)


@then("no start is sent")
@then("no start is sent on a new connection")
def no_start_sent(context):
    assert not sent_starts(context), context.transport.value()


@then("one start is sent, the other one next")
def starts_sent(context):
    assert sent_starts(context) == 1, context.transport.value()
    context.protocol.dataReceived(ANSWER)
    assert sent_starts(context) == 2, context.transport.value()


@when("a start is answered late, and another one is due on a further connection")
def further_connection(context):
    context.client.pools[next(iter(context.client.pools))].max_connections = 2
    order_start(context, 1, context.target)
    context.first_transport = context.transport
    context.first_transport.clear()
    context.answers = order_start(context, 2, context.target)
    open_connection(context)


@when("the lists on that connection are of the process that was started at {born_ms:d}")
def lists_of_next(context, born_ms):
    context.protocol.dataReceived(encode_answer(f'{{"born":{born_ms}}}'))


@then('the second start is sent on neither, and its outcome is "{outcome}"')
def sent_on_neither(context, outcome):
    assert not sent_starts(context), context.transport.value()
    assert b".0.0.2" not in context.first_transport.value()
    assert [one.outcome for one in context.answers] == [outcome], context.answers
