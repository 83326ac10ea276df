"""
mulberryledge_testing.batch.target
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One life of a target: what it runs, under which lease and fencing token.
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
STARTUP_MS = 700  # until a lasting task is at work
TAIL_ALONE, TAIL_FILLER = 0.6, 0.1  # share of the bound: alone, and for each filler


@dataclass(frozen=True, slots=True)
class TaskTruth:
    """
    What a task really is.

    Attributes
    ----------
    duration_ms : float
        Work on a sound target near the data.
    fails : bool
        Whether every run of it fails.
    """

    spec: StepSpec
    duration_ms: float
    fails: bool = False


@dataclass(slots=True)
class Behaviour:
    """
    What is wrong with a target.

    Attributes
    ----------
    slow : float
        Factor on all durations.
    fails, hangs : bool
        Whether all that starts fails at once, or never moves.
    """

    slow: float = 1.0
    fails: bool = False
    hangs: bool = False


@dataclass(slots=True)
class Running:
    """
    A run that is under way.

    Attributes
    ----------
    pace : int
        Percentage of its speed at which it works.
    done_ms, paced_ms : float
        Work done until the pace was set last, and when that was.
    """

    run: int
    truth: TaskTruth
    began_ms: float
    ends_ms: float | None
    timer: object = None
    stopping: bool = False
    pace: int = 100
    done_ms: float = 0.0
    paced_ms: float = 0.0


@dataclass(slots=True)
class SimulatedTarget:
    """
    Owns the runs of one life.

    Attributes
    ----------
    lapsed_number : int
        Number of the last end when the lease last ran out.
    truth_of : callable
        Returns what a task really is.
    gangs : Gangs or None
        Members of gangs on all targets; None lets each work by itself.
    ticket_valid : callable or None
        Tells whether a ticket lets a task start here.
    watch : callable
        Called with ``"start"``, ``"end"`` or ``"noted"``, the target, task, run and
        how it ended.
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
    lapsed_number: int = 0
    waiters: list[Deferred] = field(default_factory=list)

    def now_ms(self) -> float:
        """Return the target's own steady clock."""
        return self.clock.seconds() * 1_000 * self.rate

    def start(self, order: StartOrder) -> OrderAnswer:
        """Take a start."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        self.fence = order.fence
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
        self.begin(order)
        return self.answer(OrderOutcome.DONE)

    def answer(self, outcome: OrderOutcome) -> OrderAnswer:
        """Return an answer with the clock."""
        return OrderAnswer(outcome, int(self.now_ms()))

    def begin(self, order: StartOrder) -> None:
        """Begin a run."""
        truth = self.truth_of(order.task)
        now = self.now_ms()
        ends_ms, how = None, RunEnd.DONE
        if self.behaviour.fails or truth.fails:
            ends_ms, how = now + 50, RunEnd.FAILED
        elif self.in_gang(truth):
            pass  # it works once all members are there
        elif not (self.behaviour.hangs or truth.spec.long_running):
            ends_ms = now + truth.duration_ms * self.behaviour.slow
        run = Running(order.run, truth, now, ends_ms, paced_ms=now)
        self.running[order.task] = run
        self.watch("start", self, order.task, order.run, None)
        if ends_ms is not None:
            run.timer = self.clock.callLater(
                (ends_ms - now) / 1_000, self.end, order.task, order.run, how
            )
        elif self.in_gang(truth):
            self.gangs.join(self, order.task, order.run, truth.spec.count)

    def in_gang(self, truth: TaskTruth) -> bool:
        """Return whether a task works only together with others."""
        return truth.spec.gang and self.gangs is not None

    def work(self, task: TaskId, number: int) -> None:
        """Let a member of a gang work, now that all are there."""
        run = self.running[task]
        if self.behaviour.hangs:
            return
        run.began_ms = self.now_ms()
        run.ends_ms = run.began_ms + run.truth.duration_ms * self.behaviour.slow
        delay_s = (run.ends_ms - run.began_ms) / 1_000
        run.timer = self.clock.callLater(delay_s, self.end, task, number, RunEnd.DONE)

    def end(self, task: TaskId, number: int, how: RunEnd) -> None:
        """End a run and list it."""
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
        """Answer those who wait for an end."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def stop(self, order: StopOrder) -> OrderAnswer:
        """Take a stop."""
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

    def pace(self, order: ThrottleOrder) -> OrderAnswer:
        """Take a pace; a filler that works goes on at it."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        run = self.running.get(order.task)
        if run is not None and run.run == order.run:
            self.set_pace(order.task, run, order.percent)
        return self.answer(OrderOutcome.DONE)

    def set_pace(self, task: TaskId, run: Running, percent: int) -> None:
        """Let a run go on at another pace."""
        now = self.now_ms()
        run.done_ms += (now - run.paced_ms) * run.pace / 100
        run.pace, run.paced_ms = percent, now
        if run.ends_ms is None:
            return
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if percent:
            left_ms = run.truth.duration_ms * self.behaviour.slow - run.done_ms
            run.ends_ms = now + max(0.0, left_ms) * 100 / percent
            delay_s = (run.ends_ms - now) / 1_000
            run.timer = self.clock.callLater(
                delay_s, self.end, task, run.run, RunEnd.DONE
            )

    def tail_ms(self, run: Running, fillers: bool = True) -> int:
        """Return the tail latency of a run that serves, 0 for others."""
        bound_ms = run.truth.spec.latency_target_ms
        beside = sum(
            one.pace
            for one in self.running.values()
            if one.truth.spec.filler and fillers
        )
        return int(bound_ms * (TAIL_ALONE + TAIL_FILLER * beside / 100))

    def extend_lease(self, deadline_ms: float) -> None:
        """Let what runs live until then; a lease never gets shorter."""
        until = min(deadline_ms, self.now_ms() + MAX_LEASE_MS)
        if until <= self.lease_ms:
            return
        self.lease_ms = until
        if self.lease_timer is None or not self.lease_timer.active():
            self.lease_timer = self.clock.callLater(0, self.check_lease)

    def check_lease(self) -> None:
        """Kill everything once the lease is over."""
        left_ms = self.lease_ms - self.now_ms()
        if left_ms > 0:
            delay_s = max(0.001, left_ms / 1_000 / self.rate)
            self.lease_timer = self.clock.callLater(delay_s, self.check_lease)
            return
        for task, run in list(self.running.items()):
            self.end(task, run.run, RunEnd.LEASE_EXPIRED)
        self.lapsed_number = self.number

    def view(self, order: RenewOrder) -> TargetView | OrderAnswer:
        """Renew the lease and return the lists."""
        if order.fence < self.fence:
            return self.answer(OrderOutcome.FENCED)
        self.fence = order.fence
        if order.deadline_ms is not None:
            self.extend_lease(order.deadline_ms)
        for one in self.ended:
            if one.number <= order.last_seen and one.number > self.lapsed_number:
                self.watch("noted", self, one.task, one.run, one.how)
        self.ended = [one for one in self.ended if one.number > order.last_seen]
        return self.lists()

    def lists(self) -> TargetView:
        """Return the lists as they are."""
        rows = tuple(
            ListedRun(task, run.run, "", self.percent(run), self.tail_ms(run))
            for task, run in self.running.items()
        )
        return TargetView(
            int(self.now_ms()), self.target.started_ms, rows, tuple(self.ended)
        )

    def percent(self, run: Running) -> int:
        """Return how far a run is; a lasting one is at work at 100."""
        passed = self.now_ms() - run.began_ms
        if run.truth.spec.long_running:
            at_work = passed >= STARTUP_MS and not self.behaviour.hangs
            return 100 if at_work else 0
        if run.ends_ms is None:
            return 0
        if run.truth.spec.filler:
            done_ms = run.done_ms + (self.now_ms() - run.paced_ms) * run.pace / 100
            return int(100 * done_ms / max(1.0, run.truth.duration_ms))
        return int(100 * passed / max(1.0, run.ends_ms - run.began_ms))

    def die(self) -> None:
        """End the process: nothing is left."""
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
