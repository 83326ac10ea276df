"""
mulberryledge_daemon.http.cluster
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP route for the cluster status as one daemon sees it.
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
    Status of one member.

    Attributes
    ----------
    applied : int or None
        Last applied index known to the leader; None on other daemons.
    folder_seen : str
        Identifier of the member's present data folder; the member votes only if it
        is the folder it was promoted with.
    """

    member: Member
    applied: int | None = None
    folder_seen: str = ""


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """
    Status of the cluster as one daemon sees it.

    Attributes
    ----------
    leads, fresh : bool
        Whether this daemon leads, and whether its freshness lease holds.
    disk : str
        ``ok``, ``none``, ``full`` or a description of the damage.
    bytes_sent, bytes_received : int
        Traffic with the other daemons since this process started.
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
    """Return the route of the cluster status."""

    async def cluster(request: Request) -> Reply:
        admitted = admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        return json_reply(to_plain(status()))

    return (Route("GET", "/v1/cluster", cluster),)
