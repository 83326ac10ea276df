"""
mulberryledge_daemon.batch.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's dealings with one life of a target: the lease of what runs there, the
lists of runs and ends, starts and stops.

A target's lists are the truth about what runs on it. A start whose answer is lost is
settled by a list that was made after the start's deadline. The runs of a target that
does not answer count until the lease that they hold has surely run out.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred, ensureDeferred

from mulberryledge_core.batch.commands import EndLife, EndRun, RunEnd
from mulberryledge_core.batch.specs import TaskId
from mulberryledge_core.batch.state import BatchState, RunKey
from mulberryledge_core.batch.suspicion import Health
from mulberryledge_core.batch.targets import Target
from mulberryledge_daemon.batch.clocks import TargetClock
from mulberryledge_daemon.batch.ports import (
    HoldOrder,
    ListedRun,
    OrderOutcome,
    StartOrder,
    StopOrder,
    TargetOrders,
    TargetView,
)
from mulberryledge_daemon.batch.rounds import Committed, Rounds

__all__ = ["Leadership", "SessionTiming", "TargetSession"]

REFUSALS = (
    OrderOutcome.OLD_RUN,
    OrderOutcome.LATE,
    OrderOutcome.NO_ROOM,
    OrderOutcome.BAD_TICKET,
    OrderOutcome.INVALID,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.NOT_SENT,
)
STOP_AGAIN_MS = 500  # a stop takes 0.2 to 0.4 s by the platform's own figures

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """
    Times in milliseconds.

    Attributes
    ----------
    lease_ms : int
        Lease given to what runs; the platform shortens longer ones.
    start_ms : int
        Time after which a target refuses a start that was delayed.
    wait_ms : int
        How long a target may keep a list back until something ends.
    retry_ms, retry_max_ms : int
        Time between two calls to a target that does not answer, doubled each time.
    quiet_ms : int
        Silence after which an idle target is called.
    forget_ms : int
        Silence after which a target without a lease is forgotten.
    """

    lease_ms: int = 6_000
    start_ms: int = 600
    wait_ms: int = 1_000
    retry_ms: int = 250
    retry_max_ms: int = 2_000
    quiet_ms: int = 4_000
    forget_ms: int = 15_000


class Leadership(Protocol):
    """What a session needs of the leader that it belongs to."""

    fence: int
    state: BatchState
    rounds: Rounds
    orders: TargetOrders

    def now(self) -> int:
        """Return milliseconds of a clock that goes on while the host sleeps."""

    def may_order(self) -> bool:
        """Return whether nobody else can lead yet."""

    def on_fenced(self, target: Target) -> None:
        """Take note that a target has seen another leader's fencing token."""

    def run_done(self, key: RunKey, real_ms: int) -> None:
        """Take note of how long a run took that is done."""

    def run_failed(self, session: "TargetSession", task: TaskId) -> None:
        """Take note of a run that has failed."""

    def ticket_refused(self, session: "TargetSession", task: TaskId) -> None:
        """Take note of a ticket that the target did not take."""

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later, unless the lead is lost before."""


@dataclass(slots=True)
class Track:
    """
    What this leader knows of a run that it has ordered.

    Attributes
    ----------
    deadline_ms : int
        Of the start, on the target's clock.
    accepted_ms : int or None
        When the target confirmed the start.
    unknown : bool
        Whether the start got no answer.
    stopped_ms : int
        When it was last told to stop.
    percent, percent_ms : int
        Progress by the latest list, and when it was first seen to be so.
    listed_ms : int
        When the latest list came.
    """

    deadline_ms: int
    accepted_ms: int | None = None
    unknown: bool = False
    stopped_ms: int = -1_000_000
    percent: int = -1
    percent_ms: int = 0
    listed_ms: int = 0


class TargetSession:
    """
    Owns what the leader knows of one life of a target.

    Attributes
    ----------
    confirmed : bool
        Whether the target has listed its runs under this leader's fencing token.
    silent_ms : int or None
        Since when it has not answered.
    lapse_ms : int
        When the lease of all that runs there has surely run out.
    last_seen : int
        Number of the last end that is durable.
    listed : dict of RunKey to ListedRun
        Runs of the latest list.
    health : Health
        What became of the work that the target had.
    missed : int
        Calls in a row that got no answer.
    renewed_ms : int or None
        When the last call that renewed the lease and was answered was sent.
    look_ms : int or None
        How long a list may wait for an end at most, if less than usual.
    paced : bool
        Whether what fills there works below its full pace.
    """

    def __init__(
        self, target: Target, leader: Leadership, timing: SessionTiming, lapse_ms: int
    ):
        self.target = target
        self.leader = leader
        self.timing = timing
        self.clock = TargetClock()
        self.lapse_ms = lapse_ms
        self.confirmed = False
        self.silent_ms: int | None = None
        self.heard_ms = leader.now()
        self.last_seen = 0
        self.acked = 0
        self.view_clock_ms = -1
        self.listed: dict[RunKey, ListedRun] = {}
        self.health = Health()
        self.missed = 0
        self.renewed_ms: int | None = None
        self.look_ms: int | None = None
        self.paced = False
        self.tracks: dict[RunKey, Track] = {}
        self.closed = False
        self.calling = False
        self.retry_ms = timing.retry_ms
        self.sleeping = False

    @property
    def life(self) -> str:
        """Life of the target."""
        return self.target.life

    def usable(self) -> bool:
        """Return whether new runs may be started there."""
        return (
            self.confirmed
            and self.silent_ms is None
            and not self.closed
            and not self.target.draining
            and not self.health.excluded(self.leader.now())
        )

    def close(self) -> None:
        """Give no more orders."""
        self.closed = True
        self.leader.orders.forget(self.target)

    def live(self) -> dict[RunKey, object]:
        """Return the runs that count as live there."""
        return self.leader.state.live_runs(self.life)

    # The lease and the lists.

    def wake(self) -> None:
        """Call the target if there is a reason to."""
        if self.calling or self.closed or self.sleeping:
            return
        settled = self.confirmed and self.silent_ms is None
        if settled and not self.live() and self.acked >= self.last_seen:
            return
        self.calling = True
        called = ensureDeferred(self.hold())
        called.addErrback(self.broken)

    def broken(self, failure) -> None:
        """Log a failure of the program, and go on."""
        self.calling = False
        logger.critical("session failed", extra={"failure": failure.getTraceback()})
        self.sleep(self.timing.retry_max_ms)

    def sleep(self, delay_ms: int) -> None:
        """Call again after a while."""
        self.sleeping = True

        def awake() -> None:
            self.sleeping = False
            self.wake()

        self.leader.after(delay_ms / 1_000, awake)

    async def hold(self) -> None:
        """Renew the lease and take the lists once."""
        if not self.leader.may_order():
            self.calling = False
            self.sleep(self.timing.retry_ms)
            return
        sent_ms = self.leader.now()
        order = self.hold_order(sent_ms)
        answer = await self.leader.orders.hold(self.target, order)
        if self.closed:
            return
        if isinstance(answer, TargetView):
            self.acked = max(self.acked, order.last_seen)
            if order.deadline_ms is not None:
                self.renewed_ms = sent_ms
            await self.on_view(answer, sent_ms)
            self.calling = False
            self.wake()
            return
        self.calling = False
        if answer.outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        elif answer.outcome == OrderOutcome.OTHER_LIFE:
            self.end_life("another life answers")
        else:
            self.on_silence()

    def hold_order(self, now: int) -> HoldOrder:
        """Return the next order; an unanswered target's lease is not renewed."""
        fence, seen = self.leader.fence, self.last_seen
        if not self.clock.known or self.missed or not self.live():
            return HoldOrder(fence, seen)
        wait_ms = 0 if self.stops_due() else self.timing.wait_ms
        if not self.holds_firmly(now):
            wait_ms = 0  # a lost call has to be noticed while the lease still runs
        if self.look_ms is not None:
            wait_ms = min(wait_ms, self.look_ms)
        deadline_ms = self.clock.estimate(now) + self.timing.lease_ms
        self.lapse_ms = max(self.lapse_ms, self.clock.surely_past(deadline_ms))
        return HoldOrder(fence, seen, deadline_ms, wait_ms)

    def holds_firmly(self, now: int) -> bool:
        """Return whether the lease is known to run for about half of its time yet."""
        if self.renewed_ms is None:
            return False
        return now - self.renewed_ms < self.timing.lease_ms / 2

    async def on_view(self, view: TargetView, sent_ms: int) -> None:
        """Take the lists of a target."""
        now = self.leader.now()
        if view.born_ms is not None and view.born_ms != self.target.born_ms:
            self.end_life("another life answers")
            return
        self.clock.observe(view.clock_ms, now)
        self.heard_ms = now
        self.silent_ms = None
        self.missed = 0
        self.retry_ms = self.timing.retry_ms
        if view.clock_ms < self.view_clock_ms:
            return
        self.view_clock_ms = view.clock_ms
        self.listed = {(one.task, one.run): one for one in view.running}
        newly = not self.confirmed
        self.confirmed = True
        self.learn_from_ends(view, now)
        changes = self.changes_of(view, sent_ms)
        self.stop_strays()
        if newly:
            self.leader.rounds.wake()
        dones = [self.leader.rounds.submit(change) for change in changes]
        verdicts = [await done for done in dones]
        if all(verdict == Committed.YES for verdict in verdicts):
            numbers = [one.number for one in view.ended]
            self.last_seen = max([self.last_seen, *numbers])

    def learn_from_ends(self, view: TargetView, now: int) -> None:
        """Report what became of the runs that have ended."""
        for one in view.ended:
            if one.number <= self.last_seen:
                continue
            if one.how == RunEnd.FAILED:
                self.leader.run_failed(self, one.task)
            elif one.how == RunEnd.DONE:
                self.health.on_done()
                track = self.tracks.get((one.task, one.run))
                if track is not None and track.accepted_ms is not None:
                    real_ms = now - track.accepted_ms
                    self.leader.run_done((one.task, one.run), real_ms)

    def changes_of(self, view: TargetView, sent_ms: int) -> list[EndRun]:
        """Return what the lists say about runs that count as live, or have ended."""
        changes = [
            EndRun(*one.task, one.run, one.how, one.checkpoint)
            for one in view.ended
            if one.number > self.last_seen
        ]
        ended = {(one.task, one.run) for one in view.ended}
        for key in self.live():
            if key in self.listed:
                self.on_listed(key, sent_ms)
            elif key not in ended:
                how = self.missing(key, view.clock_ms, sent_ms)
                if how is not None:
                    changes.append(EndRun(*key[0], key[1], how))
        for key in list(self.tracks):
            if key not in self.live():
                del self.tracks[key]
        return changes

    def on_listed(self, key: RunKey, sent_ms: int) -> None:
        """Take note that a run is there, and how far it is."""
        track = self.tracks.get(key)
        if track is None:
            track = self.tracks[key] = Track(0, accepted_ms=sent_ms)
        if track.accepted_ms is None:
            track.accepted_ms = sent_ms
            track.unknown = False
        percent = self.listed[key].percent
        track.listed_ms = self.leader.now()
        if percent != track.percent:
            track.percent, track.percent_ms = percent, track.listed_ms

    def missing(self, key: RunKey, clock_ms: int, sent_ms: int) -> RunEnd | None:
        """Return how a run counts that a target does not list, None if not known."""
        track = self.tracks.get(key)
        if track is None:
            return RunEnd.REFUSED  # an earlier leader's start is fenced off by now
        if track.accepted_ms is not None:
            return RunEnd.LAPSED if track.accepted_ms < sent_ms else None
        if track.unknown and clock_ms > track.deadline_ms:
            return RunEnd.REFUSED
        return None

    def on_silence(self) -> None:
        """Call again later; once the lease has run out, count the runs as lapsed."""
        now = self.leader.now()
        self.missed += 1
        if self.missed == 1 and self.silent_ms is None:
            self.wake()  # one answer may be lost; the next call does not wait
            return
        if self.silent_ms is None:
            self.silent_ms = now
            extra = {"target": self.life, "address": self.target.address}
            logger.warning("target does not answer", extra=extra)
        live = list(self.live())
        if live and now >= self.lapse_ms:
            extra = {"target": self.life, "runs": len(live)}
            logger.warning("runs lapsed", extra=extra)
            for task, run in live:
                self.leader.rounds.submit(EndRun(*task, run, RunEnd.LAPSED))
        elif not live and now - self.heard_ms > self.timing.forget_ms:
            self.end_life("silent")
            return
        delay_ms = self.retry_ms
        if live and now < self.lapse_ms:
            delay_ms = min(delay_ms, self.lapse_ms - now + 1)
        self.retry_ms = min(2 * self.retry_ms, self.timing.retry_max_ms)
        self.sleep(delay_ms)

    def check_quiet(self) -> None:
        """Call an idle target that has not announced itself for long."""
        quiet_ms = self.leader.now() - self.heard_ms
        if self.silent_ms is None and quiet_ms > self.timing.quiet_ms:
            self.silent_ms = self.leader.now()
            self.wake()

    def end_life(self, why: str) -> None:
        """Let this life count as over."""
        extra = {"target": self.life, "why": why}
        logger.info("target is gone", extra=extra)
        self.leader.rounds.submit(EndLife(self.life))

    def on_announced(self, target: Target, clock_ms: int | None) -> None:
        """Take note that the target has announced itself."""
        self.target = target
        now = self.leader.now()
        self.heard_ms = now
        if clock_ms is not None:
            self.clock.observe(clock_ms, now)
        if self.silent_ms is not None or not self.confirmed:
            self.sleeping = False
            self.retry_ms = self.timing.retry_ms
            self.wake()

    # Starts and stops.

    def start(
        self, task: TaskId, run: int, body: str, checkpoint: str, ticket: str
    ) -> None:
        """Order a start that is durable."""
        started = ensureDeferred(self.order_start(task, run, body, checkpoint, ticket))
        started.addErrback(self.broken)

    async def order_start(
        self, task: TaskId, run: int, body: str, checkpoint: str, ticket: str
    ) -> None:
        """Order a start, and deal with its answer."""
        now = self.leader.now()
        if self.closed or not self.leader.may_order():
            return
        margin_ms = self.timing.start_ms + self.clock.uncertainty(now)
        deadline_ms = self.clock.estimate(now) + margin_ms
        self.lapse_ms = max(self.lapse_ms, self.clock.surely_past(deadline_ms))
        track = Track(deadline_ms)
        self.tracks[task, run] = track
        fence = self.leader.fence
        order = StartOrder(task, run, body, deadline_ms, fence, checkpoint, ticket)
        self.wake()  # the start alone gives a lease up to its own deadline
        answer = await self.leader.orders.start(self.target, order)
        if self.closed:
            return
        if answer.clock_ms is not None:
            self.clock.observe(answer.clock_ms, self.leader.now())
        self.on_start_answer(task, run, track, answer.outcome)

    def on_start_answer(
        self, task: TaskId, run: int, track: Track, outcome: OrderOutcome
    ) -> None:
        """Deal with the answer to a start."""
        if outcome == OrderOutcome.DONE:
            if track.accepted_ms is None:
                track.accepted_ms = self.leader.now()
            self.wake()
            return
        extra = {"job": task.job_id, "task": task[1:], "run": run}
        extra |= {"target": self.life, "outcome": outcome}
        logger.warning("start not confirmed", extra=extra)
        if outcome in (OrderOutcome.UNHEALTHY, OrderOutcome.INVALID):
            self.health.exclude(self.leader.now())
        if outcome == OrderOutcome.BAD_TICKET:
            self.leader.ticket_refused(self, task)
        if outcome in REFUSALS:
            self.leader.rounds.submit(EndRun(*task, run, RunEnd.REFUSED))
        elif outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        elif outcome == OrderOutcome.OTHER_LIFE:
            self.end_life("another life answers")
        else:
            track.unknown = True
        self.wake()

    def stops_due(self) -> list[RunKey]:
        """Return the runs that should end and are to be told so now."""
        now = self.leader.now()
        unwanted = self.leader.state.unwanted_runs
        due = []
        for key in self.live():
            if key in unwanted:
                track = self.tracks.get(key)
                if track is None or now - track.stopped_ms >= STOP_AGAIN_MS:
                    due.append(key)
        return due

    def stop_unwanted(self) -> None:
        """Stop the runs of jobs that have ended, and surplus copies."""
        for key in self.stops_due():
            self.stop(key)

    def stop_strays(self) -> None:
        """Stop what runs there and should not."""
        live = self.live()
        for key in self.listed:
            if key not in live:
                extra = {"task": key[0], "run": key[1], "target": self.life}
                logger.warning("stray run", extra=extra)
                self.stop(key)
        self.stop_unwanted()

    def stopping(self, key: RunKey) -> bool:
        """Return whether a run has been told to stop lately."""
        track = self.tracks.get(key)
        if track is None:
            return False
        return self.leader.now() - track.stopped_ms < STOP_AGAIN_MS

    def stop(self, key: RunKey) -> None:
        """Order a stop."""
        if self.closed or not self.leader.may_order():
            return
        track = self.tracks.get(key)
        if track is None:
            track = self.tracks[key] = Track(0, accepted_ms=0)
        track.stopped_ms = self.leader.now()
        order = StopOrder(key[0], key[1], self.leader.fence)
        stopped: Deferred = ensureDeferred(self.order_stop(order))
        stopped.addErrback(self.broken)

    async def order_stop(self, order: StopOrder) -> None:
        """Order a stop; the lists tell when it has taken effect."""
        answer = await self.leader.orders.stop(self.target, order)
        if not self.closed and answer.outcome == OrderOutcome.FENCED:
            self.leader.on_fenced(self.target)
        self.wake()
