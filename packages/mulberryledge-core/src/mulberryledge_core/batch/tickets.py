"""
mulberryledge_core.batch.tickets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which targets may run the steps of queues with a placement policy, as far as the
advisor has told. An answer never changes for a life of a target, but a ticket expires.

The load it answers: the advisor takes one question at a time, and each named target
adds to the time of its answer. So only targets with room are named, and only those
whose answer isn't known.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from mulberryledge_core.batch.specs import StepId

__all__ = ["MOST_ASKED", "Ticket", "Tickets"]

MOST_ASKED = 30  # targets in one question; an objective allows for so many
VALID_SHARE = 0.8  # of a ticket's time; the start has yet to arrive


@dataclass(frozen=True, slots=True)
class Ticket:
    """
    What the advisor said of a step on one life of a target.

    Attributes
    ----------
    text : str
        Shown with a start; empty if the step may not run there.
    until_ms : int
        When the ticket expires; a refusal does not.
    """

    text: str
    until_ms: int


@dataclass(slots=True)
class Tickets:
    """Owns the answers of the advisor."""

    known: dict[StepId, dict[str, Ticket]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def text(self, step_id: StepId, life: str, now_ms: int) -> str:
        """Return the ticket that is valid now, empty for none."""
        found = self.known.get(step_id, {}).get(life)
        if found is None or now_ms >= found.until_ms:
            return ""
        return found.text

    def unknown(
        self, step_id: StepId, lives: Sequence[str], now_ms: int
    ) -> tuple[str, ...]:
        """Return the lives to ask about, in the order given."""
        answers = self.known.get(step_id, {})
        found = []
        for life in lives:
            answer = answers.get(life)
            if answer is None or (answer.text and now_ms >= answer.until_ms):
                found.append(life)
        return tuple(found[:MOST_ASKED])

    def note(
        self,
        step_id: StepId,
        asked: Sequence[str],
        granted: dict[str, str],
        until_ms: int,
    ) -> None:
        """Take an answer: the tickets granted by life; the others may not run it."""
        for life in asked:
            self.known[step_id][life] = Ticket(granted.get(life, ""), until_ms)

    def drop(self, step_id: StepId, life: str) -> None:
        """Forget a ticket that was refused."""
        self.known.get(step_id, {}).pop(life, None)

    def keep_only(self, job_ids: set[str]) -> None:
        """Forget the steps of jobs that have ended."""
        for step_id in [one for one in self.known if one.job_id not in job_ids]:
            del self.known[step_id]
