"""
mulberryledge_testing.fleet.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A log in memory whose time is that of a model clock.
"""

from mulberryledge_daemon.log.single import SingleLog
from mulberryledge_testing.fleet.clock import ModelClock

__all__ = ["ModelLog"]

START_MS = 1_000_000


class ModelLog(SingleLog):
    """
    A single log on a model clock.

    Attributes
    ----------
    leading : bool
        Whether this daemon leads.
    """

    def __init__(self, clock: ModelClock):
        super().__init__(None)
        self.clock = clock
        self.leading = True

    def is_leader(self) -> bool:
        """Return whether this daemon leads."""
        return self.leading

    def time_ms(self) -> int:
        """Return the model's time."""
        return max(self.state.now_ms, START_MS + int(self.clock.seconds() * 1_000))
