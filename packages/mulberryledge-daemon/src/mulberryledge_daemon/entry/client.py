"""
mulberryledge_daemon.entry.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client that sends calls to targets over pooled HTTP/1.1 connections.
"""

from collections import deque

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.entry.connections import TargetConnection
from mulberryledge_daemon.ports import CallRequest, DispatchOutcome

__all__ = ["MAX_ENTRIES", "PooledClient", "max_idle_connections"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 10.0
MAX_ENTRIES = 9  # entries that may hold idle connections to one target

TargetKey = tuple[str, int]


class PooledClient:
    """
    Implements the port TargetClient.

    Each call uses a connection of its own, so connections in use never exceed the
    slots on loan. The remaining connections that a target accepts are divided among
    the entries as their limit of idle connections.
    """

    def __init__(self, reactor, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s
        self.idle: dict[TargetKey, deque[TargetConnection]] = {}
        self.open: set[TargetConnection] = set()
        self.sweep_timer = None

    async def call(self, target: Target, request: CallRequest) -> DispatchOutcome:
        """Dispatch one call and read its complete answer."""
        deadline_s = self.reactor.seconds() + request.timeout_s
        connection = self.take_idle(target) if request.repeatable else None
        if connection is None:
            connection = await self.connect(target, request.timeout_s)
            if isinstance(connection, DispatchOutcome):
                return connection
        remaining_s = deadline_s - self.reactor.seconds()
        if remaining_s <= 0:
            self.put_idle(connection)
            return DispatchOutcome(
                RunOutcome.NOT_RUN, problem="the deadline has passed"
            )
        answered = connection.call(request)
        timer = self.reactor.callLater(
            remaining_s, connection.fail, "no complete answer before the deadline", True
        )
        outcome = await answered
        if timer.active():
            timer.cancel()
        self.put_idle(connection)
        return outcome

    async def connect(
        self, target: Target, timeout_s: float
    ) -> TargetConnection | DispatchOutcome:
        """Open a connection; on failure the call was not sent."""
        timeout_s = max(0.0, min(timeout_s, self.connect_timeout_s))
        factory = Factory.forProtocol(lambda: TargetConnection(target, self.on_lost))
        factory.noisy = False
        endpoint = self.endpoint(target, timeout_s)
        connecting: Deferred = endpoint.connect(factory)
        connecting.addTimeout(timeout_s, self.reactor)
        try:
            connection = await connecting
        except (ConnectError, TimeoutError, OSError) as error:
            problem = f"no connection: {error or type(error).__name__}"
            return DispatchOutcome(RunOutcome.NOT_RUN, problem=problem)
        connection.transport.setTcpNoDelay(True)
        self.open.add(connection)
        return connection

    def endpoint(self, target: Target, timeout_s: float):
        """Return the endpoint of a target."""
        if target.address.replace(".", "").isdigit():
            endpoint_class = TCP4ClientEndpoint
        else:
            endpoint_class = HostnameEndpoint
        return endpoint_class(self.reactor, target.address, target.port, timeout_s)

    def take_idle(self, target: Target) -> TargetConnection | None:
        """Return the most recently used idle connection."""
        idle = self.idle.get((target.name, target.generation))
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
        return None

    def put_idle(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it."""
        target = connection.target
        idle = self.idle.setdefault((target.name, target.generation), deque())
        if not connection.reusable or len(idle) >= max_idle_connections(target):
            connection.reusable = False
            connection.transport.loseConnection()
            return
        connection.last_used_s = self.reactor.seconds()
        idle.append(connection)
        if self.sweep_timer is None:
            self.sweep_timer = self.reactor.callLater(IDLE_TIMEOUT_S, self.sweep)

    def sweep(self) -> None:
        """Close connections that have exceeded the idle time-out."""
        self.sweep_timer = None
        cutoff_s = self.reactor.seconds() - IDLE_TIMEOUT_S
        for key, idle in list(self.idle.items()):
            while idle and (idle[0].last_used_s <= cutoff_s or not idle[0].reusable):
                connection = idle.popleft()
                connection.reusable = False
                connection.transport.loseConnection()
            if not idle:
                del self.idle[key]
        if self.idle:
            self.sweep_timer = self.reactor.callLater(IDLE_TIMEOUT_S, self.sweep)

    def on_lost(self, connection: TargetConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open.discard(connection)
        target = connection.target
        idle = self.idle.get((target.name, target.generation), ())
        if connection in idle:
            idle.remove(connection)

    async def close(self) -> None:
        """Close every connection."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
            self.sweep_timer = None
        self.idle.clear()
        for connection in list(self.open):
            connection.abort()


def max_idle_connections(target: Target) -> int:
    """Return the limit of idle connections from one entry to a target."""
    return max(0, target.connections - target.slots) // MAX_ENTRIES
