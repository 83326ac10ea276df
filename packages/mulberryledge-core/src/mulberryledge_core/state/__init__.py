"""
mulberryledge_core.state
~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine: tables, and one applier for each command.
"""

from collections.abc import Callable
from dataclasses import fields

from result import Err

from mulberryledge_core.codec import decode, encode
from mulberryledge_core.commands import Command
from mulberryledge_core.commands.table import decode_command, encode_command
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state.appliers import get_applier_by_command
from mulberryledge_core.state.invariants import assert_invariants
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = [
    "Applier",
    "ClusterMachine",
    "ClusterState",
    "Context",
    "apply",
    "restore",
    "snapshot",
]

Applier = Callable[[ClusterState, Command, Context], ApplyResult]


def apply(state: ClusterState, command: Command, context: Context) -> ApplyResult:
    """
    Apply one command to the state; a refused command changes nothing.

    Parameters
    ----------
    state : ClusterState
        State to change.
    command : Command
        Decoded command.
    context : Context
        Index and log time of the entry; consecutive entries have consecutive
        indexes.

    Returns
    -------
    ApplyResult
        The same on every replica.
    """
    assert context.index == state.applied_index + 1, (
        "entries must be applied in index order"
    )
    state.applied_index = context.index
    state.now_ms = max(state.now_ms, context.now_ms)
    applier = get_applier_by_command(type(command))
    if applier is None:
        return Err(Refusal(Code.BAD_REQUEST, f"no applier for {command!r}"))
    outcome = applier(state, command, Context(context.index, state.now_ms))
    assert_invariants(state, command, outcome)
    return outcome


def snapshot(state: ClusterState) -> bytes:
    """Encode the state."""
    return encode(state)


def restore(data: bytes) -> ClusterState:
    """Decode a state that :func:`snapshot` wrote."""
    return decode(data, ClusterState)


class ClusterMachine:
    """State machine of calls and single jobs, driven by the replicated log."""

    def __init__(self):
        self.state = ClusterState()

    def encode(self, command: Command) -> bytes:
        """Encode a command for the log."""
        return encode_command(command)

    def decode(self, data: bytes) -> Command:
        """Decode a command."""
        return decode_command(data)

    def apply(self, command: Command, context: Context) -> ApplyResult:
        """Apply a command."""
        return apply(self.state, command, context)

    def snapshot(self) -> bytes:
        """Encode the state."""
        return snapshot(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the contents of the state object by a snapshot."""
        restored = restore(data)
        assert restored.applied_index >= self.state.applied_index, (
            "applied index must not decrease"
        )
        for item in fields(ClusterState):
            setattr(self.state, item.name, getattr(restored, item.name))
