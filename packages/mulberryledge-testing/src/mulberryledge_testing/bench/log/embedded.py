"""
mulberryledge_testing.bench.log.embedded
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A learner in this process, through which changes are proposed without HTTP.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_daemon.log.opening import open_log
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.settings import load_settings
from mulberryledge_testing.processes import DaemonProcess, wait_until
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)

__all__ = ["EmbeddedLearner", "running_learner"]

IN_FORCE_TIMEOUT_S = 10.0


class EmbeddedLearner:
    """Proposes through a log whose reactor runs in another thread."""

    def __init__(self, log: ReplicatedLog):
        self.log = log

    def propose_ms(self, pool: str) -> float:
        """Create a pool and return the milliseconds until its outcome is known."""
        return run_coroutine(lambda: self.timed(CreatePool(pool)))

    async def timed(self, command: Command) -> float:
        """Propose a command until it is accepted and return the milliseconds."""
        begin = time.perf_counter()
        while not isinstance(await self.log.propose(command), Ok):
            pass
        return (time.perf_counter() - begin) * 1_000

    def in_force_s(self, pool: str) -> float:
        """Create a pool and return the seconds until it is in force."""

        async def create() -> float:
            begin = time.perf_counter()
            outcome = await self.log.propose(CreatePool(pool))
            index = outcome.unwrap().index
            found = await self.log.wait_in_force(index, IN_FORCE_TIMEOUT_S)
            assert not found.waiting, found
            return time.perf_counter() - begin

        return run_coroutine(create)

    def propose_many(self, commands: list[Command], at_once: int) -> list[float]:
        """Propose commands, some at once, and return each one's milliseconds."""
        times = []
        left = iter(commands)

        async def work() -> None:
            for command in left:
                times.append(await self.timed(command))

        def all_of() -> Deferred:
            return gatherResults([ensureDeferred(work()) for _ in range(at_once)])

        async def run() -> None:
            await all_of()

        run_coroutine(run)
        return times


@contextmanager
def running_learner(daemon: DaemonProcess) -> Iterator[EmbeddedLearner]:
    """Run the log of a learner in this process, in place of its daemon."""
    settings = load_settings(daemon.settings_path).unwrap()
    with running_reactor(), open_log(reactor, settings) as log:
        run_coroutine(log.start)
        wait_until(log.is_fresh, "a freshness lease")
        yield EmbeddedLearner(log)
        run_coroutine(log.stop)
