"""
mulberryledge_daemon.batch.pacer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that sets the pace of fillers, target by target, from the tail
latencies that the targets list.
"""

import logging
from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.pacing import (
    FULL_PERCENT,
    PacePolicy,
    next_pace,
    worst_share,
)
from mulberryledge_core.batch.state import RunKey
from mulberryledge_daemon.batch.ports import OrderOutcome, PaceOrder
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession

__all__ = ["Pacer"]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Pace:
    """
    The fillers of one life of a target.

    Attributes
    ----------
    percent : int
        Their pace.
    view_clock_ms : int
        Clock of the list that it was last worked out from.
    stopped_ms : int or None
        Since when they do not work.
    told : dict of RunKey to int
        Pace that each run was told last; one that is not here runs at an unknown pace.
    """

    percent: int = FULL_PERCENT
    view_clock_ms: int = -1
    stopped_ms: int | None = None
    told: dict[RunKey, int] = field(default_factory=dict)


class Pacer:
    """Owns the pace of fillers while this daemon leads."""

    def __init__(self, scheduler: Scheduler, policy: PacePolicy):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.policy = policy
        self.paces: dict[str, Pace] = {}
        scheduler.beginnings.append(self.paces.clear)  # others may have set them since
        scheduler.followers.append(self.tick)
        scheduler.wishes.append(self.lacking)

    def tick(self) -> None:
        """Set the pace on each target that runs fillers."""
        for life in [one for one in self.paces if one not in self.scheduler.sessions]:
            del self.paces[life]
        for life, session in self.scheduler.sessions.items():
            fills = life in self.paces or self.state.filling[life]
            if fills and session.silent_ms is None and session.listed:
                self.look_at(life, session)

    def look_at(self, life: str, session: TargetSession) -> None:
        """Set the pace of the fillers on one target."""
        fillers, tails = self.sharing(session)
        if not fillers:
            self.paces.pop(life, None)
            session.look_ms, session.paced = None, False
            return
        session.look_ms = self.policy.look_ms if tails else None
        pace = self.paces.setdefault(life, Pace())
        if session.view_clock_ms != pace.view_clock_ms:
            pace.view_clock_ms = session.view_clock_ms
            self.follow(life, pace, worst_share(tails))
        session.paced = pace.percent < FULL_PERCENT
        pace.told = {key: told for key, told in pace.told.items() if key in fillers}
        for key in fillers:
            if pace.told.get(key) != pace.percent:
                pace.told[key] = pace.percent
                told = ensureDeferred(self.tell(session, pace, key))
                told.addErrback(self.broken)
        self.relieve(session, pace, fillers)

    def sharing(
        self, session: TargetSession
    ) -> tuple[list[RunKey], list[tuple[float, float]]]:
        """Return the fillers on a target, and the tails there with their bounds."""
        fillers, tails = [], []
        live = session.live()
        for key, row in session.listed.items():
            if key not in live:
                continue
            spec = self.state.spec_of(key[0].step_id)
            if spec.filler:
                fillers.append(key)
            elif spec.latency_target_ms and row.figure is not None:
                tails.append((row.figure, spec.latency_target_ms))
        return fillers, tails

    def follow(self, life: str, pace: Pace, share: float) -> None:
        """Work out the pace anew from the latest figures."""
        before = pace.percent
        pace.percent = next_pace(before, share, self.policy)
        if pace.percent:
            pace.stopped_ms = None
        elif pace.stopped_ms is None:
            pace.stopped_ms = self.scheduler.now()
        if pace.percent != before:
            extra = {"target": life, "percent": pace.percent, "before": before}
            logger.info("pace", extra=extra | {"share": round(share, 2)})

    async def tell(self, session: TargetSession, pace: Pace, key: RunKey) -> None:
        """Tell a target the pace of one run; if it is not confirmed, once more."""
        percent = pace.percent
        order = PaceOrder(key[0], key[1], percent, self.scheduler.fence)
        answer = await self.scheduler.orders.pace(session.target, order)
        if answer.outcome != OrderOutcome.DONE and pace.told.get(key) == percent:
            del pace.told[key]
            extra = {"job": key[0].job_id, "target": session.life}
            logger.warning("pace not confirmed", extra=extra)

    def relieve(self, session: TargetSession, pace: Pace, fillers: list) -> None:
        """Move a filler that has not worked for long, if others let theirs work."""
        if pace.stopped_ms is None:
            return
        if self.scheduler.now() - pace.stopped_ms < self.policy.starved_ms:
            return
        pool = session.target.pool
        if not any(
            one.usable() and not one.paced and one.target.pool == pool
            for one in self.scheduler.sessions.values()
        ):
            return
        pace.stopped_ms = self.scheduler.now()
        for key in fillers:
            if not session.stopping(key) and key not in self.state.unwanted_runs:
                extra = {"job": key[0].job_id, "target": session.life}
                logger.info("filler moves", extra=extra)
                session.stop(key)
                return

    def lacking(self) -> Counter[str]:
        """Return the pools in which all fillers stand still."""
        lacking: Counter[str] = Counter()
        for life, pace in self.paces.items():
            session = self.scheduler.sessions.get(life)
            if session is not None and pace.stopped_ms is not None:
                lacking[session.target.pool] = 1
        return lacking

    def broken(self, failure) -> None:
        """Log a failure of the program, and go on."""
        logger.critical("pacing failed", extra={"failure": failure.getTraceback()})
