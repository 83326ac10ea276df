"""
mulberryledge_core.consensus.steps
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Inputs of a node: messages, clock ticks, proposals, and completed or failed writes.
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
    InstallSnapshot,
    InstallSnapshotReply,
    NotMember,
    RequestVote,
    TransferLeadership,
    VoteReply,
)
from mulberryledge_core.consensus.node import Node, Role, StepDownCause
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "bootstrap_cluster",
    "compact",
    "on_synced",
    "postpone_election",
    "propose",
    "propose_change",
    "resign",
    "step",
    "storage_failed",
    "storage_recovered",
    "tick",
]

HANDLERS = {
    RequestVote: election.on_request_vote,
    VoteReply: election.on_vote_reply,
    Append: following.on_append,
    AppendReply: leading.on_append_reply,
    InstallSnapshot: following.on_install_snapshot,
    InstallSnapshotReply: leading.on_install_snapshot_reply,
    NotMember: following.on_not_member,
    TransferLeadership: election.on_transfer_leadership,
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
    """Handle a message from another member."""
    HANDLERS[type(message)](node, sender, message, now)


def tick(node: Node, now: int) -> None:
    """Run what is due: an election, or the periodic work of a leader."""
    if node.role == Role.LEADER:
        leading.tick_leader(node, now)
        return
    due = now >= node.deadline_ms or node.is_only_member()
    if due and election.may_campaign(node):
        election.campaign(node, now)


def postpone_election(node: Node, now: int) -> None:
    """Postpone the election if the timeout expired while the log was applied."""
    earliest_ms = now + int(node.draw_random() * node.timing.heartbeat_ms)
    node.deadline_ms = max(node.deadline_ms, earliest_ms)


def bootstrap_cluster(node: Node, now: int) -> None:
    """Allow an election at once: at bootstrap, this node has had no leader."""
    assert node.term == 0 and node.leader_contact_ms is None
    node.leader_contact_ms = now - node.timing.election_min_ms
    node.deadline_ms = now + int(node.draw_random() * node.timing.heartbeat_ms)


def propose(
    node: Node, data: bytes, origin: Origin, wall_ms: int, now: int
) -> Result[int, Refusal]:
    """
    Append a command, to be sent by the next flush.

    Returns
    -------
    Result of int and Refusal
        Index of the entry; after a refusal, this proposal is never applied.
    """
    refusal = _proposal_refusal(node, now)
    if refusal is not None:
        return Err(refusal)
    entry = leading.append(node, EntryKind.COMMAND, data, origin, wall_ms)
    return Ok(entry.index)


def propose_change(
    node: Node, command: object, origin: Origin, wall_ms: int, now: int
) -> Result[int, Refusal]:
    """Append a membership change, to be sent by the next flush."""
    refusal = _proposal_refusal(node, now)
    if refusal is not None:
        return Err(refusal)
    appended = leading.append_change(node, command, origin, wall_ms, now)
    return appended.map(lambda entry: entry.index)


def _proposal_refusal(node: Node, now: int) -> Refusal | None:
    if now < node.resign_until_ms or not is_leading(node, now):
        return Refusal(Code.NO_LEADER, "this daemon does not lead")
    if _writable_voters(node) < node.log.members.majority():
        return Refusal(Code.DISK, "too many voters cannot write to their disks")
    uncommitted = node.log.last_index - node.commit
    size = (
        sum(entry.size for entry in node.log.entries[-uncommitted:])
        if uncommitted
        else 0
    )
    if size >= node.bounds.uncommitted_bytes:
        return Refusal(Code.OVERLOADED, "too many changes are waiting for a quorum")
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
    Transfer leadership, and with it the quorum lease, to an up-to-date voter.

    If no voter has the complete log yet, the node refuses proposals and transfers
    leadership once one has. After the shortest election timeout it gives up and
    continues to lead.

    Returns
    -------
    bool
        Whether leadership has been transferred.
    """
    if node.role != Role.LEADER:
        return False
    node.resign_until_ms = now + node.timing.election_min_ms
    return leading.transfer_leadership(node, now)


def on_synced(node: Node, index: int, term: int, now: int) -> None:
    """Record that the entry and all before it are on disk."""
    if node.log.term_at(index) == term:
        node.durable = max(node.durable, index)
    leading.flush(node, now)


def storage_failed(node: Node, now: int) -> None:
    """Stop voting and acknowledging; a leader steps down for a quorum of others."""
    node.storage_ok = False
    others = len(node.log.members.voters()) - 1
    if node.role == Role.LEADER and others >= node.log.members.majority():
        node.become_follower(node.term, "", now, StepDownCause.DISK_FAILED)
        node.leader = ""


def storage_recovered(node: Node) -> None:
    """Rewrite everything, as any write may have failed in between."""
    node.storage_ok = True
    rewrite(node)


def rewrite(node: Node) -> None:
    """Queue a complete write of snapshot and log."""
    first = node.log.snapshot.index + 1
    entries = node.log.entries_between(first, node.log.last_index, limit_bytes=1 << 62)
    node.effects.append(Rewrite(node.hard_state, node.log.snapshot, entries))


def compact(node: Node, data: bytes, keep_count: int = KEPT_ENTRIES) -> None:
    """Take a snapshot; of the entries it covers, keep the last ``keep_count``."""
    index = node.applied
    term = node.log.term_at(index)
    assert term is not None, "the applied entry is in the log"
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
    node.log.compact(snapshot, keep_count)
    rewrite(node)
