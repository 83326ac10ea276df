"""
mulberryledge_daemon.entry.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This daemon's session, to which capacity is lent, and the lease that keeps it.
"""

import logging

from result import Ok
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import CloseSession, OpenSession
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["SESSION_LEASE_S", "EntrySession"]

SESSION_LEASE_S = 6.0

logger = logging.getLogger(__name__)


class EntrySession:
    """
    Owns the identifier of the daemon's session and the end of its lease.

    The leader closes a session that it has not heard of for the lease and the
    longest deadline, so an entry without a lease uses none of its loans. The
    lease counts from the moment at which the renewal was asked for.

    Attributes
    ----------
    name : str
        Identifier of the session.
    until_s : float
        End of the lease in seconds of the clock.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        daemon: str,
        life: str,
    ):
        self.clock = clock
        self.log = log
        self.daemon = daemon
        self.life = life
        self.name = life
        self.reopened = 0
        self.ended = False
        self.until_s = 0.0

    def holds(self) -> bool:
        """Return whether the session is open and its lease holds."""
        return (
            self.clock.seconds() < self.until_s and self.name in self.log.state.sessions
        )

    def renewed(self, asked_s: float) -> None:
        """Extend the lease after a renewal that was asked for at a time."""
        self.until_s = max(self.until_s, asked_s + SESSION_LEASE_S)

    async def ensure_open(self) -> bool:
        """Open a session if there is none; a closed one gets a new name."""
        if self.ended:
            return False
        if self.name in self.log.state.sessions:
            return True
        if self.until_s:
            logger.warning("session closed", extra={"session": self.name})
            self.reopened += 1
            self.name = f"{self.life}.{self.reopened}"
            self.until_s = 0.0
        asked_s = self.clock.seconds()
        outcome = await self.log.propose(OpenSession(self.daemon, self.name))
        if not isinstance(outcome, Ok):
            return False
        self.renewed(asked_s)
        return True

    async def close(self) -> None:
        """Close the session for good: no call uses its loans any more."""
        self.ended = True
        self.until_s = 0.0
        await self.log.propose(CloseSession(self.daemon, self.name))
