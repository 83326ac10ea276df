"""
mulberryledge_daemon.log.reads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Linearizable reads on any daemon: the leader returns its commit index under its
quorum lease, and the daemon waits until it has applied that index.
"""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.messages import ReadIndex, ReadIndexAsk
from mulberryledge_core.outcomes import Refusal
from mulberryledge_daemon.log.channel import RequestChannel

__all__ = ["LinearizableReads"]

POLL_S = 0.005


class LinearizableReads:
    """
    Lets readers wait until everything committed at their request is applied.

    Parameters
    ----------
    commit_index, applied_index : callable
        Return the indexes of this daemon; the first is called only while it leads.
    """

    def __init__(
        self,
        clock: IReactorTime,
        channel: RequestChannel,
        commit_index: Callable[[], int],
        applied_index: Callable[[], int],
    ):
        self.clock = clock
        self.channel = channel
        self.commit_index = commit_index
        self.applied_index = applied_index
        channel.serve(ReadIndexAsk, self.on_ask)

    async def on_ask(self, ask: ReadIndexAsk) -> Result[object, Refusal]:
        """Return the commit index, as the leader whose quorum lease holds."""
        return Ok(ReadIndex(self.commit_index()))

    async def catch_up(self, timeout_s: float) -> bool:
        """Return whether everything committed at the call is applied here in time."""
        deadline_s = self.clock.seconds() + timeout_s
        outcome = await self.channel.ask(ReadIndexAsk())
        if isinstance(outcome, Err):
            return False
        index = outcome.ok_value.index
        while self.applied_index() < index:
            if self.clock.seconds() >= deadline_s:
                return False
            await deferLater(self.clock, POLL_S)
        return True
