"""
mulberryledge_testing.batch.advisor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated placement advisor: decides which targets may run the steps of some queues.
"""

from random import Random

from twisted.internet.task import deferLater

from mulberryledge_core.batch.configuration import AdviceCost
from mulberryledge_core.batch.specs import StepId
from mulberryledge_daemon.batch.ports import StartOrder, TicketGrant

__all__ = ["SimulatedAdvisor"]

GRANT_SHARE = 0.6
MAX_INITIAL_DENIALS = 3  # targets refused before the first grant of a step


class SimulatedAdvisor:
    """
    Implements the port Advisor.

    Attributes
    ----------
    needed : callable
        Returns whether the tasks of a job need a ticket.
    questions : list of int
        Number of targets in each request.
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
        """Return whether a step may run on a target; the verdict is permanent."""
        verdicts = self.verdicts.setdefault(step, {})
        if target not in verdicts:
            must_grant = len(verdicts) >= MAX_INITIAL_DENIALS and not any(
                verdicts.values()
            )
            verdicts[target] = must_grant or self.random.random() < GRANT_SHARE
        return verdicts[target]

    async def advise(
        self, step: StepId, targets: tuple[str, ...], cost: AdviceCost
    ) -> tuple[TicketGrant, ...] | None:
        """Return tickets after a delay that grows with the number of targets."""
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

    def valid(self, incarnation, order: StartOrder) -> bool:
        """Return whether a start order has the valid ticket that its job needs."""
        if not self.needed(order.task.job_id):
            return True
        key = (order.task.step_id, incarnation.target.name, order.ticket)
        return self.clock.seconds() < self.tickets.get(key, -1.0)
