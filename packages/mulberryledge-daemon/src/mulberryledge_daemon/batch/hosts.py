"""
mulberryledge_daemon.batch.hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which hosts there are and which pool each belongs to, from the cloud's list, the
targets' announcements and the leader's own moves.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from mulberryledge_core.batch.admission import Place
from mulberryledge_core.batch.state import BatchState
from mulberryledge_daemon.batch.ports import Cloud, HostsView

__all__ = ["HostTable", "KnownHost"]

ARRIVAL_MARGIN_MS = 500  # beyond the time of a move, until the host is there for sure

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class KnownHost:
    """
    A host as the leader knows it.

    Attributes
    ----------
    pool : str
        Pool that it belongs to, or is on its way to.
    place : Place
        What could run on it.
    former_life : str
        Life of the target before the latest move.
    moved_ms : int or None
        When its latest move was confirmed, until a target has announced itself.
    blocked_ms : int
        Until then no order is given for it.
    """

    host: str
    pool: str
    place: Place
    rack: str = ""
    former_life: str = ""
    moved_ms: int | None = None
    blocked_ms: int = 0


class HostTable:
    """
    Owns what is known of the hosts.

    Attributes
    ----------
    complete : bool
        Whether the cloud's list has been read.
    """

    def __init__(self, state: BatchState, cloud: Cloud, move_ms: int, now: Callable):
        self.state = state
        self.move_ms = move_ms
        self.now = now
        self.cloud = cloud
        self.hosts: dict[str, KnownHost] = {}
        self.complete = False

    def forget(self) -> None:
        """Begin anew: another leader may have moved hosts since."""
        self.hosts.clear()
        self.complete = False

    async def read_list(self) -> None:
        """Read the cloud's list."""
        view = await self.cloud.list_hosts()
        if not isinstance(view, HostsView):
            logger.warning("hosts not listed", extra={"outcome": view})
            return
        for one in view.hosts:
            if one.host not in self.hosts:
                place = Place(one.capacity, frozenset(one.labels))
                self.hosts[one.host] = KnownHost(one.host, one.pool, place, one.rack)
        self.complete = True
        logger.info("hosts listed", extra={"hosts": len(view.hosts)})

    def follow_targets(self) -> None:
        """Take the targets' announcements into account."""
        for host, life in self.state.lives_by_host.items():
            target = self.state.targets[life]
            known = self.hosts.get(host)
            if known is None:
                place = Place(target.capacity, frozenset(target.labels))
                self.hosts[host] = KnownHost(host, target.pool, place, target.rack)
            elif life != known.former_life and (
                known.moved_ms is not None or known.pool != target.pool
            ):
                self.hosts[host] = replace(known, pool=target.pool, moved_ms=None)

    def places(self) -> list[Place]:
        """Return what jobs could run on; nothing before the cloud's list is read."""
        return [one.place for one in self.hosts.values()] if self.complete else []

    def in_transit(self, host: str) -> bool:
        """Return whether a host is on its way to another pool."""
        known = self.hosts.get(host)
        if known is None or known.moved_ms is None:
            return False
        return self.now() - known.moved_ms < self.move_ms + ARRIVAL_MARGIN_MS

    def life_of(self, host: str) -> str:
        """Return the life of the target on a host, empty if there is none."""
        return self.state.lives_by_host.get(host, "")

    def moved(self, host: str, pool: str, life: str, now_ms: int) -> None:
        """Take note of a move."""
        self.hosts[host] = replace(
            self.hosts[host], pool=pool, former_life=life, moved_ms=now_ms
        )

    def block(self, host: str, until_ms: int) -> None:
        """Give no order for a host for a while."""
        self.hosts[host] = replace(self.hosts[host], blocked_ms=until_ms)

    def drop(self, host: str) -> None:
        """Forget a host that is gone."""
        self.hosts.pop(host, None)
