"""
mulberryledge_daemon.peers.network
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connections of one daemon: it listens, dials peers, and hands messages on.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from twisted.internet.endpoints import (
    SSL4ClientEndpoint,
    TCP4ClientEndpoint,
    connectProtocol,
)
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from mulberryledge_daemon.peers.link import (
    Link,
    LinkTiming,
    Traffic,
    accept_link,
    dial_link,
)
from mulberryledge_daemon.peers.messages import TABLE, Hello

__all__ = ["Handlers", "Network", "PeerAddress", "TlsIdentity"]

CONNECT_TIMEOUT_S = 1.0
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens."""

    name: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Handlers:
    """
    What the owner of a network does.

    Attributes
    ----------
    hello : callable
        Returns this daemon's first message.
    greet : callable
        Takes a peer's first message; returns why it is refused, or an empty text.
    message : callable
        Takes a message and the name of its sender.
    closed : callable
        Takes the name of a peer whose connection ended.
    """

    hello: Callable[[], Hello]
    greet: Callable[[Hello], str]
    message: Callable[[str, object], None]
    closed: Callable[[str], None]


class TlsIdentity(Protocol):
    """What TLS between daemons does, if there is any."""

    def names_shown(self, transport) -> tuple[str, ...]:
        """Return the names in the certificate that a peer has shown."""

    def getContext(self) -> object:
        """Return the context of a connection."""


class Network:
    """Owns the connections to the other daemons, one a pair."""

    def __init__(
        self,
        reactor,
        name: str,
        handlers: Handlers,
        random: Random,
        tls: TlsIdentity | None = None,
        timing: LinkTiming | None = None,
    ):
        self.timing = timing or LinkTiming()
        self.reactor = reactor
        self.tls = tls
        self.name = name
        self.handlers = handlers
        self.random = random
        self.traffic = Traffic()
        self.links: dict[str, Link] = {}
        self.opening: set[Link] = set()
        self.addresses: dict[str, PeerAddress] = {}
        self.delays: dict[str, float] = {}
        self.dialling: set[str] = set()
        self.port = None
        self.stopped = False
        self.watch = LoopingCall(self.watch_links)
        self.watch.clock = reactor

    def listen(self, address: str, port: int) -> None:
        """Accept connections."""
        factory = Factory.forProtocol(
            lambda: accept_link(self.reactor, self.traffic, **self.wires())
        )
        factory.noisy = False
        if self.tls is None:
            self.port = self.reactor.listenTCP(port, factory, interface=address)
        else:
            self.port = self.reactor.listenSSL(
                port, factory, self.tls, interface=address
            )
        self.start_watch()

    def start_watch(self) -> None:
        """Begin to look after the connections."""
        self.watch.start(self.timing.watch_s, now=False)

    def wires(self) -> dict[str, Callable]:
        """Return the handlers of a link."""
        return {
            "on_made": self.opening.add,
            "on_open": self.on_open,
            "on_message": self.on_message,
            "on_close": self.on_close,
        }

    def set_peers(self, peers: tuple[PeerAddress, ...]) -> None:
        """Dial the given peers from now on, and no others; connections stay."""
        wanted = {peer.name: peer for peer in peers if peer.name != self.name}
        self.addresses = wanted
        for name in wanted:
            self.dial(name)

    def dial(self, name: str) -> None:
        """Connect to a peer unless there is a connection or an attempt."""
        peer = self.addresses.get(name)
        busy = name in self.links or name in self.dialling
        if peer is None or busy or self.stopped:
            return
        self.dialling.add(name)
        link = dial_link(
            peer.address, peer.port, self.reactor, self.traffic, **self.wires()
        )
        link.peer = name
        link.dialled = True
        endpoint = TCP4ClientEndpoint(
            self.reactor, peer.address, peer.port, CONNECT_TIMEOUT_S
        )
        if self.tls is not None:
            endpoint = SSL4ClientEndpoint(
                self.reactor, peer.address, peer.port, self.tls, CONNECT_TIMEOUT_S
            )
        connected = connectProtocol(endpoint, link)
        connected.addErrback(lambda _: self.dial_later(name))

    def dial_later(self, name: str) -> None:
        """Dial again after a delay that doubles, with jitter."""
        self.dialling.discard(name)
        delay = self.delays.get(name, REDIAL_MIN_S)
        self.delays[name] = min(delay * 2, REDIAL_MAX_S)
        if not self.stopped:
            jitter = delay * (0.5 + self.random.random())
            self.reactor.callLater(jitter, self.dial, name)

    def on_open(self, link: Link) -> None:
        """Greet the peer."""
        link.send(TABLE.encode(self.handlers.hello()))

    def on_message(self, link: Link, data: bytes) -> None:
        """Decode a message; the first one must be a greeting."""
        try:
            message = TABLE.decode(data)
        except ValueError as error:
            logger.error("bad message", extra={"peer": link.peer, "why": str(error)})
            link.transport.abortConnection()
            return
        if isinstance(message, Hello):
            self.on_hello(link, message)
        elif self.links.get(link.peer) is link:
            self.handlers.message(link.peer, message)

    def on_hello(self, link: Link, hello: Hello) -> None:
        """Take a connection into use, in place of an older one to the peer."""
        expected = link.peer
        problem = self.handlers.greet(hello)
        if expected not in ("", hello.name):
            problem = f"{expected!r} answered as {hello.name!r}"
        if self.tls is not None:
            names = self.tls.names_shown(link.transport)
            if hello.name not in names:
                problem = f"its certificate is for {', '.join(names) or 'nobody'}"
        if problem:
            extra = {"peer": hello.name, "why": problem}
            logger.error("peer refused", extra=extra)
            link.close()
            return
        link.peer = hello.name
        older = self.links.get(hello.name)
        if older is not None and self.is_better(older, link, hello):
            self.opening.discard(link)
            self.dialling.discard(hello.name)
            link.close()
            return
        link.session = hello.session
        self.links[hello.name] = link
        self.opening.discard(link)
        self.dialling.discard(hello.name)
        self.delays.pop(hello.name, None)
        if older is not None and older is not link:
            older.transport.abortConnection()
        self.handlers.message(hello.name, hello)

    def is_better(self, older: Link, link: Link, hello: Hello) -> bool:
        """
        Return whether an older connection is kept.

        Where both sides have dialled, both keep what the lower name dialled.
        """
        if older.session != hello.session or older.dialled == link.dialled:
            return False
        return older.dialled == (self.name < hello.name)

    def on_close(self, link: Link) -> None:
        """Dial again if the peer is still wanted."""
        self.opening.discard(link)
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.handlers.closed(link.peer)
        if link.peer in self.addresses and link.peer not in self.links:
            self.dial_later(link.peer)

    def send(self, to: str, message: object) -> bool:
        """Send a message; return False if there is no connection or no room."""
        link = self.links.get(to)
        return link is not None and link.send(TABLE.encode(message))

    def watch_links(self) -> None:
        """Ping silent peers."""
        for link in (*self.links.values(), *self.opening):
            link.ping_if_silent(self.timing)

    async def stop(self) -> None:
        """Close everything."""
        self.stopped = True
        if self.watch.running:
            self.watch.stop()
        for link in (*self.links.values(), *self.opening):
            link.close()
        if self.port is not None:
            await self.port.stopListening()
