"""
mulberryledge_testing.bench.path.servers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The child processes: ``python -m mulberryledge_testing.bench.path.servers KIND [PORT
...]`` prints one JSON line and serves until its standard input ends.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable

from httptools import HttpRequestParser

__all__ = ["SERVERS", "get_server_by_name"]

BODY = b"x" * 64
DOCUMENT = """
[service]
name = "route-plans"
team = "dispatch"
pool = "interior"
[calls]
repeatable = true
deadline_ms = {deadline_ms}
"""


class TargetProtocol(asyncio.Protocol):
    """A light target: answers after a delay and echoes the request id."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.begin()

    def begin(self) -> None:
        """Get ready for the next request."""
        self.parser = HttpRequestParser(self)
        self.request_id = b""

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse."""
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the request id."""
        if name.lower() == b"x-request-id":
            self.request_id = value

    def on_message_complete(self) -> None:
        """Answer now or later."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: %s\r\n"
        answer = head % self.request_id + b"Content-Length: %d\r\n\r\n" % len(BODY)
        loop = asyncio.get_running_loop()
        if self.delay_s:
            loop.call_later(self.delay_s, self.transport.write, answer + BODY)
        else:
            self.transport.write(answer + BODY)
        loop.call_soon(self.begin)


def say(port: int, key: str = "") -> None:
    """Tell the parent where this process listens."""
    print(json.dumps({"port": port, "key": key}), flush=True)


def serve_target(delay_ms: str = "0") -> None:
    """Serve as a target."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: TargetProtocol(float(delay_ms) / 1_000), "127.0.0.1", 0
        )
        say(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, sys.stdin.read)

    asyncio.run(run())


def serve_bare() -> None:
    """Serve a constant from a bare ``twisted.web`` server."""
    from twisted.internet import reactor
    from twisted.web.resource import Resource
    from twisted.web.server import Site

    class Constant(Resource):
        isLeaf = True

        def render(self, request):
            return BODY

    run_reactor(reactor, reactor.listenTCP(0, Site(Constant()), interface="127.0.0.1"))


def serve_agent(target_port: str) -> None:
    """Serve a plain pass-through on ``twisted.web.client.Agent``."""
    from io import BytesIO

    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.web.client import (
        Agent,
        FileBodyProducer,
        HTTPConnectionPool,
        readBody,
    )
    from twisted.web.resource import Resource
    from twisted.web.server import NOT_DONE_YET, Site

    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 64
    agent = Agent(reactor, pool=pool)

    class PassThrough(Resource):
        isLeaf = True

        def render(self, request):
            Deferred.fromCoroutine(self.forward(request))
            return NOT_DONE_YET

        async def forward(self, request) -> None:
            body = request.content.read()
            url = f"http://127.0.0.1:{target_port}".encode() + request.uri
            producer = FileBodyProducer(BytesIO(body)) if body else None
            answer = await agent.request(request.method, url, None, producer)
            request.write(await readBody(answer))
            request.finish()

    site = Site(PassThrough())
    run_reactor(reactor, reactor.listenTCP(0, site, interface="127.0.0.1"))


def serve_entry(deadline_ms: str, *target_ports: str) -> None:
    """Serve one daemon with a target at each port, each in a zone of its own."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    from mulberryledge_daemon.daemon import open_daemon
    from mulberryledge_daemon.settings import DaemonSection, Settings, TimingSection
    from mulberryledge_testing.views import set_up_service

    timing = TimingSection(target_lease_s=3_600.0)
    settings = Settings(DaemonSection("entry-1", availability_zone="z0"), timing=timing)

    async def begin(daemon) -> None:
        await daemon.start()
        ports = [int(port) for port in target_ports]
        document = DOCUMENT.format(deadline_ms=deadline_ms)
        key = await set_up_service(daemon.log, document, ports)
        say(daemon.callers_port, key)

    with open_daemon(reactor, settings) as daemon:
        reactor.callWhenRunning(lambda: Deferred.fromCoroutine(begin(daemon)))
        run_reactor(reactor)


def run_reactor(reactor, port=None) -> None:
    """Run until the parent closes the standard input."""
    if port is not None:
        say(port.getHost().port)
    reactor.callInThread(wait_for_parent, reactor)
    reactor.run(installSignalHandlers=False)


def wait_for_parent(reactor) -> None:
    """End the process when the parent closes the standard input."""
    sys.stdin.read()
    os._exit(0)


SERVERS: dict[str, Callable[..., None]] = {
    "target": serve_target,
    "bare": serve_bare,
    "agent": serve_agent,
    "entry": serve_entry,
}


def get_server_by_name(name: str) -> Callable[..., None] | None:
    """Return the function that serves, or None."""
    return SERVERS.get(name)


if __name__ == "__main__":
    get_server_by_name(sys.argv[1])(*sys.argv[2:])
