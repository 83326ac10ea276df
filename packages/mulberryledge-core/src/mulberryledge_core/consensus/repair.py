"""
mulberryledge_core.consensus.repair
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which change of members the leader makes by itself: a lost voter is replaced, a voter
that lost its disk votes again with the new one, a daemon that turns up joins.

A voter is only ever replaced by a learner that holds the log, and the learner is
promoted first, so that no moment has fewer voters than before. A leader without a
quorum can't commit any of it, so the smaller side of a partition removes nobody.

Every member with a data folder votes, but for one where their number is even: a
majority of all of them is then a majority of the voters too, whichever it is.
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

__all__ = ["SILENT_MS", "Applicant", "next_change", "voters_wanted"]

SILENT_MS = 2_500  # well above an election timeout, below the time a repair may take
FORGET_MS = 30_000  # silence after which a learner is taken off the list


@dataclass(frozen=True, slots=True)
class Applicant:
    """A daemon with a data folder that has greeted this one."""

    name: str
    address: str
    port: int
    availability_zone: str
    folder: str


def next_change(
    node: Node, applicants: Iterable[Applicant], fewest: int, now: int
) -> object | None:
    """
    Return the next change of members that the leader should make, or None.

    Parameters
    ----------
    fewest : int
        How many voters there should be at least.
    now : int
        Milliseconds of the node's clock.
    """
    settled = node.commit >= max(node.term_start, node.log.members_index)
    if node.role != Role.LEADER or not settled:
        return None
    wanted = voters_wanted(node, fewest)
    return (
        _join(node, applicants)
        or _replace_folder(node)
        or _promote(node, wanted, now)
        or _demote(node, wanted, now)
        or _forget(node, now)
    )


def voters_wanted(node: Node, fewest: int) -> int:
    """Return how many voters there should be: all that can, in an odd number."""
    able = 0
    for member in node.log.members.members:
        progress = node.progress.get(member.name)
        able += member.voter or (progress is not None and progress.folder != "")
    return max(fewest, able if able % 2 else able - 1)


def _join(node: Node, applicants: Iterable[Applicant]) -> AddMember | None:
    for one in applicants:
        known = node.log.members.find(one.name)
        if known is None:
            return AddMember(one.name, one.address, one.port, one.availability_zone)
    return None


def _replace_folder(node: Node) -> ReplaceFolder | None:
    for voter in node.log.members.voters():
        progress = node.progress.get(voter.name)
        if progress is None or progress.folder in ("", voter.folder):
            continue
        if _holds_log(node, progress):
            return ReplaceFolder(voter.name, progress.folder)
    return None


def _promote(node: Node, wanted: int, now: int) -> PromoteMember | None:
    voters = node.log.members.voters()
    lost = [one for one in voters if _silent(node, one, now)]
    if len(voters) - len(lost) >= wanted or len(voters) > wanted:
        return None
    zones = Counter(one.availability_zone for one in voters if one not in lost)
    fit = [
        (zones[member.availability_zone], member.name)
        for member in node.log.members.members
        if not member.voter and _is_standby(node, member, now)
    ]
    if not fit:
        return None
    name = min(fit)[1]
    return PromoteMember(name, node.progress[name].folder)


def _demote(node: Node, wanted: int, now: int) -> DemoteMember | None:
    voters = node.log.members.voters()
    if len(voters) <= wanted:
        return None
    zones = Counter(one.availability_zone for one in voters)
    worst = max(
        (one for one in voters if one.name != node.name),
        key=lambda one: (
            _silent(node, one, now),
            zones[one.availability_zone],
            one.name,
        ),
    )
    return DemoteMember(worst.name, worst.folder)


def _forget(node: Node, now: int) -> RemoveMember | None:
    for member in node.log.members.members:
        progress = node.progress.get(member.name)
        if member.voter or progress is None:
            continue
        heard_ms = progress.heard_ms or node.elected_ms
        if now - max(heard_ms, node.elected_ms) > FORGET_MS:
            return RemoveMember(member.name)
    return None


def _silent(node: Node, member: Member, now: int) -> bool:
    progress = node.progress.get(member.name)
    if progress is None:
        return member.name != node.name
    heard_ms = node.elected_ms if progress.heard_ms is None else progress.heard_ms
    return now - heard_ms > SILENT_MS


def _is_standby(node: Node, member: Member, now: int) -> bool:
    progress = node.progress.get(member.name)
    if progress is None or not progress.folder or progress.heard_ms is None:
        return False
    return not _silent(node, member, now) and _holds_log(node, progress)


def _holds_log(node: Node, progress: Progress) -> bool:
    return progress.match + CATCH_UP_ENTRIES >= node.commit
