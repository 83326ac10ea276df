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
from mulberryledge_core.model.burn import Bucket

__all__ = ["StoredCounts", "load_counts", "save_counts"]

FILE_NAME = "burn.cbor"
DIGEST_BYTES = 16

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoredCounts:
    """What the file holds."""

    since_ms: int = 0
    buckets: tuple[Bucket, ...] = ()


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
