"""
mulberryledge_testing.reactor_thread
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One reactor in a background thread, for tests whose steps are blocking functions.
"""

import threading
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread

__all__ = ["run_coroutine", "running_reactor"]

DEFAULT_TIMEOUT_S = 60.0


@contextmanager
def running_reactor() -> Iterator[None]:
    """Run the reactor; it can run only once in a process."""
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    try:
        yield
    finally:
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
