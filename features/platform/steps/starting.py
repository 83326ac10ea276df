"""Steps on an entry that starts while callers connect."""

import subprocess
import sys

from behave import given, then, when
from mulberryledge_testing.ports import free_ports
from mulberryledge_testing.reactor_thread import run_coroutine
from support.http_service import REQUEST, WAIT_S, answer, connect
from twisted.internet import reactor

from mulberryledge_platform.http_server import HttpServer
from mulberryledge_platform.main import open_listener
from mulberryledge_platform.settings import Address

LATE_MODULES = ("twisted", "mulberryledge_platform.entry", "mulberryledge_daemon")
LIST_MODULES = "import sys, mulberryledge_platform.main; print(*sys.modules)"


@given("an address at which callers' connections are accepted")
def step_early_address(context):
    context.address = ("127.0.0.1", free_ports(1)[0])
    context.listener = open_listener(Address(*context.address))
    context.scenario_stack.callback(context.listener.close)


@when("a caller sends a request, and the service starts afterwards")
def step_request_before_start(context):
    context.caller = connect(context)
    context.caller.sendall(REQUEST)

    async def listen():
        service = HttpServer(reactor, Address(*context.address), answer)
        service.listen(context.listener)
        return service

    context.service = run_coroutine(listen)


@then("further connections are accepted")
def step_further_connections(context):
    context.caller = connect(context)
    context.caller.sendall(REQUEST)
    assert b"200 OK" in context.caller.recv(1_000)
    run_coroutine(context.service.stop_listening, WAIT_S)


@then("the command line loads neither the reactor nor a role")
def step_late_modules(context):
    listed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        capture_output=True,
        check=True,
        text=True,
        timeout=WAIT_S,
    )
    loaded = listed.stdout.split()
    early = [name for name in LATE_MODULES if name in loaded]
    assert "mulberryledge_platform.main" in loaded and not early, early


@then("opening it again yields no socket")
def step_second_listener(context):
    assert open_listener(Address(*context.address)) is None
