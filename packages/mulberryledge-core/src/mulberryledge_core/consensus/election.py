"""
mulberryledge_core.consensus.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Elections: a pre-vote that changes nothing, then the vote itself.
"""

from mulberryledge_core.consensus import leading
from mulberryledge_core.consensus.leases import confirmed_ms
from mulberryledge_core.consensus.messages import (
    HandOver,
    NotMember,
    RequestVote,
    VoteReply,
)
from mulberryledge_core.consensus.node import Node, Role

__all__ = [
    "campaign",
    "may_campaign",
    "on_hand_over",
    "on_request_vote",
    "on_vote_reply",
]


def may_campaign(node: Node) -> bool:
    """
    Return whether the node may stand for election.

    A leader that demotes itself may be the only one that holds the entry, so it
    stands until the entry is committed.
    """
    committed = node.log.members_at(node.commit)
    votes = node.is_voter() or committed.votes(node.name, node.folder)
    return votes and node.storage_ok and not node.removed


def campaign(node: Node, now: int, pre: bool = True, handed_over: bool = False) -> None:
    """Ask the voters for their votes."""
    node.reset_deadline(now)
    node.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
    node.leader = ""
    node.votes = {node.name} if node.is_voter() else set()
    node.vote_sent_ms = now
    if not pre:
        node.set_term(node.term + 1, node.name)
    term = node.term + 1 if pre else node.term
    last = (node.log.last_index, node.log.last_term)
    for voter in node.log.members.voters():
        if voter.name != node.name:
            request = RequestVote(voter.folder, term, *last, pre, now, handed_over)
            node.send(voter.name, request, after_sync=not pre)
    if node.sole_voter():
        _count(node, now)


def on_request_vote(node: Node, sender: str, request: RequestVote, now: int) -> None:
    """Vote, unless a leader was heard from or the candidate lacks entries."""
    if _is_removed(node, sender):
        node.send(sender, NotMember(node.term, node.commit))
        return
    if request.folder != node.folder:
        return
    if not _may_vote(node, now, request.handed_over):
        return
    if not request.pre and request.term > node.term:
        node.become_follower(request.term, "", now)
    granted = _would_vote(node, sender, request)
    if granted and not request.pre:
        if node.hard_state.voted_for == "":
            node.set_term(request.term, sender)
        node.contact_ms = now
        node.reset_deadline(now)
    term = request.term if granted else node.term
    reply = VoteReply(term, node.folder, granted, request.pre, request.sent_ms)
    node.send(sender, reply, after_sync=True)


def _is_removed(node: Node, name: str) -> bool:
    if node.log.members.find(name) is not None:
        return False  # a restart does not know yet how much of the log is committed
    committed = node.log.members_at(node.commit)
    return bool(committed.members) and committed.find(name) is None


def _may_vote(node: Node, now: int, handed_over: bool) -> bool:
    if not node.folder or not node.storage_ok:
        return False
    if handed_over and node.role != Role.LEADER:
        return True
    quiet_ms = node.timing.election_min_ms
    if node.role == Role.LEADER:
        confirmed = confirmed_ms(node, now)
        return confirmed is None or now >= confirmed + quiet_ms
    since = node.started_ms if node.contact_ms is None else node.contact_ms
    return now >= since + quiet_ms


def _would_vote(node: Node, sender: str, request: RequestVote) -> bool:
    if request.term < node.term:
        return False
    if request.term == node.term:
        if request.pre or node.hard_state.voted_for not in ("", sender):
            return False
        if node.leader:
            return False
    mine = (node.log.last_term, node.log.last_index)
    return (request.last_term, request.last_index) >= mine


def on_hand_over(node: Node, sender: str, message: HandOver, now: int) -> None:
    """Stand for election at once, as the leader has resigned."""
    current = message.term == node.term and node.leader == sender
    if current and node.role == Role.FOLLOWER and may_campaign(node):
        campaign(node, now, pre=False, handed_over=True)


def on_vote_reply(node: Node, sender: str, reply: VoteReply, now: int) -> None:
    """Count a vote."""
    if not reply.granted:
        if reply.term > node.term:
            node.become_follower(reply.term, "", now)
        return
    wanted = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
    term = node.term + 1 if reply.pre else node.term
    if node.role != wanted or reply.term != term:
        return
    if reply.sent_ms != node.vote_sent_ms:
        return
    if node.log.members.votes(sender, reply.folder):
        node.votes.add(sender)
        _count(node, now)


def _count(node: Node, now: int) -> None:
    if len(node.votes) < node.log.members.majority():
        return
    if node.role == Role.PRE_CANDIDATE:
        campaign(node, now, pre=False)
    elif node.role == Role.CANDIDATE:
        leading.begin_term(node, now)
