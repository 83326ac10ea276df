"""
mulberryledge_daemon.batch.filler_throttle
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that throttles the fillers on each target by the tail latencies that
the target lists.
"""

import logging
from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.state import RunKey
from mulberryledge_core.batch.throttling import (
    FULL_SPEED_PERCENT,
    ThrottlePolicy,
    max_latency_share,
    next_speed_percent,
)
from mulberryledge_daemon.batch.ports import OrderOutcome, ThrottleOrder
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession

__all__ = ["FillerThrottle"]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class TargetThrottle:
    """
    Throttle of the fillers on one incarnation of a target.

    Attributes
    ----------
    speed_percent : int
        Speed of the fillers.
    view_clock_ms : int
        Clock reading of the list that the speed was last derived from.
    halted_since_ms : int or None
        Since when the speed is zero, None if it is not.
    sent_percents : dict of RunKey to int
        Speed last sent for each run; the speed of a run without an entry is unknown.
    """

    speed_percent: int = FULL_SPEED_PERCENT
    view_clock_ms: int = -1
    halted_since_ms: int | None = None
    sent_percents: dict[RunKey, int] = field(default_factory=dict)


class FillerThrottle:
    """Owns the throttles of fillers while this daemon leads."""

    def __init__(self, scheduler: Scheduler, policy: ThrottlePolicy):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.policy = policy
        self.throttles: dict[str, TargetThrottle] = {}
        # Another leader may have set other speeds since.
        scheduler.takeover_callbacks.append(self.throttles.clear)
        scheduler.tick_callbacks.append(self.tick)
        scheduler.host_requests.append(self.extra_hosts)

    def tick(self) -> None:
        """Throttle the fillers on each target that runs any."""
        for incarnation in [
            one for one in self.throttles if one not in self.scheduler.sessions
        ]:
            del self.throttles[incarnation]
        for incarnation, session in self.scheduler.sessions.items():
            has_fillers = (
                incarnation in self.throttles or self.state.filler_millis[incarnation]
            )
            if has_fillers and session.silent_since_ms is None and session.listed:
                self.throttle_target(incarnation, session)

    def throttle_target(self, incarnation: str, session: TargetSession) -> None:
        """Throttle the fillers on one target."""
        fillers, tails = self.fillers_and_tails(session)
        if not fillers:
            self.throttles.pop(incarnation, None)
            session.max_list_wait_ms, session.throttled = None, False
            return
        session.max_list_wait_ms = self.policy.poll_interval_ms if tails else None
        throttle = self.throttles.setdefault(incarnation, TargetThrottle())
        if session.view_clock_ms != throttle.view_clock_ms:
            throttle.view_clock_ms = session.view_clock_ms
            self.update_speed(incarnation, throttle, max_latency_share(tails))
        session.throttled = throttle.speed_percent < FULL_SPEED_PERCENT
        throttle.sent_percents = {
            key: sent for key, sent in throttle.sent_percents.items() if key in fillers
        }
        for key in fillers:
            if throttle.sent_percents.get(key) != throttle.speed_percent:
                throttle.sent_percents[key] = throttle.speed_percent
                sent = ensureDeferred(self.send_speed(session, throttle, key))
                sent.addErrback(self.on_error, throttle, key)
        self.move_starved(session, throttle, fillers)

    def fillers_and_tails(
        self, session: TargetSession
    ) -> tuple[list[RunKey], list[tuple[float, float]]]:
        """Return the fillers on a target, and its tail latencies with their bounds."""
        fillers, tails = [], []
        live = session.live_runs()
        for key, row in session.listed.items():
            if key not in live:
                continue
            spec = self.state.spec_of(key[0].step_id)
            if spec.filler:
                fillers.append(key)
            elif spec.latency_target_ms and row.measurement is not None:
                tails.append((row.measurement, spec.latency_target_ms))
        return fillers, tails

    def update_speed(
        self, incarnation: str, throttle: TargetThrottle, share: float
    ) -> None:
        """Derive the speed from the latest tail latency."""
        previous_percent = throttle.speed_percent
        throttle.speed_percent = next_speed_percent(
            previous_percent, share, self.policy
        )
        if throttle.speed_percent:
            throttle.halted_since_ms = None
        elif throttle.halted_since_ms is None:
            throttle.halted_since_ms = self.scheduler.now()
        if throttle.speed_percent != previous_percent:
            extra = {
                "target": incarnation,
                "percent": throttle.speed_percent,
                "before": previous_percent,
            }
            logger.info("pace", extra=extra | {"share": round(share, 2)})

    async def send_speed(
        self, session: TargetSession, throttle: TargetThrottle, key: RunKey
    ) -> None:
        """Send the speed of one run; the next tick resends it if unconfirmed."""
        speed_percent = throttle.speed_percent
        order = ThrottleOrder(key[0], key[1], speed_percent, self.scheduler.fence)
        answer = await self.scheduler.orders.throttle(session.target, order)
        if (
            answer.outcome != OrderOutcome.DONE
            and throttle.sent_percents.get(key) == speed_percent
        ):
            del throttle.sent_percents[key]
            extra = {"job": key[0].job_id, "target": session.incarnation}
            logger.warning("pace not confirmed", extra=extra)

    def move_starved(
        self, session: TargetSession, throttle: TargetThrottle, fillers: list
    ) -> None:
        """Move a starved filler if another target of the pool runs unthrottled."""
        if throttle.halted_since_ms is None:
            return
        now = self.scheduler.now()
        if now - throttle.halted_since_ms < self.policy.max_stopped_ms:
            return
        pool = session.target.pool
        if not any(
            one.usable(now) and not one.throttled and one.target.pool == pool
            for one in self.scheduler.sessions.values()
        ):
            return
        throttle.halted_since_ms = self.scheduler.now()
        for key in fillers:
            if not session.is_stopping(key) and key not in self.state.unwanted_runs:
                extra = {"job": key[0].job_id, "target": session.incarnation}
                logger.info("filler moves", extra=extra)
                session.stop(key)
                return

    def extra_hosts(self) -> Counter[str]:
        """Return one host for each pool that has fillers at zero speed."""
        extra_hosts: Counter[str] = Counter()
        for incarnation, throttle in self.throttles.items():
            session = self.scheduler.sessions.get(incarnation)
            if session is not None and throttle.halted_since_ms is not None:
                extra_hosts[session.target.pool] = 1
        return extra_hosts

    def on_error(self, failure, throttle: TargetThrottle, key: RunKey) -> None:
        """Log an unexpected error; the next tick sends the speed again."""
        throttle.sent_percents.pop(key, None)
        logger.critical("pacing failed", extra={"failure": failure.getTraceback()})
