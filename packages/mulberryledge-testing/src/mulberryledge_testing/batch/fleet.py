"""
mulberryledge_testing.batch.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated hosts, targets that announce themselves, and the network, in virtual time.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import (
    HostState,
    OrderAnswer,
    OrderOutcome,
    RenewOrder,
    StartOrder,
    StopOrder,
    TargetView,
    ThrottleOrder,
)
from mulberryledge_testing.batch.cloud import SimulatedCloud, SimulatedHost
from mulberryledge_testing.batch.gangs import Gangs
from mulberryledge_testing.batch.target import SimulatedTarget

__all__ = ["Fleet", "NetworkFaults"]

LATENCY_S = 0.0015
ANNOUNCE_INTERVAL_S = 1.5
FIRST_ANNOUNCE_S = 0.1  # of a target with a new name; others may lose their first one
ORDER_TIMEOUT_S = 0.6
WAIT_MARGIN_S = 0.35


@dataclass(slots=True)
class NetworkFaults:
    """
    Active network faults.

    Attributes
    ----------
    cut : set of str
        Hosts disconnected in both directions; their targets keep running.
    late_share : float
        Share of the orders that time out but are executed seconds later.
    lost_renewals : int
        Number of the next lease renewals that are lost.
    """

    cut: set[str]
    late_share: float = 0.0
    lost_renewals: int = 0


class Fleet:
    """
    Owns hosts and targets; implements the port TargetOrders.

    Attributes
    ----------
    announce : callable or None
        Called with a target and its clock for each announcement to the leader.
    """

    def __init__(self, clock, random: Random, truth_of: Callable, watch: Callable):
        self.clock = clock
        self.random = random
        self.truth_of = truth_of
        self.watch = watch
        self.cloud = SimulatedCloud(clock, self)
        self.targets: dict[str, SimulatedTarget] = {}
        self.faults = NetworkFaults(set())
        self.numbers = count(1)
        self.announce: Callable | None = None
        self.ticket_valid: Callable | None = None
        self.gangs = Gangs(clock)
        self.spare = ""

    def add_host(self, pool: str, rack: str, capacity: Size) -> str:
        """Add a host, with a target unless its pool is the spare one."""
        host = f"m-{next(self.numbers)}"
        self.cloud.hosts[host] = SimulatedHost(host, pool, rack, capacity)
        self.start_target(host)
        return host

    def start_target(self, host: str, name: str = "") -> None:
        """Start a new incarnation on a host, under a new name if none is given."""
        one = self.cloud.hosts.get(host)
        if one is None or one.pool == self.spare or one.state != HostState.UP:
            return
        target = Target(
            name=name or f"i-{next(self.numbers)}",
            started_ms=int(self.clock.seconds() * 1_000) + 1,
            host=host,
            address=f"{host}:80",
            pool=one.pool,
            availability_zone="",
            rack=one.rack,
            labels=("a", one.rack),
            capacity=one.capacity,
        )
        rate = self.random.uniform(0.985, 1.015)
        incarnation = SimulatedTarget(
            target,
            self.clock,
            self.truth_of,
            self.watch,
            rate,
            self.gangs,
            self.ticket_valid,
        )
        self.targets[host] = incarnation
        longest_s = ANNOUNCE_INTERVAL_S if name else FIRST_ANNOUNCE_S
        self.clock.callLater(
            self.random.uniform(0, longest_s), self.announce_periodically, incarnation
        )

    def announce_periodically(self, incarnation: SimulatedTarget) -> None:
        """Announce a target periodically."""
        if not incarnation.alive:
            return
        if self.announce is not None and incarnation.target.host not in self.faults.cut:
            self.announce(incarnation.target, int(incarnation.now_ms()))
        self.clock.callLater(
            ANNOUNCE_INTERVAL_S, self.announce_periodically, incarnation
        )

    def end_target(self, host: str) -> None:
        """End the incarnation on a host."""
        incarnation = self.targets.pop(host, None)
        if incarnation is not None:
            incarnation.die()

    def crash(self, host: str, seconds: float, keeps_name: bool = False) -> None:
        """Crash a host with its target; a new incarnation starts after a delay."""
        name = self.target_name(host) if keeps_name else ""
        self.end_target(host)
        one = self.cloud.hosts[host]
        if one.state != HostState.UP:
            return
        one.state = HostState.DOWN
        self.clock.callLater(seconds, self.restore_host, one, name)

    def restore_host(self, one: SimulatedHost, name: str) -> None:
        """Bring a host up, with a new incarnation of its target."""
        one.state = HostState.UP
        self.start_target(one.host, name)

    def lose(self, host: str) -> None:
        """Remove a host permanently."""
        self.end_target(host)
        del self.cloud.hosts[host]

    def is_down(self, host: str) -> bool:
        """Return whether a host has crashed or was removed."""
        one = self.cloud.hosts.get(host)
        return one is None or one.state == HostState.DOWN

    def drain(self, host: str, seconds: float) -> None:
        """Announce a target as draining, and end it after a delay."""
        incarnation = self.targets.get(host)
        if incarnation is None:
            return
        incarnation.target = replace(incarnation.target, draining=True)
        self.announce_periodically(incarnation)
        self.clock.callLater(seconds, self.end_target, host)

    def is_leaving(self, host: str) -> bool:
        """Return whether the target on a host is draining."""
        incarnation = self.targets.get(host)
        return incarnation is not None and incarnation.target.draining

    def target_name(self, host: str) -> str:
        """Return the name of the target on a host, empty if there is none."""
        incarnation = self.targets.get(host)
        return "" if incarnation is None else incarnation.target.name

    async def start(self, target: Target, order: StartOrder) -> OrderAnswer:
        """Send a start order."""
        return await self.call(target, lambda incarnation: incarnation.start(order))

    async def stop(self, target: Target, order: StopOrder) -> OrderAnswer:
        """Send a stop order."""
        return await self.call(target, lambda incarnation: incarnation.stop(order))

    async def throttle(self, target: Target, order: ThrottleOrder) -> OrderAnswer:
        """Send a throttle order."""
        return await self.call(target, lambda incarnation: incarnation.throttle(order))

    async def renew_lease(
        self, target: Target, order: RenewOrder
    ) -> TargetView | OrderAnswer:
        """Renew the lease; the answer may be delayed until a run ends."""
        timeout_s = order.wait_ms / 1_000 + WAIT_MARGIN_S
        if order.deadline_ms is not None and self.faults.lost_renewals:
            self.faults.lost_renewals -= 1
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = await self.call(
            target, lambda incarnation: incarnation.view(order), timeout_s
        )
        if not isinstance(answer, TargetView):
            return answer
        incarnation = self.targets.get(target.host)
        if incarnation is not None and not incarnation.ended and order.wait_ms:
            await self.wait_for_end(incarnation, order.wait_ms / 1_000)
        if (
            incarnation is None
            or not incarnation.alive
            or incarnation.target.incarnation != target.incarnation
            or target.host in self.faults.cut
        ):
            await deferLater(self.clock, WAIT_MARGIN_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        await deferLater(self.clock, LATENCY_S)
        return incarnation.lists()

    async def wait_for_end(self, incarnation: SimulatedTarget, seconds: float) -> None:
        """Wait until a run ends on a target, or the time-out."""
        waiter = Deferred()
        timer = self.clock.callLater(seconds, incarnation.wake)
        incarnation.waiters.append(waiter)
        await waiter
        if timer.active():
            timer.cancel()

    async def call(
        self, target: Target, action: Callable, timeout_s: float = ORDER_TIMEOUT_S
    ) -> object:
        """Deliver an order to a target and return its answer."""
        await deferLater(self.clock, LATENCY_S)
        if target.host in self.faults.cut or self.is_down(target.host):
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        if self.random.random() < self.faults.late_share:
            delay_s = self.random.uniform(2, 12)
            self.clock.callLater(delay_s, self.carry_out, target, action)
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        incarnation = self.targets.get(target.host)
        if incarnation is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        if incarnation.target.incarnation != target.incarnation:
            return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
        answer = action(incarnation)
        await deferLater(self.clock, LATENCY_S)
        return answer

    def carry_out(self, target: Target, action: Callable) -> None:
        """Execute an order that was not answered on whatever has the target's name."""
        if self.target_name(target.host) == target.name:
            action(self.targets[target.host])

    def close_connections(self, target: Target) -> None:
        """Do nothing: simulated calls have no connections."""
