"""
mulberryledge_core.decisions.answer_retention
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Retention of answers to non-repeatable requests, kept for clients that resend.
"""

from collections.abc import Iterable

from mulberryledge_core.model.jobs import Reservation

__all__ = ["discard_answers_before_ms"]

ANSWER_RETENTION_MS = 600_000
MAX_RETAINED_ANSWER_BYTES = 8 * 1_024 * 1_024


def discard_answers_before_ms(
    reservations: Iterable[Reservation], now_ms: int
) -> int | None:
    """
    Return the log time before which answers are to be dropped, or None.

    Answers are kept for 10 minutes, or for less time if their total size exceeds
    :data:`MAX_RETAINED_ANSWER_BYTES`; the oldest are dropped first.

    Parameters
    ----------
    now_ms : int
        Log time in milliseconds.
    """
    newest_first = sorted(
        (
            (item.reserved_ms, len(item.answer.body))
            for item in reservations
            if item.answer is not None
        ),
        reverse=True,
    )
    before_ms = now_ms - ANSWER_RETENTION_MS
    total_bytes = 0
    for reserved_ms, size_bytes in newest_first:
        total_bytes += size_bytes
        if total_bytes > MAX_RETAINED_ANSWER_BYTES:
            before_ms = max(before_ms, reserved_ms + 1)
            break
    if newest_first and newest_first[-1][0] < before_ms:
        return before_ms
    return None
