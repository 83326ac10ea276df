"""
mulberryledge_daemon.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A bounded journal of decisions; a repeated decision is kept once, with its last time.
"""

from collections import OrderedDict

from mulberryledge_core.model.decisions import Decision

__all__ = ["Journal"]

MAX_DECISIONS = 2_000


class Journal:
    """Owns the decisions that this daemon took most recently."""

    def __init__(self, limit: int = MAX_DECISIONS):
        self.limit = limit
        self.decisions: OrderedDict[tuple[str, str, str], Decision] = OrderedDict()

    def note(self, decision: Decision) -> None:
        """Keep a decision; the oldest one makes room."""
        key = (decision.kind, decision.subject, decision.cause)
        self.decisions[key] = decision
        self.decisions.move_to_end(key)
        if len(self.decisions) > self.limit:
            self.decisions.popitem(last=False)

    def about(self, subject: str) -> tuple[Decision, ...]:
        """Return the decisions on a subject, newest first; all if it is empty."""
        newest = reversed(self.decisions.values())
        return tuple(one for one in newest if subject in ("", one.subject))
