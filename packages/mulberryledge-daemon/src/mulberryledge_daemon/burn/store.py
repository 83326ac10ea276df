"""
mulberryledge_daemon.burn.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The file of the service-level counts: checksummed, synced and put in place whole.
"""

import hashlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from mulberryledge_core.codec import decode, encode

__all__ = ["StoredCounts", "StoredSeries", "load_counts", "save_counts"]

FILE_NAME = "burn.cbor"
DIGEST_BYTES = 16

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoredSeries:
    """
    Counts of one service and team.

    Attributes
    ----------
    values : bytes
        Big-endian 64-bit integers; for each bucket its length and start in
        milliseconds, then its counts by cause.
    """

    service: str
    team: str
    values: bytes


@dataclass(frozen=True, slots=True)
class StoredCounts:
    """What the file holds; ``causes`` names the counts in their order."""

    since_ms: int = 0
    causes: tuple[str, ...] = ()
    series: tuple[StoredSeries, ...] = ()


def load_counts(folder: Path) -> StoredCounts | None:
    """Return the counts in a data folder; a damaged file is put aside and logged."""
    path = folder / FILE_NAME
    if not path.exists():
        return None
    data = path.read_bytes()
    checksum, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if checksum == digest(body):
        return decode(body, StoredCounts)
    aside = path.with_suffix(".damaged")
    os.replace(path, aside)
    logger.error("service-level counts are damaged", extra={"kept_as": aside.name})
    return None


def save_counts(folder: Path, counts: StoredCounts) -> Result[None, str]:
    """Replace the file; on failure the old one stays whole."""
    body = encode(counts)
    path = folder / FILE_NAME
    beside = path.with_suffix(".new")
    try:
        with open(beside, "wb") as file:
            file.write(digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
        sync_folder(folder)
    except OSError as error:
        return Err(f"{path.name}: {error.strerror}")
    return Ok(None)


def sync_folder(folder: Path) -> None:
    """Make a rename in a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def digest(body: bytes) -> bytes:
    """Return the checksum of the file's body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
