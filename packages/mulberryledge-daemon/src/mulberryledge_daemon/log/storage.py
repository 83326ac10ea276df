"""
mulberryledge_daemon.log.storage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The data folder of a daemon: identity, snapshot and log file.
"""

import errno
import fcntl
import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from uuid import uuid4

from mulberryledge_core.codec import from_plain
from mulberryledge_core.consensus.entries import Entry, HardState, Snapshot
from mulberryledge_daemon.log.disk import Disk
from mulberryledge_daemon.log.frames import LogRecord, encode_frame, read_frames

__all__ = ["FolderIdentity", "Storage", "StorageError", "open_storage"]

IDENTITY_FILE = "identity.json"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
LOCK_FILE = "lock"
PROBE_FILE = "probe"
PROBE_BYTES = 65_536
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

logger = logging.getLogger(__name__)


class StorageError(Exception):
    """A data folder that cannot be used; the message says what to do."""


@dataclass(frozen=True, slots=True)
class FolderIdentity:
    """
    Identity of a data folder and of its owner.

    Attributes
    ----------
    folder : str
        Identity of the folder, generated with it.
    cluster : str
        Cluster that the folder belongs to; empty before it joined one.
    daemon : str
        Daemon that the folder belongs to.
    generation : int
        Generation of the cluster.
    """

    folder: str
    cluster: str = ""
    daemon: str = ""
    generation: int = 1


class Storage:
    """
    Owns the files of one data folder.

    Attributes
    ----------
    damage : str
        Description of the damage; empty if there is none. A daemon with a damaged
        folder does not vote.
    commit : int
        Index up to which the entries are known to be committed.
    log_bytes : int
        Size of the log file up to the last synced record, in bytes.
    """

    def __init__(self, folder: Path, disk: Disk, identity: FolderIdentity):
        self.folder = folder
        self.disk = disk
        self.identity = identity
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.commit = 0
        self.damage = ""
        self.log_bytes = 0
        self.descriptor = -1

    def load(self) -> None:
        """Read snapshot and log; truncate a torn tail."""
        self.load_snapshot()
        path = self.folder / LOG_FILE
        self.descriptor = self.disk.open(path)
        self.disk.sync_folder(self.folder)
        data = path.read_bytes()
        found = read_frames(data)
        if found.damaged_at is not None:
            self.report_damage(f"{path}: record at byte {found.damaged_at} is damaged")
        if self.damage:
            self.hard_state, self.snapshot = HardState(), Snapshot()
            return
        if found.intact_bytes < len(data):
            extra = {"path": str(path), "bytes": len(data) - found.intact_bytes}
            logger.warning("torn tail cut off", extra=extra)
            self.disk.truncate(self.descriptor, found.intact_bytes)
        self.log_bytes = found.intact_bytes
        for batch in found.records:
            self.replay(batch)
        self.entries = entries_after(self.snapshot, self.entries)

    def load_snapshot(self) -> None:
        """Read the snapshot if there is one."""
        path = self.folder / SNAPSHOT_FILE
        if not path.exists():
            return
        data = path.read_bytes()
        found = read_frames(data)
        if len(found.records) != 1 or found.intact_bytes != len(data):
            self.report_damage(f"{path}: the snapshot is damaged")
            return
        self.snapshot = found.records[0]

    def report_damage(self, text: str) -> None:
        """Record and log damage to the folder."""
        self.damage = text
        logger.critical("data folder is damaged: not voting", extra={"why": text})

    def replay(self, batch: LogRecord) -> None:
        """Apply one record of the log file to what was read before."""
        self.hard_state = batch.hard_state
        self.commit = max(self.commit, batch.commit)
        for entry in batch.entries:
            while self.entries and self.entries[-1].index >= entry.index:
                self.entries.pop()
            self.entries.append(entry)

    def write(self, batch: LogRecord) -> None:
        """
        Append a record and sync it.

        Raises
        ------
        OSError
            If the write fails; the file is truncated to its former size.
        """
        data = encode_frame(batch)
        try:
            self.disk.append(self.descriptor, data)
            self.disk.sync(self.descriptor)
        except OSError:
            self.disk.truncate(self.descriptor, self.log_bytes)
            raise
        self.log_bytes += len(data)

    def write_snapshot(self, snapshot: Snapshot, batch: LogRecord) -> None:
        """Replace the snapshot, then the log by the entries that follow it."""
        self.disk.replace(self.folder / SNAPSHOT_FILE, encode_frame(snapshot))
        data = encode_frame(batch)
        self.disk.replace(self.folder / LOG_FILE, data)
        os.close(self.descriptor)
        self.descriptor = self.disk.open(self.folder / LOG_FILE)
        self.log_bytes = len(data)

    def write_identity(self, identity: FolderIdentity) -> None:
        """Replace the identity."""
        write_identity(self.folder, self.disk, identity)
        self.identity = identity

    def bootstrap(self, cluster: str, snapshot: Snapshot) -> None:
        """Assign the folder to a cluster whose initial state is the snapshot."""
        self.write_snapshot(snapshot, LogRecord(self.hard_state))
        self.write_identity(replace(self.identity, cluster=cluster))
        self.snapshot = snapshot

    def probe(self) -> None:
        """
        Check that the disk accepts writes again.

        Raises
        ------
        OSError
            If it does not.
        """
        path = self.folder / PROBE_FILE
        try:
            self.disk.replace(path, bytes(PROBE_BYTES))
        finally:
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the log file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)


def entries_after(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """
    Return the entries of the log file that follow the snapshot.

    After a crash between the two files the log is older than the snapshot. If its
    entry at the snapshot's index is another one, the snapshot replaced it with all
    that follow.
    """
    for entry in entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    return [entry for entry in entries if entry.index > snapshot.index]


def is_disk_full(error: OSError) -> bool:
    """Return whether disk space, a quota or the file size is exhausted."""
    return error.errno in DISK_FULL_ERRNOS


def write_identity(folder: Path, disk: Disk, identity: FolderIdentity) -> None:
    """Write the identity of a folder."""
    text = json.dumps(asdict(identity), indent=1) + "\n"
    disk.replace(folder / IDENTITY_FILE, text.encode())


def read_identity(
    folder: Path, daemon: str, disk: Disk, initial_folder: str = ""
) -> FolderIdentity:
    """Return the identity of a folder; a new one for an empty folder."""
    path = folder / IDENTITY_FILE
    if not path.exists():
        if (folder / LOG_FILE).exists() or (folder / SNAPSHOT_FILE).exists():
            raise StorageError(
                f"{folder}: holds a log but no {IDENTITY_FILE}: restore that file,"
                " or move the folder away and start with an empty one"
            )
        identity = FolderIdentity(initial_folder or uuid4().hex, daemon=daemon)
        write_identity(folder, disk, identity)
        return identity
    try:
        found = from_plain(json.loads(path.read_text()), FolderIdentity)
    except ValueError as error:
        raise StorageError(f"{path}: not JSON: {error}") from error
    identity = found.unwrap_or(None)
    if identity is None:
        raise StorageError(f"{path}: {found.err_value.message}")
    if identity.daemon != daemon:
        raise StorageError(
            f"{folder}: is the data folder of daemon {identity.daemon!r},"
            f" not of {daemon!r}: check data_folder in the settings"
        )
    return identity


@contextmanager
def open_storage(
    folder: Path, daemon: str, disk: Disk | None = None, initial_folder: str = ""
) -> Iterator[Storage]:
    """
    Open the data folder of a daemon and lock it.

    Parameters
    ----------
    initial_folder : str
        Identity of an empty folder; random if this is empty.

    Raises
    ------
    StorageError
        If the folder is in use, belongs to another daemon or is incomplete.
    """
    disk = disk or Disk()
    folder.mkdir(parents=True, exist_ok=True)
    with open(folder / LOCK_FILE, "w") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise StorageError(f"{folder}: in use by another daemon") from error
        storage = Storage(
            folder, disk, read_identity(folder, daemon, disk, initial_folder)
        )
        try:
            storage.load()
            yield storage
        finally:
            storage.close()
