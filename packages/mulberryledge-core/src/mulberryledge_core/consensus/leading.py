"""
mulberryledge_core.consensus.leading
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replication on the leader.
"""

from result import Err, Ok, Result

from mulberryledge_core.commands.members import PromoteMember, ReplaceFolder
from mulberryledge_core.commands.table import encode_command
from mulberryledge_core.consensus.entries import Entry, EntryKind, Origin
from mulberryledge_core.consensus.leases import (
    make_grant,
    quorum_confirmed_ms,
    renew_own_lease,
)
from mulberryledge_core.consensus.members import (
    Configuration,
    change_members,
)
from mulberryledge_core.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TransferLeadership,
)
from mulberryledge_core.consensus.node import Node, Progress, Role, StepDownCause
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "append",
    "append_change",
    "become_leader",
    "flush",
    "is_idle",
    "on_append_reply",
    "on_install_snapshot_reply",
    "successor",
    "tick_leader",
    "transfer_leadership",
    "try_commit",
]

CATCH_UP_ENTRIES = 64


def become_leader(node: Node, now: int) -> None:
    """Become leader: take every lease as valid, and append an empty entry."""
    assert node.hard_state.voted_for == node.name
    node.role = Role.LEADER
    node.leader = node.name
    node.elected_ms = now
    node.progress = {}
    node.removed_lease_until_ms = dict.fromkeys(
        node.log.members.former, now + node.timing.grantor_lease_ms
    )
    track_members(node, now)
    for name in sorted(node.votes - {node.name}):
        progress = node.progress[name]
        progress.confirmed_ms = node.vote_sent_ms
        progress.confirmed_folder = node.log.members.find(name).folder
    node.term_start_index = node.log.last_index + 1
    append(node, EntryKind.NOOP, b"", Origin(), node.log.last_at_ms)
    flush(node, now)


def track_members(node: Node, now: int) -> None:
    """Update the progress table, keeping the leases of removed members."""
    names = {member.name for member in node.log.members.members} - {node.name}
    for name in sorted(names - set(node.progress)):
        held_until_ms = node.removed_lease_until_ms.pop(name, 0)
        node.progress[name] = Progress(
            node.log.last_index + 1,
            answered_ms=now,
            lease_held_until_ms=held_until_ms,
            known_since_ms=now,
        )
    for name in sorted(set(node.progress) - names):
        del node.progress[name]
        node.removed_lease_until_ms[name] = now + node.timing.grantor_lease_ms


def append(
    node: Node,
    kind: EntryKind,
    data: bytes,
    origin: Origin,
    wall_ms: int,
    members: Configuration | None = None,
) -> Entry:
    """Append an entry in the current term."""
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
    """Append a membership change, unless one is not committed yet."""
    if node.commit < max(node.term_start_index, node.log.members_index):
        return Err(Refusal(Code.CONFLICT, "another membership change is in progress"))
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
    entry = append(
        node, EntryKind.CONFIGURATION, data, origin, wall_ms, changed.ok_value
    )
    track_members(node, now)
    return Ok(entry)


def _not_caught_up(
    node: Node, command: PromoteMember | ReplaceFolder
) -> Refusal | None:
    progress = node.progress[command.name]
    if progress.folder != command.folder:
        text = f"daemon {command.name!r} reports folder {progress.folder or 'none'}"
        return Refusal(Code.CONFLICT, text)
    if progress.match + CATCH_UP_ENTRIES < node.commit:
        text = f"daemon {command.name!r} is behind: {progress.match} of {node.commit}"
        return Refusal(Code.CONFLICT, text)
    return None


def _silent_voters(node: Node, members: Configuration, now: int) -> list[str]:
    silent = []
    for voter in members.voters():
        progress = node.progress.get(voter.name)
        if progress is None:
            is_silent = voter.folder != node.folder
        else:
            since = now - node.timing.election_max_ms
            is_recent = (
                progress.reported_ms is not None and progress.reported_ms >= since
            )
            is_silent = progress.folder != voter.folder or not is_recent
        if is_silent:
            silent.append(voter.name)
    return silent


def successor(node: Node, now: int) -> str | None:
    """Return the voter with the complete log that reported last, or None."""
    since = now - node.timing.election_min_ms
    eligible = [
        (progress.reported_ms, voter.name)
        for voter in node.log.members.voters()
        if (progress := node.progress.get(voter.name)) is not None
        and progress.folder == voter.folder
        and progress.durable >= node.log.last_index
        and progress.reported_ms is not None
        and progress.reported_ms >= since
    ]
    return max(eligible)[1] if eligible else None


def transfer_leadership(node: Node, now: int) -> bool:
    """Transfer leadership to a successor; return whether there is one."""
    chosen, term = successor(node, now), node.term
    if chosen is None:
        return False
    node.become_follower(term, "", now, StepDownCause.RESIGNED)
    node.leader = ""
    node.send(chosen, TransferLeadership(term))
    return True


def tick_leader(node: Node, now: int) -> None:
    """Send what is due, or step down if no quorum has answered in time."""
    confirmed = quorum_confirmed_ms(node, now)
    since = node.elected_ms if confirmed is None else confirmed
    if now >= since + node.timing.election_max_ms:
        node.become_follower(node.term, "", now, StepDownCause.QUORUM_LOST)
        node.leader = ""
        return
    flush(node, now)


def flush(node: Node, now: int) -> None:
    """Commit, and send each member its new entries or a due heartbeat."""
    if node.role != Role.LEADER:
        return
    try_commit(node, now)
    if now < node.resign_until_ms and transfer_leadership(node, now):
        return
    renew_own_lease(node, now)
    voters = {voter.name for voter in node.log.members.voters()}
    for name, progress in node.progress.items():
        _resend(node, progress, now)
        if progress.next <= node.log.start_index:
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
    silent_ms = now - max(progress.answered_ms, progress.sent_ms - node.timing.retry_ms)
    unanswered = progress.in_flight or progress.snapshot_offset is not None
    if unanswered and silent_ms >= node.timing.retry_ms:
        progress.answered_ms = now
        progress.in_flight.clear()
        progress.next = max(progress.match + 1, 1)
        progress.snapshot_offset = None


def _send_entries(
    node: Node, name: str, progress: Progress, now: int, voter: bool
) -> None:
    timing = node.timing
    interval_ms = timing.heartbeat_ms if voter else timing.learner_heartbeat_ms
    last = node.log.last_index if voter else node.commit
    has_window = progress.in_flight_bytes() < node.bounds.in_flight_bytes
    may_send = progress.next <= last and has_window
    while may_send:
        _send_append(node, name, progress, now, last)
        has_window = progress.in_flight_bytes() < node.bounds.in_flight_bytes
        may_send = progress.next <= last and has_window
    if progress.commit_sent < node.commit or now >= progress.sent_ms + interval_ms:
        _send_append(node, name, progress, now, last=0)


def _send_append(
    node: Node, name: str, progress: Progress, now: int, last: int
) -> None:
    previous = progress.next - 1
    term = node.log.term_at(previous)
    assert term is not None, "the entry before the next one is in the log"
    entries = ()
    if last >= progress.next:
        entries = node.log.entries_between(progress.next, last, node.bounds.batch_bytes)
    grant = make_grant(node, progress, now)
    progress.lease_request = None
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
        progress.snapshot_offset is not None
        and now < progress.sent_ms + node.timing.heartbeat_ms
    ):
        return
    progress.snapshot_offset = progress.snapshot_offset or 0
    snapshot = node.log.snapshot
    message = InstallSnapshot(
        term=node.term,
        index=snapshot.index,
        last_term=snapshot.term,
        at_ms=snapshot.at_ms,
        members=snapshot.members,
        total=len(snapshot.data),
        offset=progress.snapshot_offset,
        data=snapshot.data[
            progress.snapshot_offset : progress.snapshot_offset
            + node.bounds.batch_bytes
        ],
        sent_ms=now,
    )
    node.send(name, message)
    progress.sent_ms = now


def on_install_snapshot_reply(
    node: Node, sender: str, reply: InstallSnapshotReply, now: int
) -> None:
    """Continue with the next chunk, or with the entries after the snapshot."""
    progress = _answering_member(node, sender, reply.term, now)
    if progress is None:
        return
    progress.folder = reply.folder
    progress.reported_ms = now
    _confirm(node, sender, reply.folder, reply.sent_ms, progress)
    snapshot = node.log.snapshot
    if progress.snapshot_offset is None or reply.index != snapshot.index:
        return
    if reply.received >= len(snapshot.data):
        progress.snapshot_offset = None
        progress.next = snapshot.index + 1
        progress.commit_sent = -1
    else:
        progress.snapshot_offset = reply.received
        progress.sent_ms = now - node.timing.heartbeat_ms
    flush(node, now)


def on_append_reply(node: Node, sender: str, reply: AppendReply, now: int) -> None:
    """Record the log position that a member reported; :func:`flush` commits."""
    progress = _answering_member(node, sender, reply.term, now)
    if progress is None:
        return
    progress.folder = reply.folder
    progress.reported_ms = now
    progress.lease_request = (reply.lease_requested_ms, now)
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
    progress.in_flight = [sent for sent in progress.in_flight if sent[0] > reply.match]


def _answering_member(node: Node, sender: str, term: int, now: int) -> Progress | None:
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
    confirmed_ms = progress.confirmed_ms
    progress.confirmed_ms = (
        sent_ms if confirmed_ms is None else max(confirmed_ms, sent_ms)
    )


def try_commit(node: Node, now: int) -> None:
    """Commit up to the last index on a quorum's disks, if of this term."""
    durable = []
    for voter in node.log.members.voters():
        if voter.name == node.name:
            durable.append(node.durable if voter.folder == node.folder else 0)
            continue
        progress = node.progress[voter.name]
        same_folder = progress.folder == voter.folder
        durable.append(min(progress.durable, progress.match) if same_folder else 0)
    durable.sort(reverse=True)
    index = durable[node.log.members.majority() - 1]
    if index > node.commit and node.log.term_at(index) == node.term:
        node.advance_commit(index)
        demoted = not node.is_voter()
        if demoted and node.commit >= node.log.members_index:
            node.become_follower(node.term, "", now, StepDownCause.DEMOTED)
