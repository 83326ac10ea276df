"""
mulberryledge_daemon.leader.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Drops kept answers by age and by the room that they take.
"""

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ForgetAnswers
from mulberryledge_core.decisions.kept_answers import answers_to_forget_ms
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["KeptAnswers"]

CHECK_INTERVAL_S = 10.0


class KeptAnswers:
    """Proposes which answers to drop, at a fixed pace."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.checked_s = 0.0

    async def tick(self) -> None:
        """Drop answers that are over age or beyond the room for them."""
        now_s = self.clock.seconds()
        if now_s - self.checked_s < CHECK_INTERVAL_S:
            return
        self.checked_s = now_s
        before_ms = answers_to_forget_ms(
            self.log.state.reservations.values(), self.log.time_ms()
        )
        if before_ms is not None:
            await self.log.propose(ForgetAnswers(before_ms))
