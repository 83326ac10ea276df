"""
mulberryledge_daemon.log.writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes to the data folder in a thread, several records per sync, and delays messages
until the writes that they depend on are on disk.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.consensus.effects import Persist, Rewrite, Send
from mulberryledge_core.consensus.entries import HardState
from mulberryledge_daemon.log.frames import LogRecord
from mulberryledge_daemon.log.invariant_guard import exit_on_exception
from mulberryledge_daemon.log.storage import Storage, is_disk_full

__all__ = ["Writer", "WriterEvents"]

PROBE_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WriterEvents:
    """
    Callbacks of a writer's owner.

    Attributes
    ----------
    send : callable
        Sends a message whose writes are on disk.
    synced : callable
        Receives index and term of the last entry on disk.
    failed, recovered : callable
        Called when the disk stops accepting writes, and when it accepts them again.
    """

    send: Callable[[Send], None]
    synced: Callable[[int, int], None]
    failed: Callable[[], None]
    recovered: Callable[[], None]


@dataclass(slots=True)
class SyncBatch:
    """Writes of one sync, and the messages that wait for it."""

    writes: list[Persist | Rewrite] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)


class Writer:
    """Queues writes in order; at most one sync runs at a time."""

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
        self.pending = SyncBatch()
        self.busy = False
        self.healthy = True
        self.stopped = False

    def write(self, effect: Persist | Rewrite) -> None:
        """Queue a write."""
        if self.storage is not None and self.healthy:
            self.pending.writes.append(effect)

    def send(self, effect: Send) -> None:
        """Send a message once the writes before it are on disk."""
        if self.pending.writes or self.busy:
            self.pending.sends.append(effect)
        else:
            self.events.send(effect)

    def start_next_sync(self) -> None:
        """Start the next sync, or send messages that need none."""
        if self.busy or not (self.pending.writes or self.pending.sends):
            return
        batch, self.pending = self.pending, SyncBatch()
        if not batch.writes:
            for effect in batch.sends:
                self.events.send(effect)
            return
        self.busy = True
        written = self.run(write_all, self.storage, tuple(batch.writes))
        written.addCallbacks(
            self.on_written, self.on_write_failed, callbackArgs=(batch,)
        )
        written.addErrback(stop_process)

    def on_written(self, last: tuple[int, int] | None, batch: SyncBatch) -> None:
        """Send the messages that waited for the sync, and start the next one."""
        self.busy = False
        if last is not None:
            self.events.synced(*last)
        for effect in batch.sends:
            self.events.send(effect)
        self.start_next_sync()

    def on_write_failed(self, failure) -> None:
        """Stop writing; probe the disk later if it is only full."""
        error = failure.trap(OSError) and failure.value
        self.busy = False
        self.healthy = False
        self.pending = SyncBatch()
        full = is_disk_full(error)
        text = "disk is full" if full else "disk fails: restart to try again"
        logger.critical(text, extra={"why": str(error)})
        self.events.failed()
        if full:
            self.clock.callLater(PROBE_INTERVAL_S, self.probe)

    def probe(self) -> None:
        """Check whether the disk accepts writes again."""
        if self.stopped:
            return
        probed = self.run(self.storage.probe)
        probed.addCallbacks(
            lambda _: self.on_disk_recovered(), lambda _: self.probe_later()
        )

    def probe_later(self) -> None:
        """Schedule the next probe."""
        self.clock.callLater(PROBE_INTERVAL_S, self.probe)

    def on_disk_recovered(self) -> None:
        """Resume writing."""
        logger.warning("disk takes data again")
        self.healthy = True
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
        write_batch(storage, batch)
        batch = []
        storage.write_snapshot(
            write.snapshot, LogRecord(write.hard_state, write.entries)
        )
        last = (write.snapshot.index, write.snapshot.term)
        last = last_entry((write,)) or last
    write_batch(storage, batch)
    return last_entry(batch) or last


def write_batch(storage: Storage, batch: list[Persist]) -> None:
    """Write records with one sync."""
    if batch:
        hard_state: HardState = batch[-1].hard_state
        entries = tuple(entry for one in batch for entry in one.entries)
        commit = max(one.commit for one in batch)
        storage.write(LogRecord(hard_state, entries, commit))


def last_entry(batch) -> tuple[int, int] | None:
    """Return index and term of the last entry of some writes."""
    for one in reversed(batch):
        if one.entries:
            return one.entries[-1].index, one.entries[-1].term
    return None


def stop_process(failure) -> None:
    """Stop: after a failure other than a disk error, no later write would start."""
    with exit_on_exception():
        failure.raiseException()
