"""
mulberryledge_core.decisions.queue_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds on the time that a call may wait for capacity.

A call may wait up to its deadline while the queue runs empty now and then. In a
standing queue it may wait for only part of that time, so that refusals come early.
"""

from dataclasses import dataclass

__all__ = ["QueueTime", "after_run", "allowed_wait_s", "expected_wait_s"]

STANDING_QUEUE_S = 1.0
STANDING_WAIT_SHARE = 0.6  # of the time that a deadline leaves for waiting
RUN_TIME_SMOOTHING = 0.1


@dataclass(frozen=True, slots=True)
class QueueTime:
    """
    Timing of one service's queue at one entry.

    Attributes
    ----------
    run_s : float
        Moving average of the run time of a call at its target, in seconds.
    last_empty_s : float
        Time at which the queue was last empty, in seconds of the entry's clock.
    """

    run_s: float = 0.0
    last_empty_s: float = 0.0


def after_run(times: QueueTime, seconds: float) -> QueueTime:
    """Return the times after one more call at a target."""
    if not times.run_s:
        return QueueTime(seconds, times.last_empty_s)
    run_s = times.run_s + RUN_TIME_SMOOTHING * (seconds - times.run_s)
    return QueueTime(run_s, times.last_empty_s)


def allowed_wait_s(times: QueueTime, now_s: float, timeout_s: float) -> float:
    """Return the maximum wait of a call with this timeout, in seconds."""
    available_s = max(0.0, timeout_s - times.run_s)
    if now_s - times.last_empty_s > STANDING_QUEUE_S:
        return STANDING_WAIT_SHARE * available_s
    return available_s


def expected_wait_s(times: QueueTime, ahead: int, slots: int) -> float:
    """Return the expected wait for a slot of a call with ``ahead`` calls before it."""
    if not slots:
        return 0.0
    return ahead * times.run_s / slots
