"""
mulberryledge_testing.fleet.clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A model clock that stays fast with thousands of timers.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

__all__ = ["ModelClock"]


@dataclass(slots=True)
class Timer:
    """A call that is due later."""

    run: Callable[..., object]
    arguments: tuple
    waiting: bool = True

    def active(self) -> bool:
        """Return whether the call is still due."""
        return self.waiting

    def cancel(self) -> None:
        """Forget the call."""
        self.waiting = False


class ModelClock:
    """Implements the parts of ``IReactorTime`` that the tasks use."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Timer]] = []
        self.numbers = count()

    def seconds(self) -> float:
        """Return the model's time in seconds."""
        return self.now

    def callLater(self, delay: float, run: Callable, *arguments) -> Timer:
        """Call a function later; calls due at once run in order."""
        timer = Timer(run, arguments)
        heappush(self.heap, (self.now + delay, next(self.numbers), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Let the time pass and run what is due."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            due, _, timer = heappop(self.heap)
            self.now = max(self.now, due)
            if timer.waiting:
                timer.waiting = False
                timer.run(*timer.arguments)
        self.now = end
