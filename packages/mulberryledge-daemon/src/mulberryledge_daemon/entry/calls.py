"""
mulberryledge_daemon.entry.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls from admission to the whole answer, with an honest outcome.
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
from mulberryledge_daemon.entry.admission import still_valid
from mulberryledge_daemon.entry.loans import Claim, LentTarget
from mulberryledge_daemon.entry.queues import Queues
from mulberryledge_daemon.entry.reservations import Granted, Reservations
from mulberryledge_daemon.ports import (
    AnswerSink,
    CallOutcome,
    CallRequest,
    Header,
    ReplicatedLog,
    TargetClient,
)

__all__ = ["Call", "CallFailure", "CallResult", "Calls", "refused_run"]

SETTLED = {
    RunOutcome.NOT_RUN: ReservationPhase.NOT_RUN,
    RunOutcome.RAN: ReservationPhase.ANSWERED,
    RunOutcome.UNKNOWN: ReservationPhase.UNKNOWN,
}
FAILING_STATUSES = frozenset((500, 502, 503, 504))
HASH_PART_BYTES = 64 * 1_024
FAIR_RUNS = 5.0  # usual run times that a late call must have had to count as failed
FIRST_RUN_S = 0.2  # taken as usual until a call has been answered


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """
    One call of a caller.

    Attributes
    ----------
    request_id : str
        The caller's idempotency key where the service is not repeatable, else an
        identifier that no other call has.
    body : bytes or BinaryIO
        Request body; a file for one too large to be held in memory.
    length : int
        Length of the body in bytes.
    idempotent : bool
        Whether the caller sent an idempotency key.
    timeout_s : float or None
        The caller's own deadline, in seconds from now.
    sink : AnswerSink or None
        Takes an answer too large to be held.
    gone : Deferred or None
        Fires when the caller goes away.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | BinaryIO
    length: int
    idempotent: bool
    timeout_s: float | None = None
    sink: AnswerSink | None = None
    gone: Deferred | None = None


@dataclass(frozen=True, slots=True)
class CallFailure:
    """
    A call without an answer: what is known of its run, and why.

    Attributes
    ----------
    streamed : bool
        Whether a part of an answer went to the caller and was cut off.
    """

    run: RunOutcome
    refusal: Refusal
    streamed: bool = False


CallResult = Result[CallOutcome, CallFailure]


@dataclass(slots=True)
class Progress:
    """What is known of a call between its tries."""

    deadline_s: float
    run: RunOutcome = RunOutcome.NOT_RUN
    tried: tuple[LentTarget, ...] = ()


class Calls:
    """Dispatches the calls of one entry."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        queues: Queues,
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
        self.running: dict[str, str] = {}

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
            text = f"the body is over {section.max_body_kb} KB"
            return self.refuse(call, Code.TOO_LARGE, text), 0
        timeout_s = section.deadline_ms / 1_000
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        progress = Progress(self.clock.seconds() + timeout_s)
        if section.repeatable:
            outcome = await self.dispatch(key, call, section, progress)
        else:
            outcome = await self.run_once(key, call, section, progress)
        return outcome, len(progress.tried)

    def refuse(self, call: Call, code: Code, text: str) -> CallResult:
        """Refuse a call that this entry has sent nowhere."""
        run = refused_run(self.log, call.service, call.idempotent)
        return Err(CallFailure(run, Refusal(code, text)))

    async def run_once(
        self, key: TeamKey, call: Call, section: CallsSection, progress: Progress
    ) -> CallResult:
        """Run a call that must not be repeated, under a durable reservation."""
        if not call.idempotent:
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
        if not isinstance(granted, Granted):
            return kept_answer(granted)
        outcome = Err(
            CallFailure(RunOutcome.UNKNOWN, Refusal(Code.UNAVAILABLE, "internal error"))
        )
        try:
            outcome = await self.dispatch(key, call, section, progress)
        finally:
            self.settle(granted, outcome)
        return outcome

    def settle(self, granted: Granted, outcome: CallResult) -> None:
        """Record the outcome of a reserved call."""
        if isinstance(outcome, Err):
            phase = SETTLED[outcome.err_value.run]
            self.reservations.settle(granted, phase, None)
            return
        kept = None if outcome.ok_value.streamed else outcome.ok_value.answer
        self.reservations.settle(granted, ReservationPhase.ANSWERED, kept)

    async def dispatch(
        self, key: TeamKey, call: Call, section: CallsSection, progress: Progress
    ) -> CallResult:
        """Send the call to one target after another until one try counts."""
        budget = self.budgets.get(call.service, RetryBudget())
        self.budgets[call.service] = credit_call(budget)
        while True:
            acquired = await self.queues.acquire(
                call.service,
                key.team,
                progress.deadline_s,
                progress.tried,
                call.gone,
                lambda: still_valid(self.log, key),
            )
            if isinstance(acquired, Err):
                return Err(CallFailure(progress.run, acquired.err_value))
            claim = acquired.ok_value
            refusal = still_valid(self.log, key)
            if refusal is not None:
                self.queues.release(claim)
                return Err(CallFailure(progress.run, refusal))
            outcome = await self.send(claim, call, section, progress)
            if outcome.answer is not None:
                return Ok(outcome)
            if outcome.run != RunOutcome.NOT_RUN:
                progress.run = RunOutcome.UNKNOWN
            left_s = progress.deadline_s - self.clock.seconds()
            again = may_retry(
                outcome.run, section.repeatable, len(progress.tried), left_s
            )
            if not again or outcome.streamed or not self.spend(call.service):
                code = Code.TARGET_FAILED if left_s > 0 else Code.DEADLINE
                refusal = Refusal(code, outcome.problem)
                return Err(CallFailure(progress.run, refusal, outcome.streamed))
            wait_s = backoff_s(len(progress.tried), self.random())
            await deferLater(self.clock, min(wait_s, left_s))

    def spend(self, service: str) -> bool:
        """Take one retry out of the service's budget."""
        left = take_retry(self.budgets[service])
        if left is None:
            return False
        self.budgets[service] = left
        return True

    async def send(
        self, claim: Claim, call: Call, section: CallsSection, progress: Progress
    ) -> CallOutcome:
        """Dispatch one try on a claim, and give the claim back when it is over."""
        progress.tried = (*progress.tried, claim.slot)
        started_s = self.clock.seconds()
        if not rewind(call.body):
            self.queues.release(claim)
            return CallOutcome(RunOutcome.NOT_RUN, problem="the caller went away")
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
        self.running[call.request_id] = claim.target.name
        outcome = CallOutcome(RunOutcome.UNKNOWN, problem="internal error", over=False)
        try:
            outcome = await self.client.call(claim.target, request)
        finally:
            self.running.pop(call.request_id, None)
            self.end(claim, outcome, started_s, progress.deadline_s)
        return outcome

    def end(
        self, claim: Claim, outcome: CallOutcome, started_s: float, deadline_s: float
    ) -> None:
        """
        Give a claim back; a target that may still run the call keeps it.

        The target was told the deadline, so the call counts as over by then. A call
        that had little time does not speak against its target.
        """
        now_s = self.clock.seconds()
        answer = outcome.answer
        good = answer is not None and answer.status not in FAILING_STATUSES
        run_s = self.queues.queue_of(claim.service).times.run_s
        had_time = deadline_s - started_s >= FAIR_RUNS * (run_s or FIRST_RUN_S)
        if good or now_s < deadline_s or had_time:
            pool = self.loans.refresh().pools.get(claim.service, [])
            self.loans.health.end(claim.slot.key, good, now_s - started_s, now_s, pool)
        if good:
            self.queues.note_run(claim.service, now_s - started_s)
        if outcome.over or now_s >= deadline_s:
            self.queues.release(claim)
        else:
            self.clock.callLater(deadline_s - now_s, self.queues.release, claim)


def rewind(body: bytes | BinaryIO) -> bool:
    """Go back to the start of a body; return False if it is gone."""
    if isinstance(body, bytes):
        return True
    if body.closed:
        return False
    body.seek(0)
    return True


def refused_run(log: ReplicatedLog, service: str, idempotent: bool) -> RunOutcome:
    """
    Return what a refusal may say of the run before anything was claimed.

    A call under an idempotency key may be a resend of one that ran through
    another entry, unless its service is known to be repeatable.
    """
    record = log.state.services.get(service)
    section = record.document.calls if record is not None else None
    if not idempotent or (section is not None and section.repeatable):
        return RunOutcome.NOT_RUN
    return RunOutcome.UNKNOWN


def kept_answer(item: Reservation) -> CallResult:
    """Return what is known of an earlier run of the same request."""
    if item.phase == ReservationPhase.ANSWERED and item.answer is not None:
        return Ok(CallOutcome(RunOutcome.RAN, replace(item.answer)))
    if item.phase == ReservationPhase.ANSWERED:
        text = f"request {item.request_id!r} ran; its answer is no longer kept"
        return Err(CallFailure(RunOutcome.RAN, Refusal(Code.CONFLICT, text)))
    if item.phase == ReservationPhase.RUNNING:
        text = f"request {item.request_id!r} still runs through entry {item.entry!r}"
        return Err(CallFailure(RunOutcome.UNKNOWN, Refusal(Code.DEADLINE, text)))
    text = f"what became of request {item.request_id!r} is not known"
    return Err(CallFailure(RunOutcome.UNKNOWN, Refusal(Code.CONFLICT, text)))


def request_digest(call: Call) -> bytes:
    """Return a hash that a resend of the call shares."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b"\0")
    if isinstance(call.body, bytes):
        digest.update(call.body)
        return digest.digest()
    call.body.seek(0)
    while part := call.body.read(HASH_PART_BYTES):
        digest.update(part)
    return digest.digest()
