"""
mulberryledge_testing.fleet.worker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A modelled target: takes jobs, runs them under leases, obeys orders, and fails.
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
from mulberryledge_testing.fleet.truth import Nature, Truth

__all__ = ["ModelWorker", "Run"]

TAKE_WAIT_MS = 10_000
RETRY_S = 0.5
REACTION_S = 0.05


@dataclass(slots=True)
class Run:
    """
    A job that really runs.

    Attributes
    ----------
    began_s, until_s, lease_until_s : float
        Times of the start, of the end that is due, and of the end of the lease
        by the worker's own clock, in seconds.
    """

    job_id: str
    attempt: int
    nature: Nature
    began_s: float
    until_s: float
    lease_until_s: float
    timer: object = None


class ModelWorker:
    """
    A target with slots.

    Attributes
    ----------
    up : bool
        Whether the process runs.
    connected : bool
        Whether it reaches the system; without, its runs end with their leases.
    broken : bool
        Whether it fails all that it starts.
    host, host_processors : str, float
        Host that it runs on, whose contended processors slow what starts.
    """

    def __init__(
        self,
        clock: ModelClock,
        log: ModelLog,
        truth: Truth,
        name: str,
        service: str,
        slots: int,
        key: str,
    ):
        self.clock = clock
        self.log = log
        self.truth = truth
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
        self.taking = False
        self.runs: dict[str, Run] = {}
        self.on_start: Callable[[str], None] = lambda job_id: None
        self.on_done: Callable[[str, float], None] = lambda job_id, ran_s: None

    def take(self) -> None:
        """Ask for a job while a slot is free."""
        able = self.up and self.connected and self.generation
        if able and not self.taking and len(self.runs) < self.slots:
            self.taking = True
            ensureDeferred(self.take_one())

    async def take_one(self) -> None:
        """Wait for one job and start it."""
        request = TakeJob(
            self.service, self.name, self.generation, self.key, TAKE_WAIT_MS
        )
        generation = self.generation
        outcome = await self.log.ask(request)
        if generation != self.generation:
            return
        self.taking = False
        if not (self.up and self.connected):
            return
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, TakenJob):
            self.begin(outcome.ok_value)
        delay = 0 if isinstance(outcome, Ok) else RETRY_S
        self.clock.callLater(delay, self.take)

    def begin(self, taken: TakenJob) -> None:
        """Run a job."""
        now = self.clock.seconds()
        nature = self.truth.start(taken.job_id)
        left = nature.run_s - float(taken.checkpoint or b"0")
        left = min(left, 0.01) if self.broken else max(0.0, left)
        self.truth.host_cores[self.host] += nature.processors
        left *= max(1.0, self.truth.host_cores[self.host] / self.host_processors)
        lease_s = taken.lease_ms / 1_000
        run = Run(taken.job_id, taken.attempt, nature, now, now + left, now + lease_s)
        self.runs[taken.job_id] = run
        run.timer = self.clock.callLater(left, self.finish, run)
        self.on_start(taken.job_id)
        self.clock.callLater(0, self.renew, run)
        self.clock.callLater(lease_s, self.check_lease, run)

    def is_on(self, run: Run) -> bool:
        """Return whether the run goes on."""
        return self.runs.get(run.job_id) is run

    def drop(self, run: Run) -> float:
        """End a run here; return for how long it ran."""
        ran_s = self.clock.seconds() - run.began_s
        del self.runs[run.job_id]
        if run.timer.active():
            run.timer.cancel()
        self.truth.end(run.job_id)
        self.truth.host_cores[self.host] -= run.nature.processors
        self.truth.slot_seconds[run.nature.team] += ran_s
        return ran_s

    def finish(self, run: Run) -> None:
        """Report the end of a run."""
        if not self.is_on(run):
            return
        ran_s = self.drop(run)
        failed = self.broken or run.nature.fails
        phase = JobPhase.FAILED if failed else JobPhase.DONE
        if not failed:
            self.on_done(run.job_id, ran_s)
        self.say(EndJob(run.job_id, run.attempt, phase, b"x"))

    def say(self, command: EndJob) -> None:
        """Propose the end of an attempt if the system is reached."""
        if self.connected:
            ensureDeferred(self.log.propose(command))
        self.clock.callLater(0, self.take)

    def renew(self, run: Run) -> None:
        """Renew the lease of a run, waiting for orders."""
        if self.is_on(run):
            ensureDeferred(self.renew_one(run))

    async def renew_one(self, run: Run) -> None:
        """Exchange one renewal."""
        if not self.connected:
            self.clock.callLater(RETRY_S, self.renew, run)
            return
        sent_s = self.clock.seconds()
        request = RenewJob(run.job_id, run.attempt, self.key, 10_000)
        outcome = await self.log.ask(request)
        if not self.is_on(run) or not self.connected:
            return
        if not isinstance(outcome, Ok):
            self.clock.callLater(RETRY_S, self.renew, run)
            return
        lease: JobLease = outcome.ok_value
        run.lease_until_s = sent_s + lease.lease_ms / 1_000
        if lease.cancel_requested or lease.order in (Order.STOP, Order.CHECKPOINT):
            self.clock.callLater(REACTION_S, self.obey, run, lease)
            return
        pause_s = max(0.0, sent_s + lease.lease_ms / 4_000 - self.clock.seconds())
        self.clock.callLater(pause_s, self.renew, run)

    def obey(self, run: Run, lease: JobLease) -> None:
        """Stop a run as asked."""
        if not self.is_on(run):
            return
        ran_s = self.drop(run)
        if lease.cancel_requested:
            self.say(EndJob(run.job_id, run.attempt, JobPhase.CANCELLED))
            return
        state = b""
        if lease.order == Order.CHECKPOINT:
            before = float(self.log.state.jobs[run.job_id].checkpoint or b"0")
            state = str(before + ran_s).encode()
        else:
            self.truth.lost_seconds += ran_s
        self.say(EndJob(run.job_id, run.attempt, JobPhase.QUEUED, state))

    def check_lease(self, run: Run) -> None:
        """Stop a run whose lease ended by this worker's clock."""
        if not self.is_on(run):
            return
        left = run.lease_until_s - self.clock.seconds()
        if left > 0:
            self.clock.callLater(left, self.check_lease, run)
        else:
            self.truth.lost_seconds += self.drop(run)
            self.take()

    def kill(self) -> None:
        """Lose the process and all that runs in it."""
        self.up = False
        for run in list(self.runs.values()):
            self.truth.lost_seconds += self.drop(run)

    def usage(self) -> TargetUsage:
        """Return what this worker measures."""
        jobs = tuple(
            JobUsage(run.job_id, run.attempt, Resources(run.nature.processors, 256))
            for run in self.runs.values()
        )
        cores = sum(run.nature.processors for run in self.runs.values())
        used = Resources(cores, 256 * len(jobs))
        return TargetUsage(self.name, self.generation, used, jobs)
