"""
mulberryledge_daemon.batch.watchdog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that finds runs which stand still or crawl, takes their targets out
and starts the runs elsewhere.
"""

import logging

from mulberryledge_core.batch.state import RunKey
from mulberryledge_core.batch.suspicion import SuspicionPolicy, is_stuck, projected_ms
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession, Track

__all__ = ["Watchdog"]

INTERVAL_MS = 200  # between two looks; lists come about once a second
RESTART_GAIN = 1.5  # a run is moved if its rest takes so many times as long as anew

logger = logging.getLogger(__name__)


class Watchdog:
    """Owns the looks at the progress of runs while this daemon leads."""

    def __init__(self, scheduler: Scheduler, policy: SuspicionPolicy):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.policy = policy
        self.looked_ms = 0
        scheduler.followers.append(self.tick)

    def tick(self) -> None:
        """Look at all runs."""
        now = self.scheduler.now()
        if now - self.looked_ms < INTERVAL_MS:
            return
        self.looked_ms = now
        for session in self.scheduler.sessions.values():
            if session.silent_ms is None and session.listed:
                self.look_at(session, now)

    def look_at(self, session: TargetSession, now: int) -> None:
        """Judge the runs of one target."""
        slow = {}
        for key, track in self.judged_runs(session):
            expected_ms = self.expected_ms(key, session)
            if self.stands_still(key, track, expected_ms, now):
                self.give_up(session, key, track, "no progress", now)
                continue
            rest_ms = self.slow_rest_ms(key, track, expected_ms)
            if rest_ms is not None:
                slow[key] = (track, rest_ms > RESTART_GAIN * expected_ms)
        jobs = {key[0].job_id for key in slow}
        if len(jobs) >= self.policy.slow_jobs:
            for key, (track, restart) in slow.items():
                if restart:
                    self.give_up(session, key, track, "slow target", now)

    def judged_runs(self, session: TargetSession) -> list[tuple[RunKey, Track]]:
        """Return the runs of a target whose progress is known."""
        found = []
        live = session.live()
        for key in session.listed:
            track = session.tracks.get(key)
            known = key in live and key not in self.state.unwanted_runs
            if not known or track is None or track.accepted_ms is None:
                continue
            if session.paced and self.state.spec_of(key[0].step_id).filler:
                continue  # it works as fast as others let it
            if track.percent >= 0 and not session.stopping(key):
                found.append((key, track))
        return found

    def expected_ms(self, key: RunKey, session: TargetSession) -> float:
        """Return how long a run should take on its target."""
        spec = self.state.spec_of(key[0].step_id)
        job = self.state.jobs[key[0].job_id]
        expected_ms = self.scheduler.durations.expected_ms(job.queue, spec)
        if spec.data_rack and spec.data_rack != session.target.rack:
            expected_ms *= self.scheduler.remote_factor
        return expected_ms

    def stands_still(
        self, key: RunKey, track: Track, expected_ms: float, now: int
    ) -> bool:
        """Return whether a run shows no progress."""
        return is_stuck(
            self.state.spec_of(key[0].step_id).long_running,
            expected_ms,
            now - track.accepted_ms,
            track.percent,
            track.listed_ms - track.percent_ms,
            self.policy,
        )

    def slow_rest_ms(
        self, key: RunKey, track: Track, expected_ms: float
    ) -> float | None:
        """Return how long a run still takes if it is surprisingly slow, else None."""
        spec = self.state.spec_of(key[0].step_id)
        if spec.long_running or spec.gang or spec.filler:
            return None
        if key[1] > self.policy.slow_runs:
            return None
        seen_ms = track.percent_ms - track.accepted_ms
        whole_ms = projected_ms(seen_ms, track.percent, self.policy)
        if whole_ms is None:
            return None
        queue = self.state.jobs[key[0].job_id].queue
        if whole_ms < self.scheduler.durations.surprising(queue) * expected_ms:
            return None
        return whole_ms - seen_ms

    def give_up(
        self, session: TargetSession, key: RunKey, track: Track, why: str, now: int
    ) -> None:
        """Stop a run so that it starts elsewhere, and take its target out."""
        extra = {"job": key[0].job_id, "task": key[0][1:], "run": key[1]}
        extra |= {"target": session.life, "why": why}
        extra |= {"percent": track.percent, "ms": now - track.accepted_ms}
        logger.warning("run is moved", extra=extra)
        if not session.health.excluded(now):
            session.health.exclude(now, self.policy)
        session.stop(key)
