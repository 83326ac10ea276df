"""
mulberryledge_core.decisions.quiet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Quiet windows of pools: whether one is open, and for how long.
"""

from mulberryledge_core.model.hosts import Pool

__all__ = ["MINUTE_MS", "in_quiet", "quiet_left_ms", "quiet_wait_ms"]

MINUTE_MS = 60_000
DAY_MIN = 1_440
DAY_MS = DAY_MIN * MINUTE_MS


def window_ms(pool: Pool) -> int:
    """Return the length of the window; a whole day if its ends are equal."""
    length_min = (pool.quiet_end_min - pool.quiet_start_min) % DAY_MIN
    return (length_min or DAY_MIN) * MINUTE_MS


def since_start_ms(pool: Pool, now_ms: int) -> int:
    """Return the time since the window last began."""
    return (now_ms - pool.quiet_start_min * MINUTE_MS) % DAY_MS


def in_quiet(pool: Pool, now_ms: int) -> bool:
    """Return whether the quiet window is open at a time in milliseconds UTC."""
    return since_start_ms(pool, now_ms) < window_ms(pool)


def quiet_left_ms(pool: Pool, now_ms: int) -> int:
    """Return for how long the window stays open, zero if it is closed."""
    if window_ms(pool) == DAY_MS:
        return DAY_MS
    return max(0, window_ms(pool) - since_start_ms(pool, now_ms))


def quiet_wait_ms(pool: Pool, now_ms: int) -> int:
    """Return the time until the window opens, zero if it is open."""
    if in_quiet(pool, now_ms):
        return 0
    return DAY_MS - since_start_ms(pool, now_ms)
