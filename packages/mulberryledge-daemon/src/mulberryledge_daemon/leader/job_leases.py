"""
mulberryledge_daemon.leader.job_leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of running jobs: renewed by targets, ended when silent, with orders to targets.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ExpireJob
from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.messages import JobLease, RenewJob
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.appliers.jobs import key_may_take_job
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Attempt", "JobLeases", "grace_s"]

STOP_GRACE_S = 1.0
CLOCK_DRIFT = 0.02
WAIT_FRACTION = 3
RECHECK_S = 1.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One start of a job."""

    job_id: str
    attempt: int


def grace_s(lease_s: float) -> float:
    """
    Return how long an attempt may still run after its lease ran out, in seconds.

    A target stops a job at the end of its lease by its own clock, which may be
    slow, and the stop takes a moment.
    """
    return STOP_GRACE_S + CLOCK_DRIFT * lease_s


class JobLeases:
    """
    Owns the times of the last renewals, and the orders to running jobs.

    Times of renewal are not in the log: a new leader counts every lease as
    renewed when it first sees the job, so that no run is taken for ended early.
    An attempt counts as running until its lease and :func:`grace_s` are over;
    between the two it can't be renewed any more.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.renewed: dict[Attempt, float] = {}
        self.checks: list[tuple[float, str, int]] = []
        self.orders: dict[Attempt, Order] = {}
        self.waiting: dict[Attempt, Deferred] = {}

    def begin(self, attempt: Attempt) -> None:
        """Begin the lease of an attempt now."""
        now = self.clock.seconds()
        if attempt not in self.renewed:
            check = (now + RECHECK_S, attempt.job_id, attempt.attempt)
            heappush(self.checks, check)
        self.renewed[attempt] = now

    def reset(self, index: JobIndex) -> None:
        """Forget everything, and begin the lease of all that runs, as a new leader."""
        self.renewed = {}
        self.orders = {}
        self.checks = []
        for attempt in list(self.waiting):
            self.wake(attempt)
        for entry in index.running.values():
            self.begin(Attempt(entry.job_id, entry.attempt))

    async def on_renew(self, request: RenewJob) -> Result[object, Refusal]:
        """Renew the lease of a running attempt; wait for an order if asked to."""
        attempt = Attempt(request.job_id, request.attempt)
        job = self.log.state.jobs.get(request.job_id)
        refusal = self.refusal(job, request)
        if refusal is not None:
            return Err(refusal)
        self.begin(attempt)
        order = self.orders.get(attempt, Order.NONE)
        if request.wait_ms and order == Order.NONE and not job.cancel_requested:
            await self.wait(attempt, min(request.wait_ms, job.lease_ms / WAIT_FRACTION))
            job = self.log.state.jobs.get(request.job_id)
            refusal = self.refusal(job, request)
            if refusal is not None:
                return Err(refusal)
            order = self.orders.get(attempt, Order.NONE)
        return Ok(JobLease(job.lease_ms, job.cancel_requested, order))

    def refusal(self, job: Job | None, request: RenewJob) -> Refusal | None:
        """Return why a renewal is refused, or None."""
        if not self.log.is_leader():
            return Refusal(Code.NO_LEADER, "this daemon does not lead any more")
        if job is None or job.phase != JobPhase.RUNNING:
            return Refusal(Code.STALE, f"job {request.job_id!r} is not running")
        if job.attempt != request.attempt:
            return Refusal(Code.STALE, f"attempt {request.attempt} is over")
        if not key_may_take_job(self.log.state, job, request.key):
            return Refusal(Code.BAD_KEY, f"key {request.key!r} may not renew this work")
        since = self.renewed.get(Attempt(job.job_id, job.attempt))
        if since is not None and self.clock.seconds() - since > job.lease_ms / 1_000:
            return Refusal(Code.STALE, f"the lease of {job.job_id!r} ran out")
        return None

    async def wait(self, attempt: Attempt, wait_ms: float) -> None:
        """Wait for an order, a cancellation or the end of the attempt."""
        self.wake(attempt)
        waiting = self.waiting[attempt] = Deferred()
        timer = self.clock.callLater(wait_ms / 1_000, self.wake, attempt)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()
            if self.waiting.get(attempt) is waiting:
                del self.waiting[attempt]

    def wake(self, attempt: Attempt) -> None:
        """Answer a renewal that waits."""
        waiting = self.waiting.pop(attempt, None)
        if waiting is not None and not waiting.called:
            waiting.callback(None)

    def give_order(self, attempt: Attempt, order: Order) -> None:
        """Ask the target of an attempt to make room."""
        self.orders[attempt] = order
        self.wake(attempt)

    def expired(self, index: JobIndex) -> Iterator[ExpireJob]:
        """
        Yield what ends the attempts that have stopped by now.

        Only attempts whose check is due are looked at. One that was renewed since
        is checked again when its present lease could be over.
        """
        now = self.clock.seconds()
        while self.checks and self.checks[0][0] <= now:
            _, job_id, number = heappop(self.checks)
            attempt = Attempt(job_id, number)
            entry = index.running.get(job_id)
            if entry is None or entry.attempt != number:
                self.forget(attempt)
                continue
            over_s = self.over_s(attempt, index.state.jobs[job_id].lease_ms)
            if over_s <= now:
                yield ExpireJob(job_id, number)
            heappush(self.checks, (max(over_s, now + RECHECK_S), job_id, number))

    def over_s(self, attempt: Attempt, lease_ms: int) -> float:
        """Return when an attempt has surely stopped unless it is renewed."""
        lease_s = lease_ms / 1_000
        return self.renewed[attempt] + lease_s + grace_s(lease_s)

    def forget(self, attempt: Attempt) -> None:
        """Forget an attempt that ended, and answer its waiting renewal."""
        self.renewed.pop(attempt, None)
        self.orders.pop(attempt, None)
        self.wake(attempt)
