"""
mulberryledge_daemon.log.writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes to the data folder in a thread, many at a time, and holds messages back until
what they speak of is on disk.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.consensus.effects import Persist, Rewrite, Send
from mulberryledge_core.consensus.entries import HardState
from mulberryledge_daemon.log.frames import Batch
from mulberryledge_daemon.log.storage import Storage, is_full

__all__ = ["Writer", "WriterEvents"]

PROBE_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WriterEvents:
    """
    What the owner of a writer does.

    Attributes
    ----------
    send : callable
        Sends a message whose writes are on disk.
    synced : callable
        Takes index and term of the last entry on disk.
    failed, recovered : callable
        Told when the disk takes no more data, and when it does again.
    """

    send: Callable[[Send], None]
    synced: Callable[[int, int], None]
    failed: Callable[[], None]
    recovered: Callable[[], None]


@dataclass(slots=True)
class Work:
    """Writes of one sync, and the messages that wait for it."""

    writes: list[Persist | Rewrite] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)


class Writer:
    """Owns the order of writes; one sync is under way at a time."""

    def __init__(
        self,
        clock: IReactorTime,
        storage: Storage | None,
        events: WriterEvents,
        run: Callable,
    ):
        self.clock = clock
        self.storage = storage
        self.events = events
        self.run = run
        self.work = Work()
        self.busy = False
        self.ok = True
        self.stopped = False

    def write(self, effect: Persist | Rewrite) -> None:
        """Queue a write."""
        if self.storage is not None and self.ok:
            self.work.writes.append(effect)

    def send(self, effect: Send) -> None:
        """Send a message once the writes before it are on disk."""
        if self.work.writes or self.busy:
            self.work.sends.append(effect)
        else:
            self.events.send(effect)

    def pump(self) -> None:
        """Start the next sync."""
        if self.busy or not (self.work.writes or self.work.sends):
            return
        work, self.work = self.work, Work()
        if not work.writes:
            for effect in work.sends:
                self.events.send(effect)
            return
        self.busy = True
        written = self.run(write_all, self.storage, tuple(work.writes))
        written.addCallbacks(self.done, self.fail, callbackArgs=(work,))
        written.addErrback(log_failure)

    def done(self, last: tuple[int, int] | None, work: Work) -> None:
        """Send what waited, and go on with what came meanwhile."""
        self.busy = False
        if last is not None:
            self.events.synced(*last)
        for effect in work.sends:
            self.events.send(effect)
        self.pump()

    def fail(self, failure) -> None:
        """Stop writing; try again later if the disk is only full."""
        error = failure.trap(OSError) and failure.value
        self.busy = False
        self.ok = False
        self.work = Work()
        full = is_full(error)
        text = "disk is full" if full else "disk fails: restart to try again"
        logger.critical(text, extra={"why": str(error)})
        self.events.failed()
        if full:
            self.clock.callLater(PROBE_INTERVAL_S, self.probe)

    def probe(self) -> None:
        """Look whether the disk takes data again."""
        if self.stopped:
            return
        probed = self.run(self.storage.probe)
        probed.addCallbacks(lambda _: self.recover(), lambda _: self.probe_later())

    def probe_later(self) -> None:
        """Look again after a while."""
        self.clock.callLater(PROBE_INTERVAL_S, self.probe)

    def recover(self) -> None:
        """Take writes again."""
        logger.warning("disk takes data again")
        self.ok = True
        self.events.recovered()

    def stop(self) -> None:
        """Start no more probes."""
        self.stopped = True


def write_all(storage: Storage, writes: tuple) -> tuple[int, int] | None:
    """
    Write in order, consecutive records in one sync.

    Returns
    -------
    (int, int) or None
        Index and term of the last entry written.
    """
    last, batch = None, []
    for write in writes:
        if isinstance(write, Persist):
            batch.append(write)
            continue
        flush(storage, batch)
        batch = []
        storage.write_snapshot(write.snapshot, Batch(write.hard_state, write.entries))
        last = (write.snapshot.index, write.snapshot.term)
        last = last_entry((write,)) or last
    flush(storage, batch)
    return last_entry(batch) or last


def flush(storage: Storage, batch: list[Persist]) -> None:
    """Write records with one sync."""
    if batch:
        hard_state: HardState = batch[-1].hard_state
        entries = tuple(entry for one in batch for entry in one.entries)
        commit = max(one.commit for one in batch)
        storage.write(Batch(hard_state, entries, commit))


def last_entry(batch) -> tuple[int, int] | None:
    """Return index and term of the last entry of some writes."""
    for one in reversed(batch):
        if one.entries:
            return one.entries[-1].index, one.entries[-1].term
    return None


def log_failure(failure) -> None:
    """Log a failure that no disk error explains."""
    logger.critical("writer failed", extra={"failure": failure.getTraceback()})
