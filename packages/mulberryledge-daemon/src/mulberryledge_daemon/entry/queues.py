"""
mulberryledge_daemon.entry.queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounded queues of calls that wait for capacity, fair between teams. A call that is
not expected to get capacity in time is refused on arrival.
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
from mulberryledge_daemon.entry.loans import Claim, Loans, TargetLoan
from mulberryledge_daemon.ports import AppliedEvent, ReplicatedLog

__all__ = ["CallQueues", "WaitingCall"]

TEAM_QUEUE_CALLS = 256  # per team and service


@dataclass(slots=True, eq=False)
class WaitingCall:
    """
    A call that waits for a slot and a permit.

    Attributes
    ----------
    revalidate : callable
        Returns why the call may not be dispatched any more, or None.
    """

    service: str
    team: str
    deadline_s: float
    tried: tuple[TargetLoan, ...]
    revalidate: Callable[[], Refusal | None]
    done: Deferred = field(default_factory=Deferred)
    timer: object = None


@dataclass(slots=True)
class ServiceQueue:
    """The waiting calls of one service, and its queueing times."""

    waiting: FairQueue[WaitingCall]
    times: QueueTime


class CallQueues:
    """Queues of the calls that wait at this entry, one for each service."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog, loans: Loans):
        self.clock = clock
        self.log = log
        self.loans = loans
        self.queues: dict[str, ServiceQueue] = {}
        self.dispatching = False
        self.rerun = False
        self.on_shortage: Callable[[], None] = no_op
        self.on_release: Callable[[], None] = no_op
        log.watch(self.on_applied)

    def queue_of(self, service: str) -> ServiceQueue:
        """Return the queue of a service, created on first use."""
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
        tried: tuple[TargetLoan, ...],
        disconnected: Deferred | None,
        revalidate: Callable[[], Refusal | None],
    ) -> Result[Claim, Refusal]:
        """
        Wait for a slot of the service and a permit of the team.

        Parameters
        ----------
        deadline_s : float
            Deadline of the call, on the reactor's clock.
        tried : tuple of TargetLoan
            Targets that the call was already dispatched to.
        disconnected : Deferred or None
            Fires when the caller disconnects.
        revalidate : callable
            Returns why the call may not be dispatched any more, or None; called when
            a key is withdrawn, so that its calls are refused without further wait.
        """
        queue = self.queue_of(service)
        if not queue.waiting.size:
            queue.times = QueueTime(queue.times.run_s, self.clock.seconds())
            claim = self.loans.claim(service, team, tried)
            if claim is not None:
                return Ok(claim)
        waiter = WaitingCall(service, team, deadline_s, tried, revalidate)
        refusal = self.enqueue(queue, waiter)
        if refusal is not None:
            return Err(refusal)
        if disconnected is not None:
            disconnected.addBoth(
                lambda _: self.refuse_waiting(waiter, "the caller disconnected")
            )
        self.serve()
        return await waiter.done

    def enqueue(self, queue: ServiceQueue, waiter: WaitingCall) -> Refusal | None:
        """Add a call to its team's queue, or return why it is refused."""
        now_s = self.clock.seconds()
        timeout_s = waiter.deadline_s - now_s
        allowed_s = allowed_wait_s(queue.times, now_s, timeout_s)
        slots = sum(loan.granted for loan in self.loans_of(waiter.service))
        ahead = queue.waiting.depth(waiter.team)
        if expected_wait_s(queue.times, ahead, slots) > allowed_s:
            text = (
                f"{ahead} calls of team {waiter.team!r} are queued: no capacity in time"
            )
            return Refusal(Code.OVERLOADED, text)
        if not queue.waiting.push(waiter.team, waiter):
            text = (
                f"{ahead} calls of team {waiter.team!r} are queued: its queue is full"
            )
            return Refusal(Code.OVERLOADED, text)
        text = f"no capacity for service {waiter.service!r} within the deadline"
        waiter.timer = self.clock.callLater(
            allowed_s, self.refuse_waiting, waiter, text
        )
        return None

    def loans_of(self, service: str) -> list[TargetLoan]:
        """Return the usable slot loans of a service."""
        return self.loans.refresh().loans_by_service.get(service, [])

    def refuse_waiting(self, waiter: WaitingCall, text: str) -> None:
        """Refuse a call if it is still queued."""
        waiting = self.queues[waiter.service].waiting
        if waiting.remove(waiter.team, waiter):
            self.settle(waiter, Err(Refusal(Code.OVERLOADED, text)))

    def settle(self, waiter: WaitingCall, outcome: Result[Claim, Refusal]) -> None:
        """Report the outcome of the wait to the call."""
        if waiter.timer is not None and waiter.timer.active():
            waiter.timer.cancel()
        waiter.done.callback(outcome)

    def release(self, claim: Claim) -> None:
        """Release a claim and serve the waiting calls."""
        self.loans.release(claim)
        self.serve()
        self.on_release()

    def record_run(self, service: str, seconds: float) -> None:
        """Record the run time of a call at its target."""
        queue = self.queue_of(service)
        queue.times = after_run(queue.times, seconds)

    def on_applied(self, event: AppliedEvent) -> None:
        """Refuse calls of a withdrawn key; serve waiting ones when loans change."""
        if isinstance(event.command, WithdrawKey):
            self.refuse_invalidated()
        if self.loans.stale and self.any_waiting():
            self.clock.callLater(0, self.serve)

    def refuse_invalidated(self) -> None:
        """Refuse the waiting calls that may not be dispatched any more."""
        for queue in self.queues.values():
            for waiter in queue.waiting.items():
                refusal = waiter.revalidate()
                if refusal is not None and queue.waiting.remove(waiter.team, waiter):
                    self.settle(waiter, Err(refusal))

    def any_waiting(self) -> bool:
        """Return whether any call is waiting."""
        return any(queue.waiting.size for queue in self.queues.values())

    def serve(self) -> None:
        """Assign free slots to waiting calls; a reentrant call repeats the pass."""
        if self.dispatching:
            self.rerun = True
            return
        self.dispatching = self.rerun = True
        try:
            while self.rerun:
                self.rerun = False
                for service, queue in list(self.queues.items()):
                    if queue.waiting.size:
                        self.assign_slots(service)
        finally:
            self.dispatching = False
        if self.any_waiting():
            self.on_shortage()

    def assign_slots(self, service: str) -> None:
        """Assign the free slots of a service in fair order."""
        queue = self.queue_of(service)
        while queue.waiting.size and self.loans.pick_loan(service) is not None:
            waiter = queue.waiting.pop(self.share_of, self.has_permit)
            if waiter is None:
                return
            remaining_s = waiter.deadline_s - self.clock.seconds()
            if remaining_s <= queue.times.run_s:
                text = "the remaining time is shorter than a typical run of the call"
                self.settle(waiter, Err(Refusal(Code.DEADLINE, text)))
                continue
            claim = self.loans.claim(service, waiter.team, waiter.tried)
            if claim is None:
                text = "this entry has lost its loans: try another one"
                self.settle(waiter, Err(Refusal(Code.NOT_FRESH, text)))
                continue
            self.settle(waiter, Ok(claim))

    def share_of(self, team: str) -> float:
        """Return the share of a team, by default 1."""
        record = self.log.state.teams.get(team)
        return record.share if record is not None else 1.0

    def has_permit(self, team: str) -> bool:
        """Return whether the team has a free permit on loan."""
        permits = self.loans.permit_loans.get(team)
        return permits is not None and permits.free > 0


def no_op() -> None:
    """Do nothing."""
