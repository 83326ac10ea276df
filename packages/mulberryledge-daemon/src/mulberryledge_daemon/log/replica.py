"""
mulberryledge_daemon.log.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state that the committed entries have made, and who waits for their outcomes.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, fields

from result import Err

from mulberryledge_core.codec import decode, decode_command, encode
from mulberryledge_core.commands.members import Nothing
from mulberryledge_core.consensus.entries import Entry, Origin
from mulberryledge_core.consensus.proposals import AppliedProposals, ProposerRecord
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_core.state import restore as restore_state
from mulberryledge_core.state import snapshot as snapshot_state
from mulberryledge_daemon.ports import AppliedEvent

__all__ = ["Replica"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A snapshot's content."""

    state: bytes
    proposers: tuple[ProposerRecord, ...] = ()


class Replica:
    """Owns the state machine of one daemon."""

    def __init__(self, on_outcome: Callable[[Origin, ApplyResult], None]):
        self.state = ClusterState()
        self.proposals = AppliedProposals()
        self.on_outcome = on_outcome
        self.listeners: list[Callable[[AppliedEvent], None]] = []

    def apply(self, entry: Entry) -> None:
        """Apply one committed entry; a proposal that was applied changes nothing."""
        context = Context(entry.index, entry.at_ms)
        command = Nothing()
        admitted = self.proposals.admit(entry.origin, entry.at_ms)
        if entry.data and admitted:
            command = decode_command(entry.data)
        outcome = apply(self.state, command, context)
        if not admitted:
            return
        event = AppliedEvent(entry.index, command, outcome)
        for listener in self.listeners:
            notify(listener, event)
        if entry.origin.session:
            self.on_outcome(entry.origin, outcome)

    def snapshot(self) -> bytes:
        """Encode everything that later entries build on."""
        record = ReplicaRecord(snapshot_state(self.state), self.proposals.records())
        return encode(record)

    def restore(self, data: bytes) -> None:
        """Take over a snapshot; the state object stays the same one."""
        if not data:
            return
        record = decode(data, ReplicaRecord)
        restored = restore_state(record.state)
        assert restored.applied_index >= self.state.applied_index, (
            "applied never goes back"
        )
        for item in fields(ClusterState):
            setattr(self.state, item.name, getattr(restored, item.name))
        self.proposals.load(record.proposers)
        refusal = Refusal(Code.NO_LEADER, "a snapshot replaced the state")
        event = AppliedEvent(self.state.applied_index, Nothing(), Err(refusal))
        for listener in self.listeners:
            notify(listener, event)


def notify(listener: Callable[[AppliedEvent], None], event: AppliedEvent) -> None:
    """Call a listener; its failure is its own."""
    try:
        listener(event)
    except Exception:
        logger.exception("listener failed")
