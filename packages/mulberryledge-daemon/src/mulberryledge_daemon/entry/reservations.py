"""
mulberryledge_daemon.entry.reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Durable reservations under which non-repeatable calls run at most once.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from uuid import uuid4

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.commands.work import (
    CloseSession,
    Reserve,
    SettleReservation,
)
from mulberryledge_core.model.jobs import Answer, Reservation, ReservationPhase
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.tables import reservation_id
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.ports import AppliedEvent, ReplicatedLog

__all__ = ["MAX_STORED_ANSWER_BYTES", "GrantedReservation", "Reservations"]

MAX_STORED_ANSWER_BYTES = 64 * 1_024
RETRY_S = 0.02
RETRY_MAX_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class GrantedReservation:
    """A reservation that permits this entry to run a request."""

    command: Reserve

    @property
    def name(self) -> str:
        """Key of the reservation in the state's table."""
        return reservation_id(self.command.team, self.command.request_id)


class Reservations:
    """Reservations of this entry, and its calls that wait for those of others."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        session: EntrySession,
        make_token: Callable[[], str] = lambda: uuid4().hex,
    ):
        self.clock = clock
        self.log = log
        self.session = session
        self.make_token = make_token
        self.waiters: dict[str, list[Deferred]] = {}
        self.unsettled_count = 0
        log.watch(self.on_applied)

    async def reserve(
        self, team: str, request_id: str, service: str, digest: bytes, deadline_s: float
    ) -> Result[GrantedReservation | Reservation, Refusal]:
        """
        Reserve the only run of a request.

        Returns
        -------
        Result of GrantedReservation or Reservation, and Refusal
            The existing reservation if the request has run, is running, or may have
            run. Code ``no-leader`` or ``deadline`` if that is unknown.
        """
        name = reservation_id(team, request_id)
        while True:
            command = Reserve(
                request_id,
                team,
                service,
                digest,
                self.session.daemon,
                self.session.name,
                self.make_token(),
            )
            outcome = await self.propose_with_retries(command, deadline_s)
            if is_stale(outcome) and self.clock.seconds() < deadline_s:
                await deferLater(self.clock, RETRY_S)  # until the session is reopened
                continue
            if isinstance(outcome, Err):
                self.settle_unconfirmed(GrantedReservation(command), outcome.err_value)
                return outcome
            if outcome.ok_value.detail == "granted":
                self.unsettled_count += 1
                return Ok(GrantedReservation(command))
            found = await self.wait_until_settled(name, deadline_s)
            if found is not None and found.phase != ReservationPhase.NOT_RUN:
                return Ok(found)
            if self.clock.seconds() >= deadline_s:
                text = "the deadline passed before the request could be reserved"
                return Err(Refusal(Code.DEADLINE, text))

    def settle_unconfirmed(self, granted: GrantedReservation, refusal: Refusal) -> None:
        """Settle as not run a reservation that may have been granted unconfirmed."""
        if refusal.code == Code.NO_LEADER:
            self.unsettled_count += 1
            self.settle(granted, ReservationPhase.NOT_RUN, None)

    async def propose_with_retries(self, command: Reserve, deadline_s: float) -> Result:
        """Propose a reservation until its outcome is known or the deadline passes."""
        for retries in count():
            outcome = await self.propose_before(command, deadline_s)
            known = isinstance(outcome, Ok) or outcome.err_value.code != Code.NO_LEADER
            remaining_s = deadline_s - self.clock.seconds()
            if known or remaining_s <= 0:
                return outcome
            wait_s = min(remaining_s, RETRY_MAX_S, RETRY_S * 2**retries)
            await deferLater(self.clock, wait_s)
        raise AssertionError("count() does not end")

    async def propose_before(self, command: Reserve, deadline_s: float) -> Result:
        """Propose a reservation once; wait for its outcome until the deadline."""
        outcome = Deferred()

        def resolve(result: Result) -> None:
            if not outcome.called:
                outcome.callback(result)

        timed_out = Err(
            Refusal(
                Code.NO_LEADER, "the reservation was not confirmed before the deadline"
            )
        )
        remaining_s = max(0.0, deadline_s - self.clock.seconds())
        timer = self.clock.callLater(remaining_s, resolve, timed_out)
        proposing = Deferred.fromCoroutine(propose(self.log, command))
        proposing.addCallbacks(resolve, log_failure)
        result = await outcome
        if timer.active():
            timer.cancel()
        return result

    async def wait_until_settled(
        self, name: str, deadline_s: float
    ) -> Reservation | None:
        """Wait until a reservation is settled or the deadline; return its state."""
        while True:
            found = self.log.state.reservations.get(name)
            remaining_s = deadline_s - self.clock.seconds()
            if (
                found is None
                or found.phase != ReservationPhase.RUNNING
                or remaining_s <= 0
            ):
                return found
            resumed = Deferred()
            self.waiters.setdefault(name, []).append(resumed)
            timer = self.clock.callLater(remaining_s, self.resume_waiters, name)
            await resumed
            if timer.active():
                timer.cancel()

    def on_applied(self, event: AppliedEvent) -> None:
        """Resume the calls that wait for a reservation which may be settled."""
        command = event.command
        if isinstance(command, SettleReservation):
            self.resume_waiters(reservation_id(command.team, command.request_id))
        elif isinstance(command, CloseSession):
            for name in list(self.waiters):
                self.resume_waiters(name)

    def resume_waiters(self, name: str) -> None:
        """Resume the calls that wait for a reservation."""
        for resumed in self.waiters.pop(name, ()):
            resumed.callback(None)

    def settle(
        self,
        granted: GrantedReservation,
        phase: ReservationPhase,
        answer: Answer | None,
    ) -> Deferred:
        """
        Record the outcome of a reservation.

        Retries until the log has applied it or has closed the session, which sets
        the outcome to unknown; the first recorded outcome is final.
        """
        if answer is not None and len(answer.body) > MAX_STORED_ANSWER_BYTES:
            answer = None
        reserve = granted.command
        command = SettleReservation(
            reserve.request_id,
            reserve.team,
            reserve.session,
            phase,
            answer,
            reserve.token,
        )
        running = Deferred.fromCoroutine(self.settle_with_retries(command))
        running.addErrback(log_failure)
        return running

    async def settle_with_retries(self, command: SettleReservation) -> None:
        """Propose a settlement until its outcome is known."""
        for retries in count():
            outcome = await self.log.propose(command)
            if isinstance(outcome, Ok):
                break
            if outcome.err_value.code != Code.NO_LEADER:
                logger.warning("not settled", extra={"why": outcome.err_value})
                break
            await deferLater(self.clock, min(RETRY_MAX_S, RETRY_S * 2**retries))
        self.unsettled_count -= 1


async def propose(log: ReplicatedLog, command: Reserve) -> Result:
    """Propose a command."""
    return await log.propose(command)


def is_stale(outcome: Result) -> bool:
    """Return whether a reservation was refused because the session is closed."""
    return isinstance(outcome, Err) and outcome.err_value.code == Code.STALE


def log_failure(failure) -> None:
    """Log an unexpected failure of a proposal or a settlement."""
    logger.critical("settlement failed", extra={"failure": failure.getTraceback()})
