"""
mulberryledge_core.state
~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine: tables, and one applier for each command.
"""

from collections.abc import Callable

from result import Err

from mulberryledge_core.codec import decode, encode
from mulberryledge_core.commands import Command
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state.appliers import get_applier_by_command
from mulberryledge_core.state.invariants import assert_after
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["Applier", "ClusterState", "Context", "apply", "restore", "snapshot"]

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
        Index and time of the entry; indexes rise by one.

    Returns
    -------
    ApplyResult
        The same on every replica.
    """
    assert context.index == state.applied_index + 1, "entries apply in index order"
    state.applied_index = context.index
    state.now_ms = max(state.now_ms, context.now_ms)
    applier = get_applier_by_command(type(command))
    if applier is None:
        return Err(Refusal(Code.BAD_REQUEST, f"no applier for {command!r}"))
    outcome = applier(state, command, Context(context.index, state.now_ms))
    assert_after(state, command, outcome)
    return outcome


def snapshot(state: ClusterState) -> bytes:
    """Encode the whole state."""
    return encode(state)


def restore(data: bytes) -> ClusterState:
    """Decode a state that :func:`snapshot` wrote."""
    return decode(data, ClusterState)
