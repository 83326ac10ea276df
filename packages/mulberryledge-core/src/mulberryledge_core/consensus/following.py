"""
mulberryledge_core.consensus.following
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The follower's side of replication.
"""

from mulberryledge_core.consensus.effects import Restore, Rewrite
from mulberryledge_core.consensus.entries import Entry, Snapshot
from mulberryledge_core.consensus.leases import take_grant, use_pending
from mulberryledge_core.consensus.memory import EntryLog
from mulberryledge_core.consensus.messages import (
    Append,
    AppendReply,
    Install,
    InstallReply,
    NotMember,
)
from mulberryledge_core.consensus.node import Node

__all__ = ["on_append", "on_install", "on_not_member"]


def on_append(node: Node, sender: str, message: Append, now: int) -> None:
    """Take entries that follow on what is held, and answer."""
    if message.term < node.term:
        node.send(sender, _reply(node, message, now, ok=False, match=0))
        return
    _follow(node, sender, message.term, now)
    if node.log.term_at(message.prev_index) != message.prev_term:
        held = message.prev_index <= node.log.last_index
        match = node.commit if held else node.log.last_index
        node.send(sender, _reply(node, message, now, False, match), after_sync=True)
        return
    _take(node, message.entries)
    match = message.prev_index + len(message.entries)
    node.advance_commit(min(message.commit, match))
    if message.grant is not None:
        take_grant(node, message.grant, now)
    use_pending(node)
    node.send(sender, _reply(node, message, now, True, match), after_sync=True)


def _follow(node: Node, sender: str, term: int, now: int) -> None:
    assert not (term == node.term and node.leader not in ("", sender)), (
        "one leader a term"
    )
    node.become_follower(term, sender, now)
    node.contact_ms = now
    node.removed = False
    node.reset_deadline(now)


def _take(node: Node, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= node.log.start:
            continue
        if node.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= node.log.last_index:
            assert entry.index > node.commit, "committed entries stay"
            node.log.cut(entry.index)
            node.durable = min(node.durable, entry.index - 1)
        new = entries[position:]
        for one in new:
            node.log.append(one)
        node.persist(new)
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
        asked_ms=now,
    )


def on_install(node: Node, sender: str, message: Install, now: int) -> None:
    """Collect the chunks of a snapshot, and restore from it when it is whole."""
    if message.term < node.term:
        node.send(sender, InstallReply(node.term, node.folder, 0, 0, message.sent_ms))
        return
    _follow(node, sender, message.term, now)
    key = (message.index, message.last_term)
    if node.chunks_of != key or message.offset == 0:
        node.chunks_of = key
        node.chunks = bytearray()
    if message.offset == len(node.chunks):
        node.chunks += message.data
    received = len(node.chunks)
    if received >= message.total:
        _restore(node, message)
    reply = InstallReply(
        node.term, node.folder, message.index, received, message.sent_ms
    )
    node.send(sender, reply, after_sync=True)


def _restore(node: Node, message: Install) -> None:
    data = bytes(node.chunks)
    node.chunks, node.chunks_of = bytearray(), None
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
    use_pending(node)


def on_not_member(node: Node, sender: str, message: NotMember, now: int) -> None:
    """Stop standing for election once the others have removed this node."""
    if message.index >= node.log.members_index:
        node.removed = True
