"""
mulberryledge_daemon.decision_journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A bounded journal of recent decisions. A repeated decision is stored once, with the
time of its last occurrence.
"""

from collections import OrderedDict

from mulberryledge_core.model.decisions import Decision

__all__ = ["DecisionJournal"]

MAX_DECISIONS = 2_000


class DecisionJournal:
    """The most recent decisions of this daemon."""

    def __init__(self, limit: int = MAX_DECISIONS):
        self.limit = limit
        self.decisions: OrderedDict[tuple[str, str, str], Decision] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Record a decision; evicts the oldest one when the journal is full."""
        key = (decision.kind, decision.subject, decision.cause)
        self.decisions[key] = decision
        self.decisions.move_to_end(key)
        if len(self.decisions) > self.limit:
            self.decisions.popitem(last=False)

    def decisions_on(self, subject: str) -> tuple[Decision, ...]:
        """Return decisions on a subject, newest first; an empty subject selects all."""
        newest_first = reversed(self.decisions.values())
        return tuple(one for one in newest_first if subject in ("", one.subject))
