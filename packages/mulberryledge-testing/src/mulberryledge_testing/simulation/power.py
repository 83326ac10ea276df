"""
mulberryledge_testing.simulation.power
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Data folders in real files whose machine may lose power during any operation.
"""

import errno
import logging
import os
from collections.abc import Sequence
from contextlib import ExitStack, suppress
from pathlib import Path
from random import Random

from mulberryledge_core.consensus.effects import Persist, Rewrite
from mulberryledge_core.consensus.entries import HardState, Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_daemon.log.disk import Disk
from mulberryledge_daemon.log.storage import open_storage
from mulberryledge_daemon.log.writer import write_all

__all__ = ["FolderDisk", "PowerDisk", "Stopped"]

OPERATIONS = (1, 2, 3, 4, 6, 10)  # a write has two, a snapshot four

logging.getLogger("mulberryledge_daemon.log").addHandler(logging.NullHandler())


class Stopped(Exception):
    """The process or its machine stopped during an operation on the disk."""


class PowerDisk(Disk):
    """
    Files without real syncs; a stop leaves what a power loss may leave.

    Attributes
    ----------
    left : int or None
        Operations until the stop; None without one.
    keeps_cache : bool
        Whether the stop is that of the process alone, which loses no write.
    full : bool
        Whether there is no room for further writes.
    """

    def __init__(self, random: Random):
        self.random = random
        self.left: int | None = None
        self.keeps_cache = False
        self.full = False
        self.unsynced: dict[int, int] = {}

    def stops(self) -> bool:
        """Count one operation; return whether the stop comes in it."""
        if self.left is None:
            return False
        self.left -= 1
        return self.left <= 0

    def append(self, descriptor: int, data: bytes) -> None:
        """Append, or stop before or after a part of it."""
        self.unsynced.setdefault(descriptor, os.fstat(descriptor).st_size)
        if self.stops():
            super().append(descriptor, data[: self.random.randint(0, len(data))])
            self.tear(descriptor)
            raise Stopped
        if self.full:
            super().append(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().append(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Count what was written as durable, or stop before that."""
        if self.stops():
            self.tear(descriptor)
            raise Stopped
        self.unsynced.pop(descriptor, None)

    def tear(self, descriptor: int) -> None:
        """Keep the unsynced end of a file, or lose, shorten or zero a part of it."""
        synced = self.unsynced.pop(descriptor, None)
        size = os.fstat(descriptor).st_size
        if self.keeps_cache or synced is None or size == synced:
            return
        kept = self.random.choice((synced, self.random.randint(synced, size), size))
        os.ftruncate(descriptor, kept)
        if self.random.random() < 0.3:
            os.ftruncate(descriptor, size)

    def tear_all(self) -> None:
        """Tear every file that has an unsynced end."""
        for descriptor in list(self.unsynced):
            self.tear(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate, or stop before or after it."""
        stops = self.stops()
        if not stops or self.random.random() < 0.5:
            os.ftruncate(descriptor, size)
            self.unsynced.pop(descriptor, None)
        if stops:
            raise Stopped

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file, or stop with a part of the new one, or the rename lost."""
        temporary = path.with_name(path.name + ".new")
        if self.stops():
            temporary.write_bytes(data[: self.random.randint(0, len(data))])
            raise Stopped
        if self.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        temporary.write_bytes(data)
        stops = self.stops()
        if not stops or self.keeps_cache or self.random.random() < 0.5:
            os.replace(temporary, path)
            self.forget_replaced()
        if stops:
            raise Stopped

    def forget_replaced(self) -> None:
        """Forget the unsynced ends of files that have no name any more."""
        for descriptor in list(self.unsynced):
            if os.fstat(descriptor).st_nlink == 0:
                del self.unsynced[descriptor]

    def sync_folder(self, folder: Path) -> None:
        """Do nothing: a creation or rename counts as durable unless a stop undid it."""


class FolderDisk:
    """A member's data folder, written and read as the daemon does."""

    def __init__(self, path: Path, name: str, folder: str, random: Random, members):
        self.path = path
        self.name = name
        self.folder = folder
        self.disk = PowerDisk(random)
        self.stack = ExitStack()
        self.open()
        self.storage.bootstrap("cluster", Snapshot(members=members))
        self.close()

    def open(self) -> None:
        """Open the folder as a daemon that begins does."""
        self.disk.left = None
        self.disk.unsynced.clear()
        opened = open_storage(self.path, self.name, self.disk, self.folder)
        self.storage = self.stack.enter_context(opened)
        assert not self.storage.damage, self.storage.damage

    def close(self) -> None:
        """Close the files."""
        self.stack.close()

    def log(self) -> EntryLog:
        """Return the log as read when the folder was opened."""
        return EntryLog(self.storage.snapshot, self.storage.entries)

    @property
    def hard_state(self) -> HardState:
        """Term and vote as read when the folder was opened."""
        return self.storage.hard_state

    @property
    def commit(self) -> int:
        """Commit index as read when the folder was opened."""
        return self.storage.commit

    def write_all(self, effects: Sequence[Persist | Rewrite]) -> None:
        """Store writes with one sync, where they are consecutive records."""
        write_all(self.storage, tuple(effects))

    def stop(self, effects: Sequence[Persist | Rewrite], keeps_cache: bool) -> None:
        """Stop during some writes, at any operation."""
        self.disk.keeps_cache = keeps_cache
        self.disk.left = self.disk.random.choice(OPERATIONS)
        with suppress(Stopped, OSError):  # it may be full
            self.write_all(effects)
        self.disk.tear_all()
        self.close()
