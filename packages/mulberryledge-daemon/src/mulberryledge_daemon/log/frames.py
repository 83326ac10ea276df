"""
mulberryledge_daemon.log.frames
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checksummed frames of the log file; each holds the data of one sync.
"""

import struct
import zlib
from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry, HardState, Snapshot
from mulberryledge_core.consensus.wire import MessageTable

__all__ = ["FrameScan", "LogRecord", "encode_frame", "read_frames"]

HEADER = struct.Struct(">4sII")  # magic, length, CRC-32 of length and payload
MAGIC = b"mlr1"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """
    Entries of one write; the first replaces all entries from its index on.

    Attributes
    ----------
    commit : int
        Index up to which entries were known to be committed at the write.
    """

    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    commit: int = 0


RECORDS = MessageTable((LogRecord, Snapshot))


@dataclass(frozen=True, slots=True)
class FrameScan:
    """
    Result of reading a log or snapshot file.

    Attributes
    ----------
    records : tuple
        Intact records in order.
    intact_bytes : int
        Size of the file up to the end of the last intact record.
    damaged_at : int or None
        Offset of a damaged record that intact ones follow.
    """

    records: tuple
    intact_bytes: int
    damaged_at: int | None = None


def encode_frame(record: LogRecord | Snapshot) -> bytes:
    """Return a record as a frame."""
    payload = RECORDS.encode(record)
    length = len(payload).to_bytes(4, "big")
    return HEADER.pack(MAGIC, len(payload), zlib.crc32(length + payload)) + payload


def read_frames(data: bytes) -> FrameScan:
    """Read frames up to the end, a torn tail, or damage in the middle."""
    records, offset = [], 0
    while offset < len(data):
        frame = _read_frame(data, offset)
        if frame is None:
            break
        record, offset = frame
        records.append(record)
    incomplete = offset < len(data)
    is_damaged = incomplete and _has_intact_frame(data, offset + 1)
    return FrameScan(tuple(records), offset, offset if is_damaged else None)


def _read_frame(data: bytes, offset: int):
    if len(data) < offset + HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if magic != MAGIC or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if zlib.crc32(length.to_bytes(4, "big") + payload) != checksum:
        return None
    return RECORDS.decode(payload), end


def _has_intact_frame(data: bytes, offset: int) -> bool:
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _read_frame(data, offset) is not None:
            return True
        offset += 1
    return False
