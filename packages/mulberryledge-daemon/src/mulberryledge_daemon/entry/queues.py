"""
mulberryledge_daemon.entry.queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls that wait for capacity: bounded, in fair turns over teams, refused early.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.teams import WithdrawKey
from mulberryledge_core.decisions.fair_queue import FairQueue
from mulberryledge_core.decisions.queue_time import (
    QueueTime,
    after_run,
    allowed_wait_s,
    expected_wait_s,
)
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.entry.loans import Claim, LentTarget, Loans
from mulberryledge_daemon.ports import AppliedEvent, ReplicatedLog

__all__ = ["Queues", "Waiter"]

TEAM_QUEUE_CALLS = 256  # calls of one team that may wait for one service


@dataclass(slots=True, eq=False)
class Waiter:
    """
    A call that waits for a slot and a permit.

    Attributes
    ----------
    void : callable
        Returns why the call may not run any more, or None.
    """

    service: str
    team: str
    deadline_s: float
    tried: tuple[LentTarget, ...]
    void: Callable[[], Refusal | None]
    done: Deferred = field(default_factory=Deferred)
    timer: object = None


@dataclass(slots=True)
class ServiceQueue:
    """The waiting calls of one service, and what they may expect."""

    waiting: FairQueue[Waiter]
    times: QueueTime


class Queues:
    """Owns the calls that wait at this entry."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog, loans: Loans):
        self.clock = clock
        self.log = log
        self.loans = loans
        self.queues: dict[str, ServiceQueue] = {}
        self.serving = False
        self.again = False
        self.on_short: Callable[[], None] = nothing
        self.on_release: Callable[[], None] = nothing
        log.watch(self.on_applied)

    def queue_of(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            times = QueueTime(last_empty_s=self.clock.seconds())
            queue = self.queues[service] = ServiceQueue(
                FairQueue(TEAM_QUEUE_CALLS), times
            )
        return queue

    async def acquire(
        self,
        service: str,
        team: str,
        deadline_s: float,
        tried: tuple[LentTarget, ...],
        gone: Deferred | None,
        void: Callable[[], Refusal | None],
    ) -> Result[Claim, Refusal]:
        """
        Wait for a slot of the service and a permit of the team.

        Parameters
        ----------
        deadline_s : float
            Deadline of the call in seconds of the clock.
        tried : tuple of LentTarget
            Targets that failed the call.
        gone : Deferred or None
            Fires when the caller goes away.
        void : callable
            Returns why the call may not run any more, or None; asked when a key is
            withdrawn, as nothing is gained by a longer wait.
        """
        queue = self.queue_of(service)
        if not queue.waiting.size:
            queue.times = QueueTime(queue.times.run_s, self.clock.seconds())
            claim = self.loans.claim(service, team, tried)
            if claim is not None:
                return Ok(claim)
        waiter = Waiter(service, team, deadline_s, tried, void)
        refusal = self.enqueue(queue, waiter)
        if refusal is not None:
            return Err(refusal)
        if gone is not None:
            gone.addBoth(lambda _: self.give_up(waiter, "the caller went away"))
        self.serve()
        return await waiter.done

    def enqueue(self, queue: ServiceQueue, waiter: Waiter) -> Refusal | None:
        """Add a call to its team's queue, or say why it may not wait."""
        now_s = self.clock.seconds()
        timeout_s = waiter.deadline_s - now_s
        allowed_s = allowed_wait_s(queue.times, now_s, timeout_s)
        slots = sum(slot.lent for slot in self.lent(waiter.service))
        ahead = queue.waiting.depth(waiter.team)
        if expected_wait_s(queue.times, ahead, slots) > allowed_s:
            text = f"{ahead} calls of team {waiter.team!r} wait: no turn in time"
            return Refusal(Code.OVERLOADED, text)
        if not queue.waiting.push(waiter.team, waiter):
            text = f"{ahead} calls of team {waiter.team!r} wait: its queue is full"
            return Refusal(Code.OVERLOADED, text)
        text = f"no capacity for service {waiter.service!r} within the deadline"
        waiter.timer = self.clock.callLater(allowed_s, self.give_up, waiter, text)
        return None

    def lent(self, service: str) -> list[LentTarget]:
        """Return the targets of a service that slots are lent of."""
        return self.loans.refresh().lent.get(service, [])

    def give_up(self, waiter: Waiter, text: str) -> None:
        """Refuse a call that has waited long enough."""
        waiting = self.queues[waiter.service].waiting
        if waiting.remove(waiter.team, waiter):
            self.settle(waiter, Err(Refusal(Code.OVERLOADED, text)))

    def settle(self, waiter: Waiter, outcome: Result[Claim, Refusal]) -> None:
        """Tell a call what came of its wait."""
        if waiter.timer is not None and waiter.timer.active():
            waiter.timer.cancel()
        waiter.done.callback(outcome)

    def release(self, claim: Claim) -> None:
        """Give a slot and a permit back and serve those who wait."""
        self.loans.release(claim)
        self.serve()
        self.on_release()

    def note_run(self, service: str, seconds: float) -> None:
        """Take note of the time that a call took at its target."""
        queue = self.queue_of(service)
        queue.times = after_run(queue.times, seconds)

    def on_applied(self, event: AppliedEvent) -> None:
        """Serve those who wait after each change of state; refuse the void ones."""
        if isinstance(event.command, WithdrawKey):
            self.refuse_void()
        if self.loans.stale and self.any_waiting():
            self.clock.callLater(0, self.serve)

    def refuse_void(self) -> None:
        """Refuse the calls that may not run any more."""
        for queue in self.queues.values():
            for waiter in queue.waiting.items():
                refusal = waiter.void()
                if refusal is not None and queue.waiting.remove(waiter.team, waiter):
                    self.settle(waiter, Err(refusal))

    def any_waiting(self) -> bool:
        """Return whether any call waits."""
        return any(queue.waiting.size for queue in self.queues.values())

    def serve(self) -> None:
        """Hand out what is free; a call that starts may free something itself."""
        if self.serving:
            self.again = True
            return
        self.serving = self.again = True
        try:
            while self.again:
                self.again = False
                for service, queue in list(self.queues.items()):
                    if queue.waiting.size:
                        self.hand_out(service)
        finally:
            self.serving = False
        if self.any_waiting():
            self.on_short()

    def hand_out(self, service: str) -> None:
        """Give the free slots of a service to those whose turn it is."""
        queue = self.queue_of(service)
        while queue.waiting.size and self.loans.pick(service) is not None:
            waiter = queue.waiting.pop(self.share_of, self.has_permit)
            if waiter is None:
                return
            left_s = waiter.deadline_s - self.clock.seconds()
            if left_s <= queue.times.run_s:
                text = "too little time is left to run the call before its deadline"
                self.settle(waiter, Err(Refusal(Code.DEADLINE, text)))
                continue
            claim = self.loans.claim(service, waiter.team, waiter.tried)
            if claim is None:
                text = "this entry has lost its loans: try another one"
                self.settle(waiter, Err(Refusal(Code.NOT_FRESH, text)))
                continue
            self.settle(waiter, Ok(claim))

    def share_of(self, team: str) -> float:
        """Return the share of a team."""
        record = self.log.state.teams.get(team)
        return record.share if record is not None else 1.0

    def has_permit(self, team: str) -> bool:
        """Return whether a permit of the team is free."""
        permits = self.loans.permits.get(team)
        return permits is not None and permits.free > 0


def nothing() -> None:
    """Do nothing."""
