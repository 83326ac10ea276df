"""
mulberryledge_core.consensus.effects
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a node wants done. Effects are carried out in order; messages marked
``after_sync`` wait until everything before them is on disk.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry, HardState, Snapshot

__all__ = ["Apply", "Effect", "Persist", "Restore", "Rewrite", "Send"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: object
    after_sync: bool = False


@dataclass(frozen=True, slots=True)
class Persist:
    """
    Write entries, the first of which replaces all from its index on.

    Attributes
    ----------
    commit : int
        Index up to which entries are known to be committed: a node that begins again
        need not wait for a leader to apply these.
    """

    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state by a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Write a snapshot and the entries after it in place of all that is on disk."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


Effect = Send | Persist | Apply | Restore | Rewrite
