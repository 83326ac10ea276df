"""
mulberryledge_daemon.log.status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The cluster as one daemon sees it, for operators.
"""

from mulberryledge_core.consensus.leases import is_fresh, is_leading
from mulberryledge_core.consensus.members import Member
from mulberryledge_core.consensus.node import Node
from mulberryledge_daemon.http.cluster import ClusterStatus, MemberStatus
from mulberryledge_daemon.log.cluster_joiner import ClusterJoiner
from mulberryledge_daemon.log.storage import Storage
from mulberryledge_daemon.peers.link import Traffic

__all__ = ["cluster_status"]


def cluster_status(
    node: Node,
    joining: ClusterJoiner,
    storage: Storage | None,
    traffic: Traffic,
    now: int,
) -> ClusterStatus:
    """Return the cluster as this daemon sees it."""
    folder = joining.settings_bootstrap.folder
    return ClusterStatus(
        daemon=node.name,
        cluster=joining.cluster,
        generation=joining.generation,
        folder=folder,
        role=node.role,
        term=node.term,
        leader=node.leader,
        leads=is_leading(node, now),
        fresh=is_fresh(node, now),
        removed=node.removed,
        disk=disk_status(node, storage),
        commit=node.commit,
        applied=node.applied,
        last_index=node.log.last_index,
        bytes_sent=traffic.sent,
        bytes_received=traffic.received,
        members=tuple(
            member_status(node, member, folder) for member in node.log.members.members
        ),
    )


def disk_status(node: Node, storage: Storage | None) -> str:
    """Return ``ok``, ``none``, ``full`` or what is damaged."""
    if storage is None:
        return "none"
    if storage.damage:
        return storage.damage
    return "ok" if node.storage_ok else "full"


def member_status(node: Node, member: Member, folder: str) -> MemberStatus:
    """Return what this daemon knows of a member."""
    if member.name == node.name:
        return MemberStatus(member, node.applied, folder)
    progress = node.progress.get(member.name)
    if progress is None:
        return MemberStatus(member)
    return MemberStatus(member, progress.applied, progress.folder)
