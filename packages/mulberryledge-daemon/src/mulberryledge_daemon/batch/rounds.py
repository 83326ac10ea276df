"""
mulberryledge_daemon.batch.rounds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gathers the changes of the state and proposes them in rounds, one at a time. All that
comes up while a round is under way shares the next one, so the number of syncs does
not grow with the load.
"""

import logging
from collections.abc import Callable
from enum import StrEnum

from result import Ok
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.batch.commands import Round
from mulberryledge_core.outcomes import Code

__all__ = ["Committed", "Rounds"]

GATHER_S = 0.002  # lets what arrives together share a round; well below one sync

logger = logging.getLogger(__name__)


class Committed(StrEnum):
    """What became of a change."""

    YES = "yes"
    NO = "no"  # it was not made, and never will be
    UNKNOWN = "unknown"


class Rounds:
    """
    Owns the changes that wait for a round.

    Parameters
    ----------
    plan : callable
        Takes the changes that the round begins with, and returns further ones, worked
        out from the committed state.
    committed : callable
        Takes the changes of a round once they are durable.
    """

    def __init__(
        self,
        clock: IReactorTime,
        propose: Callable,
        plan: Callable[[tuple[object, ...]], list[object]],
        committed: Callable[[tuple[object, ...]], None],
    ):
        self.clock = clock
        self.propose = propose
        self.plan = plan
        self.committed = committed
        self.term: int | None = None
        self.waiting: list[tuple[object, Deferred]] = []
        self.under_way: list[Deferred] = []
        self.busy = False
        self.timer = None
        self.settling: list[Deferred] = []

    def begin(self, term: int) -> None:
        """Propose from now on, in a term."""
        self.term = term
        self.wake()

    def end(self) -> None:
        """Propose nothing any more; nobody knows what becomes of the last round."""
        self.term = None
        waiting, self.waiting = self.waiting, []
        under_way, self.under_way = self.under_way, []
        for _, done in waiting:
            done.callback(Committed.NO)
        for done in under_way:
            done.callback(Committed.UNKNOWN)

    def submit(self, change: object) -> Deferred:
        """Make a change with the next round; resolves with a :class:`Committed`."""
        done = Deferred()
        if self.term is None:
            done.callback(Committed.NO)
            return done
        self.waiting.append((change, done))
        self.wake()
        return done

    def settled(self) -> Deferred:
        """Return what resolves once no round is under way that was planned before."""
        done = Deferred()
        if self.busy:
            self.settling.append(done)
        else:
            done.callback(None)
        return done

    def wake(self) -> None:
        """Let a round begin soon."""
        if self.timer is None and not self.busy and self.term is not None:
            self.timer = self.clock.callLater(GATHER_S, self.run)

    def run(self) -> None:
        """Begin a round."""
        self.timer = None
        if self.term is None or self.busy:
            return
        self.busy = True
        done = ensureDeferred(self.run_round(self.term))
        done.addErrback(self.broken)

    async def run_round(self, term: int) -> None:
        """Propose what waits and what is planned, and report the outcome."""
        waiting, self.waiting = self.waiting, []
        changes = tuple(change for change, _ in waiting)
        changes += self.planned(changes)
        if not changes:
            self.set_idle()
            return
        dones = [done for _, done in waiting]
        self.under_way = dones
        outcome = await self.propose(Round(term, changes))
        self.set_idle()
        if self.under_way is not dones:
            return
        self.under_way = []
        if isinstance(outcome, Ok):
            self.committed(changes)
            verdict = Committed.YES
        else:
            void = outcome.err_value.code == Code.STALE
            verdict = Committed.NO if void else Committed.UNKNOWN
            extra = {"why": outcome.err_value.message, "changes": len(changes)}
            logger.warning("round not committed", extra=extra)
        for done in dones:
            done.callback(verdict)
        self.wake()

    def planned(self, changes: tuple[object, ...]) -> tuple[object, ...]:
        """Return what is planned; a failure of the plan holds nothing else up."""
        try:
            return tuple(self.plan(changes))
        except Exception:
            logger.critical("no plan for this round", exc_info=True)
            return ()

    def set_idle(self) -> None:
        """Tell those who wait for the end of a round."""
        self.busy = False
        settling, self.settling = self.settling, []
        for done in settling:
            done.callback(None)

    def broken(self, failure) -> None:
        """Log a failure of the program, and go on."""
        self.set_idle()
        logger.critical("round failed", extra={"failure": failure.getTraceback()})
        self.wake()
