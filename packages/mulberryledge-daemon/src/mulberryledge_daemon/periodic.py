"""
mulberryledge_daemon.periodic
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Periodic tasks. A failed run is logged and the task runs again at its next interval; a
broken invariant stops the process.
"""

import logging
from collections.abc import Awaitable, Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from mulberryledge_daemon.log.invariant_guard import exit_on_exception

__all__ = ["run_periodically"]

logger = logging.getLogger(__name__)


def run_periodically(
    clock: IReactorTime, interval_s: float, task: Callable[[], Awaitable[None]]
) -> LoopingCall:
    """
    Run a task immediately and then at an interval; runs never overlap.

    Parameters
    ----------
    interval_s : float
        Seconds from one start to the next.

    Returns
    -------
    LoopingCall
        The running loop; its ``stop`` does not cancel a run in progress.
    """
    loop = LoopingCall(lambda: Deferred.fromCoroutine(run_once(task)))
    loop.clock = clock
    loop.start(interval_s).addErrback(
        lambda failure: logger.critical(
            "periodic task stopped", extra={"failure": failure.getTraceback()}
        )
    )
    return loop


async def run_once(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task once and log its failure; a broken invariant ends the process."""
    try:
        await task()
    except CancelledError:
        raise
    except AssertionError:
        with exit_on_exception():
            raise
    except Exception:
        name = getattr(task, "__qualname__", repr(task))
        logger.exception("periodic task failed", extra={"task": name})
