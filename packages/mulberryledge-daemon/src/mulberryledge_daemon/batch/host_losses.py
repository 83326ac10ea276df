"""
mulberryledge_daemon.batch.host_losses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that looks up the hosts of unresponsive targets in the cloud's list.
Runs on a host that the cloud lists as down have ended, and are restarted elsewhere
without waiting for the lease to expire. If the host is up, the target may only be cut
off and its runs may continue, so the lease decides.
"""

import logging

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import Cloud, HostState, HostsView, HostView
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import TargetSession

__all__ = ["LossDetector"]

QUERY_INTERVAL_MS = 300  # a tenth of the time a lease still lasts after a loss

logger = logging.getLogger(__name__)


class LossDetector:
    """
    Owns the queries of the cloud's list while this daemon leads.

    Attributes
    ----------
    unlisted : set of str
        Incarnations whose hosts were missing from the latest list. A host may be
        skipped between two pages of a list, so two lists must agree.
    """

    def __init__(self, scheduler: Scheduler, cloud: Cloud):
        self.scheduler = scheduler
        self.cloud = cloud
        self.unlisted: set[str] = set()
        self.last_query_ms = 0
        self.querying = False
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.tick_callbacks.append(self.tick)

    def on_takeover(self) -> None:
        """Discard the results from an earlier term."""
        self.unlisted.clear()
        self.querying = False

    def tick(self) -> None:
        """Request the list while a target with live runs does not answer."""
        now = self.scheduler.now()
        if self.querying or now - self.last_query_ms < QUERY_INTERVAL_MS:
            return
        if self.silent_sessions():
            self.querying, self.last_query_ms = True, now
            ensureDeferred(self.query(now)).addErrback(self.on_error)

    def silent_sessions(self) -> list[TargetSession]:
        """Return the sessions with live runs whose target has missed a call."""
        sessions = self.scheduler.sessions.values()
        return [one for one in sessions if one.missed_calls and one.live_runs()]

    async def query(self, sent_ms: int) -> None:
        """Read the list once, and end the incarnations that it shows as ended."""
        term = self.scheduler.term
        view = await self.cloud.list_hosts()
        if term != self.scheduler.term:
            return
        self.querying = False
        if not isinstance(view, HostsView):
            logger.warning("hosts not listed", extra={"outcome": view})
            return
        rows = {row.host: row for row in view.hosts}
        silent = [
            one for one in self.silent_sessions() if one.last_contact_ms < sent_ms
        ]
        missing = {one.incarnation for one in silent if one.target.host not in rows}
        if view.undecoded or view.truncated:
            missing.clear()  # their rows may be among those that could not be read
        for session in silent:
            why = end_reason(session.target, rows.get(session.target.host))
            if session.incarnation in missing & self.unlisted:
                why = "the cloud does not list its host"
            if why:
                session.end_incarnation(why)
        self.unlisted = missing

    def on_error(self, failure) -> None:
        """Log an unexpected error."""
        self.querying = False
        extra = {"failure": failure.getTraceback()}
        logger.critical("look at losses failed", extra=extra)


def end_reason(target: Target, row: HostView | None) -> str:
    """Return why the row of its host shows a target as ended, empty if it does not."""
    if row is None:
        return ""
    if row.state == HostState.DOWN:
        return "the cloud lists its host as down"
    if row.target not in ("", target.name):
        return "the cloud lists another target on its host"
    return ""
