"""
mulberryledge_daemon.entry.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The daemon's session, which holds the entry's loans, and its lease.
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
    The identifier of the daemon's session and the end of its lease.

    The leader closes a session that was not renewed for the lease plus the longest
    deadline, so an entry whose lease has expired uses none of its loans. The lease
    starts when the renewal was requested.

    Attributes
    ----------
    name : str
        Identifier of the session.
    lease_end_s : float
        End of the lease, on the reactor's clock.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        daemon: str,
        incarnation: str,
    ):
        self.clock = clock
        self.log = log
        self.daemon = daemon
        self.incarnation = incarnation
        self.name = incarnation
        self.reopen_count = 0
        self.closed = False
        self.lease_end_s = 0.0

    def is_valid(self) -> bool:
        """Return whether the session is open and its lease has not expired."""
        return (
            self.clock.seconds() < self.lease_end_s
            and self.name in self.log.state.sessions
        )

    def extend_lease(self, requested_s: float) -> None:
        """Extend the lease from the time at which a renewal was requested."""
        self.lease_end_s = max(self.lease_end_s, requested_s + SESSION_LEASE_S)

    async def ensure_open(self) -> bool:
        """Open a session if there is none; it is reopened under a new name."""
        if self.closed:
            return False
        if self.name in self.log.state.sessions:
            return True
        if self.lease_end_s:
            logger.warning("session closed", extra={"session": self.name})
            self.reopen_count += 1
            self.name = f"{self.incarnation}.{self.reopen_count}"
            self.lease_end_s = 0.0
        requested_s = self.clock.seconds()
        outcome = await self.log.propose(OpenSession(self.daemon, self.name))
        if not isinstance(outcome, Ok):
            return False
        self.extend_lease(requested_s)
        return True

    async def close(self) -> None:
        """Close the session for good; its loans may not be used any more."""
        self.closed = True
        self.lease_end_s = 0.0
        await self.log.propose(CloseSession(self.daemon, self.name))
