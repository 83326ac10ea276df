"""
mulberryledge_daemon.log.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies committed entries to the state machine and reports their outcomes.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from result import Err

from mulberryledge_core.codec import decode, encode
from mulberryledge_core.commands.members import Nothing
from mulberryledge_core.commands.table import decode_command
from mulberryledge_core.consensus.entries import Entry, EntryKind, Origin
from mulberryledge_core.consensus.proposals import AppliedProposals, ProposerRecord
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import Context
from mulberryledge_daemon.ports import AppliedEvent

__all__ = ["Replica", "StateMachine"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A snapshot's content."""

    state: bytes
    proposers: tuple[ProposerRecord, ...] = ()


class StateMachine(Protocol):
    """
    State machine to which committed entries are applied.

    Attributes
    ----------
    state : object
        Has the attributes ``applied_index`` and ``now_ms``.
    """

    state: Any

    def encode(self, command: Any) -> bytes:
        """Encode a command for the log."""

    def decode(self, data: bytes) -> Any:
        """Decode a command; raise ValueError if this release does not know it."""

    def apply(self, command: Any, context: Context) -> ApplyResult:
        """Apply a command; ``Nothing`` only advances index and time."""

    def snapshot(self) -> bytes:
        """Encode the state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot that is not older."""


class Replica:
    """Owns the state machine of one daemon."""

    def __init__(
        self, machine: StateMachine, on_outcome: Callable[[Origin, ApplyResult], None]
    ):
        self.machine = machine
        self.proposals = AppliedProposals()
        self.on_outcome = on_outcome
        self.listeners: list[Callable[[AppliedEvent], None]] = []

    def apply(self, entry: Entry) -> None:
        """Apply one committed entry; duplicates of a proposal have no effect."""
        context = Context(entry.index, entry.at_ms, entry.term)
        command = Nothing()
        is_new = self.proposals.mark_applied(entry.origin, entry.at_ms)
        if entry.data and is_new:
            is_configuration = entry.kind == EntryKind.CONFIGURATION
            decode_data = decode_command if is_configuration else self.machine.decode
            command = decode_data(entry.data)
        outcome = self.machine.apply(command, context)
        if not is_new:
            return
        event = AppliedEvent(entry.index, command, outcome)
        for listener in self.listeners:
            notify_listener(listener, event)
        if entry.origin.session:
            self.on_outcome(entry.origin, outcome)

    def snapshot(self) -> bytes:
        """Encode the state and the record of applied proposals."""
        record = ReplicaRecord(self.machine.snapshot(), self.proposals.records())
        return encode(record)

    def restore(self, data: bytes) -> None:
        """Restore a snapshot; the state object is updated in place."""
        if not data:
            return
        record = decode(data, ReplicaRecord)
        self.machine.restore(record.state)
        self.proposals.load(record.proposers)
        refusal = Refusal(Code.NO_LEADER, "a snapshot replaced the state")
        event = AppliedEvent(self.machine.state.applied_index, Nothing(), Err(refusal))
        for listener in self.listeners:
            notify_listener(listener, event)


def notify_listener(
    listener: Callable[[AppliedEvent], None], event: AppliedEvent
) -> None:
    """Call a listener; its exception must not stop the others."""
    try:
        listener(event)
    except Exception:
        logger.exception("listener failed")
