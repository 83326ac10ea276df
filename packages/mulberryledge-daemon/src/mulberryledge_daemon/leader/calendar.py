"""
mulberryledge_daemon.leader.calendar
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts maintenance waves on schedule, where the settings enable it.
"""

from collections.abc import Callable

from result import Ok

from mulberryledge_core.decisions.calendar import due_waves
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Calendar"]

CHECK_INTERVAL_MS = 60_000


class Calendar:
    """Starts a wave for each pool whose maintenance is due."""

    def __init__(
        self, log: ReplicatedLog, enabled: bool, on_decision: Callable[[Decision], None]
    ):
        self.log = log
        self.enabled = enabled
        self.on_decision = on_decision
        self.checked_ms = 0

    async def tick(self) -> None:
        """Start a wave for each pool in its quiet window that has hosts due."""
        now_ms = self.log.time_ms()
        if not self.enabled or now_ms - self.checked_ms < CHECK_INTERVAL_MS:
            return
        self.checked_ms = now_ms
        for command in due_waves(self.log.state, now_ms):
            if isinstance(await self.log.propose(command), Ok):
                subject = f"wave/{command.name}"
                cause = f"{len(command.hosts)} hosts of {command.pool!r} are due"
                decision = Decision(now_ms, DecisionKind.PERMIT, subject, cause)
                self.on_decision(decision)
