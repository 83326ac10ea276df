"""
mulberryledge_core.decisions.retention
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long ended jobs, their results and kept answers stay.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mulberryledge_core.model.jobs import Job, Reservation, ReservationPhase

__all__ = ["ForgetLimits", "forget_before"]

RETAIN_MS = 3_600_000
RETAIN_ONCE_MS = 86_400_000
RETAIN_LEAST_MS = 900_000
MAX_ENDED = 20_000
MAX_RESULT_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class ForgetLimits:
    """
    Log times, in milliseconds, before which things are forgotten.

    Attributes
    ----------
    before_ms : int
        Ended jobs that may be repeated.
    results_before_ms : int
        Results; their jobs stay.
    once_before_ms : int
        Ended jobs and reservations that must not be repeated.
    """

    before_ms: int
    results_before_ms: int
    once_before_ms: int


def forget_before(
    jobs: Iterable[Job], reservations: Iterable[Reservation], now_ms: int
) -> ForgetLimits | None:
    """
    Return what to forget, or None if there is nothing.

    Records stay for an hour, and for at least a quarter of one where there are
    more than :data:`MAX_ENDED`: until then a resend finds its job and does not run
    again. What must not be repeated stays for a day whatever its number; the state
    refuses more beyond its room. Results are dropped earlier, oldest first.

    Parameters
    ----------
    jobs, reservations : iterable
        All of them.
    now_ms : int
        Log time in milliseconds.
    """
    over = [job for job in jobs if job.ended_ms]
    ended = sorted(((job.ended_ms, len(job.result)) for job in over), reverse=True)
    before = now_ms - RETAIN_MS
    if len(ended) > MAX_ENDED:
        before = max(before, min(ended[MAX_ENDED][0], now_ms - RETAIN_LEAST_MS))
    results_before = before
    kept_bytes = 0
    for ended_ms, size in ended:
        kept_bytes += size
        if kept_bytes > MAX_RESULT_BYTES:
            results_before = max(before, ended_ms + 1)
            break
    once_before = now_ms - RETAIN_ONCE_MS
    old_jobs = any(
        job.ended_ms < (before if job.repeatable else once_before) for job in over
    )
    old_results = any(size and at_ms < results_before for at_ms, size in ended)
    old_answers = any(
        item.phase != ReservationPhase.RUNNING and item.reserved_ms < once_before
        for item in reservations
    )
    if not (old_jobs or old_results or old_answers):
        return None
    return ForgetLimits(max(0, before), max(0, results_before), max(0, once_before))
