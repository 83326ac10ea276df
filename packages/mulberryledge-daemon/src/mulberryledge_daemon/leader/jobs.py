"""
mulberryledge_daemon.leader.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs: handed to waiting targets under leases, requeued or given up.
"""

from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget, DropTarget
from mulberryledge_core.commands.work import EndJob, ExpireJob, StartJob, SubmitJob
from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.messages import NoJob, RenewJob, TakeJob, TakenJob
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import team_headroom, team_permits_in_use
from mulberryledge_daemon.journal import Journal
from mulberryledge_daemon.leader.job_index import JobIndex, RunningEntry, changed_jobs
from mulberryledge_daemon.leader.job_leases import Attempt, JobLeases
from mulberryledge_daemon.leader.matching import Match, Matching
from mulberryledge_daemon.leader.usage import Usage, fleet_capacity
from mulberryledge_daemon.leader.workers import Workers
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["Jobs"]

MAX_STARTS_AT_ONCE = 64
MAX_TAKERS_WEIGHED = 32
MAX_OFFERED = 32
REVIEW_INTERVAL_S = 1.0
COUNT_INTERVAL_S = 10.0
ROOM_CHANGED = (EndJob, ExpireJob, AddHost, AnnounceTarget, DropTarget)


@dataclass(frozen=True, slots=True)
class Taker:
    """A target that waits for a job."""

    request: TakeJob
    done: Deferred


class Jobs:
    """
    Owns the waiting targets and the index of jobs.

    Attributes
    ----------
    takers : dict
        Waiting takes of each queue by target, the longest waiting first.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        journal: Journal,
        usage: Usage,
    ):
        self.clock = clock
        self.log = log
        self.journal = journal
        self.usage = usage
        self.workers = Workers(self.note)
        self.matching = Matching(clock, log, usage, self.workers, self.note)
        self.leases = JobLeases(clock, log)
        self.takers: dict[str, OrderedDict[str, Taker]] = defaultdict(OrderedDict)
        self.index: JobIndex | None = None
        self.round_due = False
        self.due: set[str] = set()
        self.room_changed = False
        self.reviewed_s = 0.0
        self.counted_s = 0.0
        channel.serve(TakeJob, self.on_take)
        channel.serve(RenewJob, self.leases.on_renew)
        log.watch(self.on_applied)

    def note(self, kind: DecisionKind, subject: str, cause: str) -> None:
        """Keep a decision with its cause."""
        self.journal.note(Decision(self.log.time_ms(), kind, subject, cause))

    def current(self) -> JobIndex:
        """Return the index, built anew for a new leader or a restored state."""
        if self.index is None or self.index.state is not self.log.state:
            self.index = JobIndex(self.log.state)
            self.leases.reset(self.index)
            self.reviewed_s = self.counted_s = 0.0
            capacity = fleet_capacity(self.log.state)
            self.matching.uses.reset(capacity)
            self.matching.uses.charge_again(self.index, capacity)
            self.usage.refresh()
        return self.index

    def step_down(self) -> None:
        """Forget what only a leader may know, and refuse those who wait."""
        self.index = None
        refusal = Refusal(Code.NO_LEADER, "this daemon does not lead any more")
        for queue in self.takers.values():
            for taker in list(queue.values()):
                self.answer(taker, Err(refusal))

    async def on_take(self, request: TakeJob) -> Result[object, Refusal]:
        """Wait for a job of the queue."""
        queue = self.takers[request.service]
        earlier = queue.get(request.target)
        if earlier is not None:
            text = f"target {request.target!r} asked again"
            self.answer(earlier, Err(Refusal(Code.CONFLICT, text)))
        taker = Taker(request, Deferred())
        queue[request.target] = taker
        timer = self.clock.callLater(
            request.wait_ms / 1_000, self.answer, taker, Ok(NoJob())
        )
        self.match_soon(request.service)
        try:
            return await taker.done
        finally:
            self.forget(taker)
            if timer.active():
                timer.cancel()

    def waits(self, taker: Taker) -> bool:
        """Return whether the taker still waits."""
        request = taker.request
        return self.takers[request.service].get(request.target) is taker

    def forget(self, taker: Taker) -> None:
        """Take a taker off the list."""
        if self.waits(taker):
            del self.takers[taker.request.service][taker.request.target]

    def answer(self, taker: Taker, outcome: Result[object, Refusal]) -> None:
        """Answer a taker that still waits."""
        if self.waits(taker):
            self.forget(taker)
            taker.done.callback(outcome)

    def on_applied(self, event: AppliedEvent) -> None:
        """Bring the index up to date after each applied command."""
        if not self.log.is_leader():
            self.index = None
            return
        if self.index is None:
            return
        index = self.current()
        command = event.command
        for job_id in changed_jobs(command):
            before = index.running.get(job_id)
            ended = index.refresh(job_id)
            job = index.state.jobs.get(job_id)
            if ended is not None and isinstance(event.outcome, Ok):
                self.on_ended(ended, command)
            if job is not None and job.phase == JobPhase.RUNNING and before is None:
                self.matching.uses.charge(job, 1)
                self.leases.begin(Attempt(job_id, job.attempt))
            if job is not None and job.cancel_requested:
                self.leases.wake(Attempt(job_id, job.attempt))
        if isinstance(command, SubmitJob) and command.urgent:
            self.matching.paces.observe_urgent(command.service)
        self.room_changed |= isinstance(command, ROOM_CHANGED)
        if isinstance(command, AddHost | AnnounceTarget | DropTarget):
            self.usage.refresh()
            index.offer_refused()
        # A refused command changed nothing: to match on it would propose it again.
        if isinstance(event.outcome, Ok):
            self.match_soon(self.queue_changed(command))

    def queue_changed(self, command: object) -> str | None:
        """Return the one queue whose matches a command may change; None for all."""
        job_ids = changed_jobs(command)
        job = self.log.state.jobs.get(job_ids[0]) if len(job_ids) == 1 else None
        if job is None or team_headroom(self.log.state, job.team) <= 1:
            return None
        return job.service

    def on_ended(self, entry: RunningEntry, command: object) -> None:
        """Learn from how an attempt ended."""
        now_s = self.clock.seconds()
        job = self.log.state.jobs[entry.job_id]
        self.matching.uses.charge(job, -1)
        self.leases.forget(Attempt(entry.job_id, entry.attempt))
        failed = worker_failed(self.log.state, entry, command)
        if failed is None:
            self.workers.withdrawn(entry.target, entry.job_id)
            return
        self.workers.ended(entry.target, entry.job_id, failed, now_s)
        if not failed:
            run_s = (job.ended_ms - job.started_ms) / 1_000
            self.matching.paces.observe_run(entry.service, run_s)

    def match_soon(self, service: str | None = None) -> None:
        """Start a matching round of one queue, or of all, unless one is due."""
        queues = (service,) if service is not None else tuple(self.takers)
        self.due.update(name for name in queues if self.takers.get(name))
        if self.due and not self.round_due:
            self.round_due = True
            self.clock.callLater(0, lambda: ensureDeferred(self.match()))

    async def match(self) -> None:
        """Choose jobs for the waiting targets and lease them through the log."""
        self.round_due = False
        due, self.due = self.due, set()
        if not self.log.is_leader():
            self.step_down()
            return
        index = self.current()
        self.matching.begin_round(due)
        starts = []
        for service in sorted(due):
            queue = self.takers[service]
            while queue and len(starts) < MAX_STARTS_AT_ONCE:
                match = self.choose(index, service, queue)
                if match is None:
                    break
                self.matching.begin_start(match)
                starts.append(ensureDeferred(self.start(queue[match.target], match)))
        await gatherResults(starts)
        if len(starts) >= MAX_STARTS_AT_ONCE:
            self.match_soon()

    def choose(
        self, index: JobIndex, service: str, queue: OrderedDict[str, Taker]
    ) -> Match | None:
        """Return the next match for the targets that are not being given a job."""
        given = {match.target for match in self.matching.starting.values()}
        idle = [name for name in queue if name not in given]
        if not idle or service not in index.queues.team_queues:
            return None
        return self.matching.choose(index, service, idle[:MAX_TAKERS_WEIGHED])

    async def start(self, taker: Taker, match: Match) -> None:
        """Lease one job to one target through the log, and hand it over."""
        request = taker.request
        command = StartJob(
            match.job_id, request.target, request.generation, request.key
        )
        try:
            outcome = await self.log.propose(command)
        finally:
            self.matching.end_start(match)
        if isinstance(outcome, Err):
            self.matching.refused(match, outcome.err_value.message)
            self.on_refused(taker, outcome)
            return
        job = self.log.state.jobs[match.job_id]
        if not self.waits(taker):
            back = EndJob(job.job_id, job.attempt, JobPhase.QUEUED, not_run=True)
            await self.log.propose(back)
            return
        self.leases.begin(Attempt(job.job_id, job.attempt))
        self.workers.started(request.target, job.job_id)
        taken = TakenJob(
            job.job_id, job.attempt, job.lease_ms, job.body, job.checkpoint
        )
        self.answer(taker, Ok(taken))

    def on_refused(self, taker: Taker, outcome: Err) -> None:
        """Answer a taker whose start was refused for a reason of its own."""
        code = outcome.err_value.code
        if code not in (Code.LIMIT, Code.CONFLICT):
            self.answer(taker, outcome)

    def order(self, attempt: Attempt, order: Order) -> None:
        """Ask the target of a running job to make room."""
        self.leases.give_order(attempt, order)

    async def tick(self) -> None:
        """End attempts that have stopped by now, and review the workers."""
        index = self.current()
        for command in list(self.leases.expired(index)):
            await self.log.propose(command)
        if self.room_changed and index.aside:
            self.room_changed = False
            index.offer_again(MAX_OFFERED)
            self.match_soon()
        now_s = self.clock.seconds()
        if now_s - self.reviewed_s < REVIEW_INTERVAL_S:
            return
        self.reviewed_s = now_s
        self.usage.refresh()
        self.workers.review(self.log.state, now_s)
        if now_s - self.counted_s >= COUNT_INTERVAL_S:
            self.counted_s = now_s
            self.workers.review_due = True
            self.matching.uses.charge_again(index, fleet_capacity(index.state))
        self.matching.uses.charge_calls(self.calls(index))
        self.room_changed = True
        self.match_soon()

    def calls(self, index: JobIndex) -> Counter[str]:
        """Return the permits for calls on loan, by team."""
        return Counter(
            {
                team: team_permits_in_use(index.state, team) - index.team_jobs[team]
                for team in index.state.teams
            }
        )


def worker_failed(
    state: ClusterState, entry: RunningEntry, command: object
) -> bool | None:
    """
    Return whether the end of an attempt speaks against its worker.

    None if it says nothing: the job was handed back or cancelled, or the whole
    target was lost.
    """
    if isinstance(command, ExpireJob):
        return True if state.target_accepts_work(entry.target) else None
    if isinstance(command, EndJob) and command.phase in (
        JobPhase.DONE,
        JobPhase.FAILED,
    ):
        return command.phase == JobPhase.FAILED
    return None
