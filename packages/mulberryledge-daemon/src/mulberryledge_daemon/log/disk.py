"""
mulberryledge_daemon.log.disk
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operations on files that the log is built on; tests put faults in their place.
"""

import os
from pathlib import Path

__all__ = ["Disk"]


class Disk:
    """Plain files, synced where the log needs them to last."""

    def open(self, path: Path) -> int:
        """Open a file for appending; create it if it is missing."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def append(self, descriptor: int, data: bytes) -> None:
        """Append all of the data."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Wait until what was written has reached the disk."""
        os.fdatasync(descriptor)

    def cut(self, descriptor: int, size: int) -> None:
        """Shorten a file and sync it."""
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Write a file beside, sync it, and rename it over the old one."""
        beside = path.with_name(path.name + ".new")
        descriptor = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.append(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(beside, path)
        self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """Make creations and renames in a folder last."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
