"""
mulberryledge_core.decisions.retries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Retries of failed dispatches, with a budget proportional to the traffic.

A call whose outcome is unknown is retried only if it is repeatable.
"""

from dataclasses import dataclass

from mulberryledge_core.outcomes import RunOutcome

__all__ = ["RetryBudget", "backoff_s", "credit_call", "may_retry", "take_retry"]

RETRIES_PER_CALL = 0.1  # retries earned per call
MAX_BUDGET_RETRIES = 10.0  # retries
BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.5
MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that one entry may still make for one service."""

    available: float = MAX_BUDGET_RETRIES


def credit_call(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one more call."""
    return RetryBudget(min(MAX_BUDGET_RETRIES, budget.available + RETRIES_PER_CALL))


def take_retry(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after one more retry, or None if it is exhausted."""
    if budget.available < 1.0:
        return None
    return RetryBudget(budget.available - 1.0)


def may_retry(
    run: RunOutcome, repeatable: bool, attempts: int, remaining_s: float
) -> bool:
    """
    Return whether a call may be dispatched again.

    Parameters
    ----------
    run : RunOutcome
        Whether the call ran in the last attempt, as far as known.
    repeatable : bool
        Whether the call may run more than once.
    attempts : int
        Number of dispatches so far.
    remaining_s : float
        Time until the deadline, in seconds.
    """
    if attempts >= MAX_ATTEMPTS or remaining_s <= 0:
        return False
    return run == RunOutcome.NOT_RUN or (repeatable and run == RunOutcome.UNKNOWN)


def backoff_s(attempts: int, fraction: float) -> float:
    """
    Return the wait before the next attempt, in seconds: exponential, full jitter.

    Parameters
    ----------
    fraction : float
        Random number in [0, 1).
    """
    return fraction * min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**attempts)
