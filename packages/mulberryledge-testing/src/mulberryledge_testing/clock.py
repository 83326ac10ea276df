"""
mulberryledge_testing.clock
~~~~~~~~~~~~~~~~~~~~~~~~~~~

A clock in virtual time for simulations with thousands of delayed calls.

Twisted's clock sorts all delayed calls whenever one is added. This one inserts a call
at its place.
"""

from bisect import insort
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

__all__ = ["SortedClock"]


class SortedClock(Clock):
    """Owns the delayed calls, the earliest first."""

    def callLater(self, when: float, what: Callable, *args, **kwargs) -> DelayedCall:
        """Schedule a call."""
        call = DelayedCall(
            self.seconds() + when,
            what,
            args,
            kwargs,
            self.calls.remove,
            self.move_call,
            self.seconds,
        )
        self.insert_call(call)
        return call

    def insert_call(self, call: DelayedCall) -> None:
        """Add a call after those of the same time."""
        insort(self.calls, call, key=DelayedCall.getTime)

    def move_call(self, call: DelayedCall) -> None:
        """Put a call that was rescheduled at its place."""
        self.calls.remove(call)
        self.insert_call(call)

    def advance(self, amount: float) -> None:
        """Advance the time, and run the calls that are due."""
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.seconds():
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)

    def run_until(self, end_s: float) -> None:
        """Advance from one delayed call to the next, up to a time."""
        while self.seconds() < end_s:
            next_s = self.calls[0].getTime() if self.calls else end_s
            self.advance(max(0.0, min(next_s, end_s) - self.seconds()))
