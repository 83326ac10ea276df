"""
mulberryledge_daemon.periodic
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Periodic tasks: one that fails is logged and runs again, a broken invariant stops the
process.
"""

import logging
from collections.abc import Awaitable, Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from mulberryledge_daemon.log.guard import stop_if_broken

__all__ = ["run_periodically"]

logger = logging.getLogger(__name__)


def run_periodically(
    clock: IReactorTime, interval_s: float, task: Callable[[], Awaitable[None]]
) -> LoopingCall:
    """
    Run a task at once and then at an interval; runs never overlap.

    Parameters
    ----------
    interval_s : float
        Seconds from one start to the next.

    Returns
    -------
    LoopingCall
        Running; its ``stop`` lets the run under way end.
    """
    loop = LoopingCall(lambda: Deferred.fromCoroutine(guarded(task)))
    loop.clock = clock
    loop.start(interval_s).addErrback(
        lambda failure: logger.critical(
            "loop ended", extra={"failure": failure.getTraceback()}
        )
    )
    return loop


async def guarded(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task once; only a broken invariant goes further than the log."""
    try:
        await task()
    except CancelledError:
        raise
    except AssertionError:
        with stop_if_broken():
            raise
    except Exception:
        name = getattr(task, "__qualname__", repr(task))
        logger.exception("task failed", extra={"task": name})
