"""
mulberryledge_daemon.batch.clocks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a target's steady clock shows, judged from the readings in its answers.
"""

__all__ = ["TargetClock"]

RATE_MARGIN = 0.03  # the platform promises 2%; our own clock may be off as well


class TargetClock:
    """
    Owns the latest reading of one target's clock.

    Attributes
    ----------
    reading_ms, read_at_ms : int
        The reading, and when it arrived on this daemon's clock.
    """

    def __init__(self):
        self.reading_ms = 0
        self.read_at_ms: int | None = None

    def observe(self, reading_ms: int, now_ms: int) -> None:
        """Take a reading unless it must have been delayed on its way."""
        if self.read_at_ms is None or reading_ms >= self.at_least(now_ms):
            self.reading_ms = reading_ms
            self.read_at_ms = now_ms

    @property
    def known(self) -> bool:
        """Whether there is any reading."""
        return self.read_at_ms is not None

    def estimate(self, now_ms: int) -> int:
        """Return what the clock shows now, as far as is known."""
        return self.reading_ms + now_ms - self.read_at_ms

    def uncertainty(self, now_ms: int) -> int:
        """Return by how much the estimate may be off through a difference in rate."""
        return int(RATE_MARGIN * (now_ms - self.read_at_ms))

    def at_least(self, now_ms: int) -> int:
        """Return what the clock shows at least."""
        return self.estimate(now_ms) - self.uncertainty(now_ms)

    def surely_past(self, reading_ms: int) -> int:
        """Return when, on this daemon's clock, the clock has surely passed a time."""
        left = max(0, reading_ms - self.reading_ms)
        return self.read_at_ms + int(left / (1 - RATE_MARGIN)) + 1
