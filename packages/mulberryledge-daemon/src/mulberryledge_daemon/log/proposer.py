"""
mulberryledge_daemon.log.proposer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks the proposals of one daemon until their outcomes are known.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.table import encode_command
from mulberryledge_core.consensus.entries import Origin
from mulberryledge_core.consensus.steps import MEMBER_COMMANDS
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_daemon.peers.messages import Propose, ProposeReply

__all__ = ["Proposer"]

PROPOSE_TIMEOUT_S = 10.0
RESEND_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.1
MAX_PENDING = 10_000
MAX_COMMAND_BYTES = 8_388_608
RETRIED_CODES = (Code.NO_LEADER, Code.OVERLOADED)

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class PendingProposal:
    """
    A proposal without a known outcome.

    Attributes
    ----------
    is_valid : callable
        Whether it may still be sent.
    """

    sequence: int
    is_member_change: bool
    data: bytes
    deferred: Deferred
    deadline_s: float
    is_valid: Callable[[], bool]
    sent_s: float = -1.0
    unanswered_sends: int = 0


class Proposer:
    """Owns the pending proposals; resends them until their deadline."""

    def __init__(
        self,
        clock: IReactorTime,
        session: str,
        send: Callable[[Propose], bool],
        encode: Callable[[Command], bytes] = encode_command,
    ):
        self.clock = clock
        self.encode = encode
        self.session = session
        self.send = send
        self.sequence = 0
        self.pending: dict[int, PendingProposal] = {}

    def propose(
        self, command: Command, is_valid: Callable[[], bool] = lambda: True
    ) -> Deferred:
        """
        Send a command to the leader; resolves with its outcome.

        Parameters
        ----------
        is_valid : callable
            Checked before each send; a proposal that isn't valid any more fails.
        """
        if len(self.pending) >= MAX_PENDING:
            refusal = Refusal(Code.OVERLOADED, "too many proposals wait for an outcome")
            deferred = Deferred()
            deferred.callback(Err(refusal))
            return deferred
        is_member_change = isinstance(command, MEMBER_COMMANDS)
        try:
            data = encode_command(command) if is_member_change else self.encode(command)
        except (TypeError, ValueError, OverflowError) as error:
            logger.error("command cannot be encoded", exc_info=True)
            deferred = Deferred()
            deferred.callback(Err(Refusal(Code.BAD_REQUEST, str(error))))
            return deferred
        if len(data) > MAX_COMMAND_BYTES:
            text = f"the change has {len(data)} bytes: use at most {MAX_COMMAND_BYTES}"
            deferred = Deferred()
            deferred.callback(Err(Refusal(Code.TOO_LARGE, text)))
            return deferred
        self.sequence += 1
        proposal = PendingProposal(
            sequence=self.sequence,
            is_member_change=is_member_change,
            data=data,
            deferred=Deferred(),
            deadline_s=self.clock.seconds() + PROPOSE_TIMEOUT_S,
            is_valid=is_valid,
        )
        self.pending[proposal.sequence] = proposal
        self.try_send(proposal)
        return proposal.deferred

    def floor(self) -> int:
        """Return the lowest sequence that awaits an outcome."""
        return next(iter(self.pending), self.sequence + 1)

    def try_send(self, proposal: PendingProposal) -> None:
        """Send one proposal to the leader if there is one."""
        if not proposal.is_valid():
            text = "its leader leads no more: it may still be applied"
            self.resolve(proposal.sequence, Err(Refusal(Code.CONFLICT, text)))
            return
        message = Propose(
            self.session,
            proposal.sequence,
            self.floor(),
            proposal.is_member_change,
            proposal.data,
        )
        if self.send(message):
            proposal.unanswered_sends += 1
            proposal.sent_s = self.clock.seconds()

    def send_all(self) -> None:
        """Resend all pending proposals to a new leader."""
        for proposal in list(self.pending.values()):
            self.try_send(proposal)

    def tick(self) -> None:
        """Resend overdue proposals and fail those past their deadline."""
        now = self.clock.seconds()
        for proposal in list(self.pending.values()):
            if now >= proposal.deadline_s:
                text = "no leader confirmed the change in time: it may still be applied"
                self.resolve(proposal.sequence, Err(Refusal(Code.NO_LEADER, text)))
            elif now >= proposal.sent_s + RESEND_INTERVAL_S:
                self.try_send(proposal)

    def on_outcome(self, origin: Origin, outcome: ApplyResult) -> None:
        """Resolve an applied proposal of this session."""
        if origin.session == self.session:
            self.resolve(origin.sequence, outcome)

    def on_reply(self, reply: ProposeReply) -> None:
        """Resolve with a leader's refusal unless another one may have the proposal."""
        proposal = self.pending.get(reply.sequence)
        if proposal is None:
            return
        proposal.unanswered_sends -= 1
        if reply.refusal.code in RETRIED_CODES or proposal.unanswered_sends > 0:
            wait_s = RETRY_INTERVAL_S - RESEND_INTERVAL_S
            proposal.sent_s = self.clock.seconds() + wait_s
            return
        self.resolve(reply.sequence, Err(reply.refusal))

    def on_restored(self, is_applied: Callable[[Origin], bool]) -> None:
        """Fail applied proposals whose outcome the snapshot does not contain."""
        for proposal in list(self.pending.values()):
            if is_applied(Origin("", self.session, proposal.sequence)):
                text = "the change is applied, but a snapshot replaced its outcome"
                self.resolve(proposal.sequence, Err(Refusal(Code.NO_LEADER, text)))

    def resolve(self, sequence: int, outcome: ApplyResult) -> None:
        """Resolve a pending proposal."""
        proposal = self.pending.pop(sequence, None)
        if proposal is not None:
            proposal.deferred.callback(outcome)
