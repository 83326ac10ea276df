"""
mulberryledge_daemon.leader.job_leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of running jobs: renewed by targets, whose answers carry the orders to them.
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
MAX_CLOCK_DRIFT_FRACTION = 0.02
WAITS_PER_LEASE = 3
CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a job."""

    job_id: str
    attempt: int


def grace_s(lease_s: float) -> float:
    """
    Return how long an attempt may run after its lease has expired, in seconds.

    A target stops a job at the end of its lease by its own clock, which may be slow,
    and stopping takes time.
    """
    return STOP_GRACE_S + MAX_CLOCK_DRIFT_FRACTION * lease_s


class JobLeases:
    """
    Owns the renewal times of running jobs and the orders to them.

    Renewal times are not in the log. A new leader treats every lease as renewed when
    it first sees the job, so that no attempt is considered ended too early. An attempt
    counts as running until its lease and :func:`grace_s` have elapsed; between the two
    it can no longer be renewed.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log
        self.renewed_s: dict[Attempt, float] = {}
        self.checks: list[tuple[float, str, int]] = []
        self.orders: dict[Attempt, Order] = {}
        self.waiting_renewals: dict[Attempt, Deferred] = {}

    def renew(self, attempt: Attempt) -> None:
        """Start or renew the lease of an attempt now."""
        now_s = self.clock.seconds()
        if attempt not in self.renewed_s:
            check = (now_s + CHECK_INTERVAL_S, attempt.job_id, attempt.attempt)
            heappush(self.checks, check)
        self.renewed_s[attempt] = now_s

    def reset(self, index: JobIndex) -> None:
        """Discard all state, and start the leases of all running jobs."""
        self.renewed_s = {}
        self.orders = {}
        self.checks = []
        for attempt in list(self.waiting_renewals):
            self.answer_waiting(attempt)
        for entry in index.running.values():
            self.renew(Attempt(entry.job_id, entry.attempt))

    async def on_renew(self, request: RenewJob) -> Result[object, Refusal]:
        """Renew the lease of a running attempt; wait for an order if requested."""
        attempt = Attempt(request.job_id, request.attempt)
        job = self.log.state.jobs.get(request.job_id)
        refusal = self.renewal_refusal(job, request)
        if refusal is not None:
            return Err(refusal)
        self.renew(attempt)
        order = self.orders.get(attempt, Order.NONE)
        if request.wait_ms and order == Order.NONE and not job.cancel_requested:
            await self.wait_for_order(
                attempt, min(request.wait_ms, job.lease_ms / WAITS_PER_LEASE)
            )
            job = self.log.state.jobs.get(request.job_id)
            refusal = self.renewal_refusal(job, request)
            if refusal is not None:
                return Err(refusal)
            order = self.orders.get(attempt, Order.NONE)
        return Ok(JobLease(job.lease_ms, job.cancel_requested, order))

    def renewal_refusal(self, job: Job | None, request: RenewJob) -> Refusal | None:
        """Return why a renewal is refused, or None."""
        if not self.log.is_leader():
            return Refusal(Code.NO_LEADER, "this daemon no longer leads")
        if job is None or job.phase != JobPhase.RUNNING:
            return Refusal(Code.STALE, f"job {request.job_id!r} is not running")
        if job.attempt != request.attempt:
            return Refusal(Code.STALE, f"attempt {request.attempt} has ended")
        if not key_may_take_job(self.log.state, job, request.key):
            return Refusal(
                Code.BAD_KEY, f"key {request.key!r} may not renew this lease"
            )
        renewed_s = self.renewed_s.get(Attempt(job.job_id, job.attempt))
        if (
            renewed_s is not None
            and self.clock.seconds() - renewed_s > job.lease_ms / 1_000
        ):
            return Refusal(Code.STALE, f"the lease of {job.job_id!r} has expired")
        return None

    async def wait_for_order(self, attempt: Attempt, wait_ms: float) -> None:
        """Wait for an order, a cancellation or the end of the attempt."""
        self.answer_waiting(attempt)
        renewal = self.waiting_renewals[attempt] = Deferred()
        timer = self.clock.callLater(wait_ms / 1_000, self.answer_waiting, attempt)
        try:
            await renewal
        finally:
            if timer.active():
                timer.cancel()
            if self.waiting_renewals.get(attempt) is renewal:
                del self.waiting_renewals[attempt]

    def answer_waiting(self, attempt: Attempt) -> None:
        """Answer the waiting renewal of an attempt."""
        renewal = self.waiting_renewals.pop(attempt, None)
        if renewal is not None and not renewal.called:
            renewal.callback(None)

    def set_order(self, attempt: Attempt, order: Order) -> None:
        """Order the target of an attempt to release capacity."""
        self.orders[attempt] = order
        self.answer_waiting(attempt)

    def expired(self, index: JobIndex) -> Iterator[ExpireJob]:
        """
        Yield commands that end the attempts whose lease and grace time have elapsed.

        Only attempts with a due check are examined. A renewed one is checked again
        when its current lease may have expired.
        """
        now_s = self.clock.seconds()
        while self.checks and self.checks[0][0] <= now_s:
            _, job_id, number = heappop(self.checks)
            attempt = Attempt(job_id, number)
            entry = index.running.get(job_id)
            if entry is None or entry.attempt != number:
                self.remove(attempt)
                continue
            ended_by_s = self.ended_by_s(attempt, index.state.jobs[job_id].lease_ms)
            if ended_by_s <= now_s:
                yield ExpireJob(job_id, number)
            heappush(
                self.checks, (max(ended_by_s, now_s + CHECK_INTERVAL_S), job_id, number)
            )

    def ended_by_s(self, attempt: Attempt, lease_ms: int) -> float:
        """Return when an attempt must have stopped unless it is renewed."""
        lease_s = lease_ms / 1_000
        return self.renewed_s[attempt] + lease_s + grace_s(lease_s)

    def remove(self, attempt: Attempt) -> None:
        """Remove an ended attempt, and answer its waiting renewal."""
        self.renewed_s.pop(attempt, None)
        self.orders.pop(attempt, None)
        self.answer_waiting(attempt)
