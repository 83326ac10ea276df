"""
mulberryledge_core.consensus.membership_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Membership changes that the leader makes by itself: it replaces a lost voter, accepts
the new data folder of a voter that lost its disk, and adds a daemon that connects.

A voter is replaced only by a learner that has caught up. What the leader has not heard
from recently counts neither as a standby nor as a successor. Changes need a quorum, so
the minority side of a partition removes no member.

Every member that is heard and has a data folder votes, except for one if their number
is even: any majority of these members then contains a majority of the voters.
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
    "is_missing",
    "next_change",
    "target_voter_count",
]

VOTER_TIMEOUT_MS = 1_500  # above an election timeout, far below a repair's bound
LEARNER_TIMEOUT_MS = 30_000  # silence after which a learner is removed
MAX_SILENT_LEARNERS = 4  # a new leader counts the silence of each anew


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
    return (
        _add_applicant(node, applicants)
        or _replace_folder(node, now)
        or _change_voters(node, min_voters, now)
        or _remove_silent_learner(node, now)
    )


def target_voter_count(node: Node, min_voters: int, now: int) -> int:
    """
    Return the number of voters to aim for: all able to vote, but an odd number.

    A missing voter is kept as long as no standby can take its place.
    """
    count = len(node.log.members.voters())
    missing, standbys = _missing_voters(node, now), _standbys(node, now)
    is_gap = count % 2 == 0
    replaced_count = min(len(missing), max(0, len(standbys) - is_gap))
    able_count = count + len(standbys) - replaced_count
    return max(min_voters, able_count if able_count % 2 else able_count - 1)


def _change_voters(
    node: Node, min_voters: int, now: int
) -> PromoteMember | DemoteMember | None:
    """
    Return the next change towards the target number of voters.

    Of an odd number, a missing voter is demoted before its successor is promoted: no
    step in between has a larger quorum, also if the successor is lost as well. A
    further voter for an odd number raises the quorum, so that it is promoted only once
    a loss that it may be the successor for would show: while every voter is heard, and
    no standby has just come. Two missing voters without a successor are demoted
    together, as only that makes the quorum smaller, down to the promised least number.
    """
    count = len(node.log.members.voters())
    target = target_voter_count(node, min_voters, now)
    missing, standbys = _missing_voters(node, now), _standbys(node, now)
    if count % 2 and missing and standbys:
        return _demote(node, missing)
    is_clear = all(_is_heard(node, voter, now) for voter in node.log.members.voters())
    if count < target:
        is_known = all(_is_known_long(node, one, now) for one in standbys)
        may_promote = standbys and (count % 2 == 0 or (is_clear and is_known))
        return _promote(node, standbys, missing) if may_promote else None
    if count > target:
        return _demote(node, missing or (_spare_voters(node) if is_clear else []))
    if count % 2 and count - 2 >= min_voters and len(missing) > 1:
        return _demote(node, missing)
    return None


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


def _replace_folder(node: Node, now: int) -> ReplaceFolder | None:
    for voter in node.log.members.voters():
        if _is_standby(node, voter, now):
            folder = node.progress[voter.name].folder
            if folder != voter.folder:
                return ReplaceFolder(voter.name, folder)
    return None


def _missing_voters(node: Node, now: int) -> list[Member]:
    voters = node.log.members.voters()
    return [voter for voter in voters if is_missing(node, voter, now)]


def _standbys(node: Node, now: int) -> list[Member]:
    return [
        member
        for member in node.log.members.members
        if not member.voter and _is_standby(node, member, now)
    ]


def _spare_voters(node: Node) -> list[Member]:
    """Return the voters of which one may be demoted for an odd number."""
    return [voter for voter in node.log.members.voters() if voter.name != node.name]


def _promote(
    node: Node, standbys: list[Member], missing: list[Member]
) -> PromoteMember:
    """Promote a standby where the fewest voters are heard."""
    voters = node.log.members.voters()
    zones = Counter(voter.availability_zone for voter in voters if voter not in missing)
    chosen = min(standbys, key=lambda one: (zones[one.availability_zone], one.name))
    return PromoteMember(chosen.name, node.progress[chosen.name].folder)


def _demote(node: Node, candidates: list[Member]) -> DemoteMember | None:
    """Demote one of the candidates where most voters are."""
    zones = Counter(voter.availability_zone for voter in node.log.members.voters())
    if not candidates:
        return None
    chosen = max(candidates, key=lambda one: (zones[one.availability_zone], one.name))
    return DemoteMember(chosen.name, chosen.folder)


def _remove_silent_learner(node: Node, now: int) -> RemoveMember | None:
    silent = [
        member
        for member in node.log.members.members
        if not member.voter and is_silent(node, member, now)
    ]
    if not silent:
        return None
    longest = max(silent, key=lambda one: (_silent_ms(node, one, now), one.name))
    is_surplus = len(silent) > MAX_SILENT_LEARNERS
    if is_surplus or _silent_ms(node, longest, now) > LEARNER_TIMEOUT_MS:
        return RemoveMember(longest.name)
    return None


def _silent_ms(node: Node, member: Member, now: int) -> int:
    """Return how long this leader has heard nothing from another member."""
    progress = node.progress.get(member.name)
    if progress is None:
        return now - node.elected_ms
    if progress.reported_ms is None:
        return now - max(node.elected_ms, progress.known_since_ms)
    return now - progress.reported_ms


def is_silent(node: Node, member: Member, now: int) -> bool:
    """Return whether the leader has heard nothing from another member for long."""
    if member.name == node.name:
        return False
    return _silent_ms(node, member, now) > VOTER_TIMEOUT_MS


def is_missing(node: Node, voter: Member, now: int) -> bool:
    """Return whether a voter is silent, or reports another data folder or none."""
    progress = node.progress.get(voter.name)
    has_reported = progress is not None and progress.reported_ms is not None
    has_other_folder = has_reported and progress.folder != voter.folder
    return has_other_folder or is_silent(node, voter, now)


def _is_standby(node: Node, member: Member, now: int) -> bool:
    """Return whether a member could vote now with the folder that it reports."""
    progress = node.progress.get(member.name)
    if progress is None or not progress.folder:
        return False
    return _is_recent(node, progress, now) and _is_caught_up(node, progress)


def _is_heard(node: Node, voter: Member, now: int) -> bool:
    """Return whether a voter has reported just now with the folder that votes."""
    if voter.name == node.name:
        return True
    progress = node.progress.get(voter.name)
    if progress is None or progress.folder != voter.folder:
        return False
    return _is_recent(node, progress, now)


def _is_known_long(node: Node, standby: Member, now: int) -> bool:
    known_ms = now - node.progress[standby.name].known_since_ms
    return known_ms > node.timing.election_max_ms


def _is_recent(node: Node, progress: Progress, now: int) -> bool:
    if progress.reported_ms is None:
        return False
    return now - progress.reported_ms <= node.timing.election_max_ms


def _is_caught_up(node: Node, progress: Progress) -> bool:
    return progress.match + CATCH_UP_ENTRIES >= node.commit
