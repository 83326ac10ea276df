"""
mulberryledge_core.consensus.effects
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a node wants done. Effects are carried out in order; messages marked
``after_sync`` wait until everything before them is on disk.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry, HardState, Snapshot

__all__ = ["Apply", "Effect", "Persist", "Restore", "Send"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: object
    after_sync: bool = False


@dataclass(frozen=True, slots=True)
class Persist:
    """Write entries, the first of which replaces all from its index on."""

    hard_state: HardState
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace state and log by a snapshot from the leader."""

    hard_state: HardState
    snapshot: Snapshot


Effect = Send | Persist | Apply | Restore
