"""
mulberryledge_core.consensus.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's own lease, the freshness leases that it grants, and what follows
from them: where an index is in force.
"""

from mulberryledge_core.consensus.messages import Grant
from mulberryledge_core.consensus.node import Node, Progress, Role

__all__ = [
    "confirmed_ms",
    "is_fresh",
    "is_leading",
    "make_grant",
    "renew_own_lease",
    "take_grant",
    "use_pending",
    "waiting_for",
]


def confirmed_ms(node: Node, now: int) -> int | None:
    """Return the latest time at which a quorum is known to have followed."""
    times = []
    for voter in node.log.members.voters():
        if voter.name == node.name:
            times.append(now if voter.folder == node.folder else None)
            continue
        progress = node.progress.get(voter.name)
        same = progress is not None and progress.confirmed_folder == voter.folder
        times.append(progress.confirmed_ms if same else None)
    known = sorted((time for time in times if time is not None), reverse=True)
    majority = node.log.members.majority()
    return known[majority - 1] if len(known) >= majority else None


def has_begun(node: Node) -> bool:
    """Return whether the leader has committed an entry of its own term."""
    return node.role == Role.LEADER and node.commit >= node.term_start


def is_leading(node: Node, now: int) -> bool:
    """Return whether no other leader can have been elected yet."""
    if not has_begun(node):
        return False
    if node.sole_voter():
        return True
    confirmed = confirmed_ms(node, now)
    return confirmed is not None and now < confirmed + node.timing.leader_lease_ms


def is_fresh(node: Node, now: int) -> bool:
    """Return whether the freshness lease of this daemon holds."""
    return now < node.lease_until_ms and node.applied >= node.lease_index


def renew_own_lease(node: Node, now: int) -> None:
    """Take the leader's own freshness lease, anchored at the quorum's answer."""
    confirmed = confirmed_ms(node, now)
    if has_begun(node) and confirmed is not None:
        until = confirmed + node.timing.lease_ms
        node.lease_until_ms = max(node.lease_until_ms, until)
        node.lease_index = node.commit


def make_grant(node: Node, progress: Progress, now: int) -> Grant | None:
    """
    Answer a member's request for a freshness lease.

    The lease is anchored at the earlier of the request and the confirmation of
    the quorum: its age is subtracted from the time of the request.
    """
    confirmed = confirmed_ms(node, now)
    if progress.asked is None or confirmed is None or not has_begun(node):
        return None
    asked_ms, arrived_ms = progress.asked
    anchor = min(arrived_ms, confirmed)
    if now >= anchor + node.timing.lease_ms:
        return None
    held = anchor + node.timing.lease_held_ms
    progress.held_until_ms = max(progress.held_until_ms, held)
    return Grant(asked_ms, arrived_ms - anchor, node.commit)


def take_grant(node: Node, grant: Grant, now: int) -> None:
    """Take a lease that a leader granted, at once or once its index is applied."""
    if node.started_ms <= grant.asked_ms <= now:
        node.pending = grant
        use_pending(node)


def use_pending(node: Node) -> None:
    """Put a lease in use if its index is applied."""
    grant = node.pending
    if grant is None or node.applied < grant.index:
        return
    until = grant.asked_ms - grant.age_ms + node.timing.lease_ms
    if until > node.lease_until_ms:
        node.lease_until_ms = until
        node.lease_index = grant.index
    node.pending = None


def waiting_for(node: Node, index: int, now: int) -> tuple[str, ...]:
    """
    Return the daemons that may still act on a state from before the index.

    A daemon is waited for until it has applied the index or its lease has run
    out; after an election every lease counts as held for a whole term.
    """
    earlier = node.elected_ms + node.timing.lease_held_ms
    names = [
        name
        for name, progress in node.progress.items()
        if progress.applied < index and now < max(earlier, progress.held_until_ms)
    ]
    names += [
        name
        for name, held_until_ms in node.departed.items()
        if now < max(earlier, held_until_ms)
    ]
    if node.applied < index:
        names.append(node.name)
    return tuple(sorted(names))
