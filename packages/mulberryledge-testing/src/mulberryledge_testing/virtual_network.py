"""
mulberryledge_testing.virtual_network
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts in virtual time whose reactors connect them: the daemons' own connections run on
them unchanged.
"""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.python.failure import Failure

__all__ = ["VirtualHost", "VirtualNetwork"]

LATENCY_S = 0.002


class VirtualNetwork:
    """
    Owns the hosts, and which of them are cut off.

    Attributes
    ----------
    cut_off : set of str
        Addresses of hosts that no byte leaves or reaches. A connection that carries
        bytes meanwhile stays silent for good.
    dials : list of (float, str, str)
        Time, host and address of each attempt to connect.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.hosts: dict[str, VirtualHost] = {}
        self.cut_off: set[str] = set()
        self.dials: list[tuple[float, str, str]] = []

    def add_host(self, address: str) -> "VirtualHost":
        """Return a new host; it takes the place of a lost one with its address."""
        host = self.hosts[address] = VirtualHost(self, address)
        return host

    def lose(self, address: str) -> None:
        """Lose a host: its peers receive nothing, not even a reset."""
        self.hosts[address].lost = True

    def reaches(self, *hosts: "VirtualHost") -> bool:
        """Return whether bytes pass between the hosts."""
        return not any(one.lost or one.address in self.cut_off for one in hosts)

    def advance(self, seconds: float) -> None:
        """Let time pass from event to event."""
        until = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= until:
            next_s = self.clock.calls[0].getTime()
            self.clock.advance(max(0.0, next_s - self.clock.seconds()))
        self.clock.advance(max(0.0, until - self.clock.seconds()))


class VirtualHost:
    """
    Implements the parts of a reactor that connections and timers require.

    Attributes
    ----------
    held_events : list of callable or None
        Timers and bytes that are due while the process here stands still; None while
        it runs.
    """

    def __init__(self, network: VirtualNetwork, address: str):
        self.network = network
        self.address = address
        self.lost = False
        self.held_events: list[Callable[[], None]] | None = None
        self.listeners: dict[int, Factory] = {}

    def seconds(self) -> float:
        """Return the virtual time."""
        return self.network.clock.seconds()

    def callLater(self, delay: float, function: Callable, *args, **kwargs):
        """Call a function later, unless this host is lost by then."""

        def call() -> None:
            self.process_event(lambda: function(*args, **kwargs))

        return self.network.clock.callLater(delay, call)

    def process_event(self, event: Callable[[], None]) -> None:
        """Process an event unless this host is lost; later if it stands still."""
        if self.held_events is not None:
            self.held_events.append(event)
        elif not self.lost:
            event()

    def pause(self) -> None:
        """Let the process here stand still."""
        self.held_events = []

    def resume(self) -> None:
        """Let the process here run again, and process what is due."""
        held_events, self.held_events = self.held_events or [], None
        for event in held_events:
            self.process_event(event)

    def listenTCP(self, port: int, factory: Factory, backlog=50, interface=""):
        """Accept connections."""
        self.listeners[port] = factory
        return VirtualPort(self, port)

    def connectTCP(self, address: str, port: int, factory, timeout: float, **_):
        """Connect to another host; time-outs are in seconds."""
        network = self.network
        network.dials.append((self.seconds(), self.address, address))
        connector = VirtualConnector()
        factory.doStart()
        factory.startedConnecting(connector)

        def fail(error: Exception) -> None:
            factory.clientConnectionFailed(connector, Failure(error))

        def connect() -> None:
            host = network.hosts.get(address)
            if host is None or not network.reaches(self, host):
                self.callLater(timeout - LATENCY_S, fail, TimeoutError())
                return
            listener = host.listeners.get(port)
            if listener is None:
                fail(ConnectionRefusedError())
                return
            client = VirtualTransport(self, host)
            server = VirtualTransport(host, self)
            client.other, server.other = server, client
            server.protocol = listener.buildProtocol(IPv4Address("TCP", address, port))
            client.protocol = factory.buildProtocol(IPv4Address("TCP", address, port))
            server.protocol.makeConnection(server)
            client.protocol.makeConnection(client)

        self.callLater(LATENCY_S, connect)
        return connector


@dataclass(slots=True)
class VirtualPort:
    """A listening port."""

    host: VirtualHost
    port: int

    def stopListening(self):
        """Refuse further connections."""
        self.host.listeners.pop(self.port, None)
        return succeed(None)


class VirtualConnector:
    """An attempt to connect, which can't be cancelled."""

    def stopConnecting(self) -> None:
        """Do nothing."""


class VirtualTransport:
    """
    One end of a connection.

    Attributes
    ----------
    silent : bool
        Whether bytes of this end were lost, so that no later ones arrive.
    """

    def __init__(self, host: VirtualHost, peer: VirtualHost):
        self.host = host
        self.peer = peer
        self.other: VirtualTransport | None = None
        self.protocol: Protocol | None = None
        self.connected = True
        self.silent = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Do nothing: bytes never queue up."""

    def write(self, data: bytes) -> None:
        """Deliver bytes to the other end."""
        if self.connected:
            self.deliver(lambda other: other.protocol.dataReceived(data))

    def loseConnection(self) -> None:
        """Close the connection after the bytes on their way."""
        self.close(ConnectionDone())

    def abortConnection(self) -> None:
        """Reset the connection."""
        self.close(ConnectionLost())

    def close(self, error: Exception) -> None:
        """Close both ends."""
        if not self.connected:
            return
        self.connected = False
        self.deliver(lambda other: other.close(error))
        self.host.callLater(0, self.protocol.connectionLost, Failure(error))

    def deliver(self, act: Callable[["VirtualTransport"], None]) -> None:
        """Let something happen at the other end unless it is out of reach."""
        network = self.host.network

        def arrive() -> None:
            reached = network.reaches(self.host, self.peer)
            self.silent = self.silent or not reached
            if not self.silent:
                self.peer.process_event(process)

        def process() -> None:
            if self.other.connected:
                act(self.other)

        network.clock.callLater(LATENCY_S, arrive)
