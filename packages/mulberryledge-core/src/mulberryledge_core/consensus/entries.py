"""
mulberryledge_core.consensus.entries
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries of the replicated log, snapshots, and what a voter must remember.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from mulberryledge_core.consensus.members import Configuration

__all__ = ["Entry", "EntryKind", "HardState", "Origin", "Snapshot"]

ENTRY_OVERHEAD_BYTES = 64


class EntryKind(IntEnum):
    """What an entry is for."""

    NOTHING = 0
    COMMAND = 1
    MEMBERS = 2


@dataclass(frozen=True, slots=True)
class Origin:
    """
    Who proposed an entry; a resend has the same origin.

    Attributes
    ----------
    floor : int
        Sequence below which the session awaits no more outcomes.
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
        Log time in milliseconds, never below that of an earlier entry.
    data : bytes
        Encoded command.
    members : Configuration or None
        Members from this entry on, in entries of kind ``MEMBERS``.
    """

    index: int
    term: int
    at_ms: int
    kind: EntryKind = EntryKind.NOTHING
    data: bytes = b""
    origin: Origin = Origin()
    members: Configuration | None = None

    @property
    def size(self) -> int:
        """Size for flow control, in bytes."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class HardState:
    """What a voter must have on disk before it answers."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """
    State after the entry at ``index``.

    Attributes
    ----------
    index, term, at_ms : int
        Of the last entry that the snapshot covers.
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
