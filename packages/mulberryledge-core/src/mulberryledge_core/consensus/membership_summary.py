"""
mulberryledge_core.consensus.membership_summary
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The members as their leader sees them: who votes, who is missing, and how many more
voters may be lost.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.membership_policy import (
    is_missing,
    target_voter_count,
)
from mulberryledge_core.consensus.node import Node

__all__ = ["MembershipSummary", "summarise_members"]


@dataclass(frozen=True, slots=True)
class MembershipSummary:
    """
    Numbers of the members of a cluster.

    Attributes
    ----------
    missing : tuple of str
        Voters that are not heard, or only with another data folder or with none.
    target : int
        Number of voters that the leader aims for.
    losses_borne : int
        How many of the voters that are heard may be lost until there is no quorum.
    """

    voters: int
    missing: tuple[str, ...]
    learners: int
    target: int
    quorum: int
    losses_borne: int


def summarise_members(node: Node, min_voters: int, now: int) -> MembershipSummary:
    """Return the numbers of a leader's members."""
    members = node.log.members
    voters = members.voters()
    missing = tuple(voter.name for voter in voters if is_missing(node, voter, now))
    return MembershipSummary(
        voters=len(voters),
        missing=missing,
        learners=len(members.members) - len(voters),
        target=target_voter_count(node, min_voters, now),
        quorum=members.majority(),
        losses_borne=len(voters) - len(missing) - members.majority(),
    )
