"""
mulberryledge_core.consensus.entries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries of the replicated log, snapshots, and the persistent state of a voter.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from mulberryledge_core.consensus.members import Configuration

__all__ = ["Entry", "EntryKind", "HardState", "Origin", "Snapshot"]

ENTRY_OVERHEAD_BYTES = 64


class EntryKind(IntEnum):
    """Kind of an entry; ``NOOP`` is the empty entry that opens a term."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


@dataclass(frozen=True, slots=True)
class Origin:
    """
    Identity of a proposal; a resend has the same origin.

    Attributes
    ----------
    floor : int
        Lowest sequence whose outcome the session still waits for.
    """

    daemon: str = ""
    session: str = ""
    sequence: int = 0
    floor: int = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """
    One entry of the log.

    Attributes
    ----------
    at_ms : int
        Log time in milliseconds; it never decreases along the log.
    data : bytes
        Encoded command.
    members : Configuration or None
        Configuration in effect from this entry on; set for kind ``CONFIGURATION`` only.
    """

    index: int
    term: int
    at_ms: int
    kind: EntryKind = EntryKind.NOOP
    data: bytes = b""
    origin: Origin = Origin()
    members: Configuration | None = None

    @property
    def size(self) -> int:
        """Size in bytes, with overhead, as counted by flow control."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must be on disk before a voter replies."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """
    Applied state as of the entry at ``index``.

    Attributes
    ----------
    index, term, at_ms : int
        Index, term and log time of the last entry covered.
    members : Configuration
        Members as of that entry.
    data : bytes
        Encoded state.
    """

    index: int = 0
    term: int = 0
    at_ms: int = 0
    members: Configuration = field(default_factory=Configuration)
    data: bytes = b""
