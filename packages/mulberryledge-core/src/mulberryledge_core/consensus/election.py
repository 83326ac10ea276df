"""
mulberryledge_core.consensus.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Elections: a pre-vote, which changes no term and no vote, then the vote.
"""

from mulberryledge_core.consensus import leading
from mulberryledge_core.consensus.leases import quorum_confirmed_ms
from mulberryledge_core.consensus.messages import (
    NotMember,
    RequestVote,
    TransferLeadership,
    VoteReply,
)
from mulberryledge_core.consensus.node import Node, Role

__all__ = [
    "campaign",
    "may_campaign",
    "on_request_vote",
    "on_transfer_leadership",
    "on_vote_reply",
]


def may_campaign(node: Node) -> bool:
    """
    Return whether the node may start an election.

    A leader that demotes itself may be the only member with that entry, so it stays
    eligible until the entry is committed.
    """
    committed = node.log.members_at(node.commit)
    eligible = node.is_voter() or committed.has_voter(node.name, node.folder)
    return eligible and node.storage_ok and not node.removed


def campaign(
    node: Node, now: int, pre_vote: bool = True, leadership_transfer: bool = False
) -> None:
    """Request votes, or pre-votes, from the other voters."""
    node.reset_deadline(now)
    node.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
    node.leader = ""
    node.votes = {node.name} if node.is_voter() else set()
    node.vote_sent_ms = now
    if not pre_vote:
        node.set_term(node.term + 1, node.name)
    term = node.term + 1 if pre_vote else node.term
    last = (node.log.last_index, node.log.last_term)
    for voter in node.log.members.voters():
        if voter.name != node.name:
            request = RequestVote(
                voter.folder, term, *last, pre_vote, now, leadership_transfer
            )
            node.send(voter.name, request, after_sync=not pre_vote)
    if node.is_sole_voter():
        _count_votes(node, now)


def on_request_vote(node: Node, sender: str, request: RequestVote, now: int) -> None:
    """Vote, unless a leader is in contact or the candidate's log is behind."""
    if _is_removed(node, sender):
        node.send(sender, NotMember(node.term, node.commit))
        return
    if request.folder != node.folder:
        return
    if not _accepts_election(node, now, request.leadership_transfer):
        return
    if not request.pre_vote and request.term > node.term:
        node.become_follower(request.term, "", now)
    granted = _grants_vote(node, sender, request)
    if granted and not request.pre_vote:
        if node.hard_state.voted_for == "":
            node.set_term(request.term, sender)
        node.leader_contact_ms = now
        node.reset_deadline(now)
    term = request.term if granted else node.term
    reply = VoteReply(term, node.folder, granted, request.pre_vote, request.sent_ms)
    node.send(sender, reply, after_sync=True)


def _is_removed(node: Node, name: str) -> bool:
    if node.log.members.find(name) is not None:
        return False  # the commit index is not known yet after a restart
    committed = node.log.members_at(node.commit)
    return bool(committed.members) and committed.find(name) is None


def _accepts_election(node: Node, now: int, leadership_transfer: bool) -> bool:
    if not node.folder or not node.storage_ok:
        return False
    if leadership_transfer and node.role != Role.LEADER:
        return True
    min_silence_ms = node.timing.election_min_ms
    if node.role == Role.LEADER:
        confirmed = quorum_confirmed_ms(node, now)
        return confirmed is None or now >= confirmed + min_silence_ms
    contact_ms = (
        node.started_ms if node.leader_contact_ms is None else node.leader_contact_ms
    )
    return now >= contact_ms + min_silence_ms


def _grants_vote(node: Node, sender: str, request: RequestVote) -> bool:
    if request.term < node.term:
        return False
    if request.term == node.term:
        if request.pre_vote or node.hard_state.voted_for not in ("", sender):
            return False
        if node.leader:
            return False
    own_last = (node.log.last_term, node.log.last_index)
    return (request.last_term, request.last_index) >= own_last


def on_transfer_leadership(
    node: Node, sender: str, message: TransferLeadership, now: int
) -> None:
    """Start an election at once, as the leader has resigned."""
    is_current = message.term == node.term and node.leader == sender
    if is_current and node.role == Role.FOLLOWER and may_campaign(node):
        campaign(node, now, pre_vote=False, leadership_transfer=True)


def on_vote_reply(node: Node, sender: str, reply: VoteReply, now: int) -> None:
    """Count a vote."""
    if not reply.granted:
        if reply.term > node.term:
            node.become_follower(reply.term, "", now)
        return
    expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    term = node.term + 1 if reply.pre_vote else node.term
    if node.role != expected_role or reply.term != term:
        return
    if reply.sent_ms != node.vote_sent_ms:
        return
    if node.log.members.has_voter(sender, reply.folder):
        node.votes.add(sender)
        _count_votes(node, now)


def _count_votes(node: Node, now: int) -> None:
    if len(node.votes) < node.log.members.majority():
        return
    if node.role == Role.PRE_CANDIDATE:
        campaign(node, now, pre_vote=False)
    elif node.role == Role.CANDIDATE:
        leading.become_leader(node, now)
