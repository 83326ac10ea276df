"""
mulberryledge_core.consensus.proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which proposals have been applied, so that a resend is never applied twice.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Origin

__all__ = ["AppliedProposals", "ProposerRecord"]

FORGET_AFTER_MS = 3_600_000
MAX_SESSIONS = 4_096


@dataclass(frozen=True, slots=True)
class ProposerRecord:
    """
    What has been applied of one session's proposals.

    Attributes
    ----------
    floor : int
        Sequence below which everything counts as applied.
    applied : tuple of int
        Applied sequences from the floor on.
    at_ms : int
        Log time of the latest.
    """

    session: str
    floor: int
    applied: tuple[int, ...]
    at_ms: int


@dataclass(slots=True)
class Proposer:
    """Working form of :class:`ProposerRecord`."""

    floor: int = 0
    applied: set[int] = field(default_factory=set)
    at_ms: int = 0


@dataclass(slots=True)
class AppliedProposals:
    """The applied proposals of each session; part of every snapshot."""

    sessions: dict[str, Proposer] = field(default_factory=dict)

    def seen(self, origin: Origin) -> bool:
        """Return whether the proposal has been applied."""
        proposer = self.sessions.get(origin.session)
        if proposer is None:
            return False
        return origin.sequence < proposer.floor or origin.sequence in proposer.applied

    def admit(self, origin: Origin, at_ms: int) -> bool:
        """Return whether the proposal is to be applied, and remember it."""
        if not origin.session:
            return True
        if self.seen(origin):
            return False
        proposer = self.sessions.pop(origin.session, None) or Proposer()
        self.sessions[origin.session] = proposer
        if origin.floor > proposer.floor:
            proposer.floor = origin.floor
            proposer.applied = {n for n in proposer.applied if n >= origin.floor}
        proposer.applied.add(origin.sequence)
        proposer.at_ms = at_ms
        self.forget(at_ms)
        return True

    def forget(self, at_ms: int) -> None:
        """Drop the sessions that have proposed nothing for long."""
        while self.sessions:
            oldest = next(iter(self.sessions))
            idle = at_ms - self.sessions[oldest].at_ms > FORGET_AFTER_MS
            if not idle and len(self.sessions) <= MAX_SESSIONS:
                return
            del self.sessions[oldest]

    def records(self) -> tuple[ProposerRecord, ...]:
        """Return everything as frozen data, in order of last use."""
        return tuple(
            ProposerRecord(name, one.floor, tuple(sorted(one.applied)), one.at_ms)
            for name, one in self.sessions.items()
        )

    def load(self, records: tuple[ProposerRecord, ...]) -> None:
        """Take over what :meth:`records` returned."""
        self.sessions = {
            one.session: Proposer(one.floor, set(one.applied), one.at_ms)
            for one in records
        }
