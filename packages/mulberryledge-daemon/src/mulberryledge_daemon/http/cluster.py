"""
mulberryledge_daemon.http.cluster
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' view of the cluster as one daemon sees it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result
from twisted.web.http import Request

from mulberryledge_core.codec import to_plain
from mulberryledge_core.consensus.members import Member
from mulberryledge_core.outcomes import Refusal
from mulberryledge_daemon.http.routing import Reply, Route, json_reply, refusal_reply

__all__ = ["ClusterStatus", "MemberStatus", "cluster_routes"]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """
    One member.

    Attributes
    ----------
    applied : int or None
        Last applied index that the leader knows of; None on other daemons.
    folder_seen : str
        Data folder that the member has now; it votes only with the one that it
        was promoted with.
    """

    member: Member
    applied: int | None = None
    folder_seen: str = ""


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """
    The cluster as one daemon sees it.

    Attributes
    ----------
    leads, fresh : bool
        Whether this daemon leads, and whether its freshness lease holds.
    disk : str
        ``ok``, ``none``, ``full`` or what is damaged.
    bytes_sent, bytes_received : int
        Exchanged with the other daemons since this process started.
    """

    daemon: str
    cluster: str
    generation: int
    folder: str
    role: str
    term: int
    leader: str
    leads: bool
    fresh: bool
    removed: bool
    disk: str
    commit: int
    applied: int
    last_index: int
    bytes_sent: int
    bytes_received: int
    members: tuple[MemberStatus, ...]


def cluster_routes(
    admit: Callable[[Request], Result[None, Refusal]],
    status: Callable[[], ClusterStatus],
) -> tuple[Route, ...]:
    """Return the route of the cluster's status."""

    async def cluster(request: Request) -> Reply:
        admitted = admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        return json_reply(to_plain(status()))

    return (Route("GET", "/v1/cluster", cluster),)
