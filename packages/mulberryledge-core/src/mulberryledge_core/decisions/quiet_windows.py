"""
mulberryledge_core.decisions.quiet_windows
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Daily quiet windows of pools, in which maintenance may take hosts out of service.
"""

from mulberryledge_core.model.hosts import Pool

__all__ = ["MINUTE_MS", "in_quiet_window", "quiet_remaining_ms", "until_quiet_ms"]

MINUTE_MS = 60_000
DAY_MIN = 1_440
DAY_MS = DAY_MIN * MINUTE_MS


def window_length_ms(pool: Pool) -> int:
    """Return the length of the window; a full day if its ends are equal."""
    length_min = (pool.quiet_end_min - pool.quiet_start_min) % DAY_MIN
    return (length_min or DAY_MIN) * MINUTE_MS


def since_window_start_ms(pool: Pool, now_ms: int) -> int:
    """Return the time since the window last opened."""
    return (now_ms - pool.quiet_start_min * MINUTE_MS) % DAY_MS


def in_quiet_window(pool: Pool, now_ms: int) -> bool:
    """Return whether the quiet window is open at a time in milliseconds UTC."""
    return since_window_start_ms(pool, now_ms) < window_length_ms(pool)


def quiet_remaining_ms(pool: Pool, now_ms: int) -> int:
    """Return the remaining time of the window, zero if it is closed."""
    if window_length_ms(pool) == DAY_MS:
        return DAY_MS
    return max(0, window_length_ms(pool) - since_window_start_ms(pool, now_ms))


def until_quiet_ms(pool: Pool, now_ms: int) -> int:
    """Return the time until the window opens, zero if it is open."""
    if in_quiet_window(pool, now_ms):
        return 0
    return DAY_MS - since_window_start_ms(pool, now_ms)
