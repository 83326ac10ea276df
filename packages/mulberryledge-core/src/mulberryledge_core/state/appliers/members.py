"""
mulberryledge_core.state.appliers.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on members; the log, not the state, keeps the membership.
"""

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    Nothing,
    PromoteMember,
    RemoveMember,
)
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state.results import ok
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]


def accept(state: ClusterState, command: object, ctx: Context) -> ApplyResult:
    """Return the index from which the change is in force."""
    return ok(ctx.index)


COMMAND_CLASSES = (Nothing, AddMember, PromoteMember, DemoteMember, RemoveMember)
APPLIERS = dict.fromkeys(COMMAND_CLASSES, accept)
