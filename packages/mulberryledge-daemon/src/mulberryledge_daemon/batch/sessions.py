"""
mulberryledge_daemon.batch.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's session with one incarnation of a target: the lease of its runs, its
lists of runs and ends, starts and stops.

A target's lists are authoritative for what runs on it. A start whose answer is lost
is resolved by a list made after the start's deadline. The runs of a target that does
not answer stay live until their lease has certainly expired.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred, ensureDeferred

from mulberryledge_core.batch.commands import EndIncarnation, EndRun, RunEnd
from mulberryledge_core.batch.specs import TaskId
from mulberryledge_core.batch.state import BatchState, RunKey
from mulberryledge_core.batch.target_health import Health
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.clocks import TargetClock
from mulberryledge_daemon.batch.ports import (
    ListedRun,
    OrderOutcome,
    RenewOrder,
    StartOrder,
    StopOrder,
    TargetOrders,
    TargetView,
)
from mulberryledge_daemon.batch.scheduling_cycles import SchedulingCycles

__all__ = ["Leadership", "SessionTiming", "TargetSession"]

REFUSALS = (
    OrderOutcome.OLD_RUN,
    OrderOutcome.DEADLINE_PASSED,
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.BAD_TICKET,
    OrderOutcome.INVALID,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.NOT_SENT,
)
STOP_RETRY_MS = 500  # the platform specifies 0.2 to 0.4 s for a stop
LATE_STOP_MS = 12_500  # after which a stop without effect can't take effect any more
MAX_LIST_AGE_MS = 2_000  # lists arrive about once a second
AT_WORK_PERCENT = 100
MAX_NAMED_ENDS = 8  # in one log line
NEVER_MS = -1_000_000

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """
    Timing of a session, in milliseconds.

    Attributes
    ----------
    lease_ms : int
        Lease granted to runs; the platform shortens longer ones.
    start_timeout_ms : int
        Delay after which a target refuses a start.
    wait_ms : int
        How long a target may delay its lists until a run ends.
    retry_ms, retry_max_ms : int
        First and longest interval between calls to a target that does not answer;
        the interval doubles each time.
    idle_call_ms : int
        Silence after which an idle target is called.
    removal_ms : int
        Silence after which a target without a lease is removed.
    """

    lease_ms: int = 6_000
    start_timeout_ms: int = 600
    wait_ms: int = 1_000
    retry_ms: int = 250
    retry_max_ms: int = 2_000
    idle_call_ms: int = 4_000
    removal_ms: int = 15_000


class Leadership(Protocol):
    """Interface of the leader that a session belongs to."""

    fence: int
    state: BatchState
    cycles: SchedulingCycles
    orders: TargetOrders

    def now(self) -> int:
        """Return milliseconds of a clock that includes time while the host sleeps."""

    def may_order(self) -> bool:
        """Return whether no other daemon can lead yet."""

    def on_fenced(self, target: Target) -> None:
        """Handle a refusal by a target that has seen another leader's token."""

    def run_done(self, key: RunKey, duration_ms: int) -> None:
        """Record how long a run took that is done."""

    def run_failed(self, session: "TargetSession", task: TaskId) -> None:
        """Record a failed run."""

    def ticket_refused(self, session: "TargetSession", task: TaskId) -> None:
        """Discard a ticket that the target refused."""

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule a call that is dropped if leadership is lost first."""


@dataclass(slots=True)
class TrackedRun:
    """
    A run that this leader has ordered or found listed.

    Attributes
    ----------
    deadline_ms : int
        Deadline of the start on the target's clock.
    started_ms : int
        When the start was ordered, or the run was first listed.
    accepted_ms : int or None
        When the target confirmed the start.
    unconfirmed : bool
        Whether the start was answered by a refusal, or not at all.
    stop_sent_ms : int
        When a stop was last sent.
    stops_ms : list of int
        When the stops were sent that may take effect.
    percent, percent_since_ms : int
        Progress by the latest list, and when this value was first listed.
    listed_ms : int
        When the run was last listed.
    """

    deadline_ms: int
    started_ms: int = 0
    accepted_ms: int | None = None
    unconfirmed: bool = False
    stop_sent_ms: int = NEVER_MS
    stops_ms: list[int] = field(default_factory=list)
    percent: int = -1
    percent_since_ms: int = 0
    listed_ms: int = 0


class TargetSession:
    """
    Owns the leader's view of one incarnation of a target.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target.
    confirmed : bool
        Whether the target has listed its runs under this leader's fencing token.
    silent_since_ms : int or None
        Since when it has not answered, None if it answers.
    lease_end_ms : int
        When the lease of every run there has certainly expired.
    last_contact_ms : int
        When it last answered or announced itself.
    sequence : int
        Number of its latest announcement.
    last_seen : int
        Number of the last end that is durable.
    acked_end : int
        Number of the last end that the target was told is durable.
    listed : dict of RunKey to ListedRun
        Runs of the latest list.
    list_arrived_ms : int
        When the latest list arrived.
    first_clock_ms : int
        The target's clock when it made the first list for this session.
    health : Health
        Outcomes of the target's runs.
    missed_calls : int
        Consecutive calls without an answer.
    renewed_ms : int or None
        When the last answered call that renewed the lease was sent.
    max_list_wait_ms : int or None
        Limit on the delay of a list until a run ends, None for the usual one.
    throttled : bool
        Whether the fillers there work below full speed.
    earlier_deadline_ms, max_deadline_ms : int
        Latest deadline of the starts that were ordered under this fencing token by
        earlier sessions, and by this one too, on the target's clock.
    earlier_stops_ms : dict of RunKey to int
        Last stops that earlier sessions have sent under this fencing token.
    """

    def __init__(
        self,
        target: Target,
        leader: Leadership,
        timing: SessionTiming,
        lease_end_ms: int,
        earlier_deadline_ms: int = -1,
        earlier_stops_ms: dict[RunKey, int] | None = None,
    ):
        self.target = target
        self.incarnation = target.incarnation
        self.leader = leader
        self.timing = timing
        self.clock = TargetClock()
        self.lease_end_ms = lease_end_ms
        self.confirmed = False
        self.silent_since_ms: int | None = None
        self.last_contact_ms = leader.now()
        self.sequence = 0
        self.last_seen = 0
        self.acked_end = 0
        self.view_clock_ms = -1
        self.listed: dict[RunKey, ListedRun] = {}
        self.list_arrived_ms = NEVER_MS
        self.first_clock_ms = 0
        self.health = Health()
        self.missed_calls = 0
        self.renewed_ms: int | None = None
        self.max_list_wait_ms: int | None = None
        self.throttled = False
        self.earlier_deadline_ms = self.max_deadline_ms = earlier_deadline_ms
        self.earlier_stops_ms = earlier_stops_ms or {}
        self.tracked_runs: dict[RunKey, TrackedRun] = {}
        self.closed = False
        self.calling = False
        self.retry_ms = timing.retry_ms
        self.sleeping = False

    def usable(self, now: int) -> bool:
        """Return whether new runs may be started there."""
        return (
            self.confirmed
            and self.silent_since_ms is None
            and not self.closed
            and not self.target.draining
            and not self.health.excluded(now)
        )

    def awaits_trial(self, now: int) -> bool:
        """Return whether another run must wait for the outcome of a trial."""
        if not self.health.on_trial:
            return False
        for key in self.live_runs():
            tracked = self.tracked_runs.get(key)
            if tracked is None or self.health.is_undecided(tracked.started_ms, now):
                return True  # without a record its start is about to be ordered
        return False

    def close(self) -> None:
        """Stop sending orders."""
        self.closed = True
        self.leader.orders.close_connections(self.target)

    def live_runs(self) -> dict[RunKey, object]:
        """Return the runs that are live there by the committed state."""
        return self.leader.state.live_runs(self.incarnation)

    def wake(self) -> None:
        """Call the target unless a call is pending or there is no reason to."""
        if self.calling or self.closed or self.sleeping:
            return
        settled = self.confirmed and self.silent_since_ms is None
        if settled and not self.live_runs() and self.acked_end >= self.last_seen:
            return
        self.calling = True
        called = ensureDeferred(self.renew_lease())
        called.addErrback(self.on_error)

    def on_error(self, failure) -> None:
        """Log an unexpected error, and continue."""
        self.calling = False
        logger.critical("session failed", extra={"failure": failure.getTraceback()})
        self.sleep(self.timing.retry_max_ms)

    def sleep(self, delay_ms: int) -> None:
        """Call the target again after a delay."""
        self.sleeping = True

        def resume() -> None:
            self.sleeping = False
            self.wake()

        self.leader.call_later(delay_ms / 1_000, resume)

    async def renew_lease(self) -> None:
        """Renew the lease and process the lists once."""
        if not self.leader.may_order():
            self.calling = False
            self.sleep(self.timing.retry_ms)
            return
        sent_ms = self.leader.now()
        order = self.renewal_order(sent_ms)
        answer = await self.leader.orders.renew_lease(self.target, order)
        if self.closed:
            return
        if not self.leader.may_order():  # another leader may have changed the state
            self.calling = False
            self.sleep(self.timing.retry_ms)
            return
        if isinstance(answer, TargetView):
            self.acked_end = max(self.acked_end, order.last_seen)
            if order.deadline_ms is not None:
                self.renewed_ms = sent_ms
            await self.on_view(answer, sent_ms)
            self.calling = False
            self.wake()
            return
        self.calling = False
        if answer.outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        elif answer.outcome == OrderOutcome.OTHER_INCARNATION:
            self.end_incarnation("another incarnation answers")
        else:
            self.on_silence()

    def renewal_order(self, now: int) -> RenewOrder:
        """Return the next order; the lease is not renewed after a missed call."""
        fence, seen = self.leader.fence, self.last_seen
        if not self.clock.known or self.missed_calls or not self.live_runs():
            return RenewOrder(fence, seen)
        wait_ms = 0 if self.due_stops() else self.timing.wait_ms
        if not self.lease_is_fresh(now):
            wait_ms = 0  # a lost call must be detected before the lease expires
        if self.max_list_wait_ms is not None:
            wait_ms = min(wait_ms, self.max_list_wait_ms)
        deadline_ms = self.clock.estimate(now) + self.timing.lease_ms
        self.lease_end_ms = max(
            self.lease_end_ms, self.clock.certainly_passed(deadline_ms)
        )
        return RenewOrder(fence, seen, deadline_ms, wait_ms)

    def lease_is_fresh(self, now: int) -> bool:
        """Return whether at least about half of the lease is known to remain."""
        if self.renewed_ms is None:
            return False
        return now - self.renewed_ms < self.timing.lease_ms / 2

    async def on_view(self, view: TargetView, sent_ms: int) -> None:
        """Process the lists of a target."""
        now = self.leader.now()
        if view.born_ms is not None and view.born_ms != self.target.started_ms:
            self.end_incarnation("another incarnation answers")
            return
        self.clock.observe(view.clock_ms, now)
        self.last_contact_ms = now
        self.silent_since_ms = None
        self.missed_calls = 0
        self.retry_ms = self.timing.retry_ms
        if view.clock_ms < self.view_clock_ms:
            return
        self.view_clock_ms = view.clock_ms
        self.listed = {(one.task, one.run): one for one in view.running}
        self.list_arrived_ms = now
        first_view = not self.confirmed
        if first_view:
            self.first_clock_ms = view.clock_ms
        self.confirmed = True
        self.report_ends(view, now)
        self.log_stray_ends(view)
        changes = self.changes_from(view, sent_ms)
        self.stop_strays()
        if first_view:
            self.leader.cycles.wake()
        dones = [self.leader.cycles.submit(change) for change in changes]
        outcomes = [await done for done in dones]
        if all(outcome.is_durable for outcome in outcomes):
            numbers = [one.number for one in view.ended]
            self.last_seen = max([self.last_seen, *numbers])

    def report_ends(self, view: TargetView, now: int) -> None:
        """Report the outcomes of the runs that have ended."""
        for one in view.ended:
            if one.number <= self.last_seen:
                continue
            if one.how == RunEnd.FAILED:
                self.leader.run_failed(self, one.task)
            elif one.how == RunEnd.DONE:
                self.health.on_success()
                tracked = self.tracked_runs.get((one.task, one.run))
                if tracked is not None and tracked.accepted_ms is not None:
                    duration_ms = now - tracked.accepted_ms
                    self.leader.run_done((one.task, one.run), duration_ms)

    def log_stray_ends(self, view: TargetView) -> None:
        """Log the new ends of runs that are not live; they may have no other trace."""
        live = self.live_runs()
        strays = [
            one
            for one in view.ended
            if one.number > self.last_seen and (one.task, one.run) not in live
        ]
        if not strays:
            return
        done = sum(one.how == RunEnd.DONE for one in strays)
        named = [[one.task, one.run, one.how] for one in strays[:MAX_NAMED_ENDS]]
        extra = {"target": self.incarnation, "ends": len(strays), "done": done}
        logger.info("ends of runs that are not live", extra=extra | {"runs": named})

    def changes_from(self, view: TargetView, sent_ms: int) -> list[EndRun]:
        """
        Return the ends that the lists show, directly or by a missing run.

        A run that is missing may have ended as long as further ends are to be listed.
        """
        changes = [
            EndRun(*one.task, one.run, one.how, one.checkpoint)
            for one in view.ended
            if one.number > self.last_seen
        ]
        ended = {(one.task, one.run) for one in view.ended}
        if not view.ends_complete:
            extra = {"target": self.incarnation, "ends": len(ended)}
            logger.info("further ends are listed later", extra=extra)
        for key in self.live_runs():
            if key in self.listed:
                self.on_listed(key, sent_ms)
            elif key not in ended and view.ends_complete:
                how = self.end_of_unlisted(key, view.clock_ms, sent_ms)
                if how is not None:
                    changes.append(EndRun(*key[0], key[1], how))
        for key in list(self.tracked_runs):
            if key not in self.live_runs():
                del self.tracked_runs[key]
        return changes

    def on_listed(self, key: RunKey, sent_ms: int) -> None:
        """Record that a run is listed, and its progress."""
        tracked = self.tracked_runs.get(key)
        if tracked is None:
            tracked = TrackedRun(0, started_ms=sent_ms, accepted_ms=sent_ms)
            self.tracked_runs[key] = tracked
        if tracked.accepted_ms is None:
            tracked.accepted_ms = sent_ms
            tracked.unconfirmed = False
        percent = self.listed[key].percent
        tracked.listed_ms = self.leader.now()
        if percent != tracked.percent:
            tracked.percent, tracked.percent_since_ms = percent, tracked.listed_ms
            spec = self.leader.state.spec_of(key[0].step_id)
            is_trial = self.health.is_trial(tracked.started_ms)
            if spec.long_running and percent == AT_WORK_PERCENT and is_trial:
                self.health.on_success()

    def end_of_unlisted(
        self, key: RunKey, clock_ms: int, sent_ms: int
    ) -> RunEnd | None:
        """
        Return the end of a run that is not listed, None if undetermined.

        A start that this session has not ordered can't take effect any more: an earlier
        term's is fenced off, and one of this term is past its deadline.
        """
        tracked = self.tracked_runs.get(key)
        if tracked is None:
            if clock_ms <= self.earlier_deadline_ms:
                return None  # an order of an earlier session may still arrive
            extra = {"job": key[0].job_id, "task": key[0][1:], "run": key[1]}
            extra |= {"target": self.incarnation, "fence": self.leader.fence}
            logger.warning("start not ordered by this session", extra=extra)
            return RunEnd.REFUSED
        if tracked.accepted_ms is not None:
            if tracked.accepted_ms >= sent_ms:
                return None
            extra = {"job": key[0].job_id, "task": key[0][1:], "run": key[1]}
            extra |= {"target": self.incarnation, "acked_end": self.acked_end}
            logger.warning("run is missing from the lists", extra=extra)
            return RunEnd.LEASE_EXPIRED
        if tracked.unconfirmed and clock_ms > tracked.deadline_ms:
            return RunEnd.REFUSED
        return None

    def on_silence(self) -> None:
        """Schedule another call; end the runs once their lease has expired."""
        now = self.leader.now()
        self.missed_calls += 1
        if self.missed_calls == 1 and self.silent_since_ms is None:
            self.wake()  # a single answer may be lost: repeat the call at once
            return
        if self.silent_since_ms is None:
            self.silent_since_ms = now
            extra = {"target": self.incarnation, "address": self.target.address}
            logger.warning("target does not answer", extra=extra)
        live = list(self.live_runs())
        if live and now >= self.lease_end_ms:
            extra = {"target": self.incarnation, "runs": len(live)}
            extra["lease_ended_ms"] = now - self.lease_end_ms
            if self.renewed_ms is not None:
                extra["since_renewal_ms"] = now - self.renewed_ms
            logger.warning("runs lapsed", extra=extra)
            for task, run in live:
                self.leader.cycles.submit(EndRun(*task, run, RunEnd.LEASE_EXPIRED))
        elif not live and now - self.last_contact_ms > self.timing.removal_ms:
            self.end_incarnation("silent")
            return
        delay_ms = self.retry_ms
        if live and now < self.lease_end_ms:
            delay_ms = min(delay_ms, self.lease_end_ms - now + 1)
        self.retry_ms = min(2 * self.retry_ms, self.timing.retry_max_ms)
        self.sleep(delay_ms)

    def check_idle(self, now: int) -> None:
        """
        Call an idle target whose announcements have stopped or that has live runs.

        A start may be committed without a call: its change set may be applied after
        the leader has lost its lease and regained it, or its order may have failed.
        """
        if now - self.last_contact_ms > self.timing.idle_call_ms:
            self.check_presence()
        self.wake()

    def check_presence(self) -> None:
        """Call the target, which gets no new runs until it answers."""
        if self.silent_since_ms is None:
            self.silent_since_ms = self.leader.now()
        self.wake()

    def log_end(self) -> None:
        """Log what the target had not confirmed when its incarnation was over."""
        unconfirmed = sum(one.accepted_ms is None for one in self.tracked_runs.values())
        extra = {"target": self.incarnation, "unconfirmed": unconfirmed}
        extra |= {"last_seen": self.last_seen, "acked_end": self.acked_end}
        extra["since_contact_ms"] = self.leader.now() - self.last_contact_ms
        logger.info("target session ended", extra=extra)

    def end_incarnation(self, why: str) -> None:
        """Record that this incarnation has ended."""
        extra = {"target": self.incarnation, "why": why}
        logger.info("target is gone", extra=extra)
        self.leader.cycles.submit(EndIncarnation(self.incarnation))

    def on_announced(self, target: Target, clock_ms: int | None) -> None:
        """Process an announcement of the target."""
        self.target = target
        now = self.leader.now()
        self.last_contact_ms = now
        if clock_ms is not None:
            self.clock.observe(clock_ms, now)
        if self.silent_since_ms is not None or not self.confirmed:
            self.sleeping = False
            self.retry_ms = self.timing.retry_ms
            self.wake()

    def start(
        self, task: TaskId, run: int, body: str, checkpoint: str, ticket: str
    ) -> None:
        """Send the order for a durable start."""
        started = ensureDeferred(self.order_start(task, run, body, checkpoint, ticket))
        started.addErrback(self.on_order_error, (task, run))

    async def order_start(
        self, task: TaskId, run: int, body: str, checkpoint: str, ticket: str
    ) -> None:
        """Send a start, and process its answer."""
        now = self.leader.now()
        if self.closed or not self.leader.may_order():
            return
        margin_ms = self.timing.start_timeout_ms + self.clock.uncertainty(now)
        deadline_ms = self.clock.estimate(now) + margin_ms
        self.lease_end_ms = max(
            self.lease_end_ms, self.clock.certainly_passed(deadline_ms)
        )
        self.max_deadline_ms = max(self.max_deadline_ms, deadline_ms)
        tracked = TrackedRun(deadline_ms, started_ms=now)
        self.tracked_runs[task, run] = tracked
        fence = self.leader.fence
        order = StartOrder(task, run, body, deadline_ms, fence, checkpoint, ticket)
        self.wake()  # a start grants a lease only up to its own deadline
        answer = await self.leader.orders.start(self.target, order)
        if self.closed:
            return
        if answer.clock_ms is not None:
            self.clock.observe(answer.clock_ms, self.leader.now())
        self.on_start_answer(task, run, tracked, answer.outcome)

    def on_start_answer(
        self, task: TaskId, run: int, tracked: TrackedRun, outcome: OrderOutcome
    ) -> None:
        """Process the answer to a start."""
        if outcome == OrderOutcome.DONE:
            if tracked.accepted_ms is None:
                tracked.accepted_ms = self.leader.now()
            self.wake()
            return
        tracked.unconfirmed = True  # the lists decide if what is submitted here is lost
        extra = {"job": task.job_id, "task": task[1:], "run": run}
        extra |= {"target": self.incarnation, "outcome": outcome}
        logger.warning("start not confirmed", extra=extra)
        if outcome in (OrderOutcome.UNHEALTHY, OrderOutcome.INVALID):
            self.health.exclude(self.leader.now())
        if outcome == OrderOutcome.BAD_TICKET:
            self.leader.ticket_refused(self, task)
        if outcome in REFUSALS:
            self.leader.cycles.submit(EndRun(*task, run, RunEnd.REFUSED))
        elif outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        elif outcome == OrderOutcome.OTHER_INCARNATION:
            self.end_incarnation("another incarnation answers")
        self.wake()

    def on_order_error(self, failure, key: RunKey) -> None:
        """Log an unexpected error; the lists show what became of the order."""
        extra = {"job": key[0].job_id, "task": key[0][1:], "run": key[1]}
        extra |= {"target": self.incarnation, "failure": failure.getTraceback()}
        logger.critical("order failed", extra=extra)
        tracked = self.tracked_runs.get(key)
        if tracked is not None and tracked.accepted_ms is None:
            tracked.unconfirmed = True
        self.wake()

    def due_stops(self) -> list[RunKey]:
        """Return the unwanted runs to which a stop must be sent now."""
        now = self.leader.now()
        unwanted = self.leader.state.unwanted_runs
        due = []
        for key in self.live_runs():
            if key in unwanted:
                tracked = self.tracked_runs.get(key)
                if tracked is None or now - tracked.stop_sent_ms >= STOP_RETRY_MS:
                    due.append(key)
        return due

    def stop_unwanted(self) -> None:
        """Stop the runs of ended jobs, and surplus copies of tasks."""
        for key in self.due_stops():
            self.stop(key)

    def stop_strays(self) -> None:
        """Stop listed runs that are not live, and unwanted ones."""
        live = self.live_runs()
        for key in self.listed:
            if key not in live:
                extra = {"task": key[0], "run": key[1], "target": self.incarnation}
                logger.warning("stray run", extra=extra)
                self.stop(key)
        self.stop_unwanted()

    def is_stopping(self, key: RunKey) -> bool:
        """Return whether a stop was sent to a run within STOP_RETRY_MS."""
        tracked = self.tracked_runs.get(key)
        if tracked is None:
            return False
        return self.leader.now() - tracked.stop_sent_ms < STOP_RETRY_MS

    def works(self, key: RunKey) -> bool:
        """
        Return whether a long-running run is certain to be at work.

        A stop may take effect after its answer, or without one; this leader knows none
        of the stops by earlier leaders, which have taken effect or never will shortly
        after the target has seen this leader's fencing token. Those of earlier sessions
        of its own term have the same token.
        """
        listed, tracked = self.listed.get(key), self.tracked_runs.get(key)
        if listed is None or tracked is None or self.silent_since_ms is not None:
            return False
        last_stop_ms = max(
            [self.earlier_stops_ms.get(key, NEVER_MS), *tracked.stops_ms]
        )
        return (
            listed.percent >= AT_WORK_PERCENT
            and self.leader.now() - self.list_arrived_ms <= MAX_LIST_AGE_MS
            and self.view_clock_ms - self.first_clock_ms >= STOP_RETRY_MS
            and self.list_arrived_ms - last_stop_ms >= LATE_STOP_MS
        )

    def last_stops_ms(self) -> dict[RunKey, int]:
        """Return when the last stop of each run was sent that may take effect."""
        return {
            key: max(tracked.stops_ms)
            for key, tracked in self.tracked_runs.items()
            if tracked.stops_ms
        }

    def stop(self, key: RunKey) -> None:
        """Send a stop."""
        if self.closed or not self.leader.may_order():
            return
        tracked = self.tracked_runs.get(key)
        if tracked is None:
            tracked = self.tracked_runs[key] = TrackedRun(0, accepted_ms=0)
        tracked.stop_sent_ms = self.leader.now()
        order = StopOrder(key[0], key[1], self.leader.fence)
        stopped: Deferred = ensureDeferred(self.order_stop(order, tracked))
        stopped.addErrback(self.on_order_error, key)

    async def order_stop(self, order: StopOrder, tracked: TrackedRun) -> None:
        """Send a stop; the lists show when it has taken effect."""
        sent_ms = self.leader.now()
        tracked.stops_ms.append(sent_ms)
        answer = await self.leader.orders.stop(self.target, order)
        if answer.outcome == OrderOutcome.NOT_SENT:
            tracked.stops_ms.remove(sent_ms)
        if not self.closed and answer.outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        self.wake()
