"""
mulberryledge_core.consensus.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's quorum lease, the freshness leases that it grants, and from both, on
which daemons an index is in force.
"""

from mulberryledge_core.consensus.messages import LeaseGrant
from mulberryledge_core.consensus.node import Node, Progress, Role

__all__ = [
    "accept_grant",
    "activate_pending_grant",
    "daemons_not_in_force",
    "is_fresh",
    "is_leading",
    "make_grant",
    "quorum_confirmed_ms",
    "renew_own_lease",
]


def quorum_confirmed_ms(node: Node, now: int) -> int | None:
    """Return the latest time at which a quorum is known to follow this leader."""
    voters, confirmed = 0, []
    for member in node.log.members.members:
        if not member.voter:
            continue
        voters += 1
        if member.name == node.name:
            if member.folder == node.folder:
                confirmed.append(now)
            continue
        progress = node.progress.get(member.name)
        if progress is None or progress.confirmed_folder != member.folder:
            continue
        if progress.confirmed_ms is not None:
            confirmed.append(progress.confirmed_ms)
    majority = voters // 2 + 1
    if len(confirmed) < majority:
        return None
    confirmed.sort(reverse=True)
    return confirmed[majority - 1]


def has_committed_in_term(node: Node) -> bool:
    """Return whether the leader has committed an entry of its own term."""
    return node.role == Role.LEADER and node.commit >= node.term_start_index


def is_leading(node: Node, now: int) -> bool:
    """Return whether the quorum lease is valid, which excludes another leader."""
    if not has_committed_in_term(node):
        return False
    if node.is_sole_voter():
        return True
    confirmed = quorum_confirmed_ms(node, now)
    return confirmed is not None and now < confirmed + node.timing.leader_lease_ms


def is_fresh(node: Node, now: int) -> bool:
    """Return whether the freshness lease of this daemon is valid."""
    return now < node.lease_until_ms and node.applied >= node.lease_index


def renew_own_lease(node: Node, now: int) -> None:
    """Extend the leader's own freshness lease from the quorum's confirmation."""
    confirmed = quorum_confirmed_ms(node, now)
    if has_committed_in_term(node) and confirmed is not None:
        until_ms = confirmed + node.timing.lease_ms
        node.lease_until_ms = max(node.lease_until_ms, until_ms)
        node.lease_index = node.commit


def make_grant(node: Node, progress: Progress, now: int) -> LeaseGrant | None:
    """
    Return a freshness lease for a member that requested one, or None.

    The lease starts at the earlier of the request's arrival and the quorum's
    confirmation. The holder's clock is not known here, so the grant has the
    difference as its age, to be subtracted from the time of the request.
    """
    confirmed = quorum_confirmed_ms(node, now)
    if (
        progress.lease_request is None
        or confirmed is None
        or not has_committed_in_term(node)
    ):
        return None
    asked_ms, arrived_ms = progress.lease_request
    start = min(arrived_ms, confirmed)
    if now >= start + node.timing.lease_ms:
        return None
    held_until_ms = start + node.timing.grantor_lease_ms
    progress.lease_held_until_ms = max(progress.lease_held_until_ms, held_until_ms)
    return LeaseGrant(asked_ms, arrived_ms - start, node.commit)


def accept_grant(node: Node, grant: LeaseGrant, now: int) -> None:
    """Accept a granted lease; it takes effect once its index is applied."""
    if node.started_ms <= grant.requested_ms <= now:
        node.pending_grant = grant
        activate_pending_grant(node)


def activate_pending_grant(node: Node) -> None:
    """Let the pending lease take effect if its index is applied."""
    grant = node.pending_grant
    if grant is None or node.applied < grant.index:
        return
    until_ms = grant.requested_ms - grant.age_ms + node.timing.lease_ms
    if until_ms > node.lease_until_ms:
        node.lease_until_ms = until_ms
        node.lease_index = grant.index
    node.pending_grant = None


def daemons_not_in_force(node: Node, index: int, now: int) -> tuple[str, ...]:
    """
    Return the daemons on which the index may not be in force yet.

    These are the daemons that have neither applied the index nor lost their
    freshness lease. A new leader doesn't know the leases granted before it, so it
    takes each as valid for one full lease after its election.
    """
    previous_leases_ms = node.elected_ms + node.timing.grantor_lease_ms
    names = [
        name
        for name, progress in node.progress.items()
        if progress.applied < index
        and now < max(previous_leases_ms, progress.lease_held_until_ms)
    ]
    names += [
        name
        for name, held_until_ms in node.removed_lease_until_ms.items()
        if now < max(previous_leases_ms, held_until_ms)
    ]
    if node.applied < index:
        names.append(node.name)
    return tuple(sorted(names))
