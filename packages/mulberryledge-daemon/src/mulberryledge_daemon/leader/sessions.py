"""
mulberryledge_daemon.leader.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of the entries' sessions. Closing a session whose lease has expired returns its
loans.
"""

import logging

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import CloseSession
from mulberryledge_core.state.deadlines import longest_deadline_ms
from mulberryledge_daemon.entry.sessions import SESSION_LEASE_S
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["SessionLeases"]

CLOCK_DRIFT_MARGIN_S = 1.0
MS_PER_S = 1_000

logger = logging.getLogger(__name__)


class SessionLeases:
    """
    Tracks when sessions were last renewed, and closes expired ones.

    A session is no longer renewed once its closing has been proposed, so that no
    entry uses a loan that may already be granted to another one.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.last_renewed_s: dict[str, float] = {}
        self.closing: set[str] = set()
        self.was_leader = False

    def renew(self, session: str) -> bool:
        """Renew a session; return False if it is closed or about to be."""
        if not self.log.is_leader() or session in self.closing:
            return False
        if session not in self.log.state.sessions:
            return False
        self.last_renewed_s[session] = self.clock.seconds()
        return True

    def reset(self) -> None:
        """Discard all renewals: another daemon may lead and renew sessions."""
        self.was_leader = False
        self.last_renewed_s.clear()
        self.closing.clear()

    async def tick(self) -> None:
        """Close expired sessions; the lease of sessions not yet seen starts now."""
        now_s = self.clock.seconds()
        if not self.was_leader:
            self.reset()
            self.was_leader = True
        sessions = dict(self.log.state.sessions)
        self.closing &= sessions.keys()
        last_renewed_s = {
            name: self.last_renewed_s.get(name, now_s) for name in sessions
        }
        self.last_renewed_s = last_renewed_s
        deadline_s = longest_deadline_ms(self.log.state) / MS_PER_S
        silence_s = SESSION_LEASE_S + deadline_s + CLOCK_DRIFT_MARGIN_S
        for name, session in sessions.items():
            if now_s - last_renewed_s[name] > silence_s:
                self.closing.add(name)
                logger.warning("session lease expired", extra={"session": name})
                await self.log.propose(CloseSession(session.daemon, name))
