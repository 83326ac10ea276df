"""
mulberryledge_core.consensus.membership_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Membership changes that the leader makes by itself: it replaces a lost voter, accepts
the new data folder of a voter that lost its disk, and adds a daemon that connects.

A voter is replaced only by a learner that has caught up, and the learner is promoted
first, so that there are never fewer voters than before. Changes need a quorum, so the
minority side of a partition removes no member.

Every member with a data folder votes, except for one if their number is even: any
majority of these members then contains a majority of the voters.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
    ReplaceFolder,
)
from mulberryledge_core.consensus.leading import CATCH_UP_ENTRIES
from mulberryledge_core.consensus.members import Member
from mulberryledge_core.consensus.node import Node, Progress, Role

__all__ = [
    "VOTER_TIMEOUT_MS",
    "JoiningDaemon",
    "is_silent",
    "next_change",
    "target_voter_count",
]

VOTER_TIMEOUT_MS = 2_500  # well above an election timeout, below a repair's bound
LEARNER_TIMEOUT_MS = 30_000  # silence after which a learner is removed


@dataclass(frozen=True, slots=True)
class JoiningDaemon:
    """A daemon with a data folder that has completed a handshake with this one."""

    name: str
    address: str
    port: int
    availability_zone: str
    folder: str


def next_change(
    node: Node, applicants: Iterable[JoiningDaemon], min_voters: int, now: int
) -> object | None:
    """
    Return the next membership change for the leader to make, or None.

    Parameters
    ----------
    min_voters : int
        Smallest number of voters to aim for.
    now : int
        Milliseconds of the node's clock.
    """
    is_settled = node.commit >= max(node.term_start_index, node.log.members_index)
    if node.role != Role.LEADER or not is_settled:
        return None
    voter_count = target_voter_count(node, min_voters)
    return (
        _add_applicant(node, applicants)
        or _replace_folder(node)
        or _promote(node, voter_count, now)
        or _demote(node, voter_count, now)
        or _remove_silent_learner(node, now)
    )


def target_voter_count(node: Node, min_voters: int) -> int:
    """Return the number of voters to aim for: all able to vote, but an odd number."""
    able_count = 0
    for member in node.log.members.members:
        progress = node.progress.get(member.name)
        able_count += member.voter or (progress is not None and progress.folder != "")
    return max(min_voters, able_count if able_count % 2 else able_count - 1)


def _add_applicant(node: Node, applicants: Iterable[JoiningDaemon]) -> AddMember | None:
    for applicant in applicants:
        known = node.log.members.find(applicant.name)
        if known is None:
            return AddMember(
                applicant.name,
                applicant.address,
                applicant.port,
                applicant.availability_zone,
            )
    return None


def _replace_folder(node: Node) -> ReplaceFolder | None:
    for voter in node.log.members.voters():
        progress = node.progress.get(voter.name)
        if progress is None or progress.folder in ("", voter.folder):
            continue
        if _is_caught_up(node, progress):
            return ReplaceFolder(voter.name, progress.folder)
    return None


def _promote(node: Node, voter_count: int, now: int) -> PromoteMember | None:
    voters = node.log.members.voters()
    lost = [voter for voter in voters if is_silent(node, voter, now)]
    if len(voters) - len(lost) >= voter_count or len(voters) > voter_count:
        return None
    zones = Counter(voter.availability_zone for voter in voters if voter not in lost)
    eligible = [
        (zones[member.availability_zone], member.name)
        for member in node.log.members.members
        if not member.voter and _is_standby(node, member, now)
    ]
    if not eligible:
        return None
    name = min(eligible)[1]
    return PromoteMember(name, node.progress[name].folder)


def _demote(node: Node, voter_count: int, now: int) -> DemoteMember | None:
    voters = node.log.members.voters()
    if len(voters) <= voter_count:
        return None
    zones = Counter(voter.availability_zone for voter in voters)
    demoted = max(
        (voter for voter in voters if voter.name != node.name),
        key=lambda voter: (
            is_silent(node, voter, now),
            zones[voter.availability_zone],
            voter.name,
        ),
    )
    return DemoteMember(demoted.name, demoted.folder)


def _remove_silent_learner(node: Node, now: int) -> RemoveMember | None:
    for member in node.log.members.members:
        progress = node.progress.get(member.name)
        if member.voter or progress is None:
            continue
        heard_ms = progress.reported_ms or node.elected_ms
        if now - max(heard_ms, node.elected_ms) > LEARNER_TIMEOUT_MS:
            return RemoveMember(member.name)
    return None


def is_silent(node: Node, member: Member, now: int) -> bool:
    """Return whether the leader has heard nothing from a member for long."""
    progress = node.progress.get(member.name)
    if progress is None:
        return member.name != node.name
    heard_ms = node.elected_ms if progress.reported_ms is None else progress.reported_ms
    return now - heard_ms > VOTER_TIMEOUT_MS


def _is_standby(node: Node, member: Member, now: int) -> bool:
    progress = node.progress.get(member.name)
    if progress is None or not progress.folder or progress.reported_ms is None:
        return False
    return not is_silent(node, member, now) and _is_caught_up(node, progress)


def _is_caught_up(node: Node, progress: Progress) -> bool:
    return progress.match + CATCH_UP_ENTRIES >= node.commit
