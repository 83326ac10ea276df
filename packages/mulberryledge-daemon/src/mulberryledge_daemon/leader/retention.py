"""
mulberryledge_daemon.leader.retention
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forgets ended work by age and results by size.
"""

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ForgetWork
from mulberryledge_core.decisions.retention import forget_before
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Retention"]

FORGET_INTERVAL_S = 30.0


class Retention:
    """Proposes what to forget, at a fixed pace."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.checked_s = 0.0

    async def tick(self) -> None:
        """Forget what is over age or beyond the room for it."""
        now_s = self.clock.seconds()
        if now_s - self.checked_s < FORGET_INTERVAL_S:
            return
        self.checked_s = now_s
        state = self.log.state
        limits = forget_before(
            state.jobs.values(), state.reservations.values(), self.log.time_ms()
        )
        if limits is not None:
            command = ForgetWork(
                limits.before_ms, limits.results_before_ms, limits.once_before_ms
            )
            await self.log.propose(command)
