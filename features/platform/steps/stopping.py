"""Steps on a stopping HTTP service."""

import socket

from behave import given, then, when
from mulberryledge_testing.ports import free_ports
from mulberryledge_testing.reactor_thread import run_coroutine
from support.http_service import REQUEST, WAIT_S, answer, connect
from twisted.internet import reactor
from twisted.internet.task import deferLater

from mulberryledge_platform.http_server import HttpServer
from mulberryledge_platform.settings import Address

POLL_S = 0.01


@given("a service with an open connection")
def step_service(context):
    context.address = ("127.0.0.1", free_ports(1)[0])

    async def listen():
        service = HttpServer(reactor, Address(*context.address), answer)
        service.listen()
        return service

    context.service = run_coroutine(listen)
    context.caller = connect(context)

    async def accepted():
        while not context.service.site.open:
            await deferLater(reactor, POLL_S)

    run_coroutine(accepted, WAIT_S)


@when("a request arrives while the process is blocked, and idle connections are closed")
def step_request_arrives(context):
    async def block():
        context.caller.sendall(REQUEST)  # the reactor cannot read before this returns
        await context.service.close_idle()

    run_coroutine(block, WAIT_S)


@when(
    "a new connection brings a request while the process is blocked,"
    " and it stops listening"
)
def step_new_connection(context):
    async def block():
        context.caller = connect(context)
        context.caller.sendall(REQUEST)
        await context.service.stop_listening()
        await context.service.close_idle()

    run_coroutine(block, WAIT_S)


@when(
    "{count:d} new connections bring requests while the process is blocked,"
    " and it stops"
)
def step_many_connections(context, count):
    async def block():
        context.callers = [connect(context) for _ in range(count)]
        for caller in context.callers:
            caller.sendall(REQUEST)
        await context.service.stop_listening()
        await context.service.close_idle()

    run_coroutine(block, WAIT_S)


@then("each of these requests is answered")
def step_all_answered(context):
    replies = []
    for caller in context.callers:
        try:
            replies.append(caller.recv(1_000))
        except ConnectionError:
            replies.append(b"")
    unanswered = [reply for reply in replies if b"200 OK" not in reply]
    assert not unanswered, f"{len(unanswered)} of {len(replies)}"


@then("the request is answered")
def step_answered(context):
    assert b"200 OK" in context.caller.recv(1_000)


@then("new connections are refused")
def step_closed(context):
    with socket.socket() as other:
        assert other.connect_ex(context.address) != 0
