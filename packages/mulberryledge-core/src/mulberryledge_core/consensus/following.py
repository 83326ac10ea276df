"""
mulberryledge_core.consensus.following
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replication on a follower.
"""

from mulberryledge_core.consensus.effects import Restore, Rewrite
from mulberryledge_core.consensus.entries import Entry, Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leases import accept_grant, activate_pending_grant
from mulberryledge_core.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    NotMember,
)
from mulberryledge_core.consensus.node import Node

__all__ = ["on_append", "on_install_snapshot", "on_not_member"]


def on_append(node: Node, sender: str, message: Append, now: int) -> None:
    """Append entries if the one before them matches, and reply."""
    if message.term < node.term:
        node.send(sender, _reply(node, message, now, ok=False, match=0))
        return
    _accept_leader(node, sender, message.term, now)
    if node.log.term_at(message.prev_index) != message.prev_term:
        known = message.prev_index <= node.log.last_index
        match = node.commit if known else node.log.last_index
        node.send(sender, _reply(node, message, now, False, match), after_sync=True)
        return
    _append_entries(node, message.entries)
    match = message.prev_index + len(message.entries)
    node.advance_commit(min(message.commit, match))
    if message.grant is not None:
        accept_grant(node, message.grant, now)
    activate_pending_grant(node)
    node.send(sender, _reply(node, message, now, True, match), after_sync=True)


def _accept_leader(node: Node, sender: str, term: int, now: int) -> None:
    assert not (term == node.term and node.leader not in ("", sender)), (
        "one leader a term"
    )
    node.become_follower(term, sender, now)
    node.leader_contact_ms = now
    node.removed = False
    node.reset_deadline(now)


def _append_entries(node: Node, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= node.log.start_index:
            continue
        if node.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= node.log.last_index:
            assert entry.index > node.commit, "committed entries stay"
            node.log.truncate_from(entry.index)
            node.durable = min(node.durable, entry.index - 1)
        new_entries = entries[position:]
        for new_entry in new_entries:
            node.log.append(new_entry)
        node.persist(new_entries)
        return


def _reply(node: Node, message: Append, now: int, ok: bool, match: int) -> AppendReply:
    durable = match if node.storage_ok and node.folder else node.durable
    return AppendReply(
        term=node.term,
        folder=node.folder,
        ok=ok,
        match=match,
        durable=durable,
        applied=node.applied,
        sent_ms=message.sent_ms,
        lease_requested_ms=now,
    )


def on_install_snapshot(
    node: Node, sender: str, message: InstallSnapshot, now: int
) -> None:
    """Collect the chunks of a snapshot, and restore from the complete snapshot."""
    if message.term < node.term:
        node.send(
            sender, InstallSnapshotReply(node.term, node.folder, 0, 0, message.sent_ms)
        )
        return
    _accept_leader(node, sender, message.term, now)
    key = (message.index, message.last_term)
    if node.snapshot_buffer_key != key or message.offset == 0:
        node.snapshot_buffer_key = key
        node.snapshot_buffer = bytearray()
    if message.offset == len(node.snapshot_buffer):
        node.snapshot_buffer += message.data
    received = len(node.snapshot_buffer)
    if received >= message.total:
        _restore(node, message)
    reply = InstallSnapshotReply(
        node.term, node.folder, message.index, received, message.sent_ms
    )
    node.send(sender, reply, after_sync=True)


def _restore(node: Node, message: InstallSnapshot) -> None:
    data = bytes(node.snapshot_buffer)
    node.snapshot_buffer, node.snapshot_buffer_key = bytearray(), None
    if message.index <= node.commit:
        return
    if node.log.term_at(message.index) == message.last_term:
        node.advance_commit(message.index)
        return
    snapshot = Snapshot(
        message.index, message.last_term, message.at_ms, message.members, data
    )
    node.log = EntryLog(snapshot)
    node.commit = node.applied = snapshot.index
    node.durable = 0
    node.effects.append(Restore(snapshot))
    node.effects.append(Rewrite(node.hard_state, snapshot))
    activate_pending_grant(node)


def on_not_member(node: Node, sender: str, message: NotMember, now: int) -> None:
    """Start no more elections once the cluster has removed this node."""
    if message.index >= node.log.members_index:
        node.removed = True
