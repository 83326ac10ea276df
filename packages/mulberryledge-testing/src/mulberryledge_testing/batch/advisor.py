"""
mulberryledge_testing.batch.advisor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The service that decides which targets may run the steps of some queues.
"""

from random import Random

from twisted.internet.task import deferLater

from mulberryledge_core.batch.configuration import AdviceCost
from mulberryledge_core.batch.specs import StepId
from mulberryledge_daemon.batch.ports import StartOrder, TicketGrant

__all__ = ["SimulatedAdvisor"]

GRANT_SHARE = 0.6
MOST_DENIED = 3  # targets, if none was granted yet


class SimulatedAdvisor:
    """
    Implements the port Advisor.

    Attributes
    ----------
    needed : callable
        Tells whether the tasks of a job need a ticket.
    questions : list of int
        How many targets each question named.
    """

    def __init__(self, clock, random: Random, needed):
        self.clock = clock
        self.random = random
        self.needed = needed
        self.verdicts: dict[StepId, dict[str, bool]] = {}
        self.tickets: dict[tuple[StepId, str, str], float] = {}
        self.questions: list[int] = []
        self.silent = False

    def permits(self, step: StepId, target: str) -> bool:
        """Return whether a step may run on a target; that never changes."""
        verdicts = self.verdicts.setdefault(step, {})
        if target not in verdicts:
            last_hope = len(verdicts) >= MOST_DENIED and not any(verdicts.values())
            verdicts[target] = last_hope or self.random.random() < GRANT_SHARE
        return verdicts[target]

    async def advise(
        self, step: StepId, targets: tuple[str, ...], cost: AdviceCost
    ) -> tuple[TicketGrant, ...] | None:
        """Answer after a while that grows with the question."""
        self.questions.append(len(targets))
        delay_ms = cost.decision_ms + cost.per_target_ms * len(targets)
        await deferLater(self.clock, delay_ms / 1_000)
        if self.silent:
            return None
        grants = []
        for target in targets:
            if self.permits(step, target):
                text = f"t-{self.random.getrandbits(32):08x}"
                until_s = self.clock.seconds() + cost.validity_ms / 1_000
                self.tickets[step, target, text] = until_s
                grants.append(TicketGrant(target, text))
        return tuple(grants)

    def valid(self, life, order: StartOrder) -> bool:
        """Return whether a start may be carried out on a target."""
        if not self.needed(order.task.job_id):
            return True
        key = (order.task.step_id, life.target.name, order.ticket)
        return self.clock.seconds() < self.tickets.get(key, -1.0)
