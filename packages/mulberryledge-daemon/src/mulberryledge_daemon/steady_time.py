"""
mulberryledge_daemon.steady_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The clock of a process's timers. Twisted's own is the time of day, which may jump: after
a jump ahead all time-outs are over at once, after one back no timer fires until it has
caught up.
"""

import time

__all__ = ["steady_s", "use_steady_time"]


def steady_s() -> float:
    """Return seconds of a clock that never jumps and counts time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_time(reactor) -> None:
    """Let a reactor measure time by the steady clock; call this before any timer."""
    assert not reactor.getDelayedCalls(), "timers were set by the time of day"
    reactor.seconds = steady_s
