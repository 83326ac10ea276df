"""
mulberryledge_core.decisions.retries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a failed dispatch is tried again: never at the cost of a false outcome, and
only within a budget that is a share of the traffic.
"""

from dataclasses import dataclass

from mulberryledge_core.outcomes import RunOutcome

__all__ = ["RetryBudget", "backoff_s", "earn", "may_retry", "spend"]

RETRY_SHARE = 0.1  # retries per call
MAX_SAVED = 10.0  # retries
BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.5
MAX_TRIES = 4


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that one entry has in hand for one service."""

    saved: float = MAX_SAVED


def earn(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one more call."""
    return RetryBudget(min(MAX_SAVED, budget.saved + RETRY_SHARE))


def spend(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after one more retry, or None if it does not allow it."""
    if budget.saved < 1.0:
        return None
    return RetryBudget(budget.saved - 1.0)


def may_retry(run: RunOutcome, repeatable: bool, tries: int, left_s: float) -> bool:
    """
    Return whether another try keeps every promise.

    Parameters
    ----------
    run : RunOutcome
        What is known of the last try.
    repeatable : bool
        Whether the call may run more than once.
    tries : int
        Dispatches so far.
    left_s : float
        Time left until the deadline, in seconds.
    """
    if tries >= MAX_TRIES or left_s <= 0:
        return False
    return run == RunOutcome.NOT_RUN or (repeatable and run == RunOutcome.UNKNOWN)


def backoff_s(tries: int, fraction: float) -> float:
    """
    Return the wait before the next try, in seconds, with full jitter.

    Parameters
    ----------
    fraction : float
        Random number from 0 up to 1.
    """
    return fraction * min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**tries)
