"""
mulberryledge_testing.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~

A TCP relay on loopback that can fall silent, for tests of network partitions.
"""

from collections.abc import Callable

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Factory, Protocol

__all__ = ["Relay"]


class Relay:
    """
    Forwards connections to one TCP port of loopback.

    While cut, nothing is forwarded in either direction and nothing is closed, as
    on a link that drops all packets; new connections are accepted and stay silent.

    Attributes
    ----------
    bytes_forwarded : int
        Bytes forwarded in both directions.
    """

    def __init__(self, reactor, port: int):
        self.reactor = reactor
        self.target_port = port
        self.cut = False
        self.bytes_forwarded = 0
        self.sides: list[Side] = []
        factory = Factory.forProtocol(lambda: Side(self, self.connect_out))
        self.listener = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def port(self) -> int:
        """TCP port that the relay listens on."""
        return self.listener.getHost().port

    def connect_out(self, side: "Side") -> None:
        """Open the other half of an accepted connection."""
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: Side(self, side.join)
        factory.clientConnectionFailed = lambda *_: side.abort()
        self.reactor.connectTCP("127.0.0.1", self.target_port, factory)

    def set_cut(self, cut: bool) -> None:
        """Cut or heal the link; a healed link closes what it held back."""
        if self.cut and not cut:
            for side in list(self.sides):
                side.abort()
        self.cut = cut

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        await self.listener.stopListening()
        for side in list(self.sides):
            side.abort()


class Side(Protocol):
    """One end of a relayed connection."""

    def __init__(self, relay: Relay, on_made: Callable[["Side"], None]):
        self.relay = relay
        self.on_made = on_made
        self.other: Side | None = None
        self.held: list[bytes] = []

    def connectionMade(self) -> None:
        """Find the other half."""
        self.relay.sides.append(self)
        self.on_made(self)

    def join(self, other: "Side") -> None:
        """Couple two halves and forward what has arrived meanwhile."""
        self.other, other.other = other, self
        producer: IPushProducer = self.transport
        other.transport.registerProducer(producer, True)
        self.transport.registerProducer(other.transport, True)
        held, self.held = self.held, []
        for data in held:
            self.dataReceived(data)

    def dataReceived(self, data: bytes) -> None:
        """Forward data unless the link is cut."""
        if self.relay.cut:
            return
        if self.other is None:
            self.held.append(data)
            return
        self.relay.bytes_forwarded += len(data)
        self.other.transport.write(data)

    def connectionLost(self, reason) -> None:
        """Close the other half, unless the link is cut and tells nothing."""
        if self in self.relay.sides:
            self.relay.sides.remove(self)
        if self.other is not None and not self.relay.cut:
            self.other.transport.loseConnection()

    def abort(self) -> None:
        """Drop the connection."""
        if self.transport is not None:
            self.transport.abortConnection()
