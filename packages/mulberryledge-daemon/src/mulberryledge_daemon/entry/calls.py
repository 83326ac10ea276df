"""
mulberryledge_daemon.entry.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Dispatch of admitted calls to targets, with retries and reported run outcomes.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import BinaryIO

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.decisions.retries import (
    RetryBudget,
    backoff_s,
    credit_call,
    may_retry,
    take_retry,
)
from mulberryledge_core.model.jobs import Reservation, ReservationPhase
from mulberryledge_core.model.services import CallsSection
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_daemon.entry.admission import recheck_key
from mulberryledge_daemon.entry.loans import Claim, TargetLoan
from mulberryledge_daemon.entry.queues import CallQueues
from mulberryledge_daemon.entry.reservations import GrantedReservation, Reservations
from mulberryledge_daemon.ports import (
    AnswerSink,
    CallRequest,
    DispatchOutcome,
    Header,
    ReplicatedLog,
    TargetClient,
)

__all__ = ["Call", "CallDispatcher", "CallFailure", "CallResult", "refusal_run_outcome"]

PHASE_BY_RUN_OUTCOME = {
    RunOutcome.NOT_RUN: ReservationPhase.NOT_RUN,
    RunOutcome.RAN: ReservationPhase.ANSWERED,
    RunOutcome.UNKNOWN: ReservationPhase.UNKNOWN,
}
FAILING_STATUSES = frozenset((500, 502, 503, 504))
HASH_CHUNK_BYTES = 64 * 1_024
FAIR_TIMEOUT_RUN_TIMES = 5.0  # shorter time-outs don't count against the target
DEFAULT_RUN_S = 0.2  # typical run time until a call has been answered


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """
    One call of a caller.

    Attributes
    ----------
    request_id : str
        The caller's idempotency key where the service is not repeatable, else a
        generated unique identifier.
    body : bytes or BinaryIO
        Request body; a file if it is too large for memory.
    length : int
        Length of the body in bytes.
    has_idempotency_key : bool
        Whether the caller sent an idempotency key.
    timeout_s : float or None
        The caller's own deadline, in seconds from now.
    sink : AnswerSink or None
        Receives an answer that is too large to be buffered.
    disconnected : Deferred or None
        Fires when the caller disconnects.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | BinaryIO
    length: int
    has_idempotency_key: bool
    timeout_s: float | None = None
    sink: AnswerSink | None = None
    disconnected: Deferred | None = None


@dataclass(frozen=True, slots=True)
class CallFailure:
    """
    A call without a complete answer.

    Attributes
    ----------
    run : RunOutcome
        What is known of the call's run.
    streamed : bool
        Whether a truncated answer was sent to the caller.
    """

    run: RunOutcome
    refusal: Refusal
    streamed: bool = False


CallResult = Result[DispatchOutcome, CallFailure]


@dataclass(slots=True)
class DispatchProgress:
    """State of a call between its dispatches."""

    deadline_s: float
    run: RunOutcome = RunOutcome.NOT_RUN
    tried: tuple[TargetLoan, ...] = ()


class CallDispatcher:
    """Dispatches the calls of one entry."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        queues: CallQueues,
        reservations: Reservations,
        client: TargetClient,
        random: Callable[[], float],
    ):
        self.clock = clock
        self.log = log
        self.queues = queues
        self.loans = queues.loans
        self.reservations = reservations
        self.client = client
        self.random = random
        self.budgets: dict[str, RetryBudget] = {}
        self.target_by_request_id: dict[str, str] = {}

    async def run(self, key: TeamKey, call: Call) -> tuple[CallResult, int]:
        """
        Run one call for the team of the key.

        Returns
        -------
        tuple of CallResult and int
            The outcome and the number of dispatches to targets.
        """
        service = self.log.state.services.get(call.service)
        if service is None or service.document.calls is None:
            text = f"service {call.service!r} takes no calls"
            return self.refuse(call, Code.NOT_FOUND, text), 0
        section = service.document.calls
        if call.length > section.max_body_kb * 1_024:
            text = f"the body exceeds {section.max_body_kb} KB"
            return self.refuse(call, Code.TOO_LARGE, text), 0
        timeout_s = section.deadline_ms / 1_000
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        progress = DispatchProgress(self.clock.seconds() + timeout_s)
        if section.repeatable:
            outcome = await self.dispatch(key, call, section, progress)
        else:
            outcome = await self.run_once(key, call, section, progress)
        return outcome, len(progress.tried)

    def refuse(self, call: Call, code: Code, text: str) -> CallResult:
        """Refuse a call that this entry has not dispatched."""
        run = refusal_run_outcome(self.log, call.service, call.has_idempotency_key)
        return Err(CallFailure(run, Refusal(code, text)))

    async def run_once(
        self,
        key: TeamKey,
        call: Call,
        section: CallsSection,
        progress: DispatchProgress,
    ) -> CallResult:
        """Run a non-repeatable call under a durable reservation."""
        if not call.has_idempotency_key:
            text = f"service {call.service!r} needs an Idempotency-Key header"
            return self.refuse(call, Code.BAD_REQUEST, text)
        digest = request_digest(call)
        reserved = await self.reservations.reserve(
            key.team, call.request_id, call.service, digest, progress.deadline_s
        )
        if isinstance(reserved, Err):
            stale = reserved.err_value.code == Code.STALE
            run = RunOutcome.NOT_RUN if stale else RunOutcome.UNKNOWN
            return Err(CallFailure(run, reserved.err_value))
        granted = reserved.ok_value
        if not isinstance(granted, GrantedReservation):
            return recorded_outcome(granted)
        outcome = Err(
            CallFailure(RunOutcome.UNKNOWN, Refusal(Code.UNAVAILABLE, "internal error"))
        )
        try:
            outcome = await self.dispatch(key, call, section, progress)
        finally:
            self.settle(granted, outcome)
        return outcome

    def settle(self, granted: GrantedReservation, outcome: CallResult) -> None:
        """Record the outcome of a reserved call."""
        if isinstance(outcome, Err):
            phase = PHASE_BY_RUN_OUTCOME[outcome.err_value.run]
            self.reservations.settle(granted, phase, None)
            return
        answer = None if outcome.ok_value.sink_started else outcome.ok_value.answer
        self.reservations.settle(granted, ReservationPhase.ANSWERED, answer)

    async def dispatch(
        self,
        key: TeamKey,
        call: Call,
        section: CallsSection,
        progress: DispatchProgress,
    ) -> CallResult:
        """Dispatch the call until it is answered or may not be retried."""
        budget = self.budgets.get(call.service, RetryBudget())
        self.budgets[call.service] = credit_call(budget)
        while True:
            acquired = await self.queues.acquire(
                call.service,
                key.team,
                progress.deadline_s,
                progress.tried,
                call.disconnected,
                lambda: recheck_key(self.log, key),
            )
            if isinstance(acquired, Err):
                return Err(CallFailure(progress.run, acquired.err_value))
            claim = acquired.ok_value
            refusal = recheck_key(self.log, key)
            if refusal is not None:
                self.queues.release(claim)
                return Err(CallFailure(progress.run, refusal))
            outcome = await self.send(claim, call, section, progress)
            if outcome.answer is not None:
                return Ok(outcome)
            if outcome.run_outcome != RunOutcome.NOT_RUN:
                progress.run = RunOutcome.UNKNOWN
            remaining_s = progress.deadline_s - self.clock.seconds()
            retry = may_retry(
                outcome.run_outcome,
                section.repeatable,
                len(progress.tried),
                remaining_s,
            )
            if not retry or outcome.sink_started or not self.spend_retry(call.service):
                code = Code.TARGET_FAILED if remaining_s > 0 else Code.DEADLINE
                refusal = Refusal(code, outcome.problem)
                return Err(CallFailure(progress.run, refusal, outcome.sink_started))
            wait_s = backoff_s(len(progress.tried), self.random())
            await deferLater(self.clock, min(wait_s, remaining_s))

    def spend_retry(self, service: str) -> bool:
        """Take one retry from the service's budget; return False if it is empty."""
        remaining = take_retry(self.budgets[service])
        if remaining is None:
            return False
        self.budgets[service] = remaining
        return True

    async def send(
        self,
        claim: Claim,
        call: Call,
        section: CallsSection,
        progress: DispatchProgress,
    ) -> DispatchOutcome:
        """Dispatch the call once on a claim, and release the claim afterwards."""
        progress.tried = (*progress.tried, claim.loan)
        started_s = self.clock.seconds()
        if not rewind(call.body):
            self.queues.release(claim)
            return DispatchOutcome(
                RunOutcome.NOT_RUN, problem="the caller disconnected"
            )
        request = CallRequest(
            request_id=call.request_id,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            length=call.length,
            timeout_s=progress.deadline_s - started_s,
            answer_id_required=section.answer_id_required,
            repeatable=section.repeatable,
            sink=call.sink,
        )
        self.target_by_request_id[call.request_id] = claim.target.name
        outcome = DispatchOutcome(
            RunOutcome.UNKNOWN, problem="internal error", target_finished=False
        )
        try:
            outcome = await self.client.call(claim.target, request)
        finally:
            self.target_by_request_id.pop(call.request_id, None)
            self.finish_dispatch(claim, outcome, started_s, progress.deadline_s)
        return outcome

    def finish_dispatch(
        self,
        claim: Claim,
        outcome: DispatchOutcome,
        started_s: float,
        deadline_s: float,
    ) -> None:
        """
        Record the outcome of a dispatch and release its claim.

        A target that may still run the call occupies the claim until the deadline,
        which was sent to it. A time-out far below the typical run time does not
        count as a failure of the target.
        """
        now_s = self.clock.seconds()
        answer = outcome.answer
        good = answer is not None and answer.status not in FAILING_STATUSES
        run_s = self.queues.queue_of(claim.service).times.run_s
        had_fair_timeout = deadline_s - started_s >= FAIR_TIMEOUT_RUN_TIMES * (
            run_s or DEFAULT_RUN_S
        )
        if good or now_s < deadline_s or had_fair_timeout:
            serving_targets = self.loans.refresh().targets_by_service.get(
                claim.service, []
            )
            self.loans.health.record_outcome(
                claim.loan.key, good, now_s - started_s, now_s, serving_targets
            )
        if good:
            self.queues.record_run(claim.service, now_s - started_s)
        if outcome.target_finished or now_s >= deadline_s:
            self.queues.release(claim)
        else:
            self.clock.callLater(deadline_s - now_s, self.queues.release, claim)


def rewind(body: bytes | BinaryIO) -> bool:
    """Seek to the start of a body; return False if its file is closed."""
    if isinstance(body, bytes):
        return True
    if body.closed:
        return False
    body.seek(0)
    return True


def refusal_run_outcome(
    log: ReplicatedLog, service: str, idempotent: bool
) -> RunOutcome:
    """
    Return the run outcome to report with a refusal before dispatch.

    A call with an idempotency key may be a resend of one that ran through another
    entry, unless its service is known to be repeatable.
    """
    record = log.state.services.get(service)
    section = record.document.calls if record is not None else None
    if not idempotent or (section is not None and section.repeatable):
        return RunOutcome.NOT_RUN
    return RunOutcome.UNKNOWN


def recorded_outcome(reservation: Reservation) -> CallResult:
    """Return the recorded outcome of an earlier run of the same request."""
    if (
        reservation.phase == ReservationPhase.ANSWERED
        and reservation.answer is not None
    ):
        return Ok(DispatchOutcome(RunOutcome.RAN, replace(reservation.answer)))
    if reservation.phase == ReservationPhase.ANSWERED:
        text = f"request {reservation.request_id!r} ran; its answer is no longer stored"
        return Err(CallFailure(RunOutcome.RAN, Refusal(Code.CONFLICT, text)))
    if reservation.phase == ReservationPhase.RUNNING:
        text = (
            f"request {reservation.request_id!r} is still running"
            f" through entry {reservation.entry!r}"
        )
        return Err(CallFailure(RunOutcome.UNKNOWN, Refusal(Code.DEADLINE, text)))
    text = f"what became of request {reservation.request_id!r} is not known"
    return Err(CallFailure(RunOutcome.UNKNOWN, Refusal(Code.CONFLICT, text)))


def request_digest(call: Call) -> bytes:
    """Return a hash that is equal for a resend of the call."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b"\0")
    if isinstance(call.body, bytes):
        digest.update(call.body)
        return digest.digest()
    call.body.seek(0)
    while part := call.body.read(HASH_CHUNK_BYTES):
        digest.update(part)
    return digest.digest()
