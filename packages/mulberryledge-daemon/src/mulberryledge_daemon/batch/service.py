"""
mulberryledge_daemon.batch.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's service for callers: accepts, refuses, cancels and looks up jobs.
"""

import logging
import re
from collections import OrderedDict, deque
from collections.abc import Callable

from result import Ok, Result
from twisted.internet.defer import Deferred

from mulberryledge_core.batch.admission import (
    MAX_OPEN_TASKS,
    MAX_RETRY_MS,
    HostCapacity,
    retry_after_ms,
    unschedulable_reason,
)
from mulberryledge_core.batch.commands import CancelJob, EndRun, RunEnd, SubmitJob
from mulberryledge_core.batch.configuration import Queue
from mulberryledge_core.batch.requests import (
    CallReply,
    CancelAsk,
    JobStateAsk,
    QueueAsk,
    SubmitAsk,
    Verdict,
)
from mulberryledge_core.batch.specs import spec_problem
from mulberryledge_core.outcomes import Refusal
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.scheduling_cycles import CommitOutcome

__all__ = ["JobService"]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
ELECTION_RETRY_MS = 1_000  # about the duration of an election
COUNT_INTERVAL_MS = 500  # between two counts of the open tasks
END_RATE_WINDOW_MS = 5_000
MAX_CONFIRMED = 5_000  # more than are accepted while a caller waits

logger = logging.getLogger(__name__)


class JobService:
    """
    Answers callers from the durable state, while this daemon leads.

    Parameters
    ----------
    places : callable
        Returns what each host offers; empty if the hosts are not known.

    Attributes
    ----------
    open_tasks : int
        Unfinished tasks by the last count, plus those accepted since.
    submissions : dict of str to list of Deferred
        By job whose acceptance is not durable yet: further submissions of it.
    under_way : dict of str to list of Deferred
        By identifier of a request that is being answered: further sends of it.
    confirmed : OrderedDict of str to CallReply
        Latest requests that took effect, and the replies to them.
    recent_ends : deque of (int, int)
        Times at which runs were done, and how many.
    """

    def __init__(self, scheduler: Scheduler, places: Callable[[], list[HostCapacity]]):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.places = places
        self.open_tasks = 0
        self.last_count_ms = 0
        self.recent_ends: deque[tuple[int, int]] = deque()
        self.submissions: dict[str, list[Deferred]] = {}
        self.under_way: dict[str, list[Deferred]] = {}
        self.confirmed: OrderedDict[str, CallReply] = OrderedDict()
        scheduler.tick_callbacks.append(self.count_open)
        scheduler.commit_callbacks.append(self.count_ends)
        self.handlers: dict[type, Callable] = {
            SubmitAsk: self.submit,
            JobStateAsk: self.job_state,
            CancelAsk: self.cancel,
            QueueAsk: self.waiting,
        }

    def serve(self, register: Callable[[type, Callable], None]) -> None:
        """Register the handlers for requests from gateways."""
        for kind in self.handlers:
            register(kind, self.answer)

    async def answer(self, ask: object) -> Result[CallReply, Refusal]:
        """
        Answer a request; a further send of one that took effect gets the same reply.

        The key or the queue may have been withdrawn between two sends, which doesn't
        undo the first one.
        """
        request_id = ask.request_id if isinstance(ask, SubmitAsk | CancelAsk) else ""
        if not request_id:
            return Ok(await self.decide(ask))
        if request_id in self.under_way:
            further = Deferred()
            self.under_way[request_id].append(further)
            return Ok(await further)
        if request_id in self.confirmed:
            logger.info("reply repeated", extra={"path": ask.path})
            return Ok(self.confirmed[request_id])
        self.under_way[request_id] = []
        reply = CallReply(Verdict.UNKNOWN, reason="the leader failed to answer")
        try:
            reply = await self.decide(ask)
        finally:
            for further in self.under_way.pop(request_id):
                further.callback(reply)
        if reply.verdict == Verdict.OK:
            self.confirmed[request_id] = reply
            if len(self.confirmed) > MAX_CONFIRMED:
                self.confirmed.popitem(last=False)
        return Ok(reply)

    async def decide(self, ask: object) -> CallReply:
        """Authenticate and dispatch a request."""
        if not self.scheduler.may_order():
            return unavailable("this daemon does not lead")
        if not self.state.configuration.version:
            return unavailable("no configuration yet")
        queue = self.state.configuration.find_queue(ask.host, ask.path)
        if queue is None:
            return CallReply(Verdict.NO_QUEUE)
        team = self.state.configuration.team_of_key(ask.key)
        if team is None and not queue.public:
            return CallReply(Verdict.BAD_KEY)
        job_id = ask.path[len(queue.path_prefix) :]
        return await self.handlers[type(ask)](ask, queue, team or "", job_id)

    async def submit(
        self, ask: SubmitAsk, queue: Queue, team: str, job_id: str
    ) -> CallReply:
        """Accept a job, durably."""
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return CallReply(Verdict.NO_QUEUE, reason="no job identifier")
        if job_id in self.state.jobs:
            return CallReply(Verdict.OK, reason="job already accepted")
        if job_id in self.submissions:
            earlier = Deferred()
            self.submissions[job_id].append(earlier)
            return await earlier  # a refusal now would deny what may be accepted
        refusal = self.refusal(ask, team)
        if refusal is not None:
            return refusal
        owner = "" if queue.public else team
        change = SubmitJob(job_id, queue.name, owner, ask.spec)
        self.submissions[job_id] = []
        committed = CommitOutcome.UNKNOWN
        try:
            committed = await self.scheduler.cycles.submit(change)
        finally:
            for later in self.submissions.pop(job_id):
                later.callback(reply_for(committed))
        extra = {"job": job_id, "queue": queue.name, "team": team}
        extra |= {"steps": len(ask.spec.steps), "committed": committed}
        extra |= {"version": self.state.configuration.version}
        logger.info("job submitted", extra=extra | {"term": self.scheduler.term})
        return reply_for(committed)

    def refusal(self, ask: SubmitAsk, team: str) -> CallReply | None:
        """Return the refusal of a job, None if it is accepted."""
        problem = spec_problem(ask.spec)
        if problem is not None:
            return CallReply(Verdict.INVALID, reason=problem)
        config = self.state.configuration.teams_by_name.get(team)
        problem = unschedulable_reason(ask.spec, self.places(), config)
        if problem is not None:
            return CallReply(
                Verdict.REFUSED, retry_after_ms=MAX_RETRY_MS, reason=problem
            )
        excess = self.open_tasks - MAX_OPEN_TASKS
        if excess <= 0:
            self.open_tasks += sum(step.count for step in ask.spec.steps)
            return None
        ends = sum(count for _, count in self.recent_ends)
        after_ms = retry_after_ms(
            excess, 1_000 * ends / END_RATE_WINDOW_MS, self.scheduler.random
        )
        return CallReply(
            Verdict.REFUSED,
            retry_after_ms=after_ms,
            reason=f"{self.open_tasks} tasks are open",
        )

    def count_open(self) -> None:
        """Count the unfinished tasks at intervals."""
        now = self.scheduler.now()
        while self.recent_ends and self.recent_ends[0][0] < now - END_RATE_WINDOW_MS:
            self.recent_ends.popleft()
        if now - self.last_count_ms < COUNT_INTERVAL_MS:
            return
        self.last_count_ms = now
        self.open_tasks = sum(
            step.remaining
            for steps in self.state.open_steps.values()
            for step in steps.values()
        )

    def count_ends(self, changes: tuple[object, ...]) -> None:
        """Record how many runs a change set has completed."""
        done = sum(
            isinstance(change, EndRun) and change.how == RunEnd.DONE
            for change in changes
        )
        if done:
            self.recent_ends.append((self.scheduler.now(), done))

    async def job_state(
        self, ask: JobStateAsk, queue: Queue, team: str, job_id: str
    ) -> CallReply:
        """Return the phase of a job."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return CallReply(Verdict.NO_JOB)
        return CallReply(Verdict.OK, phase=job.phase)

    async def cancel(
        self, ask: CancelAsk, queue: Queue, team: str, job_id: str
    ) -> CallReply:
        """Cancel a job, durably."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return CallReply(Verdict.NO_JOB)
        if job.ended:
            return CallReply(Verdict.OK, phase=job.phase)
        committed = await self.scheduler.cycles.submit(CancelJob(job_id))
        logger.info("job cancelled", extra={"job": job_id, "committed": committed})
        return reply_for(committed)

    async def waiting(
        self, ask: QueueAsk, queue: Queue, team: str, job_id: str
    ) -> CallReply:
        """Return how many jobs of a queue wait."""
        if job_id:
            return CallReply(Verdict.NO_QUEUE)
        return CallReply(Verdict.OK, waiting=self.state.waiting[queue.name])


def unavailable(reason: str) -> CallReply:
    """Return the answer to a request that had no effect and may be retried."""
    return CallReply(
        Verdict.UNAVAILABLE, retry_after_ms=ELECTION_RETRY_MS, reason=reason
    )


def reply_for(committed: CommitOutcome) -> CallReply:
    """Return the answer for the outcome of a change."""
    if committed == CommitOutcome.YES:
        return CallReply(Verdict.OK)
    if committed == CommitOutcome.NO:
        return unavailable("leadership was lost")
    return CallReply(Verdict.UNKNOWN, reason="leadership was lost")
