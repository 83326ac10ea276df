"""
mulberryledge_testing.fleet.worker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A simulated target: takes jobs, runs them under leases, executes orders and fails.
"""

from collections.abc import Callable
from dataclasses import dataclass

from result import Ok
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.commands.work import EndJob
from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.messages import (
    JobLease,
    JobUsage,
    RenewJob,
    TakeJob,
    TakenJob,
    TargetUsage,
)
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_testing.fleet.clock import ModelClock
from mulberryledge_testing.fleet.log import ModelLog
from mulberryledge_testing.fleet.truth import JobProfile, RunRecorder

__all__ = ["ModelWorker", "Run"]

TAKE_WAIT_MS = 10_000
RETRY_S = 0.5
ORDER_DELAY_S = 0.05


@dataclass(slots=True)
class Run:
    """
    A run of a job on the worker.

    Attributes
    ----------
    started_s, planned_end_s, lease_until_s : float
        Times of the start, of the planned end, and of the expiry of the lease by
        the worker's own clock, in seconds.
    """

    job_id: str
    attempt: int
    nature: JobProfile
    started_s: float
    planned_end_s: float
    lease_until_s: float
    timer: object = None


class ModelWorker:
    """
    A target that runs one job per slot.

    Attributes
    ----------
    up : bool
        Whether the process runs.
    connected : bool
        Whether it reaches the leader; if not, its runs stop when their leases expire.
    broken : bool
        Whether every run that it starts fails at once.
    host, host_processors : str, float
        Its host; contention for the host's processors slows the runs that start.
    """

    def __init__(
        self,
        clock: ModelClock,
        log: ModelLog,
        run_recorder: RunRecorder,
        name: str,
        service: str,
        slots: int,
        key: str,
    ):
        self.clock = clock
        self.log = log
        self.run_recorder = run_recorder
        self.name = name
        self.service = service
        self.slots = slots
        self.key = key
        self.host = ""
        self.host_processors = 1.0
        self.generation = 0
        self.up = True
        self.connected = True
        self.broken = False
        self.request_pending = False
        self.runs: dict[str, Run] = {}
        self.on_start: Callable[[str], None] = lambda job_id: None
        self.on_done: Callable[[str, float], None] = lambda job_id, ran_s: None

    def take(self) -> None:
        """Request a job if a slot is free and no request is pending."""
        can_take = self.up and self.connected and self.generation
        if can_take and not self.request_pending and len(self.runs) < self.slots:
            self.request_pending = True
            ensureDeferred(self.request_job())

    async def request_job(self) -> None:
        """Wait for one job, start it and request the next one."""
        request = TakeJob(
            self.service, self.name, self.generation, self.key, TAKE_WAIT_MS
        )
        generation = self.generation
        outcome = await self.log.ask(request)
        if generation != self.generation:
            return
        self.request_pending = False
        if not (self.up and self.connected):
            return
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, TakenJob):
            self.start_run(outcome.ok_value)
        delay = 0 if isinstance(outcome, Ok) else RETRY_S
        self.clock.callLater(delay, self.take)

    def start_run(self, taken: TakenJob) -> None:
        """Start a job from its checkpoint."""
        now = self.clock.seconds()
        nature = self.run_recorder.start(taken.job_id)
        remaining_s = nature.run_s - float(taken.checkpoint or b"0")
        remaining_s = min(remaining_s, 0.01) if self.broken else max(0.0, remaining_s)
        self.run_recorder.host_cores[self.host] += nature.processors
        remaining_s *= max(
            1.0, self.run_recorder.host_cores[self.host] / self.host_processors
        )
        lease_s = taken.lease_ms / 1_000
        run = Run(
            taken.job_id, taken.attempt, nature, now, now + remaining_s, now + lease_s
        )
        self.runs[taken.job_id] = run
        run.timer = self.clock.callLater(remaining_s, self.finish, run)
        self.on_start(taken.job_id)
        self.clock.callLater(0, self.renew, run)
        self.clock.callLater(lease_s, self.check_lease, run)

    def is_active(self, run: Run) -> bool:
        """Return whether the run has not ended."""
        return self.runs.get(run.job_id) is run

    def remove_run(self, run: Run) -> float:
        """Remove a run and return its duration in seconds."""
        ran_s = self.clock.seconds() - run.started_s
        del self.runs[run.job_id]
        if run.timer.active():
            run.timer.cancel()
        self.run_recorder.end(run.job_id)
        self.run_recorder.host_cores[self.host] -= run.nature.processors
        self.run_recorder.slot_seconds[run.nature.team] += ran_s
        return ran_s

    def finish(self, run: Run) -> None:
        """Complete a run and report its outcome."""
        if not self.is_active(run):
            return
        ran_s = self.remove_run(run)
        failed = self.broken or run.nature.fails
        phase = JobPhase.FAILED if failed else JobPhase.DONE
        if not failed:
            self.on_done(run.job_id, ran_s)
        self.report_end(EndJob(run.job_id, run.attempt, phase, b"x"))

    def report_end(self, command: EndJob) -> None:
        """Report the end of an attempt if connected."""
        if self.connected:
            ensureDeferred(self.log.propose(command))
        self.clock.callLater(0, self.take)

    def renew(self, run: Run) -> None:
        """Renew the lease of a run; the answer may carry an order."""
        if self.is_active(run):
            ensureDeferred(self.request_renewal(run))

    async def request_renewal(self, run: Run) -> None:
        """Request one renewal and schedule the next one or the order."""
        if not self.connected:
            self.clock.callLater(RETRY_S, self.renew, run)
            return
        sent_s = self.clock.seconds()
        request = RenewJob(run.job_id, run.attempt, self.key, 10_000)
        outcome = await self.log.ask(request)
        if not self.is_active(run) or not self.connected:
            return
        if not isinstance(outcome, Ok):
            self.clock.callLater(RETRY_S, self.renew, run)
            return
        lease: JobLease = outcome.ok_value
        run.lease_until_s = sent_s + lease.lease_ms / 1_000
        if lease.cancel_requested or lease.order in (Order.STOP, Order.CHECKPOINT):
            self.clock.callLater(ORDER_DELAY_S, self.execute_order, run, lease)
            return
        pause_s = max(0.0, sent_s + lease.lease_ms / 4_000 - self.clock.seconds())
        self.clock.callLater(pause_s, self.renew, run)

    def execute_order(self, run: Run, lease: JobLease) -> None:
        """Stop a run that is cancelled or ordered to stop; checkpoint it if ordered."""
        if not self.is_active(run):
            return
        ran_s = self.remove_run(run)
        if lease.cancel_requested:
            self.report_end(EndJob(run.job_id, run.attempt, JobPhase.CANCELLED))
            return
        state = b""
        if lease.order == Order.CHECKPOINT:
            before = float(self.log.state.jobs[run.job_id].checkpoint or b"0")
            state = str(before + ran_s).encode()
        else:
            self.run_recorder.lost_seconds += ran_s
        self.report_end(EndJob(run.job_id, run.attempt, JobPhase.QUEUED, state))

    def check_lease(self, run: Run) -> None:
        """Stop a run whose lease has expired by this worker's clock."""
        if not self.is_active(run):
            return
        remaining_s = run.lease_until_s - self.clock.seconds()
        if remaining_s > 0:
            self.clock.callLater(remaining_s, self.check_lease, run)
        else:
            self.run_recorder.lost_seconds += self.remove_run(run)
            self.take()

    def kill(self) -> None:
        """Stop the process with all its runs."""
        self.up = False
        for run in list(self.runs.values()):
            self.run_recorder.lost_seconds += self.remove_run(run)

    def usage(self) -> TargetUsage:
        """Return the measured usage of the worker and of its runs."""
        jobs = tuple(
            JobUsage(run.job_id, run.attempt, Resources(run.nature.processors, 256))
            for run in self.runs.values()
        )
        cores = sum(run.nature.processors for run in self.runs.values())
        used = Resources(cores, 256 * len(jobs))
        return TargetUsage(self.name, self.generation, used, jobs)
