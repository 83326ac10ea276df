"""
mulberryledge_core.decisions.kept_answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long the answers to requests that must not be repeated are kept for resends.
"""

from collections.abc import Iterable

from mulberryledge_core.model.jobs import Reservation

__all__ = ["answers_to_forget_ms"]

KEEP_MS = 600_000
MAX_KEPT_BYTES = 8 * 1_024 * 1_024


def answers_to_forget_ms(
    reservations: Iterable[Reservation], now_ms: int
) -> int | None:
    """
    Return the log time before which answers are to be dropped, or None.

    Answers stay for ten minutes, and fewer where they are over
    :data:`MAX_KEPT_BYTES` together; the oldest go first.

    Parameters
    ----------
    now_ms : int
        Log time in milliseconds.
    """
    kept = sorted(
        (
            (item.reserved_ms, len(item.answer.body))
            for item in reservations
            if item.answer is not None
        ),
        reverse=True,
    )
    before_ms = now_ms - KEEP_MS
    total = 0
    for reserved_ms, size in kept:
        total += size
        if total > MAX_KEPT_BYTES:
            before_ms = max(before_ms, reserved_ms + 1)
            break
    if kept and kept[-1][0] < before_ms:
        return before_ms
    return None
