"""
mulberryledge_daemon.peers.network
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connections of one daemon: it listens, dials peers, and dispatches messages.
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
from twisted.internet.interfaces import IDelayedCall
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

__all__ = ["Network", "NetworkHandlers", "PeerAddress", "TlsIdentity"]

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
class NetworkHandlers:
    """
    Callbacks of a network's owner.

    Attributes
    ----------
    make_hello : callable
        Returns this daemon's handshake message.
    check_handshake : callable
        Receives a peer's handshake; returns the reason to refuse it, or an empty
        text.
    on_message : callable
        Receives a sender's name and its message.
    on_closed : callable
        Receives the name of a peer whose connection is lost.
    """

    make_hello: Callable[[], Hello]
    check_handshake: Callable[[Hello], str]
    on_message: Callable[[str, object], None]
    on_closed: Callable[[str], None]


class TlsIdentity(Protocol):
    """A daemon's certificate for mutual TLS."""

    def peer_names(self, transport) -> tuple[str, ...]:
        """Return the names in a peer's certificate."""

    def getContext(self) -> object:
        """Return the TLS context of a connection."""


class Network:
    """
    Owns the connections to the other daemons, one per pair.

    Attributes
    ----------
    redials : dict of str to IDelayedCall
        The next attempt to connect to a peer, by its name; at most one for each.
    """

    def __init__(
        self,
        reactor,
        name: str,
        handlers: NetworkHandlers,
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
        self.handshaking: set[Link] = set()
        self.addresses: dict[str, PeerAddress] = {}
        self.delays: dict[str, float] = {}
        self.dialling: set[str] = set()
        self.redials: dict[str, IDelayedCall] = {}
        self.port = None
        self.stopped = False
        self.check_loop = LoopingCall(self.check_links)
        self.check_loop.clock = reactor

    def listen(self, address: str, port: int) -> None:
        """Accept connections."""
        factory = Factory.forProtocol(
            lambda: accept_link(self.reactor, self.traffic, **self.link_handlers())
        )
        factory.noisy = False
        if self.tls is None:
            self.port = self.reactor.listenTCP(port, factory, interface=address)
        else:
            self.port = self.reactor.listenSSL(
                port, factory, self.tls, interface=address
            )
        self.start_link_checks()

    def start_link_checks(self) -> None:
        """Start the periodic check for silent connections."""
        self.check_loop.start(self.timing.check_interval_s, now=False)

    def link_handlers(self) -> dict[str, Callable]:
        """Return the handlers of a link."""
        return {
            "on_made": self.handshaking.add,
            "on_open": self.on_open,
            "on_message": self.on_message,
            "on_close": self.on_close,
        }

    def set_peers(self, peers: tuple[PeerAddress, ...]) -> None:
        """Dial only the given peers from now on; open connections stay."""
        by_name = {peer.name: peer for peer in peers if peer.name != self.name}
        self.addresses = by_name
        for name in set(self.delays) - set(by_name):
            del self.delays[name]
            self.cancel_redial(name)
        for name in by_name:
            self.dial(name)

    def dial(self, name: str) -> None:
        """Connect to a peer unless there is a connection or an attempt."""
        self.cancel_redial(name)
        peer = self.addresses.get(name)
        in_progress = name in self.links or name in self.dialling
        if peer is None or in_progress or self.stopped:
            return
        self.dialling.add(name)
        link = dial_link(
            peer.address, peer.port, self.reactor, self.traffic, **self.link_handlers()
        )
        link.peer = name
        link.outbound = True
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
        self.cancel_redial(name)
        if self.stopped or name not in self.addresses:
            return
        delay = self.delays.get(name, REDIAL_MIN_S)
        self.delays[name] = min(delay * 2, REDIAL_MAX_S)
        jitter = delay * (0.5 + self.random.random())
        self.redials[name] = self.reactor.callLater(jitter, self.dial, name)

    def cancel_redial(self, name: str) -> None:
        """Cancel the next attempt to connect to a peer."""
        redial = self.redials.pop(name, None)
        if redial is not None and redial.active():
            redial.cancel()

    def on_open(self, link: Link) -> None:
        """Send the handshake."""
        link.send(TABLE.encode(self.handlers.make_hello()))

    def on_message(self, link: Link, data: bytes) -> None:
        """Decode a message; the first one must be a handshake."""
        try:
            message = TABLE.decode(data)
        except ValueError as error:
            logger.error(
                "message cannot be decoded",
                extra={"peer": link.peer, "why": str(error)},
            )
            link.transport.abortConnection()
            return
        if isinstance(message, Hello):
            self.on_hello(link, message)
        elif self.links.get(link.peer) is link:
            self.handlers.on_message(link.peer, message)

    def on_hello(self, link: Link, hello: Hello) -> None:
        """Use a connection after its handshake; replace an older one to the peer."""
        expected = link.peer
        problem = self.handlers.check_handshake(hello)
        if expected not in ("", hello.name):
            problem = f"dialled {expected!r}, but {hello.name!r} answered"
        if self.tls is not None:
            names = self.tls.peer_names(link.transport)
            if hello.name not in names:
                problem = f"its certificate is for {', '.join(names) or 'no daemon'}"
        if problem:
            extra = {"peer": hello.name, "why": problem}
            logger.error("peer refused", extra=extra)
            link.close()
            return
        link.peer = hello.name
        older = self.links.get(hello.name)
        if older is not None and self.keeps_older(older, link, hello):
            self.handshaking.discard(link)
            self.dialling.discard(hello.name)
            link.close()
            return
        link.session = hello.session
        self.links[hello.name] = link
        self.handshaking.discard(link)
        self.dialling.discard(hello.name)
        self.delays.pop(hello.name, None)
        if older is not None and older is not link:
            older.transport.abortConnection()
        self.handlers.on_message(hello.name, hello)

    def keeps_older(self, older: Link, link: Link, hello: Hello) -> bool:
        """
        Return whether an older connection is kept.

        If both sides dialled, both keep the connection that the lower name dialled.
        """
        if older.session != hello.session or older.outbound == link.outbound:
            return False
        return older.outbound == (self.name < hello.name)

    def on_close(self, link: Link) -> None:
        """Dial again if the peer is still to be dialled."""
        self.handshaking.discard(link)
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.handlers.on_closed(link.peer)
        if link.peer in self.links:
            return
        if link.peer in self.addresses:
            self.dial_later(link.peer)
        else:
            self.dialling.discard(link.peer)

    def send(self, to: str, message: object) -> bool:
        """Send a message; return False without a connection or with a full queue."""
        link = self.links.get(to)
        return link is not None and link.send(TABLE.encode(message))

    def check_links(self) -> None:
        """Ping silent peers, and abort connections that stay silent."""
        for link in (*self.links.values(), *self.handshaking):
            link.ping_if_silent(self.timing)

    async def stop(self) -> None:
        """Close the listening port and all connections."""
        self.stopped = True
        if self.check_loop.running:
            self.check_loop.stop()
        for link in (*self.links.values(), *self.handshaking):
            link.close()
        if self.port is not None:
            await self.port.stopListening()
