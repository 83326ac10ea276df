"""
mulberryledge_daemon.batch.losses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that asks the cloud about the hosts of targets that do not answer.
What ran on a host that the cloud lists as down is over, and starts elsewhere without
waiting for the end of its lease. A target that is cut off runs on: its host is up, and
its lease counts.
"""

import logging

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import Cloud, HostState, HostsView, HostView
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession

__all__ = ["Losses"]

ASK_INTERVAL_MS = 300  # a tenth of the time that a lease still runs after a loss

logger = logging.getLogger(__name__)


class Losses:
    """
    Owns the looks at the cloud's list while this daemon leads.

    Attributes
    ----------
    unlisted : set of str
        Lives whose hosts the latest list did not name. A list comes in pages, between
        which a host may be passed over, so that two lists have to agree.
    """

    def __init__(self, scheduler: Scheduler, cloud: Cloud):
        self.scheduler = scheduler
        self.cloud = cloud
        self.unlisted: set[str] = set()
        self.asked_ms = 0
        self.asking = False
        scheduler.beginnings.append(self.begin)
        scheduler.followers.append(self.tick)

    def begin(self) -> None:
        """Forget what was learned in an earlier lead."""
        self.unlisted.clear()
        self.asking = False

    def tick(self) -> None:
        """Ask for the list while a target with work does not answer."""
        now = self.scheduler.now()
        if self.asking or now - self.asked_ms < ASK_INTERVAL_MS:
            return
        if self.silent():
            self.asking, self.asked_ms = True, now
            ensureDeferred(self.ask(now)).addErrback(self.broken)

    def silent(self) -> list[TargetSession]:
        """Return the sessions of targets with work that have missed a call."""
        sessions = self.scheduler.sessions.values()
        return [one for one in sessions if one.missed and one.live()]

    async def ask(self, sent_ms: int) -> None:
        """Read the list once, and end the lives that are over by it."""
        term = self.scheduler.term
        view = await self.cloud.list_hosts()
        if term != self.scheduler.term:
            return
        self.asking = False
        if not isinstance(view, HostsView):
            logger.warning("hosts not listed", extra={"outcome": view})
            return
        rows = {row.host: row for row in view.hosts}
        silent = [one for one in self.silent() if one.heard_ms < sent_ms]
        missing = {one.life for one in silent if one.target.host not in rows}
        if view.unread:
            missing.clear()  # their rows may be those that could not be read
        for session in silent:
            why = why_over(session.target, rows.get(session.target.host))
            if session.life in missing & self.unlisted:
                why = "the cloud does not list its host"
            if why:
                session.end_life(why)
        self.unlisted = missing

    def broken(self, failure) -> None:
        """Log a failure of the program."""
        self.asking = False
        extra = {"failure": failure.getTraceback()}
        logger.critical("look at losses failed", extra=extra)


def why_over(target: Target, row: HostView | None) -> str:
    """Return why a target's life is over by the row of its host, empty if it is not."""
    if row is None:
        return ""
    if row.state == HostState.DOWN:
        return "the cloud lists its host as down"
    if row.target not in ("", target.name):
        return "the cloud lists another target on its host"
    return ""
