"""
mulberryledge_daemon.burn.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Storage of the service-level counts in a file with a checksum, replaced atomically.
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
        milliseconds, then its counts by outcome.
    """

    service: str
    team: str
    values: bytes


@dataclass(frozen=True, slots=True)
class StoredCounts:
    """Content of the file; ``causes`` lists the outcomes in the order of the counts."""

    since_ms: int = 0
    causes: tuple[str, ...] = ()
    series: tuple[StoredSeries, ...] = ()


def load_counts(folder: Path) -> StoredCounts | None:
    """Return the stored counts; a file with a wrong checksum is renamed and logged."""
    path = folder / FILE_NAME
    if not path.exists():
        return None
    data = path.read_bytes()
    checksum, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if checksum == digest(body):
        return decode(body, StoredCounts)
    damaged = path.with_suffix(".damaged")
    os.replace(path, damaged)
    logger.error(
        "service-level counts file is damaged, starting without counts",
        extra={"kept_as": damaged.name},
    )
    return None


def save_counts(folder: Path, counts: StoredCounts) -> Result[None, str]:
    """Replace the file atomically; on failure the old one remains intact."""
    body = encode(counts)
    path = folder / FILE_NAME
    temporary = path.with_suffix(".new")
    try:
        with open(temporary, "wb") as file:
            file.write(digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        sync_folder(folder)
    except OSError as error:
        return Err(f"{path.name}: {error.strerror}")
    return Ok(None)


def sync_folder(folder: Path) -> None:
    """Sync a folder so that renames in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def digest(body: bytes) -> bytes:
    """Return the checksum of the file's body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
