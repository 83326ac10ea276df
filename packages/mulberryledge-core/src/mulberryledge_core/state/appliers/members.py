"""
mulberryledge_core.state.appliers.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outcomes of the commands on members; the log itself keeps who is a member.
"""

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    Nothing,
    PromoteMember,
    RemoveMember,
)
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state.answers import ok
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]


def done(state: ClusterState, command: object, ctx: Context) -> ApplyResult:
    """Report the index from which the change holds."""
    return ok(ctx.index)


KINDS = (Nothing, AddMember, PromoteMember, DemoteMember, RemoveMember)
APPLIERS = dict.fromkeys(KINDS, done)
