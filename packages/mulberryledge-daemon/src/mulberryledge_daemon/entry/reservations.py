"""
mulberryledge_daemon.entry.reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The durable claims under which calls that must not be repeated run at most once.
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

__all__ = ["KEPT_ANSWER_BYTES", "Granted", "Reservations"]

KEPT_ANSWER_BYTES = 64 * 1_024
RETRY_S = 0.02
RETRY_MAX_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim of this entry on the one run of a request."""

    command: Reserve

    @property
    def name(self) -> str:
        """Table key of the reservation."""
        return reservation_id(self.command.team, self.command.request_id)


class Reservations:
    """Owns the claims that are not settled yet and those who wait for others."""

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
        self.waiting: dict[str, list[Deferred]] = {}
        self.unsettled = 0
        log.watch(self.on_applied)

    async def reserve(
        self, team: str, request_id: str, service: str, digest: bytes, deadline_s: float
    ) -> Result[Granted | Reservation, Refusal]:
        """
        Claim the one run of a request.

        Returns
        -------
        Result of Granted or Reservation, and Refusal
            The reservation if the request has run, is running, or may have run.
            Code ``no-leader`` or ``deadline`` if that cannot be told.
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
            outcome = await self.propose_until(command, deadline_s)
            if is_stale(outcome) and self.clock.seconds() < deadline_s:
                await deferLater(self.clock, RETRY_S)  # a new session is on its way
                continue
            if isinstance(outcome, Err):
                self.disown(Granted(command), outcome.err_value)
                return outcome
            if outcome.ok_value.detail == "granted":
                self.unsettled += 1
                return Ok(Granted(command))
            found = await self.ended(name, deadline_s)
            if found is not None and found.phase != ReservationPhase.NOT_RUN:
                return Ok(found)
            if self.clock.seconds() >= deadline_s:
                text = "the deadline passed before the request could be claimed"
                return Err(Refusal(Code.DEADLINE, text))

    def disown(self, granted: Granted, refusal: Refusal) -> None:
        """Settle a claim that may have been granted unnoticed: it did not run."""
        if refusal.code == Code.NO_LEADER:
            self.unsettled += 1
            self.settle(granted, ReservationPhase.NOT_RUN, None)

    async def propose_until(self, command: Reserve, deadline_s: float) -> Result:
        """Propose a claim until its fate is known or the deadline has passed."""
        for tries in count():
            outcome = await self.propose_within(command, deadline_s)
            known = isinstance(outcome, Ok) or outcome.err_value.code != Code.NO_LEADER
            left_s = deadline_s - self.clock.seconds()
            if known or left_s <= 0:
                return outcome
            wait_s = min(left_s, RETRY_MAX_S, RETRY_S * 2**tries)
            await deferLater(self.clock, wait_s)
        raise AssertionError("count() does not end")

    async def propose_within(self, command: Reserve, deadline_s: float) -> Result:
        """Propose a claim and wait for its outcome until the deadline at most."""
        outcome = Deferred()

        def take(result: Result) -> None:
            if not outcome.called:
                outcome.callback(result)

        late = Err(Refusal(Code.NO_LEADER, "the claim is not confirmed in time"))
        left_s = max(0.0, deadline_s - self.clock.seconds())
        timer = self.clock.callLater(left_s, take, late)
        proposing = Deferred.fromCoroutine(propose(self.log, command))
        proposing.addCallbacks(take, log_failure)
        result = await outcome
        if timer.active():
            timer.cancel()
        return result

    async def ended(self, name: str, deadline_s: float) -> Reservation | None:
        """Wait for the end of a running claim; return how it stands then."""
        while True:
            found = self.log.state.reservations.get(name)
            left_s = deadline_s - self.clock.seconds()
            if found is None or found.phase != ReservationPhase.RUNNING or left_s <= 0:
                return found
            changed = Deferred()
            self.waiting.setdefault(name, []).append(changed)
            timer = self.clock.callLater(left_s, self.wake, name)
            await changed
            if timer.active():
                timer.cancel()

    def on_applied(self, event: AppliedEvent) -> None:
        """Wake those who wait for a claim that is settled."""
        command = event.command
        if isinstance(command, SettleReservation):
            self.wake(reservation_id(command.team, command.request_id))
        elif isinstance(command, CloseSession):
            for name in list(self.waiting):
                self.wake(name)

    def wake(self, name: str) -> None:
        """Let those who wait for a claim look at it again."""
        for changed in self.waiting.pop(name, ()):
            changed.callback(None)

    def settle(
        self, granted: Granted, phase: ReservationPhase, answer: Answer | None
    ) -> Deferred:
        """
        Record what became of a claim.

        Goes on until the log has it or has closed the session, which makes the
        claim unknown; the first outcome recorded stays.
        """
        if answer is not None and len(answer.body) > KEPT_ANSWER_BYTES:
            answer = None
        claim = granted.command
        command = SettleReservation(
            claim.request_id, claim.team, claim.session, phase, answer, claim.token
        )
        running = Deferred.fromCoroutine(self.settle_until(command))
        running.addErrback(log_failure)
        return running

    async def settle_until(self, command: SettleReservation) -> None:
        """Propose a settlement until its fate is known."""
        for tries in count():
            outcome = await self.log.propose(command)
            if isinstance(outcome, Ok):
                break
            if outcome.err_value.code != Code.NO_LEADER:
                logger.warning("not settled", extra={"why": outcome.err_value})
                break
            await deferLater(self.clock, min(RETRY_MAX_S, RETRY_S * 2**tries))
        self.unsettled -= 1


async def propose(log: ReplicatedLog, command: Reserve) -> Result:
    """Propose a command."""
    return await log.propose(command)


def is_stale(outcome: Result) -> bool:
    """Return whether a claim was refused because the session is closed."""
    return isinstance(outcome, Err) and outcome.err_value.code == Code.STALE


def log_failure(failure) -> None:
    """Log the failure of a settlement."""
    logger.critical("settlement failed", extra={"failure": failure.getTraceback()})
