"""
mulberryledge_daemon.batch.clocks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates a target's steady clock from the readings in its answers.
"""

__all__ = ["TargetClock"]

RATE_MARGIN = 0.03  # the platform guarantees 2%; this daemon's clock may be off too


class TargetClock:
    """
    Owns the latest reading of one target's clock.

    Attributes
    ----------
    reading_ms : int
        The reading.
    read_at_ms : int or None
        Arrival of the reading on this daemon's clock, None before the first.
    """

    def __init__(self):
        self.reading_ms = 0
        self.read_at_ms: int | None = None

    def observe(self, reading_ms: int, now_ms: int) -> None:
        """Store a reading; one that must have been delayed in transit is ignored."""
        if self.read_at_ms is None or reading_ms >= self.lower_bound(now_ms):
            self.reading_ms = reading_ms
            self.read_at_ms = now_ms

    @property
    def known(self) -> bool:
        """Whether a reading has arrived."""
        return self.read_at_ms is not None

    def estimate(self, now_ms: int) -> int:
        """Return the estimated reading at this moment."""
        return self.reading_ms + now_ms - self.read_at_ms

    def uncertainty(self, now_ms: int) -> int:
        """Return the possible error of the estimate due to a difference in rate."""
        return int(RATE_MARGIN * (now_ms - self.read_at_ms))

    def lower_bound(self, now_ms: int) -> int:
        """Return the lowest reading that the clock can show now."""
        return self.estimate(now_ms) - self.uncertainty(now_ms)

    def certainly_passed(self, reading_ms: int) -> int:
        """Return when, on this daemon's clock, a reading has certainly been passed."""
        remaining_ms = max(0, reading_ms - self.reading_ms)
        return self.read_at_ms + int(remaining_ms / (1 - RATE_MARGIN)) + 1
