"""
mulberryledge_core.decisions.queue_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a call may wait for capacity: its whole deadline while queues run empty now
and then, a short while once they stand, so that refusals come early.
"""

from dataclasses import dataclass

__all__ = ["QueueTime", "after_run", "allowed_wait_s", "expected_wait_s"]

STANDING_S = 1.0
STANDING_WAIT_SHARE = 0.6  # of the time that a deadline leaves for waiting
RUN_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class QueueTime:
    """
    What an entry knows of one service's queue.

    Attributes
    ----------
    run_s : float
        Moving average of the time that a call takes at its target, in seconds.
    empty_s : float
        When the queue was last empty, in seconds of the entry's clock.
    """

    run_s: float = 0.0
    empty_s: float = 0.0


def after_run(times: QueueTime, seconds: float) -> QueueTime:
    """Return the times after one more run at a target."""
    if not times.run_s:
        return QueueTime(seconds, times.empty_s)
    run_s = times.run_s + RUN_WEIGHT * (seconds - times.run_s)
    return QueueTime(run_s, times.empty_s)


def allowed_wait_s(times: QueueTime, now_s: float, timeout_s: float) -> float:
    """Return how long a call with this timeout may wait, in seconds."""
    room_s = max(0.0, timeout_s - times.run_s)
    if now_s - times.empty_s > STANDING_S:
        return STANDING_WAIT_SHARE * room_s
    return room_s


def expected_wait_s(times: QueueTime, ahead: int, slots: int) -> float:
    """Return how long a call with so many ahead of it will wait for a slot."""
    if not slots:
        return 0.0
    return ahead * times.run_s / slots
