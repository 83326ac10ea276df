"""
mulberryledge_daemon.batch.advice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that requests tickets from the placement advisor, one request at a
time, for the most urgent step that waits for one.
"""

import logging
from collections import Counter

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.placing import (
    PlacingView,
    candidates_with_capacity,
    permitted_candidates,
    pools_with_idle_tasks,
    ready_steps,
)
from mulberryledge_core.batch.specs import StepId
from mulberryledge_core.batch.tickets import USABLE_VALIDITY_SHARE, Tickets
from mulberryledge_daemon.batch.ports import Advisor
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["AdviceRequests"]

RETRY_S = 0.25  # after a request without an answer
EXTRA_HOSTS = 2  # requested when no host of a pool may run a step
PRUNE_INTERVAL_MS = 5_000  # between removals of the tickets of ended jobs

logger = logging.getLogger(__name__)


class AdviceRequests:
    """
    Owns the requests to the advisor while this daemon leads.

    Attributes
    ----------
    asking : bool
        Whether a request is in progress, or a retry pending.
    """

    def __init__(self, scheduler: Scheduler, advisor: Advisor):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.advisor = advisor
        self.asking = False
        self.last_prune_ms = 0
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.tick_callbacks.append(self.tick)
        scheduler.host_requests.append(self.extra_hosts)
        scheduler.commit_callbacks.append(lambda changes: self.tick())

    def on_takeover(self) -> None:
        """Discard the request and possibly stale tickets of an earlier term."""
        self.asking = False
        self.scheduler.tickets = Tickets()

    def tick(self) -> None:
        """Send a request for the first step that waits for an answer."""
        now = self.scheduler.now()
        if now - self.last_prune_ms > PRUNE_INTERVAL_MS:
            self.last_prune_ms = now
            self.scheduler.tickets.keep_only(
                {job.job_id for job in self.state.jobs.values() if not job.ended}
            )
        if self.asking or not self.any_open():
            return
        request = self.next_request()
        if request is not None:
            self.asking = True
            asked = ensureDeferred(self.ask(*request))
            asked.addErrback(self.on_error)

    def any_open(self) -> bool:
        """Return whether a queue with a placement policy has open steps."""
        return any(
            steps and self.state.queue_named(name).advice is not None
            for name, steps in self.state.open_steps.items()
        )

    def next_request(self) -> tuple[StepId, tuple[str, ...]] | None:
        """Return a step and the incarnations to ask about, None if all is known."""
        view = self.scheduler.view(pools_with_idle_tasks(self.state))
        for step_id, step in ready_steps(view):
            job = self.state.jobs[step_id.job_id]
            if self.state.queue_of(job).advice is None:
                continue
            incarnations = [
                candidate.incarnation
                for candidate in candidates_with_capacity(view, job, step_id, step)
            ]
            now = self.scheduler.now()
            unknown = self.scheduler.tickets.unknown(step_id, incarnations, now)
            if unknown:
                return step_id, unknown
        return None

    def extra_hosts(self) -> Counter[str]:
        """Return extra hosts for pools none of whose hosts may run a waiting step."""
        extra_hosts: Counter[str] = Counter()
        if not self.any_open():
            return extra_hosts
        view = self.scheduler.view(pools_with_idle_tasks(self.state))
        for step_id, step in ready_steps(view):
            job = self.state.jobs[step_id.job_id]
            queue = self.state.queue_of(job)
            if queue.advice is None or any(task.live for task in step.tasks):
                continue
            if not permitted_candidates(view, job, step_id) and self.all_answered(
                view, step_id
            ):
                extra_hosts[queue.pool] = EXTRA_HOSTS
        return extra_hosts

    def all_answered(self, view: PlacingView, step_id: StepId) -> bool:
        """Return whether the advisor has answered for all targets of the pool."""
        job = self.state.jobs[step_id.job_id]
        candidates = view.candidates.get(self.state.queue_of(job).pool, ())
        incarnations = [candidate.incarnation for candidate in candidates]
        now = self.scheduler.now()
        return not self.scheduler.tickets.unknown(step_id, incarnations, now)

    async def ask(self, step_id: StepId, incarnations: tuple[str, ...]) -> None:
        """Send a request, and trigger a cycle that uses the answer."""
        scheduler = self.scheduler
        term, sent_ms = scheduler.term, scheduler.now()
        cost = self.state.queue_of(self.state.jobs[step_id.job_id]).advice
        names = {
            self.state.targets[incarnation].name: incarnation
            for incarnation in incarnations
        }
        grants = await self.advisor.advise(step_id, tuple(names), cost)
        if scheduler.term != term:
            return
        if grants is None:
            logger.warning("no advice", extra={"job": step_id.job_id})
            scheduler.call_later(RETRY_S, self.ask_next)
            return
        granted = {names[one.target]: one.ticket for one in grants}
        expires_ms = sent_ms + int(USABLE_VALIDITY_SHARE * cost.validity_ms)
        scheduler.tickets.record(step_id, incarnations, granted, expires_ms)
        extra = {
            "job": step_id.job_id,
            "step": step_id.step,
            "asked": len(incarnations),
        }
        extra |= {"granted": len(granted), "ms": scheduler.now() - sent_ms}
        logger.info("advice", extra=extra)
        scheduler.cycles.wake()
        self.ask_next()

    def ask_next(self) -> None:
        """Continue with the next request."""
        self.asking = False
        self.tick()

    def on_error(self, failure) -> None:
        """Log an unexpected error, and continue."""
        self.asking = False
        logger.critical("question failed", extra={"failure": failure.getTraceback()})
