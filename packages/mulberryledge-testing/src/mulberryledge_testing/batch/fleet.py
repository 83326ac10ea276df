"""
mulberryledge_testing.batch.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts with targets that announce themselves, and the network to them, in virtual time.
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
BEAT_S = 1.5
ORDER_TIMEOUT_S = 0.6
HOLD_MARGIN_S = 0.35


@dataclass(slots=True)
class NetworkFaults:
    """
    What is wrong with the network.

    Attributes
    ----------
    cut : set of str
        Hosts that nothing reaches and that reach nothing; their targets run on.
    late_share : float
        Share of the orders that get no answer and are carried out seconds later.
    lost_renewals : int
        So many of the next calls that renew a lease are lost.
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
        Takes a target and its clock; what the leader is told of each report.
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

    def start_target(self, host: str) -> None:
        """Start a new life on a host."""
        one = self.cloud.hosts.get(host)
        if one is None or one.pool == self.spare or one.state != HostState.UP:
            return
        target = Target(
            name=f"i-{next(self.numbers)}",
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
        life = SimulatedTarget(
            target,
            self.clock,
            self.truth_of,
            self.watch,
            rate,
            self.gangs,
            self.ticket_valid,
        )
        self.targets[host] = life
        self.clock.callLater(self.random.uniform(0, 0.1), self.beat, life)

    def beat(self, life: SimulatedTarget) -> None:
        """Announce a target, again and again."""
        if not life.alive:
            return
        if self.announce is not None and life.target.host not in self.faults.cut:
            self.announce(life.target, int(life.now_ms()))
        self.clock.callLater(BEAT_S, self.beat, life)

    def end_target(self, host: str) -> None:
        """End the life on a host."""
        life = self.targets.pop(host, None)
        if life is not None:
            life.die()

    def crash(self, host: str, seconds: float) -> None:
        """Crash a host with its target; a new life begins after a while."""
        self.end_target(host)
        one = self.cloud.hosts[host]
        if one.state != HostState.UP:
            return
        one.state = HostState.DOWN
        self.clock.callLater(seconds, self.come_back, one)

    def come_back(self, one: SimulatedHost) -> None:
        """Bring a host up again."""
        one.state = HostState.UP
        self.start_target(one.host)

    def lose(self, host: str) -> None:
        """Lose a host for good."""
        self.end_target(host)
        del self.cloud.hosts[host]

    def is_down(self, host: str) -> bool:
        """Return whether a host has crashed, or is gone."""
        one = self.cloud.hosts.get(host)
        return one is None or one.state == HostState.DOWN

    def drain(self, host: str, seconds: float) -> None:
        """Let a target announce that it leaves, and then end it for good."""
        life = self.targets.get(host)
        if life is None:
            return
        life.target = replace(life.target, draining=True)
        self.beat(life)
        self.clock.callLater(seconds, self.end_target, host)

    def is_leaving(self, host: str) -> bool:
        """Return whether the target on a host drains."""
        life = self.targets.get(host)
        return life is not None and life.target.draining

    def target_name(self, host: str) -> str:
        """Return the name of the target on a host, empty if there is none."""
        life = self.targets.get(host)
        return "" if life is None else life.target.name

    # The port.

    async def start(self, target: Target, order: StartOrder) -> OrderAnswer:
        """Order a start."""
        return await self.call(target, lambda life: life.start(order))

    async def stop(self, target: Target, order: StopOrder) -> OrderAnswer:
        """Order a stop."""
        return await self.call(target, lambda life: life.stop(order))

    async def throttle(self, target: Target, order: ThrottleOrder) -> OrderAnswer:
        """Order a pace."""
        return await self.call(target, lambda life: life.pace(order))

    async def renew_lease(
        self, target: Target, order: RenewOrder
    ) -> TargetView | OrderAnswer:
        """Renew the lease; the answer may wait for an end."""
        timeout_s = order.wait_ms / 1_000 + HOLD_MARGIN_S
        if order.deadline_ms is not None and self.faults.lost_renewals:
            self.faults.lost_renewals -= 1
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = await self.call(target, lambda life: life.view(order), timeout_s)
        if not isinstance(answer, TargetView):
            return answer
        life = self.targets.get(target.host)
        if life is not None and not life.ended and order.wait_ms:
            await self.end_within(life, order.wait_ms / 1_000)
        if life is None or not life.alive or target.host in self.faults.cut:
            await deferLater(self.clock, HOLD_MARGIN_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        await deferLater(self.clock, LATENCY_S)
        return life.lists()

    async def end_within(self, life: SimulatedTarget, seconds: float) -> None:
        """Wait until something ends on a target, or the time is over."""
        waiter = Deferred()
        timer = self.clock.callLater(seconds, life.wake)
        life.waiters.append(waiter)
        await waiter
        if timer.active():
            timer.cancel()

    async def call(
        self, target: Target, action: Callable, timeout_s: float = ORDER_TIMEOUT_S
    ) -> object:
        """Carry an order to a target and its answer back."""
        await deferLater(self.clock, LATENCY_S)
        if target.host in self.faults.cut or self.is_down(target.host):
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        if self.random.random() < self.faults.late_share:
            delay_s = self.random.uniform(2, 12)
            self.clock.callLater(delay_s, self.carry_out, target, action)
            await deferLater(self.clock, timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        life = self.targets.get(target.host)
        if life is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        if life.target.name != target.name:
            return OrderAnswer(OrderOutcome.OTHER_INCARNATION)
        answer = action(life)
        await deferLater(self.clock, LATENCY_S)
        return answer

    def carry_out(self, target: Target, action: Callable) -> None:
        """Carry an order out that got no answer."""
        life = self.targets.get(target.host)
        if life is not None and life.target.name == target.name:
            action(life)

    def close_connections(self, target: Target) -> None:
        """Close no connection: there is none."""
