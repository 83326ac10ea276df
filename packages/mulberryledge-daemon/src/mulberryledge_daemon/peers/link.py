"""
mulberryledge_daemon.peers.link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One WebSocket between two daemons, on a Twisted transport.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

__all__ = ["Link", "LinkTiming", "Traffic", "accept_link", "dial_link"]

MAX_MESSAGE_BYTES = 16_777_216
MAX_QUEUED_BYTES = 2_097_152

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """
    Detection of silent connections, in seconds.

    Attributes
    ----------
    ping_after_s : float
        Silence after which the peer is pinged.
    silence_timeout_s : float
        Silence after which the connection is aborted.
    check_interval_s : float
        Interval between two checks of the connections.
    """

    ping_after_s: float = 2.0
    silence_timeout_s: float = 6.0
    check_interval_s: float = 1.0


@dataclass(slots=True)
class Traffic:
    """Bytes that the links of one daemon have carried."""

    sent: int = 0
    received: int = 0


@implementer(IPushProducer)
class Link(Protocol):
    """Owns one connection, its WebSocket state and its bounded send queue."""

    def __init__(
        self,
        websocket: ClientProtocol | ServerProtocol,
        clock,
        traffic: Traffic,
        on_made: Callable[["Link"], None],
        on_open: Callable[["Link"], None],
        on_message: Callable[["Link", bytes], None],
        on_close: Callable[["Link"], None],
    ):
        self.websocket = websocket
        self.clock = clock
        self.traffic = traffic
        self.on_made = on_made
        self.on_open = on_open
        self.on_message = on_message
        self.on_close = on_close
        self.peer = ""
        self.session = ""
        self.outbound = False
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.paused = False
        self.last_received_s = 0.0
        self.last_sent_s = 0.0

    def connectionMade(self) -> None:
        """Send the WebSocket handshake if this side dialled."""
        self.last_received_s = self.last_sent_s = self.clock.seconds()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.on_made(self)
        if isinstance(self.websocket, ClientProtocol):
            self.websocket.send_request(self.websocket.connect())
            self.send_pending()

    def dataReceived(self, data: bytes) -> None:
        """Feed the WebSocket and dispatch its messages."""
        self.last_received_s = self.clock.seconds()
        self.traffic.received += len(data)
        self.websocket.receive_data(data)
        for event in self.websocket.events_received():
            self.on_event(event)
        self.send_pending()

    def on_event(self, event: Request | Response | Frame) -> None:
        """Handle one event of the WebSocket."""
        if isinstance(event, Request):
            self.websocket.send_response(self.websocket.accept(event))
            if self.websocket.state is State.OPEN:
                self.on_open(self)
        elif isinstance(event, Response):
            if self.websocket.state is State.OPEN:
                self.on_open(self)
        elif event.opcode is Opcode.BINARY:
            self.on_message(self, event.data)

    def send(self, data: bytes) -> bool:
        """Send a message; return False if the queue is full or the link closed."""
        if self.websocket.state is not State.OPEN:
            return False
        if self.queue and self.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            return False
        self.websocket.send_binary(data)
        self.send_pending()
        return True

    def ping_if_silent(self, timing: LinkTiming) -> None:
        """Ping a silent peer, and abort a connection that stays silent."""
        now = self.clock.seconds()
        if now - self.last_received_s > timing.silence_timeout_s:
            logger.warning("peer is silent", extra={"peer": self.peer})
            self.transport.abortConnection()
            return
        is_idle = (
            now - self.last_received_s > timing.ping_after_s
            and now - self.last_sent_s > timing.ping_after_s
        )
        if is_idle and self.websocket.state is State.OPEN:
            self.websocket.send_ping(b"")
            self.send_pending()

    def send_pending(self) -> None:
        """Queue the WebSocket's outgoing data and write it to the transport."""
        for data in self.websocket.data_to_send():
            if data:
                self.queue.append(data)
                self.queued_bytes += len(data)
        self.write_queue()
        if self.websocket.close_expected() and not self.queue:
            self.transport.loseConnection()

    def write_queue(self) -> None:
        """Write the queue until the transport's buffer is full."""
        while self.queue and not self.paused:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            self.traffic.sent += len(data)
            self.last_sent_s = self.clock.seconds()
            self.transport.write(data)

    def pauseProducing(self) -> None:
        """Stop writing: the transport's buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Resume writing."""
        self.paused = False
        self.write_queue()

    def stopProducing(self) -> None:
        """Discard the queue: the connection is lost."""
        self.paused = True
        self.queue.clear()
        self.queued_bytes = 0

    def close(self) -> None:
        """Close the connection."""
        if self.websocket.state is State.OPEN:
            self.websocket.send_close()
            self.send_pending()
        self.transport.loseConnection()

    def connectionLost(self, reason=None) -> None:
        """Notify the owner."""
        self.websocket.receive_eof()
        self.on_close(self)


def dial_link(address: str, port: int, clock, traffic: Traffic, **handlers) -> Link:
    """Return the dialling side of a connection."""
    uri = parse_uri(f"ws://{address}:{port}/")
    protocol = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    return Link(protocol, clock, traffic, **handlers)


def accept_link(clock, traffic: Traffic, **handlers) -> Link:
    """Return the accepting side of a connection."""
    return Link(ServerProtocol(max_size=MAX_MESSAGE_BYTES), clock, traffic, **handlers)
