"""
mulberryledge_daemon.leader.retention
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Removes ended work by age, and results and stored answers also by total size.
"""

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ForgetAnswers, ForgetWork
from mulberryledge_core.decisions.answer_retention import discard_answers_before_ms
from mulberryledge_core.decisions.retention import removal_limits
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Retention"]

CHECK_INTERVAL_S = 10.0


class Retention:
    """Proposes the removal of expired records at intervals."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.checked_s = 0.0

    async def tick(self) -> None:
        """Remove records that exceed their age or size limits."""
        now_s = self.clock.seconds()
        if now_s - self.checked_s < CHECK_INTERVAL_S:
            return
        self.checked_s = now_s
        await self.discard_answers()
        await self.remove_ended_work()

    async def discard_answers(self) -> None:
        """Remove stored answers; reservations still record that the requests ran."""
        before_ms = discard_answers_before_ms(
            self.log.state.reservations.values(), self.log.time_ms()
        )
        if before_ms is not None:
            await self.log.propose(ForgetAnswers(before_ms))

    async def remove_ended_work(self) -> None:
        """Remove ended jobs, their results and settled reservations."""
        state = self.log.state
        limits = removal_limits(
            state.jobs.values(), state.reservations.values(), self.log.time_ms()
        )
        if limits is not None:
            command = ForgetWork(
                limits.before_ms, limits.results_before_ms, limits.once_before_ms
            )
            await self.log.propose(command)
