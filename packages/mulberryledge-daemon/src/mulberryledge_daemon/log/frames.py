"""
mulberryledge_daemon.log.frames
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checksummed frames of the log file; each holds everything that one sync wrote.
"""

import struct
import zlib
from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry, HardState, Snapshot
from mulberryledge_core.consensus.wire import MessageTable

__all__ = ["Batch", "Scan", "pack", "scan"]

HEAD = struct.Struct(">4sII")  # mark, length, checksum of length and payload
MARK = b"mlr1"


@dataclass(frozen=True, slots=True)
class Batch:
    """
    Entries of one write, the first of which replaces all from its index on.

    Attributes
    ----------
    commit : int
        Index up to which entries were known to be committed then.
    """

    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    commit: int = 0


RECORDS = MessageTable((Batch, Snapshot))


@dataclass(frozen=True, slots=True)
class Scan:
    """
    What a file holds.

    Attributes
    ----------
    records : tuple
        Whole records in order.
    end : int
        Size of the file up to the last whole record, in bytes.
    damaged_at : int or None
        Offset of a damaged record that whole ones follow.
    """

    records: tuple
    end: int
    damaged_at: int | None = None


def pack(record: Batch | Snapshot) -> bytes:
    """Return a record as a frame."""
    payload = RECORDS.encode(record)
    length = len(payload).to_bytes(4, "big")
    return HEAD.pack(MARK, len(payload), zlib.crc32(length + payload)) + payload


def scan(data: bytes) -> Scan:
    """Read frames up to the end, a torn tail, or damage in the middle."""
    records, offset = [], 0
    while offset < len(data):
        frame = _read(data, offset)
        if frame is None:
            break
        record, offset = frame
        records.append(record)
    torn = offset < len(data)
    damaged = torn and _follows(data, offset + 1)
    return Scan(tuple(records), offset, offset if damaged else None)


def _read(data: bytes, offset: int):
    if len(data) < offset + HEAD.size:
        return None
    mark, length, checksum = HEAD.unpack_from(data, offset)
    end = offset + HEAD.size + length
    if mark != MARK or end > len(data):
        return None
    payload = data[offset + HEAD.size : end]
    if zlib.crc32(length.to_bytes(4, "big") + payload) != checksum:
        return None
    return RECORDS.decode(payload), end


def _follows(data: bytes, offset: int) -> bool:
    while (offset := data.find(MARK, offset)) >= 0:
        if _read(data, offset) is not None:
            return True
        offset += 1
    return False
