"""
mulberryledge_daemon.log.disk
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

File operations of the log; tests replace them to inject faults.
"""

import os
from pathlib import Path

__all__ = ["Disk"]


class Disk:
    """Plain files, synced where the log requires durability."""

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

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file and sync it."""
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Write a temporary file, sync it, and rename it over the old one."""
        temporary = path.with_name(path.name + ".new")
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.append(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
        self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """Make creations and renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
