"""
mulberryledge_core.batch.tickets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tickets for queues with a placement policy, as answered by the advisor. An answer for an
incarnation of a target never changes, but a ticket expires.

The advisor answers one request at a time, and each target in a request adds to the
response time. Requests therefore contain only targets with free capacity and no known
answer.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from mulberryledge_core.batch.specs import StepId

__all__ = ["MAX_ASKED_TARGETS", "Ticket", "Tickets"]

MAX_ASKED_TARGETS = 30  # per request; keeps the response within an objective
USABLE_VALIDITY_SHARE = (
    0.8  # of a ticket's validity; leaves time for the start to arrive
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """
    The advisor's authorization to run a step on one incarnation of a target.

    Attributes
    ----------
    text : str
        Presented with a start; empty if the advisor refused.
    until_ms : int
        Expiry time of the ticket; a refusal does not expire.
    """

    text: str
    until_ms: int


@dataclass(slots=True)
class Tickets:
    """Owns the answers of the advisor."""

    answers: dict[StepId, dict[str, Ticket]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def text(self, step_id: StepId, incarnation: str, now_ms: int) -> str:
        """Return the ticket that is valid now, empty if there is none."""
        found = self.answers.get(step_id, {}).get(incarnation)
        if found is None or now_ms >= found.until_ms:
            return ""
        return found.text

    def unknown(
        self, step_id: StepId, incarnations: Sequence[str], now_ms: int
    ) -> tuple[str, ...]:
        """Return the incarnations to request tickets for, in the order given."""
        answers = self.answers.get(step_id, {})
        found = []
        for incarnation in incarnations:
            answer = answers.get(incarnation)
            if answer is None or (answer.text and now_ms >= answer.until_ms):
                found.append(incarnation)
        return tuple(found[:MAX_ASKED_TARGETS])

    def record(
        self,
        step_id: StepId,
        asked: Sequence[str],
        granted: dict[str, str],
        until_ms: int,
    ) -> None:
        """Record an answer: requested incarnations without a ticket are refused."""
        for incarnation in asked:
            self.answers[step_id][incarnation] = Ticket(
                granted.get(incarnation, ""), until_ms
            )

    def discard(self, step_id: StepId, incarnation: str) -> None:
        """Discard a ticket that a target rejected."""
        self.answers.get(step_id, {}).pop(incarnation, None)

    def keep_only(self, job_ids: set[str]) -> None:
        """Discard the answers for jobs that have ended."""
        for step_id in [one for one in self.answers if one.job_id not in job_ids]:
            del self.answers[step_id]
