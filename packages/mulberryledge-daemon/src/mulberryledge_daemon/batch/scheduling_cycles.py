"""
mulberryledge_daemon.batch.scheduling_cycles
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Collects state changes and proposes them as change sets, one per scheduling cycle.
Changes submitted while a cycle is in progress share the next one, so the number of
syncs does not grow with the load.
"""

import logging
from collections.abc import Callable
from enum import StrEnum

from result import Ok
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.batch.commands import ChangeSet
from mulberryledge_core.outcomes import Code

__all__ = ["CommitOutcome", "SchedulingCycles"]

GATHER_S = 0.002  # changes that arrive together share a cycle; well below one sync
MIN_INTERVAL_S = 0.025  # between the starts of two cycles; bounds their cost under load

# Refusals of a change set that is not in the log, and can't get there any more.
VOID_CODES = (Code.STALE, Code.BAD_REQUEST, Code.TOO_LARGE)

logger = logging.getLogger(__name__)


class CommitOutcome(StrEnum):
    """Outcome of a change."""

    YES = "yes"
    NO_EFFECT = "no-effect"  # it was applied, and changed nothing
    NO = "no"  # it was not applied, and never will be
    UNKNOWN = "unknown"

    @property
    def is_durable(self) -> bool:
        """Whether the change was applied, with or without effect."""
        return self in (CommitOutcome.YES, CommitOutcome.NO_EFFECT)


class SchedulingCycles:
    """
    Owns the changes that wait for the next cycle.

    Parameters
    ----------
    plan : callable
        Takes the changes submitted for the cycle, and returns further ones, derived
        from the committed state.
    on_committed : callable
        Takes the changes of a cycle that had an effect, once they are durable.
    """

    def __init__(
        self,
        clock: IReactorTime,
        propose: Callable,
        plan: Callable[[tuple[object, ...]], list[object]],
        on_committed: Callable[[tuple[object, ...]], None],
    ):
        self.clock = clock
        self.propose = propose
        self.plan = plan
        self.on_committed = on_committed
        self.term: int | None = None
        self.waiting: list[tuple[object, Deferred]] = []
        self.in_progress: list[Deferred] = []
        self.busy = False
        self.timer = None
        self.last_start_s = -MIN_INTERVAL_S
        self.idle_waiters: list[Deferred] = []

    def start(self, term: int) -> None:
        """Start to propose changes, in a given term."""
        self.term = term
        self.wake()

    def stop(self) -> None:
        """Propose no more changes; the outcome of a cycle in progress is unknown."""
        self.term = None
        waiting, self.waiting = self.waiting, []
        in_progress, self.in_progress = self.in_progress, []
        for _, done in waiting:
            done.callback(CommitOutcome.NO)
        for done in in_progress:
            done.callback(CommitOutcome.UNKNOWN)

    def submit(self, change: object) -> Deferred:
        """Queue a change for the next cycle; resolves with a :class:`CommitOutcome`."""
        done = Deferred()
        if self.term is None:
            done.callback(CommitOutcome.NO)
            return done
        self.waiting.append((change, done))
        self.wake()
        return done

    def when_idle(self) -> Deferred:
        """Return a Deferred that fires once the cycle in progress has ended."""
        done = Deferred()
        if self.busy:
            self.idle_waiters.append(done)
        else:
            done.callback(None)
        return done

    def wake(self) -> None:
        """Schedule a cycle unless one is scheduled or in progress."""
        if self.timer is None and not self.busy and self.term is not None:
            next_s = self.last_start_s + MIN_INTERVAL_S - self.clock.seconds()
            self.timer = self.clock.callLater(max(GATHER_S, next_s), self.start_cycle)

    def start_cycle(self) -> None:
        """Start a cycle."""
        self.timer = None
        if self.term is None or self.busy:
            return
        self.busy = True
        self.last_start_s = self.clock.seconds()
        done = ensureDeferred(self.run_cycle(self.term))
        done.addErrback(self.on_error)

    async def run_cycle(self, term: int) -> None:
        """Propose the submitted and the planned changes, and report the outcome."""
        waiting, self.waiting = self.waiting, []
        changes = tuple(change for change, _ in waiting)
        changes += self.planned(changes)
        if not changes:
            self.set_idle()
            return
        dones = [done for _, done in waiting]
        self.in_progress = dones
        outcome = await self.propose(ChangeSet(term, changes))
        self.set_idle()
        if self.in_progress is not dones:
            return
        self.in_progress = []
        outcomes = [CommitOutcome.YES] * len(changes)
        if isinstance(outcome, Ok):
            for position, _ in outcome.ok_value.without_effect:
                outcomes[position] = CommitOutcome.NO_EFFECT
            pairs = zip(changes, outcomes, strict=True)
            self.report_committed(
                tuple(change for change, how in pairs if how == CommitOutcome.YES)
            )
        else:
            is_void = outcome.err_value.code in VOID_CODES
            how = CommitOutcome.NO if is_void else CommitOutcome.UNKNOWN
            outcomes = [how] * len(changes)
            extra = {"why": outcome.err_value.message, "changes": len(changes)}
            logger.warning("round not committed", extra=extra)
        # The planned changes, which nobody waits for, come last.
        for done, how in zip(dones, outcomes, strict=False):
            done.callback(how)
        self.wake()

    def report_committed(self, changes: tuple[object, ...]) -> None:
        """Pass on committed changes; an error there does not undo them."""
        try:
            self.on_committed(changes)
        except Exception:
            logger.critical("committed changes not processed", exc_info=True)

    def planned(self, changes: tuple[object, ...]) -> tuple[object, ...]:
        """Return the planned changes; a planning error does not block the others."""
        try:
            return tuple(self.plan(changes))
        except Exception:
            logger.critical("no plan for this round", exc_info=True)
            return ()

    def set_idle(self) -> None:
        """Notify those who wait for the end of the cycle."""
        self.busy = False
        idle_waiters, self.idle_waiters = self.idle_waiters, []
        for done in idle_waiters:
            done.callback(None)

    def on_error(self, failure) -> None:
        """Log an unexpected error: the outcome of the changes is unknown."""
        logger.critical("round failed", extra={"failure": failure.getTraceback()})
        in_progress, self.in_progress = self.in_progress, []
        self.set_idle()
        for done in in_progress:
            done.callback(CommitOutcome.UNKNOWN)
        self.wake()
