"""
mulberryledge_core.decisions.retention
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Retention of ended jobs, of their results and of answered reservations.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mulberryledge_core.model.jobs import Job, Reservation, ReservationPhase

__all__ = ["RetentionLimits", "removal_limits"]

RETAIN_MS = 3_600_000
RETAIN_NON_REPEATABLE_MS = 86_400_000
MIN_RETAIN_MS = 900_000
MAX_ENDED_JOBS = 20_000
MAX_RESULT_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """
    Log times, in milliseconds, before which records are removed.

    Attributes
    ----------
    before_ms : int
        Limit for ended repeatable jobs.
    results_before_ms : int
        Limit for results; the records of their jobs stay.
    once_before_ms : int
        Limit for ended non-repeatable jobs and reservations.
    """

    before_ms: int
    results_before_ms: int
    once_before_ms: int


def removal_limits(
    jobs: Iterable[Job], reservations: Iterable[Reservation], now_ms: int
) -> RetentionLimits | None:
    """
    Return the limits for removal, or None if there is nothing to remove.

    Records stay for an hour, or for at least 15 minutes if there are more than
    :data:`MAX_ENDED_JOBS`, so that a resent submission finds its job instead of
    running it again. Non-repeatable work stays for a day whatever its number; the
    state refuses more of it beyond its capacity. Results are dropped earlier, oldest
    first, above :data:`MAX_RESULT_BYTES`.

    Parameters
    ----------
    jobs, reservations : iterable
        All jobs and reservations of the state.
    now_ms : int
        Log time in milliseconds.
    """
    ended_jobs = [job for job in jobs if job.ended_ms]
    newest_first = sorted(
        ((job.ended_ms, len(job.result)) for job in ended_jobs), reverse=True
    )
    before_ms = now_ms - RETAIN_MS
    if len(newest_first) > MAX_ENDED_JOBS:
        before_ms = max(
            before_ms, min(newest_first[MAX_ENDED_JOBS][0], now_ms - MIN_RETAIN_MS)
        )
    results_before_ms = before_ms
    kept_bytes = 0
    for ended_ms, size in newest_first:
        kept_bytes += size
        if kept_bytes > MAX_RESULT_BYTES:
            results_before_ms = max(before_ms, ended_ms + 1)
            break
    once_before_ms = now_ms - RETAIN_NON_REPEATABLE_MS
    expired_jobs = any(
        job.ended_ms < (before_ms if job.repeatable else once_before_ms)
        for job in ended_jobs
    )
    expired_results = any(
        size and at_ms < results_before_ms for at_ms, size in newest_first
    )
    expired_answers = any(
        item.phase != ReservationPhase.RUNNING and item.reserved_ms < once_before_ms
        for item in reservations
    )
    if not (expired_jobs or expired_results or expired_answers):
        return None
    return RetentionLimits(
        max(0, before_ms), max(0, results_before_ms), max(0, once_before_ms)
    )
