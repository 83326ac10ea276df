"""
mulberryledge_daemon.log.in_force
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Waits on any daemon until an index is in force everywhere; the leader knows.
"""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.consensus.leases import daemons_not_in_force, is_leading
from mulberryledge_core.consensus.node import Node
from mulberryledge_core.messages import InForceAsk, InForceReply
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.log.channel import Channel
from mulberryledge_daemon.ports import InForce

__all__ = ["InForceWaits"]

POLL_S = 0.02
MS = 1_000


class InForceWaits:
    """Asks the leader, and answers as the leader."""

    def __init__(
        self,
        clock: IReactorTime,
        channel: Channel,
        node: Node,
        now: Callable[[], int],
    ):
        self.clock = clock
        self.channel = channel
        self.node = node
        self.now = now
        channel.serve(InForceAsk, self.on_ask)

    async def wait(self, index: int, timeout_s: float) -> InForce:
        """Wait until the index is in force on every daemon, or the time is over."""
        until = self.clock.seconds() + timeout_s
        while True:
            left = max(0.0, until - self.clock.seconds())
            outcome = await self.channel.ask(InForceAsk(index, int(left * MS)))
            if isinstance(outcome, Ok):
                return InForce(index, outcome.ok_value.waiting)
            if not left:
                return InForce(index, ("the leader",))
            await deferLater(self.clock, POLL_S)

    async def on_ask(self, ask: InForceAsk) -> Result[object, Refusal]:
        """Wait, as the leader, until an index is in force or the time is over."""
        until = self.now() + ask.timeout_ms
        while True:
            now = self.now()
            waiting = daemons_not_in_force(self.node, ask.index, now)
            if not is_leading(self.node, now):
                text = "this daemon does not lead any more"
                return Err(Refusal(Code.NO_LEADER, text))
            if not waiting or now >= until:
                return Ok(InForceReply(waiting))
            await deferLater(self.clock, POLL_S)
