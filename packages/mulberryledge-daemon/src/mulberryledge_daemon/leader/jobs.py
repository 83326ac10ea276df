"""
mulberryledge_daemon.leader.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs: handed to waiting targets under leases, requeued or given up.
"""

from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ExpireJob, StartJob
from mulberryledge_core.messages import JobLease, NoJob, RenewJob, TakeJob, TakenJob
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import team_headroom
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["Jobs"]


@dataclass(frozen=True, slots=True)
class Taker:
    """A target that waits for a job."""

    request: TakeJob
    done: Deferred


class Jobs:
    """Owns the waiting targets and the times at which job leases run out."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog, channel: LeaderChannel):
        self.clock = clock
        self.log = log
        self.takers: deque[Taker] = deque()
        self.renewed: dict[tuple[str, int], float] = {}
        self.matching = False
        channel.serve(TakeJob, self.on_take)
        channel.serve(RenewJob, self.on_renew)
        log.watch(self.on_applied)

    async def on_take(self, request: TakeJob) -> Result[object, Refusal]:
        """Wait for a job of the queue."""
        taker = Taker(request, Deferred())
        self.takers.append(taker)
        timer = self.clock.callLater(request.wait_ms / 1_000, self.give_up, taker)
        self.match_soon()
        outcome = await taker.done
        if timer.active():
            timer.cancel()
        return outcome

    def give_up(self, taker: Taker) -> None:
        """Tell a target that no job came."""
        if taker in self.takers:
            self.takers.remove(taker)
            taker.done.callback(Ok(NoJob()))

    async def on_renew(self, request: RenewJob) -> Result[object, Refusal]:
        """Renew the lease of a running attempt."""
        job = self.log.state.jobs.get(request.job_id)
        if job is None or job.phase != JobPhase.RUNNING:
            return Err(Refusal(Code.STALE, f"job {request.job_id!r} is not running"))
        if job.attempt != request.attempt:
            return Err(Refusal(Code.STALE, f"attempt {request.attempt} is over"))
        self.renewed[job.job_id, job.attempt] = self.clock.seconds()
        return Ok(JobLease(job.lease_ms, job.cancel_requested))

    def on_applied(self, event: AppliedEvent) -> None:
        """Match again after each change of state."""
        if self.takers:
            self.match_soon()

    def match_soon(self) -> None:
        """Start a matching round unless one is under way."""
        if not self.matching:
            self.matching = True
            self.clock.callLater(0, lambda: ensureDeferred(self.match()))

    async def match(self) -> None:
        """Hand the next job of each queue to its longest waiting target."""
        try:
            for taker in list(self.takers):
                job = next_job(self.log.state, taker.request.service)
                if job is not None:
                    await self.start(taker, job)
        finally:
            self.matching = False

    async def start(self, taker: Taker, job: Job) -> None:
        """Lease one job to one target through the log."""
        request = taker.request
        command = StartJob(job.job_id, request.target, request.generation, request.key)
        outcome = await self.log.propose(command)
        if taker not in self.takers:
            return
        if isinstance(outcome, Err):
            if outcome.err_value.code != Code.LIMIT:
                self.takers.remove(taker)
                taker.done.callback(outcome)
            return
        self.takers.remove(taker)
        started = self.log.state.jobs[job.job_id]
        self.renewed[started.job_id, started.attempt] = self.clock.seconds()
        taken = TakenJob(
            started.job_id, started.attempt, started.lease_ms, started.body
        )
        taker.done.callback(Ok(taken))

    async def tick(self) -> None:
        """End attempts whose lease ran out; unseen ones begin a lease now."""
        now = self.clock.seconds()
        renewed: dict[tuple[str, int], float] = {}
        expired = []
        for job in self.log.state.jobs.values():
            if job.phase != JobPhase.RUNNING:
                continue
            key = (job.job_id, job.attempt)
            renewed[key] = self.renewed.get(key, now)
            if now - renewed[key] > job.lease_ms / 1_000:
                expired.append(ExpireJob(*key))
        self.renewed = renewed
        for command in expired:
            await self.log.propose(command)


def next_job(state: ClusterState, service: str) -> Job | None:
    """Return the queued job to run next: urgent first, then the oldest."""
    queued = [
        job
        for job in state.jobs.values()
        if job.service == service
        and job.phase == JobPhase.QUEUED
        and team_headroom(state, job.team) > 0
    ]
    return min(queued, key=lambda job: (not job.urgent, job.submitted_ms), default=None)
