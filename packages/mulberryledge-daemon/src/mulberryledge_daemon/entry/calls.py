"""
mulberryledge_daemon.entry.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls from admission to the whole answer, with an honest outcome.
"""

import hashlib
from dataclasses import dataclass

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import Reserve, SettleReservation
from mulberryledge_core.model.jobs import Answer, Reservation, ReservationPhase
from mulberryledge_core.model.services import CallsSection
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_core.state.tables import reservation_id
from mulberryledge_daemon.entry.loans import Claim, Loans
from mulberryledge_daemon.ports import (
    CallOutcome,
    CallRequest,
    Header,
    ReplicatedLog,
    TargetClient,
)

__all__ = ["Call", "CallFailure", "Calls"]

SETTLED = {
    RunOutcome.NOT_RUN: ReservationPhase.NOT_RUN,
    RunOutcome.RAN: ReservationPhase.ANSWERED,
    RunOutcome.UNKNOWN: ReservationPhase.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class Call:
    """
    One call of a caller.

    Attributes
    ----------
    request_id : str
        Idempotency key if the caller sent one, else an identifier of the entry.
    timeout_s : float or None
        The caller's own deadline, in seconds from now.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent_key: bool
    timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without an answer: what is known of its run, and why."""

    run: RunOutcome
    refusal: Refusal


class Calls:
    """Dispatches the calls of one entry."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        loans: Loans,
        client: TargetClient,
        daemon: str,
        session: str,
    ):
        self.clock = clock
        self.log = log
        self.loans = loans
        self.client = client
        self.daemon = daemon
        self.session = session

    async def run(self, key: TeamKey, call: Call) -> Result[Answer, CallFailure]:
        """Run one call for the team of the key."""
        service = self.log.state.services.get(call.service)
        if service is None or service.document.calls is None:
            text = f"service {call.service!r} takes no calls"
            return not_run(Code.NOT_FOUND, text)
        section = service.document.calls
        if len(call.body) > section.max_body_kb * 1_024:
            text = f"the body is over {section.max_body_kb} KB"
            return not_run(Code.TOO_LARGE, text)
        if section.repeatable:
            return await self.dispatch(key, call, section)
        return await self.run_once(key, call, section)

    async def run_once(
        self, key: TeamKey, call: Call, section: CallsSection
    ) -> Result[Answer, CallFailure]:
        """Run a call that must not be repeated, under a durable reservation."""
        if not call.idempotent_key:
            text = f"service {call.service!r} needs an Idempotency-Key header"
            return not_run(Code.BAD_REQUEST, text)
        digest = request_digest(call)
        reserve = Reserve(
            call.request_id, key.team, call.service, digest, self.daemon, self.session
        )
        reserved = await self.log.propose(reserve)
        if isinstance(reserved, Err):
            return not_run(reserved.err_value.code, reserved.err_value.message)
        if reserved.ok_value.detail != "granted":
            return kept_answer(self.reservation(key, call))
        outcome = await self.dispatch(key, call, section)
        await self.log.propose(settlement(key, call, self.session, outcome))
        return outcome

    def reservation(self, key: TeamKey, call: Call) -> Reservation:
        """Return the reservation that a call runs under."""
        return self.log.state.reservations[reservation_id(key.team, call.request_id)]

    async def dispatch(
        self, key: TeamKey, call: Call, section: CallsSection
    ) -> Result[Answer, CallFailure]:
        """Wait for capacity and send the call to one target."""
        timeout_s = section.deadline_ms / 1_000
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        deadline = self.clock.seconds() + timeout_s
        claimed = await self.loans.acquire(call.service, key.team, timeout_s)
        if isinstance(claimed, Err):
            return Err(CallFailure(RunOutcome.NOT_RUN, claimed.err_value))
        claim: Claim = claimed.ok_value
        try:
            request = CallRequest(
                request_id=call.request_id,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
                timeout_s=deadline - self.clock.seconds(),
                answer_id_required=section.answer_id_required,
            )
            outcome = await self.client.call(claim.target, request)
        finally:
            self.loans.release(claim)
        return call_result(outcome)


def not_run(code: Code, text: str) -> Result[Answer, CallFailure]:
    """Return a refusal of a call that reached no target."""
    return Err(CallFailure(RunOutcome.NOT_RUN, Refusal(code, text)))


def call_result(outcome: CallOutcome) -> Result[Answer, CallFailure]:
    """Turn the outcome of a dispatch into the caller's."""
    if outcome.answer is not None:
        return Ok(outcome.answer)
    refusal = Refusal(Code.TARGET_FAILED, outcome.problem)
    return Err(CallFailure(outcome.run, refusal))


def kept_answer(item: Reservation) -> Result[Answer, CallFailure]:
    """Return what is known of an earlier run of the same request."""
    if item.phase == ReservationPhase.ANSWERED and item.answer is not None:
        return Ok(item.answer)
    text = f"request {item.request_id!r} was sent before and is {item.phase}"
    return Err(CallFailure(RunOutcome.UNKNOWN, Refusal(Code.CONFLICT, text)))


def settlement(
    key: TeamKey, call: Call, session: str, outcome: Result[Answer, CallFailure]
) -> SettleReservation:
    """Return the command that records the outcome of a reserved call."""
    if isinstance(outcome, Ok):
        phase, answer = ReservationPhase.ANSWERED, outcome.ok_value
    else:
        phase, answer = SETTLED[outcome.err_value.run], None
    return SettleReservation(call.request_id, key.team, session, phase, answer)


def request_digest(call: Call) -> bytes:
    """Return a hash that a resend of the call shares."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.digest()
