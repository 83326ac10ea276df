"""
mulberryledge_core.consensus.proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Deduplication of proposals: records which are applied, so that a resend is ignored.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Origin

__all__ = ["AppliedProposals", "ProposerRecord"]

SESSION_IDLE_MS = 3_600_000
MAX_SESSIONS = 4_096


@dataclass(frozen=True, slots=True)
class ProposerRecord:
    """
    Applied proposals of one session.

    Attributes
    ----------
    floor : int
        Sequence below which every proposal counts as applied.
    applied : tuple of int
        Applied sequences from the floor on, in order.
    at_ms : int
        Log time of the latest proposal, in milliseconds.
    """

    session: str
    floor: int
    applied: tuple[int, ...]
    at_ms: int


@dataclass(slots=True)
class SessionProposals:
    """Mutable form of :class:`ProposerRecord`."""

    floor: int = 0
    applied: set[int] = field(default_factory=set)
    at_ms: int = 0


@dataclass(slots=True)
class AppliedProposals:
    """Applied proposals by session, least recently used first; in every snapshot."""

    sessions: dict[str, SessionProposals] = field(default_factory=dict)

    def is_applied(self, origin: Origin) -> bool:
        """Return whether the proposal has been applied."""
        session = self.sessions.get(origin.session)
        if session is None:
            return False
        return origin.sequence < session.floor or origin.sequence in session.applied

    def mark_applied(self, origin: Origin, at_ms: int) -> bool:
        """Record a proposal as applied; return False if it was already."""
        if not origin.session:
            return True
        if self.is_applied(origin):
            return False
        session = self.sessions.pop(origin.session, None) or SessionProposals()
        self.sessions[origin.session] = session
        if origin.floor > session.floor:
            session.floor = origin.floor
            session.applied = {n for n in session.applied if n >= origin.floor}
        session.applied.add(origin.sequence)
        session.at_ms = at_ms
        self.evict_idle(at_ms)
        return True

    def evict_idle(self, at_ms: int) -> None:
        """Remove sessions that are idle or, oldest first, over the limit."""
        while self.sessions:
            oldest = next(iter(self.sessions))
            idle = at_ms - self.sessions[oldest].at_ms > SESSION_IDLE_MS
            if not idle and len(self.sessions) <= MAX_SESSIONS:
                return
            del self.sessions[oldest]

    def records(self) -> tuple[ProposerRecord, ...]:
        """Return the sessions as frozen data, the least recently used first."""
        return tuple(
            ProposerRecord(
                name, session.floor, tuple(sorted(session.applied)), session.at_ms
            )
            for name, session in self.sessions.items()
        )

    def load(self, records: tuple[ProposerRecord, ...]) -> None:
        """Replace the sessions by those that :meth:`records` returned."""
        self.sessions = {
            record.session: SessionProposals(
                record.floor, set(record.applied), record.at_ms
            )
            for record in records
        }
