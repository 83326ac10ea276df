"""
mulberryledge_daemon.log.in_force
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Waits on any daemon until the leader reports an index in force everywhere.
"""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.consensus.leases import daemons_not_in_force, is_leading
from mulberryledge_core.consensus.node import Node
from mulberryledge_core.messages import InForceAsk, InForceReply
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.log.channel import RequestChannel
from mulberryledge_daemon.ports import InForceResult

__all__ = ["InForceWaiter"]

POLL_S = 0.02
MS_PER_S = 1_000


class InForceWaiter:
    """Asks the leader whether an index is in force, and answers as the leader."""

    def __init__(
        self,
        clock: IReactorTime,
        channel: RequestChannel,
        node: Node,
        now: Callable[[], int],
    ):
        self.clock = clock
        self.channel = channel
        self.node = node
        self.now = now
        channel.serve(InForceAsk, self.on_ask)

    async def wait(self, index: int, timeout_s: float) -> InForceResult:
        """Wait until the index is in force on every daemon, or for the time-out."""
        deadline_s = self.clock.seconds() + timeout_s
        while True:
            remaining_s = max(0.0, deadline_s - self.clock.seconds())
            outcome = await self.channel.ask(
                InForceAsk(index, int(remaining_s * MS_PER_S))
            )
            if isinstance(outcome, Ok):
                return InForceResult(index, outcome.ok_value.waiting)
            if not remaining_s:
                return InForceResult(index, ("the leader",))
            await deferLater(self.clock, POLL_S)

    async def on_ask(self, ask: InForceAsk) -> Result[object, Refusal]:
        """Wait, as the leader, until an index is in force, or for the time-out."""
        deadline_ms = self.now() + ask.timeout_ms
        while True:
            now = self.now()
            waiting = daemons_not_in_force(self.node, ask.index, now)
            if not is_leading(self.node, now):
                text = "this daemon does not lead any more"
                return Err(Refusal(Code.NO_LEADER, text))
            if not waiting or now >= deadline_ms:
                return Ok(InForceReply(waiting))
            await deferLater(self.clock, POLL_S)
