"""
mulberryledge_daemon.batch.watchdog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that detects stuck and slow runs, excludes their targets from
placement, and moves the runs elsewhere.
"""

import logging

from mulberryledge_core.batch.state import RunKey
from mulberryledge_core.batch.target_health import HealthPolicy, is_stuck, projected_ms
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession, TrackedRun

__all__ = ["Watchdog"]

CHECK_INTERVAL_MS = 200  # lists arrive about once a second
RESTART_FACTOR = 1.5  # a run moves above this ratio of its remaining time to a new run

logger = logging.getLogger(__name__)


class Watchdog:
    """Checks the progress of runs while this daemon leads."""

    def __init__(self, scheduler: Scheduler, policy: HealthPolicy):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.policy = policy
        self.last_check_ms = 0
        scheduler.tick_callbacks.append(self.tick)

    def tick(self) -> None:
        """Check the runs on all targets that answer."""
        now = self.scheduler.now()
        if now - self.last_check_ms < CHECK_INTERVAL_MS:
            return
        self.last_check_ms = now
        for session in self.scheduler.sessions.values():
            if session.silent_since_ms is None and session.listed:
                self.check_target(session, now)

    def check_target(self, session: TargetSession, now: int) -> None:
        """Check the runs on one target."""
        slow, slower_than_siblings = {}, False
        for key, tracked in self.checkable_runs(session):
            expected_ms = self.expected_ms(key, session)
            if self.makes_no_progress(key, tracked, expected_ms, now):
                self.move_run(session, key, tracked, "no progress", now)
                continue
            sibling_ms = self.exceeded_sibling_ms(key, session, tracked, now)
            remaining_ms = self.slow_remaining_ms(key, tracked, expected_ms, sibling_ms)
            if remaining_ms is not None:
                if sibling_ms is not None:
                    expected_ms, slower_than_siblings = sibling_ms, True
                slow[key] = (tracked, remaining_ms > RESTART_FACTOR * expected_ms)
        jobs = {key[0].job_id for key in slow}
        if slower_than_siblings or len(jobs) >= self.policy.min_slow_jobs:
            for key, (tracked, restart) in slow.items():
                if restart:
                    self.move_run(session, key, tracked, "slow target", now)

    def checkable_runs(self, session: TargetSession) -> list[tuple[RunKey, TrackedRun]]:
        """Return the runs of a target whose progress is known."""
        checkable = []
        live = session.live_runs()
        for key in session.listed:
            tracked = session.tracked_runs.get(key)
            known = key in live and key not in self.state.unwanted_runs
            if not known or tracked is None or tracked.accepted_ms is None:
                continue
            if session.throttled and self.state.spec_of(key[0].step_id).filler:
                continue  # its speed is set by the throttle, not by the target
            if tracked.percent >= 0 and not session.is_stopping(key):
                checkable.append((key, tracked))
        return checkable

    def expected_ms(self, key: RunKey, session: TargetSession) -> float:
        """Return the expected duration of a run on its target."""
        spec = self.state.spec_of(key[0].step_id)
        job = self.state.jobs[key[0].job_id]
        expected_ms = self.scheduler.durations.expected_ms(job.queue, spec)
        if spec.data_rack and spec.data_rack != session.target.rack:
            expected_ms *= self.scheduler.remote_factor
        return expected_ms

    def makes_no_progress(
        self, key: RunKey, tracked: TrackedRun, expected_ms: float, now: int
    ) -> bool:
        """Return whether a run makes no progress."""
        return is_stuck(
            self.state.spec_of(key[0].step_id).long_running,
            expected_ms,
            now - tracked.accepted_ms,
            tracked.percent,
            tracked.listed_ms - tracked.percent_since_ms,
            self.policy,
        )

    def exceeded_sibling_ms(
        self, key: RunKey, session: TargetSession, tracked: TrackedRun, now: int
    ) -> float | None:
        """
        Return what equal tasks took on other targets if a run has exceeded it.

        Tasks with data on one rack take longer elsewhere and are not compared.
        """
        step_id = key[0].step_id
        sibling_ms = self.scheduler.sibling_ms(step_id, session.incarnation)
        if sibling_ms is None or self.state.spec_of(step_id).data_rack:
            return None
        return sibling_ms if now - tracked.accepted_ms > sibling_ms else None

    def slow_remaining_ms(
        self,
        key: RunKey,
        tracked: TrackedRun,
        expected_ms: float,
        sibling_ms: float | None,
    ) -> float | None:
        """
        Return the remaining time of a surprisingly slow run, else None.

        Parameters
        ----------
        sibling_ms : float or None
            What equal tasks took on other targets, which says more than the estimate.
        """
        spec = self.state.spec_of(key[0].step_id)
        if spec.long_running or spec.gang or spec.filler:
            return None
        if key[1] > self.policy.max_evaluated_runs:
            return None
        elapsed_ms = tracked.percent_since_ms - tracked.accepted_ms
        total_ms = projected_ms(elapsed_ms, tracked.percent, self.policy)
        if total_ms is None:
            return None
        queue = self.state.jobs[key[0].job_id].queue
        limit_ms = self.scheduler.durations.outlier_factor(queue) * expected_ms
        if sibling_ms is not None:
            limit_ms = self.policy.sibling_factor * sibling_ms
        if total_ms < limit_ms:
            return None
        return total_ms - elapsed_ms

    def move_run(
        self,
        session: TargetSession,
        key: RunKey,
        tracked: TrackedRun,
        why: str,
        now: int,
    ) -> None:
        """Stop a run so that it starts elsewhere, and exclude its target."""
        extra = {"job": key[0].job_id, "task": key[0][1:], "run": key[1]}
        extra |= {"target": session.incarnation, "why": why}
        extra |= {"percent": tracked.percent, "ms": now - tracked.accepted_ms}
        logger.warning("run is moved", extra=extra)
        if not session.health.excluded(now):
            session.health.exclude(now, self.policy)
        session.stop(key)
