"""
mulberryledge_cli.formatting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Text formatting of times, shares and error budgets.
"""

from datetime import UTC, datetime

from mulberryledge_core.burn import S_PER_DAY, Burn
from mulberryledge_core.model.burn import CallOutcome, Counts

__all__ = ["RATE_WINDOWS", "share_text", "spent_text", "time_text"]

MS_PER_S = 1_000
RATE_WINDOWS = (("5 min", 300), ("1 h", 3_600), ("6 h", 21_600), ("3 d", 259_200))


def time_text(time_ms: int) -> str:
    """Return a log time in UTC, or a dash for zero."""
    if not time_ms:
        return "-"
    moment = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def share_text(share: float) -> str:
    """Return a share as a percentage."""
    return f"{share * 100:.4g}%"


def spent_text(burn: Burn) -> str:
    """Return the failure counts that consumed the budget, largest first."""
    window_s = burn.objective.window_days * S_PER_DAY
    counts = burn.windows.get(window_s, Counts())
    spent = [
        (getattr(counts, cause), cause)
        for cause in CallOutcome
        if cause != CallOutcome.GOOD
    ]
    nonzero = sorted((one for one in spent if one[0]), reverse=True)
    return ", ".join(f"{count} {cause}" for count, cause in nonzero) or "-"
