"""
mulberryledge_core.consensus.leading
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's side of replication.
"""

from result import Err, Ok, Result

from mulberryledge_core.commands.members import PromoteMember, ReplaceFolder
from mulberryledge_core.commands.table import encode_command
from mulberryledge_core.consensus.entries import Entry, EntryKind, Origin
from mulberryledge_core.consensus.leases import (
    confirmed_ms,
    make_grant,
    renew_own_lease,
)
from mulberryledge_core.consensus.members import (
    Configuration,
    change_members,
)
from mulberryledge_core.consensus.messages import (
    Append,
    AppendReply,
    HandOver,
    Install,
    InstallReply,
)
from mulberryledge_core.consensus.node import Node, Progress, Role
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "append",
    "append_change",
    "begin_term",
    "flush",
    "hand_over",
    "is_idle",
    "lead",
    "on_append_reply",
    "on_install_reply",
    "successor",
    "try_commit",
]

CATCH_UP_ENTRIES = 64


def begin_term(node: Node, now: int) -> None:
    """Count every lease as held, and begin the term with an empty entry."""
    assert node.hard_state.voted_for == node.name
    node.role = Role.LEADER
    node.leader = node.name
    node.elected_ms = now
    node.progress = {}
    node.departed = dict.fromkeys(
        node.log.members.former, now + node.timing.lease_held_ms
    )
    follow_members(node, now)
    for name in sorted(node.votes - {node.name}):
        progress = node.progress[name]
        progress.confirmed_ms = node.vote_sent_ms
        progress.confirmed_folder = node.log.members.find(name).folder
    node.term_start = node.log.last_index + 1
    append(node, EntryKind.NOTHING, b"", Origin(), node.log.last_at_ms)
    flush(node, now)


def follow_members(node: Node, now: int) -> None:
    """Keep the progress of each member, and the leases of those removed."""
    names = {one.name for one in node.log.members.members} - {node.name}
    for name in sorted(names - set(node.progress)):
        held_until_ms = node.departed.pop(name, 0)
        node.progress[name] = Progress(
            node.log.last_index + 1, answered_ms=now, held_until_ms=held_until_ms
        )
    for name in sorted(set(node.progress) - names):
        del node.progress[name]
        node.departed[name] = now + node.timing.lease_held_ms


def append(
    node: Node,
    kind: EntryKind,
    data: bytes,
    origin: Origin,
    wall_ms: int,
    members: Configuration | None = None,
) -> Entry:
    """Append an entry of the leader's term."""
    assert node.role == Role.LEADER
    entry = Entry(
        index=node.log.last_index + 1,
        term=node.term,
        at_ms=max(wall_ms, node.log.last_at_ms),
        kind=kind,
        data=data,
        origin=origin,
        members=members,
    )
    node.log.append(entry)
    node.persist((entry,))
    return entry


def append_change(
    node: Node, command: object, origin: Origin, wall_ms: int, now: int
) -> Result[Entry, Refusal]:
    """Append a change of the members, one at a time."""
    if node.commit < max(node.term_start, node.log.members_index):
        return Err(Refusal(Code.CONFLICT, "another change of members is under way"))
    changed = change_members(node.log.members, command)
    if isinstance(changed, Err):
        return changed
    if isinstance(command, PromoteMember | ReplaceFolder):
        refusal = _not_caught_up(node, command)
        if refusal is not None:
            return Err(refusal)
    silent = _silent_voters(node, changed.ok_value, now)
    voters = changed.ok_value.voters()
    if len(voters) - len(silent) < changed.ok_value.majority():
        text = f"without {', '.join(silent)} the voters would have no quorum"
        return Err(Refusal(Code.CONFLICT, text))
    data = encode_command(command)
    entry = append(node, EntryKind.MEMBERS, data, origin, wall_ms, changed.ok_value)
    follow_members(node, now)
    return Ok(entry)


def _not_caught_up(
    node: Node, command: PromoteMember | ReplaceFolder
) -> Refusal | None:
    progress = node.progress[command.name]
    if progress.folder != command.folder:
        text = f"daemon {command.name!r} has folder {progress.folder or 'none'}"
        return Refusal(Code.CONFLICT, text)
    if progress.match + CATCH_UP_ENTRIES < node.commit:
        text = f"daemon {command.name!r} is at {progress.match} of {node.commit}"
        return Refusal(Code.CONFLICT, text)
    return None


def _silent_voters(node: Node, members: Configuration, now: int) -> list[str]:
    silent = []
    for voter in members.voters():
        progress = node.progress.get(voter.name)
        if progress is None:
            gone = voter.folder != node.folder
        else:
            since = now - node.timing.election_max_ms
            heard = progress.heard_ms is not None and progress.heard_ms >= since
            gone = progress.folder != voter.folder or not heard
        if gone:
            silent.append(voter.name)
    return silent


def successor(node: Node, now: int) -> str | None:
    """Return the voter that holds the whole log and was heard from last."""
    since = now - node.timing.election_min_ms
    fit = [
        (progress.heard_ms, voter.name)
        for voter in node.log.members.voters()
        if (progress := node.progress.get(voter.name)) is not None
        and progress.folder == voter.folder
        and progress.durable >= node.log.last_index
        and progress.heard_ms is not None
        and progress.heard_ms >= since
    ]
    return max(fit)[1] if fit else None


def hand_over(node: Node, now: int) -> bool:
    """Name a successor and follow it; return whether there is one."""
    best, term = successor(node, now), node.term
    if best is None:
        return False
    node.become_follower(term, "", now)
    node.leader = ""
    node.send(best, HandOver(term))
    return True


def lead(node: Node, now: int) -> None:
    """Send heartbeats and resends; step down without a quorum."""
    confirmed = confirmed_ms(node, now)
    since = node.elected_ms if confirmed is None else confirmed
    if now >= since + node.timing.election_max_ms:
        node.become_follower(node.term, "", now)
        node.leader = ""
        return
    flush(node, now)


def flush(node: Node, now: int) -> None:
    """Send each member what is new to it, or a heartbeat if one is due."""
    if node.role != Role.LEADER:
        return
    try_commit(node, now)
    if now < node.resign_until_ms and hand_over(node, now):
        return
    renew_own_lease(node, now)
    voters = {voter.name for voter in node.log.members.voters()}
    for name, progress in node.progress.items():
        _resend(node, progress, now)
        if progress.next <= node.log.start:
            _send_snapshot(node, name, progress, now)
        else:
            _send_entries(node, name, progress, now, name in voters)


def is_idle(node: Node) -> bool:
    """Return whether a leader has nothing new to commit or to send."""
    commit = node.commit
    return commit == node.log.last_index and all(
        progress.next > commit and progress.commit_sent >= commit
        for progress in node.progress.values()
    )


def _resend(node: Node, progress: Progress, now: int) -> None:
    silent = now - max(progress.answered_ms, progress.sent_ms - node.timing.retry_ms)
    waiting = progress.in_flight or progress.offset is not None
    if waiting and silent >= node.timing.retry_ms:
        progress.answered_ms = now
        progress.in_flight.clear()
        progress.next = max(progress.match + 1, 1)
        progress.offset = None


def _send_entries(
    node: Node, name: str, progress: Progress, now: int, voter: bool
) -> None:
    timing = node.timing
    period = timing.heartbeat_ms if voter else timing.learner_heartbeat_ms
    last = node.log.last_index if voter else node.commit
    room = progress.in_flight_bytes() < node.bounds.in_flight
    fresh = progress.next <= last and room
    while fresh:
        _send_append(node, name, progress, now, last)
        room = progress.in_flight_bytes() < node.bounds.in_flight
        fresh = progress.next <= last and room
    if progress.commit_sent < node.commit or now >= progress.sent_ms + period:
        _send_append(node, name, progress, now, last=0)


def _send_append(
    node: Node, name: str, progress: Progress, now: int, last: int
) -> None:
    previous = progress.next - 1
    term = node.log.term_at(previous)
    assert term is not None, "the entry before the next one is held"
    entries = ()
    if last >= progress.next:
        entries = node.log.between(progress.next, last, node.bounds.batch)
    grant = make_grant(node, progress, now)
    progress.asked = None
    message = Append(node.term, previous, term, node.commit, now, entries, grant)
    node.send(name, message)
    progress.sent_ms = now
    progress.commit_sent = node.commit
    if entries:
        progress.next = entries[-1].index + 1
        size = sum(entry.size for entry in entries)
        progress.in_flight.append((entries[-1].index, size))


def _send_snapshot(node: Node, name: str, progress: Progress, now: int) -> None:
    if (
        progress.offset is not None
        and now < progress.sent_ms + node.timing.heartbeat_ms
    ):
        return
    progress.offset = progress.offset or 0
    snapshot = node.log.snapshot
    message = Install(
        term=node.term,
        index=snapshot.index,
        last_term=snapshot.term,
        at_ms=snapshot.at_ms,
        members=snapshot.members,
        total=len(snapshot.data),
        offset=progress.offset,
        data=snapshot.data[progress.offset : progress.offset + node.bounds.batch],
        sent_ms=now,
    )
    node.send(name, message)
    progress.sent_ms = now


def on_install_reply(node: Node, sender: str, reply: InstallReply, now: int) -> None:
    """Send the next chunk of a snapshot, or the entries after it."""
    progress = _answering(node, sender, reply.term, now)
    if progress is None:
        return
    _confirm(node, sender, reply.folder, reply.sent_ms, progress)
    snapshot = node.log.snapshot
    if progress.offset is None or reply.index != snapshot.index:
        return
    if reply.received >= len(snapshot.data):
        progress.offset = None
        progress.next = snapshot.index + 1
        progress.commit_sent = -1
    else:
        progress.offset = reply.received
        progress.sent_ms = now - node.timing.heartbeat_ms
    flush(node, now)


def on_append_reply(node: Node, sender: str, reply: AppendReply, now: int) -> None:
    """Take note of what a member has, and commit what a quorum has on disk."""
    progress = _answering(node, sender, reply.term, now)
    if progress is None:
        return
    progress.folder = reply.folder
    progress.heard_ms = now
    progress.asked = (reply.asked_ms, now)
    _confirm(node, sender, reply.folder, reply.sent_ms, progress)
    if not reply.ok:
        progress.in_flight.clear()
        progress.next = min(progress.next, reply.match + 1)
        if reply.match < progress.match:
            progress.match = progress.applied = 0
        flush(node, now)
        return
    progress.match = max(progress.match, reply.match)
    progress.durable = reply.durable
    progress.applied = max(progress.applied, reply.applied)
    progress.next = max(progress.next, progress.match + 1)
    progress.in_flight = [one for one in progress.in_flight if one[0] > reply.match]


def _answering(node: Node, sender: str, term: int, now: int) -> Progress | None:
    if term > node.term:
        node.become_follower(term, "", now)
    if node.role != Role.LEADER or term < node.term:
        return None
    progress = node.progress.get(sender)
    if progress is not None:
        progress.answered_ms = now
    return progress


def _confirm(
    node: Node, sender: str, folder: str, sent_ms: int, progress: Progress
) -> None:
    if not folder or node.log.members.find(sender) is None:
        return
    if progress.confirmed_folder != folder:
        progress.confirmed_folder, progress.confirmed_ms = folder, None
    known = progress.confirmed_ms
    progress.confirmed_ms = sent_ms if known is None else max(known, sent_ms)


def try_commit(node: Node, now: int) -> None:
    """Commit the last entry of this term that a quorum has on disk."""
    durable = []
    for voter in node.log.members.voters():
        if voter.name == node.name:
            durable.append(node.durable if voter.folder == node.folder else 0)
            continue
        progress = node.progress[voter.name]
        same = progress.folder == voter.folder
        durable.append(min(progress.durable, progress.match) if same else 0)
    durable.sort(reverse=True)
    index = durable[node.log.members.majority() - 1]
    if index > node.commit and node.log.term_at(index) == node.term:
        node.advance_commit(index)
        gone = not node.is_voter()
        if gone and node.commit >= node.log.members_index:
            node.become_follower(node.term, "", now)
