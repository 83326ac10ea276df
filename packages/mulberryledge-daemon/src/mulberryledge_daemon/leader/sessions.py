"""
mulberryledge_daemon.leader.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of the entries' sessions: what was lent to a session that is silent for long
enough comes back.
"""

import logging

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import CloseSession
from mulberryledge_core.state.deadlines import longest_deadline_ms
from mulberryledge_daemon.entry.sessions import SESSION_LEASE_S
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["SessionLeases"]

DRIFT_MARGIN_S = 1.0
MS = 1_000

logger = logging.getLogger(__name__)


class SessionLeases:
    """
    Owns the times at which sessions were last renewed.

    A session whose closing has been proposed is not renewed any more, so no entry
    uses a loan that another one may be given.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.heard_s: dict[str, float] = {}
        self.closing: set[str] = set()
        self.led = False

    def renew(self, session: str) -> bool:
        """Renew a session; return False if it is closed or about to be."""
        if not self.log.is_leader() or session in self.closing:
            return False
        if session not in self.log.state.sessions:
            return False
        self.heard_s[session] = self.clock.seconds()
        return True

    def resign(self) -> None:
        """Forget everything: another daemon leads, and may renew sessions."""
        self.led = False
        self.heard_s.clear()
        self.closing.clear()

    async def tick(self) -> None:
        """Close silent sessions; those not heard of yet begin a lease now."""
        now_s = self.clock.seconds()
        if not self.led:
            self.resign()
            self.led = True
        sessions = dict(self.log.state.sessions)
        self.closing &= sessions.keys()
        heard_s = {name: self.heard_s.get(name, now_s) for name in sessions}
        self.heard_s = heard_s
        deadline_s = longest_deadline_ms(self.log.state) / MS
        silence_s = SESSION_LEASE_S + deadline_s + DRIFT_MARGIN_S
        for name, session in sessions.items():
            if now_s - heard_s[name] > silence_s:
                self.closing.add(name)
                logger.warning("session silent", extra={"session": name})
                await self.log.propose(CloseSession(session.daemon, name))
