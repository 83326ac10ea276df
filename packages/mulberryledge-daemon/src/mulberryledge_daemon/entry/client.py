"""
mulberryledge_daemon.entry.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Dispatch of calls to targets over pooled HTTP/1.1 connections.
"""

from collections import deque

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.entry.connections import TargetConnection
from mulberryledge_daemon.ports import CallOutcome, CallRequest

__all__ = ["MAX_ENTRIES", "PooledClient", "idle_limit"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 10.0
MAX_ENTRIES = 9  # entries that may hold idle connections to one target

TargetKey = tuple[str, int]


class PooledClient:
    """
    Implements the port TargetClient.

    A call is on a connection of its own, so connections in use never exceed the
    slots on loan; what is left of a target's connections is divided among the
    entries as their bound on idle ones.
    """

    def __init__(self, reactor, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s
        self.idle: dict[TargetKey, deque[TargetConnection]] = {}
        self.open: set[TargetConnection] = set()
        self.sweeping = None

    async def call(self, target: Target, request: CallRequest) -> CallOutcome:
        """Dispatch one call and read its whole answer."""
        deadline = self.reactor.seconds() + request.timeout_s
        connection = self.take_idle(target) if request.repeatable else None
        if connection is None:
            connection = await self.connect(target, request.timeout_s)
            if isinstance(connection, CallOutcome):
                return connection
        left_s = deadline - self.reactor.seconds()
        if left_s <= 0:
            self.put_idle(connection)
            return CallOutcome(RunOutcome.NOT_RUN, problem="the deadline has passed")
        answered = connection.call(request)
        timer = self.reactor.callLater(
            left_s, connection.fail, "no whole answer before the deadline", True
        )
        outcome = await answered
        if timer.active():
            timer.cancel()
        self.put_idle(connection)
        return outcome

    async def connect(
        self, target: Target, timeout_s: float
    ) -> TargetConnection | CallOutcome:
        """Open a connection; a failure means that nothing was sent."""
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
            return CallOutcome(RunOutcome.NOT_RUN, problem=problem)
        connection.transport.setTcpNoDelay(True)
        self.open.add(connection)
        return connection

    def endpoint(self, target: Target, timeout_s: float):
        """Return the endpoint of a target."""
        if target.address.replace(".", "").isdigit():
            kind = TCP4ClientEndpoint
        else:
            kind = HostnameEndpoint
        return kind(self.reactor, target.address, target.port, timeout_s)

    def take_idle(self, target: Target) -> TargetConnection | None:
        """Return the idle connection that was used last."""
        idle = self.idle.get((target.name, target.generation))
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
        return None

    def put_idle(self, connection: TargetConnection) -> None:
        """Keep a connection for the next call, or close it."""
        target = connection.target
        idle = self.idle.setdefault((target.name, target.generation), deque())
        if not connection.reusable or len(idle) >= idle_limit(target):
            connection.reusable = False
            connection.transport.loseConnection()
            return
        connection.used_at = self.reactor.seconds()
        idle.append(connection)
        if self.sweeping is None:
            self.sweeping = self.reactor.callLater(IDLE_TIMEOUT_S, self.sweep)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        self.sweeping = None
        before = self.reactor.seconds() - IDLE_TIMEOUT_S
        for key, idle in list(self.idle.items()):
            while idle and (idle[0].used_at <= before or not idle[0].reusable):
                connection = idle.popleft()
                connection.reusable = False
                connection.transport.loseConnection()
            if not idle:
                del self.idle[key]
        if self.idle:
            self.sweeping = self.reactor.callLater(IDLE_TIMEOUT_S, self.sweep)

    def on_lost(self, connection: TargetConnection) -> None:
        """Forget a connection that has ended."""
        self.open.discard(connection)
        target = connection.target
        idle = self.idle.get((target.name, target.generation), ())
        if connection in idle:
            idle.remove(connection)

    async def close(self) -> None:
        """Close every connection."""
        if self.sweeping is not None:
            self.sweeping.cancel()
            self.sweeping = None
        self.idle.clear()
        for connection in list(self.open):
            connection.abort()


def idle_limit(target: Target) -> int:
    """Return how many idle connections one entry may keep to a target."""
    return max(0, target.connections - target.slots) // MAX_ENTRIES
