"""
mulberryledge_core.consensus.effects
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Actions that a node requests of its caller, to be carried out in order. A message
marked ``after_sync`` is sent once all writes before it are on disk.
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
    Write entries; those on disk from the first new index on are replaced.

    Attributes
    ----------
    commit : int
        Index up to which entries are known to be committed: after a restart the node
        applies these without waiting for a leader.
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
    """Replace the applied state by a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Replace everything on disk by a snapshot and the entries after it."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


Effect = Send | Persist | Apply | Restore | Rewrite
