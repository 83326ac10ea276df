"""
mulberryledge_daemon.leader.calendar
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts the waves that the calendar asks for, where the settings say so.
"""

from collections.abc import Callable

from result import Ok

from mulberryledge_core.decisions.calendar import due_waves
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Calendar"]

INTERVAL_MS = 60_000


class Calendar:
    """Owns the time of the last look at the calendar."""

    def __init__(
        self, log: ReplicatedLog, enabled: bool, note: Callable[[Decision], None]
    ):
        self.log = log
        self.enabled = enabled
        self.note = note
        self.looked_ms = 0

    async def tick(self) -> None:
        """Start a wave for each pool in its quiet time that has hosts due."""
        now_ms = self.log.time_ms()
        if not self.enabled or now_ms - self.looked_ms < INTERVAL_MS:
            return
        self.looked_ms = now_ms
        for command in due_waves(self.log.state, now_ms):
            if isinstance(await self.log.propose(command), Ok):
                subject = f"wave/{command.name}"
                cause = f"{len(command.hosts)} hosts of {command.pool!r} are due"
                decision = Decision(now_ms, DecisionKind.PERMIT, subject, cause)
                self.note(decision)
