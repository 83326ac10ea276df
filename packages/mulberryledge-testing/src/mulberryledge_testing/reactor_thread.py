"""
mulberryledge_testing.reactor_thread
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One reactor in a background thread, for tests whose steps are blocking functions.
"""

import threading
from collections.abc import Callable, Coroutine

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread

__all__ = ["run_coroutine", "start_reactor", "stop_reactor"]

DEFAULT_TIMEOUT_S = 60.0


def start_reactor() -> threading.Thread:
    """Start the reactor; it runs until :func:`stop_reactor`."""
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    return thread


def stop_reactor(thread: threading.Thread) -> None:
    """Stop the reactor and wait for its thread."""
    reactor.callFromThread(reactor.stop)
    thread.join()


def run_coroutine(
    make: Callable[[], Coroutine], timeout_s: float = DEFAULT_TIMEOUT_S
) -> object:
    """Run a coroutine in the reactor's thread and return what it returns."""

    def begin() -> Deferred:
        running = Deferred.fromCoroutine(make())
        return running.addTimeout(timeout_s, reactor)

    return blockingCallFromThread(reactor, begin)
