"""
mulberryledge_daemon.batch.hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The known hosts and their pools, from the cloud's list, the targets' announcements and
the leader's own moves.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from mulberryledge_core.batch.admission import HostCapacity
from mulberryledge_core.batch.state import BatchState
from mulberryledge_daemon.batch.ports import Cloud, HostsView

__all__ = ["HostTable", "KnownHost"]

ARRIVAL_MARGIN_MS = 500  # beyond the duration of a move, until arrival is certain

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class KnownHost:
    """
    The leader's record of a host.

    Attributes
    ----------
    pool : str
        Pool that it belongs to, or is moving to.
    place : HostCapacity
        Capacity and labels that it offers.
    former_incarnation : str
        Incarnation of its target before the latest move.
    moved_ms : int or None
        When its latest move was confirmed; None once a target has announced itself.
    blocked_until_ms : int
        Time before which no order is sent for it.
    """

    host: str
    pool: str
    place: HostCapacity
    rack: str = ""
    former_incarnation: str = ""
    moved_ms: int | None = None
    blocked_until_ms: int = 0


class HostTable:
    """
    Owns the records of all known hosts.

    Attributes
    ----------
    complete : bool
        Whether the cloud's list has been read.
    truncated : bool
        Whether that list lacked hosts on further pages.
    """

    def __init__(self, state: BatchState, cloud: Cloud, move_ms: int, now: Callable):
        self.state = state
        self.move_ms = move_ms
        self.now = now
        self.cloud = cloud
        self.hosts: dict[str, KnownHost] = {}
        self.complete = False
        self.truncated = False

    def reset(self) -> None:
        """Discard all records: another leader may have moved hosts since."""
        self.hosts.clear()
        self.complete = self.truncated = False

    async def read_list(self) -> None:
        """Read the cloud's list."""
        view = await self.cloud.list_hosts()
        if not isinstance(view, HostsView):
            logger.warning("hosts not listed", extra={"outcome": view})
            return
        for one in view.hosts:
            if one.host not in self.hosts:
                place = HostCapacity(one.capacity, frozenset(one.labels))
                self.hosts[one.host] = KnownHost(one.host, one.pool, place, one.rack)
        self.complete, self.truncated = True, view.truncated
        extra = {"hosts": len(view.hosts), "truncated": view.truncated}
        logger.info("hosts listed", extra=extra)

    def apply_announcements(self) -> None:
        """Update the records from the targets' announcements."""
        for host, incarnation in self.state.incarnations_by_host.items():
            target = self.state.targets[incarnation]
            known = self.hosts.get(host)
            if known is None:
                place = HostCapacity(target.capacity, frozenset(target.labels))
                self.hosts[host] = KnownHost(host, target.pool, place, target.rack)
            elif incarnation != known.former_incarnation and (
                known.moved_ms is not None or known.pool != target.pool
            ):
                self.hosts[host] = replace(known, pool=target.pool, moved_ms=None)

    def places(self) -> list[HostCapacity]:
        """Return what each host offers; empty unless all hosts are known."""
        if not self.complete or self.truncated:
            return []
        return [one.place for one in self.hosts.values()]

    def in_transit(self, host: str) -> bool:
        """Return whether a host may still be moving to another pool."""
        known = self.hosts.get(host)
        if known is None or known.moved_ms is None:
            return False
        return self.now() - known.moved_ms < self.move_ms + ARRIVAL_MARGIN_MS

    def incarnation_on(self, host: str) -> str:
        """Return the incarnation on a host, empty if there is none."""
        return self.state.incarnations_by_host.get(host, "")

    def record_move(self, host: str, pool: str, incarnation: str, now_ms: int) -> None:
        """Record a confirmed move."""
        self.hosts[host] = replace(
            self.hosts[host], pool=pool, former_incarnation=incarnation, moved_ms=now_ms
        )

    def block(self, host: str, until_ms: int) -> None:
        """Send no order for a host before a given time."""
        self.hosts[host] = replace(self.hosts[host], blocked_until_ms=until_ms)

    def remove(self, host: str) -> None:
        """Remove a host that is gone."""
        self.hosts.pop(host, None)
