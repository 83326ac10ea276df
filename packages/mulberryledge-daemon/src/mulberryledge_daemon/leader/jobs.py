"""
mulberryledge_daemon.leader.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Assigns queued jobs to waiting targets under leases, and ends expired attempts.
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
from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.leader.job_index import (
    JobIndex,
    RunningAttempt,
    changed_job_ids,
)
from mulberryledge_daemon.leader.job_leases import Attempt, JobLeases
from mulberryledge_daemon.leader.job_matching import JobMatching, Match
from mulberryledge_daemon.leader.usage import ResourceUsage, fleet_capacity
from mulberryledge_daemon.leader.worker_health import WorkerHealth
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["JobDispatcher"]

MAX_STARTS_PER_CYCLE = 64
MAX_TARGETS_CONSIDERED = 32
MAX_REQUEUED = 32
REVIEW_INTERVAL_S = 1.0
RECOUNT_INTERVAL_S = 10.0
CAPACITY_CHANGES = (EndJob, ExpireJob, AddHost, AnnounceTarget, DropTarget)


@dataclass(frozen=True, slots=True)
class WaitingTarget:
    """A target that waits for a job."""

    request: TakeJob
    done: Deferred


class JobDispatcher:
    """
    Owns the waiting targets and the index of jobs.

    Attributes
    ----------
    waiting_targets : dict
        Waiting targets of each queue by name, the longest waiting first.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        journal: DecisionJournal,
        usage: ResourceUsage,
    ):
        self.clock = clock
        self.log = log
        self.journal = journal
        self.usage = usage
        self.workers = WorkerHealth(self.record_decision)
        self.matching = JobMatching(
            clock, log, usage, self.workers, self.record_decision
        )
        self.leases = JobLeases(clock, log)
        self.waiting_targets: dict[str, OrderedDict[str, WaitingTarget]] = defaultdict(
            OrderedDict
        )
        self.index: JobIndex | None = None
        self.matching_scheduled = False
        self.due_services: set[str] = set()
        self.capacity_changed = False
        self.reviewed_s = 0.0
        self.recounted_s = 0.0
        channel.serve(TakeJob, self.on_take)
        channel.serve(RenewJob, self.leases.on_renew)
        log.watch(self.on_applied)

    def record_decision(self, kind: DecisionKind, subject: str, cause: str) -> None:
        """Record a decision with its cause."""
        self.journal.record(Decision(self.log.time_ms(), kind, subject, cause))

    def current_index(self) -> JobIndex:
        """Return the index, rebuilt after a change of leader or a restored state."""
        if self.index is None or self.index.state is not self.log.state:
            self.index = JobIndex(self.log.state)
            self.leases.reset(self.index)
            self.reviewed_s = self.recounted_s = 0.0
            capacity = fleet_capacity(self.log.state)
            self.matching.team_usages.reset(capacity)
            self.matching.team_usages.recount_jobs(self.index, capacity)
            self.usage.refresh()
        return self.index

    def step_down(self) -> None:
        """Discard the index and refuse the waiting targets."""
        self.index = None
        refusal = Refusal(Code.NO_LEADER, "this daemon no longer leads")
        for queue in self.waiting_targets.values():
            for waiting_target in list(queue.values()):
                self.answer_target(waiting_target, Err(refusal))

    async def on_take(self, request: TakeJob) -> Result[object, Refusal]:
        """Wait for a job of the queue."""
        queue = self.waiting_targets[request.service]
        earlier = queue.get(request.target)
        if earlier is not None:
            text = f"target {request.target!r} sent another request"
            self.answer_target(earlier, Err(Refusal(Code.CONFLICT, text)))
        waiting_target = WaitingTarget(request, Deferred())
        queue[request.target] = waiting_target
        timer = self.clock.callLater(
            request.wait_ms / 1_000, self.answer_target, waiting_target, Ok(NoJob())
        )
        self.schedule_matching(request.service)
        try:
            return await waiting_target.done
        finally:
            self.remove_waiting(waiting_target)
            if timer.active():
                timer.cancel()

    def is_waiting(self, waiting_target: WaitingTarget) -> bool:
        """Return whether the target still waits."""
        request = waiting_target.request
        return (
            self.waiting_targets[request.service].get(request.target) is waiting_target
        )

    def remove_waiting(self, waiting_target: WaitingTarget) -> None:
        """Remove a target from the waiting ones."""
        if self.is_waiting(waiting_target):
            del self.waiting_targets[waiting_target.request.service][
                waiting_target.request.target
            ]

    def answer_target(
        self, waiting_target: WaitingTarget, outcome: Result[object, Refusal]
    ) -> None:
        """Answer a target that still waits."""
        if self.is_waiting(waiting_target):
            self.remove_waiting(waiting_target)
            waiting_target.done.callback(outcome)

    def on_applied(self, event: AppliedEvent) -> None:
        """Update the index after each applied command."""
        if not self.log.is_leader():
            self.index = None
            return
        if self.index is None:
            return
        index = self.current_index()
        command = event.command
        for job_id in changed_job_ids(command):
            before = index.running.get(job_id)
            ended = index.refresh(job_id)
            job = index.state.jobs.get(job_id)
            if ended is not None and isinstance(event.outcome, Ok):
                self.on_ended(ended, command)
            if job is not None and job.phase == JobPhase.RUNNING and before is None:
                self.matching.team_usages.charge(job, 1)
                self.leases.renew(Attempt(job_id, job.attempt))
            if job is not None and job.cancel_requested:
                self.leases.answer_waiting(Attempt(job_id, job.attempt))
        if isinstance(command, SubmitJob) and command.urgent:
            self.matching.queue_monitor.observe_urgent(command.service)
        self.capacity_changed |= isinstance(command, CAPACITY_CHANGES)
        if isinstance(command, AddHost | AnnounceTarget | DropTarget):
            self.usage.refresh()
            index.retry_unplaceable()
        # A refused command changed nothing; matching after it would propose it again.
        if isinstance(event.outcome, Ok):
            self.schedule_matching(self.changed_queue(command))

    def changed_queue(self, command: object) -> str | None:
        """Return the only queue whose matches a command may change; None for all."""
        job_ids = changed_job_ids(command)
        job = self.log.state.jobs.get(job_ids[0]) if len(job_ids) == 1 else None
        if job is None or team_headroom(self.log.state, job.team) <= 1:
            return None
        return job.service

    def on_ended(self, entry: RunningAttempt, command: object) -> None:
        """Update the usage, leases and statistics after the end of an attempt."""
        now_s = self.clock.seconds()
        job = self.log.state.jobs[entry.job_id]
        self.matching.team_usages.charge(job, -1)
        self.leases.remove(Attempt(entry.job_id, entry.attempt))
        failed = worker_failed(self.log.state, entry, command)
        if failed is None:
            self.workers.discard_trial(entry.target, entry.job_id)
            return
        self.workers.record_end(entry.target, entry.job_id, failed, now_s)
        if not failed:
            run_s = (job.ended_ms - job.started_ms) / 1_000
            self.matching.queue_monitor.observe_run(entry.service, run_s)

    def schedule_matching(self, service: str | None = None) -> None:
        """Schedule a matching cycle for one queue, or for all."""
        queues = (service,) if service is not None else tuple(self.waiting_targets)
        self.due_services.update(
            name for name in queues if self.waiting_targets.get(name)
        )
        if self.due_services and not self.matching_scheduled:
            self.matching_scheduled = True
            self.clock.callLater(0, lambda: ensureDeferred(self.match()))

    async def match(self) -> None:
        """Run a matching cycle: lease jobs to waiting targets through the log."""
        self.matching_scheduled = False
        services, self.due_services = self.due_services, set()
        if not self.log.is_leader():
            self.step_down()
            return
        index = self.current_index()
        self.matching.start_cycle(services)
        starts = []
        for service in sorted(services):
            queue = self.waiting_targets[service]
            while queue and len(starts) < MAX_STARTS_PER_CYCLE:
                match = self.choose(index, service, queue)
                if match is None:
                    break
                self.matching.add_start(match)
                starts.append(ensureDeferred(self.start(queue[match.target], match)))
        await gatherResults(starts)
        if len(starts) >= MAX_STARTS_PER_CYCLE:
            self.schedule_matching()

    def choose(
        self, index: JobIndex, service: str, queue: OrderedDict[str, WaitingTarget]
    ) -> Match | None:
        """Return the next match for targets without a pending start."""
        assigned = {match.target for match in self.matching.pending_starts.values()}
        idle = [name for name in queue if name not in assigned]
        if not idle or service not in index.queues.team_queues:
            return None
        return self.matching.choose(index, service, idle[:MAX_TARGETS_CONSIDERED])

    async def start(self, waiting_target: WaitingTarget, match: Match) -> None:
        """Lease one job to one target through the log, and answer the target."""
        request = waiting_target.request
        command = StartJob(
            match.job_id, request.target, request.generation, request.key
        )
        try:
            outcome = await self.log.propose(command)
        finally:
            self.matching.remove_start(match)
        if isinstance(outcome, Err):
            self.matching.on_start_refused(match, outcome.err_value.message)
            self.on_start_refused(waiting_target, outcome)
            return
        job = self.log.state.jobs[match.job_id]
        if not self.is_waiting(waiting_target):
            return_command = EndJob(
                job.job_id, job.attempt, JobPhase.QUEUED, not_run=True
            )
            await self.log.propose(return_command)
            return
        self.leases.renew(Attempt(job.job_id, job.attempt))
        self.workers.record_start(request.target, job.job_id)
        taken = TakenJob(
            job.job_id, job.attempt, job.lease_ms, job.body, job.checkpoint
        )
        self.answer_target(waiting_target, Ok(taken))

    def on_start_refused(self, waiting_target: WaitingTarget, outcome: Err) -> None:
        """Answer a target whose start was refused for a reason of its own."""
        code = outcome.err_value.code
        if code not in (Code.LIMIT, Code.CONFLICT):
            self.answer_target(waiting_target, outcome)

    def order(self, attempt: Attempt, order: Order) -> None:
        """Order the target of a running job to release capacity."""
        self.leases.set_order(attempt, order)

    async def tick(self) -> None:
        """End expired attempts, and update usage and worker health."""
        index = self.current_index()
        for command in list(self.leases.expired(index)):
            await self.log.propose(command)
        if self.capacity_changed and index.unplaced:
            self.capacity_changed = False
            index.requeue_unplaced(MAX_REQUEUED)
            self.schedule_matching()
        now_s = self.clock.seconds()
        if now_s - self.reviewed_s < REVIEW_INTERVAL_S:
            return
        self.reviewed_s = now_s
        self.usage.refresh()
        self.workers.review(self.log.state, now_s)
        if now_s - self.recounted_s >= RECOUNT_INTERVAL_S:
            self.recounted_s = now_s
            self.workers.review_due = True
            self.matching.team_usages.recount_jobs(index, fleet_capacity(index.state))
        self.matching.team_usages.set_calls(self.calls_in_use(index))
        self.capacity_changed = True
        self.schedule_matching()

    def calls_in_use(self, index: JobIndex) -> Counter[str]:
        """Return the permits on loan for calls, by team."""
        return Counter(
            {
                team: team_permits_in_use(index.state, team) - index.team_jobs[team]
                for team in index.state.teams
            }
        )


def worker_failed(
    state: ClusterState, entry: RunningAttempt, command: object
) -> bool | None:
    """
    Return whether the end of an attempt counts as a failure of its worker.

    None if it is no evidence: the job was returned to the queue or cancelled, or the
    target itself was lost.
    """
    if isinstance(command, ExpireJob):
        return True if state.target_accepts_work(entry.target) else None
    if isinstance(command, EndJob) and command.phase in (
        JobPhase.DONE,
        JobPhase.FAILED,
    ):
        return command.phase == JobPhase.FAILED
    return None
