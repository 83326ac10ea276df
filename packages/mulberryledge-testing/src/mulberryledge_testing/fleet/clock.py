"""
mulberryledge_testing.fleet.clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A virtual clock that stays fast with thousands of timers.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

__all__ = ["ModelClock"]


@dataclass(slots=True)
class Timer:
    """A scheduled call; implements the used parts of ``IDelayedCall``."""

    run: Callable[..., object]
    arguments: tuple
    waiting: bool = True

    def active(self) -> bool:
        """Return whether the call has neither run nor been cancelled."""
        return self.waiting

    def cancel(self) -> None:
        """Cancel the call; it stays in the heap until its time."""
        self.waiting = False


class ModelClock:
    """Implements the parts of ``IReactorTime`` that the tasks use."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Timer]] = []
        self.call_numbers = count()

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def callLater(self, delay: float, run: Callable, *arguments) -> Timer:
        """Schedule a call; calls due at the same time run in order of scheduling."""
        timer = Timer(run, arguments)
        heappush(self.heap, (self.now + delay, next(self.call_numbers), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Advance the time and run the calls that are due."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            due, _, timer = heappop(self.heap)
            self.now = max(self.now, due)
            if timer.waiting:
                timer.waiting = False
                timer.run(*timer.arguments)
        self.now = end
