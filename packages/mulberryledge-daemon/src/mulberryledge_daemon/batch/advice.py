"""
mulberryledge_daemon.batch.advice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that asks the placement advisor, one question at a time, about the
step that is the most urgent among those that wait for a ticket.
"""

import logging
from collections import Counter

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.placing import (
    PlacingView,
    permitted_rooms,
    ready_steps,
    rooms_with_space,
)
from mulberryledge_core.batch.specs import StepId
from mulberryledge_core.batch.tickets import VALID_SHARE, Tickets
from mulberryledge_daemon.batch.ports import Advisor
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["Questions"]

RETRY_S = 0.25  # after a question without an answer
MORE_HOSTS = 2  # asked for at once when no host of a pool may run a step
KEEP_INTERVAL_MS = 5_000  # between two looks for jobs that have ended

logger = logging.getLogger(__name__)


class Questions:
    """
    Owns the questions to the advisor while this daemon leads.

    Attributes
    ----------
    asking : bool
        Whether a question is under way, or a retry is due later.
    """

    def __init__(self, scheduler: Scheduler, advisor: Advisor):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.advisor = advisor
        self.asking = False
        self.kept_ms = 0
        scheduler.beginnings.append(self.begin)
        scheduler.followers.append(self.tick)
        scheduler.wishes.append(self.lacking)
        scheduler.watchers.append(lambda changes: self.tick())

    def begin(self) -> None:
        """Ask anew: an earlier lead's question is void, and its tickets may be old."""
        self.asking = False
        self.scheduler.tickets = Tickets()

    def tick(self) -> None:
        """Ask about the first step that waits for an answer."""
        now = self.scheduler.now()
        if now - self.kept_ms > KEEP_INTERVAL_MS:
            self.kept_ms = now
            self.scheduler.tickets.keep_only(
                {job.job_id for job in self.state.jobs.values() if not job.ended}
            )
        if self.asking or not self.any_open():
            return
        question = self.next_question()
        if question is not None:
            self.asking = True
            asked = ensureDeferred(self.ask(*question))
            asked.addErrback(self.broken)

    def any_open(self) -> bool:
        """Return whether a queue with a placement policy has open steps."""
        return any(
            steps and self.state.queue_named(name).advice is not None
            for name, steps in self.state.open_steps.items()
        )

    def next_question(self) -> tuple[StepId, tuple[str, ...]] | None:
        """Return a step and the lives to ask about, None if all is known."""
        view = self.scheduler.view()
        for step_id, step in ready_steps(view):
            job = self.state.jobs[step_id.job_id]
            if self.state.queue_of(job).advice is None:
                continue
            lives = [
                room.target.life for room in rooms_with_space(view, job, step_id, step)
            ]
            now = self.scheduler.now()
            unknown = self.scheduler.tickets.unknown(step_id, lives, now)
            if unknown:
                return step_id, unknown
        return None

    def lacking(self) -> Counter[str]:
        """Return the pools none of whose hosts may run a step that waits."""
        lacking: Counter[str] = Counter()
        if not self.any_open():
            return lacking
        view = self.scheduler.view()
        for step_id, step in ready_steps(view):
            job = self.state.jobs[step_id.job_id]
            queue = self.state.queue_of(job)
            if queue.advice is None or any(task.live for task in step.tasks):
                continue
            if not permitted_rooms(view, job, step_id) and self.all_told(view, step_id):
                lacking[queue.pool] = MORE_HOSTS
        return lacking

    def all_told(self, view: PlacingView, step_id: StepId) -> bool:
        """Return whether the advisor has told of all targets in a step's pool."""
        job = self.state.jobs[step_id.job_id]
        rooms = view.rooms.get(self.state.queue_of(job).pool, ())
        lives = [room.target.life for room in rooms]
        now = self.scheduler.now()
        return not self.scheduler.tickets.unknown(step_id, lives, now)

    async def ask(self, step_id: StepId, lives: tuple[str, ...]) -> None:
        """Ask, and plan with the answer."""
        scheduler = self.scheduler
        term, sent_ms = scheduler.term, scheduler.now()
        cost = self.state.queue_of(self.state.jobs[step_id.job_id]).advice
        names = {self.state.targets[life].name: life for life in lives}
        grants = await self.advisor.advise(step_id, tuple(names), cost)
        if scheduler.term != term:
            return
        if grants is None:
            logger.warning("no advice", extra={"job": step_id.job_id})
            scheduler.after(RETRY_S, self.again)
            return
        granted = {names[one.target]: one.ticket for one in grants}
        until_ms = sent_ms + int(VALID_SHARE * cost.validity_ms)
        scheduler.tickets.note(step_id, lives, granted, until_ms)
        extra = {"job": step_id.job_id, "step": step_id.step, "asked": len(lives)}
        extra |= {"granted": len(granted), "ms": scheduler.now() - sent_ms}
        logger.info("advice", extra=extra)
        scheduler.rounds.wake()
        self.again()

    def again(self) -> None:
        """Go on with the next question."""
        self.asking = False
        self.tick()

    def broken(self, failure) -> None:
        """Log a failure of the program, and go on."""
        self.asking = False
        logger.critical("question failed", extra={"failure": failure.getTraceback()})
