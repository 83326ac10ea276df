"""
mulberryledge_testing.batch.target
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated incarnation of a target: its runs, lease and fencing token.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.specs import StepSpec, TaskId
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.ports import (
    ListedEnd,
    ListedRun,
    OrderAnswer,
    OrderOutcome,
    RenewOrder,
    StartOrder,
    StopOrder,
    TargetView,
    ThrottleOrder,
)
from mulberryledge_testing.batch.gangs import Gangs

__all__ = ["Behaviour", "SimulatedTarget", "TaskTruth"]

STOP_MS = 100
MAX_LEASE_MS = 6_000
MAX_LISTED_ENDS = 500  # the oldest; further ends follow once these are acknowledged
STARTUP_MS = 700  # until a long-running task works
TAIL_ALONE, TAIL_FILLER = 0.6, 0.1  # of the bound: alone, and added per filler


@dataclass(frozen=True, slots=True)
class TaskTruth:
    """
    Actual work of a task.

    Attributes
    ----------
    duration_ms : float
        Work on a healthy target near the data.
    fails : bool
        Whether every run of it fails.
    """

    spec: StepSpec
    duration_ms: float
    fails: bool = False


@dataclass(slots=True)
class Behaviour:
    """
    Faults of a target.

    Attributes
    ----------
    slow : float
        Factor on all durations.
    fails, hangs : bool
        Whether all runs fail at once, or make no progress.
    sheds : bool
        Whether all starts are refused without any effect.
    """

    slow: float = 1.0
    fails: bool = False
    hangs: bool = False
    sheds: bool = False


@dataclass(slots=True)
class Running:
    """
    A run in progress.

    Attributes
    ----------
    speed_percent : int
        Speed, in percent of the full speed.
    done_ms, speed_set_ms : float
        Work done before the last change of speed, and the time of that change.
    """

    run: int
    truth: TaskTruth
    started_ms: float
    ends_ms: float | None
    timer: object = None
    stopping: bool = False
    speed_percent: int = 100
    done_ms: float = 0.0
    speed_set_ms: float = 0.0


@dataclass(slots=True)
class SimulatedTarget:
    """
    Owns the runs of one incarnation.

    Attributes
    ----------
    expired_number : int
        Number of the last end when the lease last expired.
    truth_of : callable
        Returns the actual work of a task.
    gangs : Gangs or None
        Members of gangs on all targets; None lets each work alone.
    ticket_valid : callable or None
        Returns whether a start order has a valid ticket for this target.
    watch : callable
        Called with ``"start"``, ``"end"`` or ``"noted"``, the target, task, run and
        kind of end; "noted" means that the leader has seen the end.
    """

    target: Target
    clock: object
    truth_of: Callable[[TaskId], TaskTruth]
    watch: Callable[..., None]
    rate: float = 1.0
    gangs: Gangs | None = None
    ticket_valid: Callable[["SimulatedTarget", StartOrder], bool] | None = None
    behaviour: Behaviour = field(default_factory=Behaviour)
    alive: bool = True
    fence: int = 0
    lease_ms: float = 0.0
    lease_timer: object = None
    running: dict[TaskId, Running] = field(default_factory=dict)
    ended: list[ListedEnd] = field(default_factory=list)
    closed_runs: dict[TaskId, int] = field(default_factory=dict)
    number: int = 0
    expired_number: int = 0
    waiters: list[Deferred] = field(default_factory=list)

    def now_ms(self) -> float:
        """
        Return the process's own monotonic clock, which drifts by ``rate``.

        It starts with the process, so no deadline holds for another one.
        """
        age_ms = self.clock.seconds() * 1_000 - self.target.started_ms
        return max(0.0, age_ms) * self.rate

    def start(self, order: StartOrder) -> OrderAnswer:
        """Execute a start order, or refuse it."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        self.fence = order.fence
        if self.behaviour.sheds:
            return self.answer(OrderOutcome.UNHEALTHY)
        if self.now_ms() > order.deadline_ms:
            return self.answer(OrderOutcome.DEADLINE_PASSED)
        known = self.running.get(order.task)
        if known is not None and known.run == order.run:
            return self.answer(OrderOutcome.DONE)
        if order.run <= self.closed_runs.get(order.task, 0) or known is not None:
            return self.answer(OrderOutcome.OLD_RUN)
        if self.ticket_valid is not None and not self.ticket_valid(self, order):
            return self.answer(OrderOutcome.BAD_TICKET)
        self.extend_lease(order.deadline_ms)
        self.start_run(order)
        return self.answer(OrderOutcome.DONE)

    def answer(self, outcome: OrderOutcome) -> OrderAnswer:
        """Return an answer with the target's clock."""
        return OrderAnswer(outcome, int(self.now_ms()))

    def start_run(self, order: StartOrder) -> None:
        """Start a run, and schedule its end."""
        truth = self.truth_of(order.task)
        now = self.now_ms()
        ends_ms, how = None, RunEnd.DONE
        if self.behaviour.fails or truth.fails:
            ends_ms, how = now + 50, RunEnd.FAILED
        elif self.in_gang(truth):
            pass  # it starts its work once the gang is complete
        elif not (self.behaviour.hangs or truth.spec.long_running):
            ends_ms = now + truth.duration_ms * self.behaviour.slow
        run = Running(order.run, truth, now, ends_ms, speed_set_ms=now)
        self.running[order.task] = run
        self.watch("start", self, order.task, order.run, None)
        if ends_ms is not None:
            run.timer = self.clock.callLater(
                (ends_ms - now) / 1_000, self.end, order.task, order.run, how
            )
        elif self.in_gang(truth):
            self.gangs.join(self, order.task, order.run, truth.spec.count)

    def in_gang(self, truth: TaskTruth) -> bool:
        """Return whether a task is a member of a gang."""
        return truth.spec.gang and self.gangs is not None

    def start_gang_work(self, task: TaskId, number: int) -> None:
        """Start the work of a member, as its gang is complete."""
        run = self.running[task]
        if self.behaviour.hangs:
            return
        run.started_ms = self.now_ms()
        run.ends_ms = run.started_ms + run.truth.duration_ms * self.behaviour.slow
        delay_s = (run.ends_ms - run.started_ms) / 1_000
        run.timer = self.clock.callLater(delay_s, self.end, task, number, RunEnd.DONE)

    def end(self, task: TaskId, number: int, how: RunEnd) -> None:
        """End a run and add it to the list of ends."""
        run = self.running.get(task)
        if run is None or run.run != number or not self.alive:
            return
        del self.running[task]
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        self.closed_runs[task] = max(number, self.closed_runs.get(task, 0))
        self.number += 1
        self.ended.append(ListedEnd(self.number, task, number, how, ""))
        self.watch("end", self, task, number, how)
        self.wake()
        if run.truth.spec.gang and self.gangs is not None:
            self.gangs.leave(task, number, how)

    def wake(self) -> None:
        """Answer the requests that wait for an end."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def stop(self, order: StopOrder) -> OrderAnswer:
        """Execute a stop order; a task that does not run must not start that run."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        self.fence = order.fence
        run = self.running.get(order.task)
        if run is not None and run.run == order.run and not run.stopping:
            run.stopping = True
            self.clock.callLater(
                STOP_MS / 1_000, self.end, order.task, order.run, RunEnd.STOPPED
            )
        elif run is None:
            before = self.closed_runs.get(order.task, 0)
            self.closed_runs[order.task] = max(before, order.run)
        return self.answer(OrderOutcome.DONE)

    def throttle(self, order: ThrottleOrder) -> OrderAnswer:
        """Execute a throttle order."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        run = self.running.get(order.task)
        if run is not None and run.run == order.run:
            self.set_speed(order.task, run, order.percent)
        return self.answer(OrderOutcome.DONE)

    def set_speed(self, task: TaskId, run: Running, percent: int) -> None:
        """Change the speed of a run, and reschedule its end."""
        now = self.now_ms()
        run.done_ms += (now - run.speed_set_ms) * run.speed_percent / 100
        run.speed_percent, run.speed_set_ms = percent, now
        if run.ends_ms is None:
            return
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if percent:
            remaining_ms = run.truth.duration_ms * self.behaviour.slow - run.done_ms
            run.ends_ms = now + max(0.0, remaining_ms) * 100 / percent
            delay_s = (run.ends_ms - now) / 1_000
            run.timer = self.clock.callLater(
                delay_s, self.end, task, run.run, RunEnd.DONE
            )

    def tail_ms(self, run: Running, fillers: bool = True) -> int:
        """Return the tail latency of a run that serves requests, 0 for others."""
        bound_ms = run.truth.spec.latency_target_ms
        filler_percent = sum(
            one.speed_percent
            for one in self.running.values()
            if one.truth.spec.filler and fillers
        )
        return int(bound_ms * (TAIL_ALONE + TAIL_FILLER * filler_percent / 100))

    def extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease to a deadline; it is never shortened."""
        until = min(deadline_ms, self.now_ms() + MAX_LEASE_MS)
        if until <= self.lease_ms:
            return
        self.lease_ms = until
        if self.lease_timer is None or not self.lease_timer.active():
            self.lease_timer = self.clock.callLater(0, self.check_lease)

    def check_lease(self) -> None:
        """End all runs once the lease has expired."""
        remaining_ms = self.lease_ms - self.now_ms()
        if remaining_ms > 0:
            delay_s = max(0.001, remaining_ms / 1_000 / self.rate)
            self.lease_timer = self.clock.callLater(delay_s, self.check_lease)
            return
        for task, run in list(self.running.items()):
            self.end(task, run.run, RunEnd.LEASE_EXPIRED)
        self.expired_number = self.number

    def view(self, order: RenewOrder) -> TargetView | OrderAnswer:
        """Renew the lease, remove acknowledged ends and return the lists."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        self.fence = order.fence
        if order.deadline_ms is not None:
            self.extend_lease(order.deadline_ms)
        for one in self.ended:
            if one.number <= order.last_seen and one.number > self.expired_number:
                self.watch("noted", self, one.task, one.run, one.how)
        self.ended = [one for one in self.ended if one.number > order.last_seen]
        return self.lists()

    def lists(self) -> TargetView:
        """Return the lists of runs and ends."""
        rows = tuple(
            ListedRun(task, run.run, "", self.percent(run), self.tail_ms(run))
            for task, run in self.running.items()
        )
        return TargetView(
            int(self.now_ms()),
            self.target.started_ms,
            rows,
            tuple(self.ended[:MAX_LISTED_ENDS]),
            ends_complete=len(self.ended) <= MAX_LISTED_ENDS,
        )

    def percent(self, run: Running) -> int:
        """Return the progress of a run; 100 for a long-running one that works."""
        passed = self.now_ms() - run.started_ms
        if run.truth.spec.long_running:
            working = passed >= STARTUP_MS and not self.behaviour.hangs
            return 100 if working else 0
        if run.ends_ms is None:
            return 0
        if run.truth.spec.filler:
            done_ms = (
                run.done_ms
                + (self.now_ms() - run.speed_set_ms) * run.speed_percent / 100
            )
            return int(100 * done_ms / max(1.0, run.truth.duration_ms))
        return int(100 * passed / max(1.0, run.ends_ms - run.started_ms))

    def die(self) -> None:
        """End the process with all its runs, which are not listed as ended."""
        self.alive = False
        for task, run in list(self.running.items()):
            if run.timer is not None and run.timer.active():
                run.timer.cancel()
            self.watch("end", self, task, run.run, RunEnd.LEASE_EXPIRED)
        gangs = [(task, run.run) for task, run in self.running.items()]
        self.running.clear()
        self.wake()
        for task, number in gangs:
            if self.gangs is not None:
                self.gangs.leave(task, number, RunEnd.LEASE_EXPIRED)
