"""
mulberryledge_core.consensus.steps
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What may happen to a node: a message, the passing of time, a proposal, a write
that reached the disk or failed.
"""

from dataclasses import replace

from result import Err, Ok, Result

from mulberryledge_core.commands import members as member_commands
from mulberryledge_core.consensus import election, following, leading
from mulberryledge_core.consensus.effects import Rewrite
from mulberryledge_core.consensus.entries import EntryKind, Origin
from mulberryledge_core.consensus.leases import is_leading
from mulberryledge_core.consensus.messages import (
    Append,
    AppendReply,
    HandOver,
    Install,
    InstallReply,
    NotMember,
    RequestVote,
    VoteReply,
)
from mulberryledge_core.consensus.node import Node, Role
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "begin",
    "begin_cluster",
    "compact",
    "propose",
    "propose_change",
    "resign",
    "step",
    "storage_failed",
    "storage_recovered",
    "synced",
    "tick",
]

HANDLERS = {
    RequestVote: election.on_request_vote,
    VoteReply: election.on_vote_reply,
    Append: following.on_append,
    AppendReply: leading.on_append_reply,
    Install: following.on_install,
    InstallReply: leading.on_install_reply,
    NotMember: following.on_not_member,
    HandOver: election.on_hand_over,
}
MEMBER_COMMANDS = (
    member_commands.AddMember,
    member_commands.PromoteMember,
    member_commands.DemoteMember,
    member_commands.RemoveMember,
    member_commands.ReplaceFolder,
)
KEPT_ENTRIES = 1_000


def step(node: Node, sender: str, message: object, now: int) -> None:
    """Handle a message of another member."""
    HANDLERS[type(message)](node, sender, message, now)


def tick(node: Node, now: int) -> None:
    """Do what is due."""
    if node.role == Role.LEADER:
        leading.lead(node, now)
        return
    due = now >= node.deadline_ms or node.is_alone()
    if due and election.may_campaign(node):
        election.campaign(node, now)


def begin(node: Node, now: int) -> None:
    """Stand for election a little later if applying the log has taken long."""
    soon = now + int(node.draw() * node.timing.heartbeat_ms)
    node.deadline_ms = max(node.deadline_ms, soon)


def begin_cluster(node: Node, now: int) -> None:
    """Allow an election at once: this node has never followed a leader."""
    assert node.term == 0 and node.contact_ms is None
    node.contact_ms = now - node.timing.election_min_ms
    node.deadline_ms = now + int(node.draw() * node.timing.heartbeat_ms)


def propose(
    node: Node, data: bytes, origin: Origin, wall_ms: int, now: int
) -> Result[int, Refusal]:
    """
    Append a command, to be sent with the next flush.

    Returns
    -------
    Result of int and Refusal
        Index of the entry; the refusals are known not to be applied from this
        proposal.
    """
    refusal = _refusal(node, now)
    if refusal is not None:
        return Err(refusal)
    entry = leading.append(node, EntryKind.COMMAND, data, origin, wall_ms)
    return Ok(entry.index)


def propose_change(
    node: Node, command: object, origin: Origin, wall_ms: int, now: int
) -> Result[int, Refusal]:
    """Append a change of the members."""
    refusal = _refusal(node, now)
    if refusal is not None:
        return Err(refusal)
    appended = leading.append_change(node, command, origin, wall_ms, now)
    return appended.map(lambda entry: entry.index)


def _refusal(node: Node, now: int) -> Refusal | None:
    if now < node.resign_until_ms or not is_leading(node, now):
        return Refusal(Code.NO_LEADER, "this daemon does not lead")
    if _writable_voters(node) < node.log.members.majority():
        return Refusal(Code.DISK, "too many voters cannot write to their disks")
    held = node.log.last_index - node.commit
    size = sum(entry.size for entry in node.log.entries[-held:]) if held else 0
    if size >= node.bounds.uncommitted:
        return Refusal(Code.OVERLOADED, "too many changes wait for a quorum")
    return None


def _writable_voters(node: Node) -> int:
    count = 0
    for voter in node.log.members.voters():
        if voter.name == node.name:
            count += node.storage_ok
            continue
        progress = node.progress[voter.name]
        count += progress.durable >= progress.match
    return count


def resign(node: Node, now: int) -> bool:
    """
    Give up the lead, and the lease with it, in favour of the best voter.

    While entries are on their way to the other voters none of them may be fit yet;
    the node then takes no more proposals and hands over once one is. After the
    shortest election timeout it goes on leading.

    Returns
    -------
    bool
        Whether the lead has been handed over.
    """
    if node.role != Role.LEADER:
        return False
    node.resign_until_ms = now + node.timing.election_min_ms
    return leading.hand_over(node, now)


def synced(node: Node, index: int, term: int, now: int) -> None:
    """Take note that the entry and all before it are on disk."""
    if node.log.term_at(index) == term:
        node.durable = max(node.durable, index)
    leading.flush(node, now)


def storage_failed(node: Node, now: int) -> None:
    """Go on without a disk: neither vote nor acknowledge."""
    node.storage_ok = False
    others = len(node.log.members.voters()) - 1
    if node.role == Role.LEADER and others >= node.log.members.majority():
        node.become_follower(node.term, "", now)
        node.leader = ""


def storage_recovered(node: Node) -> None:
    """Write everything again: what the disk refused may be anything."""
    node.storage_ok = True
    rewrite(node)


def rewrite(node: Node) -> None:
    """Ask for snapshot and log to be written whole."""
    first = node.log.snapshot.index + 1
    entries = node.log.between(first, node.log.last_index, limit=1 << 62)
    node.effects.append(Rewrite(node.hard_state, node.log.snapshot, entries))


def compact(node: Node, data: bytes, keep: int = KEPT_ENTRIES) -> None:
    """Take the applied state as a snapshot in place of the entries before it."""
    index = node.applied
    term = node.log.term_at(index)
    assert term is not None, "applied entries are held"
    entry = node.log.get(index)
    at_ms = entry.at_ms if entry is not None else node.log.snapshot.at_ms
    snapshot = replace(
        node.log.snapshot,
        index=index,
        term=term,
        at_ms=at_ms,
        members=node.log.members_at(index),
        data=data,
    )
    node.log.compact(snapshot, keep)
    rewrite(node)
