"""
mulberryledge_testing.batch.cloud
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated cloud API: pools, moves and upkeep of hosts, with a fencing token per host.
"""

from dataclasses import dataclass

from twisted.internet.task import deferLater

from mulberryledge_core.batch.sizes import Size
from mulberryledge_daemon.batch.ports import (
    CloudOutcome,
    HostState,
    HostsView,
    HostView,
)

__all__ = ["SimulatedCloud", "SimulatedHost"]

CALL_S = 0.004
MOVE_S = 1.5
UPKEEP_S = 2.0


@dataclass(slots=True)
class SimulatedHost:
    """
    State of one host in the cloud.

    Attributes
    ----------
    upkeeps : set of int
        Waves in which its upkeep was ordered.
    """

    host: str
    pool: str
    rack: str
    capacity: Size
    state: HostState = HostState.UP
    fence: int = 0
    upkeeps: set[int] | None = None


class SimulatedCloud:
    """
    Implements the port Cloud.

    Parameters
    ----------
    fleet : Fleet
        Owns the targets on the hosts.

    Attributes
    ----------
    down, max_down : dict of int to int
        Hosts in upkeep by wave: now, and the maximum so far.
    lost_answers : int
        Number of the next executed orders that are answered as unknown.
    """

    def __init__(self, clock, fleet):
        self.clock = clock
        self.fleet = fleet
        self.hosts: dict[str, SimulatedHost] = {}
        self.waves: dict[int, set[str]] = {}
        self.moves = 0
        self.down: dict[int, int] = {}
        self.max_down: dict[int, int] = {}
        self.silent = False
        self.lost_answers = 0

    async def list_hosts(self) -> HostsView | CloudOutcome:
        """Return all hosts."""
        await deferLater(self.clock, CALL_S)
        if self.silent:
            return CloudOutcome.UNKNOWN
        rows = (
            HostView(
                one.host,
                one.pool,
                one.state,
                "",
                one.rack,
                one.capacity,
                self.fleet.target_name(one.host),
                ("a", one.rack),
            )
            for one in self.hosts.values()
        )
        return HostsView(tuple(rows))

    async def accept_order(self, host: str, fence: int) -> SimulatedHost | CloudOutcome:
        """Return the host of an order after the fencing check, or the refusal."""
        await deferLater(self.clock, CALL_S)
        if self.silent:
            return CloudOutcome.UNKNOWN
        one = self.hosts.get(host)
        if one is None:
            return CloudOutcome.INVALID
        if fence < one.fence:
            return CloudOutcome.FENCED
        one.fence = fence
        return one

    async def move(self, host: str, pool: str, fence: int) -> CloudOutcome:
        """Move a host to another pool; it is down during the move."""
        one = await self.accept_order(host, fence)
        if isinstance(one, CloudOutcome):
            return one
        if one.pool == pool and one.state in (HostState.UP, HostState.MOVING):
            return CloudOutcome.DONE
        if one.state != HostState.UP or self.fleet.is_leaving(host):
            return CloudOutcome.BUSY
        self.moves += 1
        one.pool = pool
        self.take_down(one, HostState.MOVING, MOVE_S)
        return self.order_answer()

    async def upkeep(self, host: str, wave: int, fence: int) -> CloudOutcome:
        """Take a host down for its upkeep."""
        one = await self.accept_order(host, fence)
        if isinstance(one, CloudOutcome):
            return one
        if host not in self.waves.get(wave, ()):
            return CloudOutcome.NOT_OF_WAVE
        if one.upkeeps is None:
            one.upkeeps = set()
        if wave in one.upkeeps:
            return CloudOutcome.DONE
        if one.state != HostState.UP or self.fleet.is_leaving(host):
            return CloudOutcome.BUSY
        one.upkeeps.add(wave)
        self.down[wave] = self.down.get(wave, 0) + 1
        self.max_down[wave] = max(self.max_down.get(wave, 0), self.down[wave])
        self.take_down(one, HostState.UPKEEP, UPKEEP_S, wave)
        return self.order_answer()

    def order_answer(self) -> CloudOutcome:
        """Return the answer to an executed order, unknown if the answer is lost."""
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return CloudOutcome.UNKNOWN
        return CloudOutcome.DONE

    def take_down(
        self, one: SimulatedHost, state: HostState, seconds: float, wave: int = 0
    ) -> None:
        """End a host's target, and start the host again after a delay."""
        one.state = state
        self.fleet.end_target(one.host)

        def restore() -> None:
            one.state = HostState.UP
            if wave:
                self.down[wave] -= 1
            if one.host not in self.hosts:
                return
            self.fleet.start_target(one.host)

        self.clock.callLater(seconds, restore)
