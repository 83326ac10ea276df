"""
mulberryledge_daemon.log.proposer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The proposals of one daemon until each one's outcome is known.
"""

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
RETRIED = (Code.NO_LEADER, Code.OVERLOADED)


@dataclass(slots=True)
class Pending:
    """A proposal without a known outcome."""

    sequence: int
    change: bool
    data: bytes
    done: Deferred
    deadline_s: float
    sent_s: float = -1.0
    tries: int = 0


class Proposer:
    """Owns the pending proposals; sends them again until their deadline."""

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
        self.pending: dict[int, Pending] = {}

    def propose(self, command: Command) -> Deferred:
        """Send a command to the leader; resolves with its outcome."""
        if len(self.pending) >= MAX_PENDING:
            refusal = Refusal(Code.OVERLOADED, "too many changes wait for an outcome")
            done = Deferred()
            done.callback(Err(refusal))
            return done
        change = isinstance(command, MEMBER_COMMANDS)
        data = encode_command(command) if change else self.encode(command)
        if len(data) > MAX_COMMAND_BYTES:
            text = f"the change has {len(data)} bytes: use at most {MAX_COMMAND_BYTES}"
            done = Deferred()
            done.callback(Err(Refusal(Code.TOO_LARGE, text)))
            return done
        self.sequence += 1
        item = Pending(
            sequence=self.sequence,
            change=change,
            data=data,
            done=Deferred(),
            deadline_s=self.clock.seconds() + PROPOSE_TIMEOUT_S,
        )
        self.pending[item.sequence] = item
        self.try_send(item)
        return item.done

    def floor(self) -> int:
        """Return the lowest sequence that awaits an outcome."""
        return next(iter(self.pending), self.sequence + 1)

    def try_send(self, item: Pending) -> None:
        """Send one proposal to the leader if there is one."""
        message = Propose(
            self.session, item.sequence, self.floor(), item.change, item.data
        )
        if self.send(message):
            item.tries += 1
            item.sent_s = self.clock.seconds()

    def send_all(self) -> None:
        """Send everything again: there is a new leader."""
        for item in list(self.pending.values()):
            self.try_send(item)

    def tick(self) -> None:
        """Send what waits for long, and give up what is past its deadline."""
        now = self.clock.seconds()
        for item in list(self.pending.values()):
            if now >= item.deadline_s:
                text = "no leader confirmed the change in time: it may be applied yet"
                self.resolve(item.sequence, Err(Refusal(Code.NO_LEADER, text)))
            elif now >= item.sent_s + RESEND_INTERVAL_S:
                self.try_send(item)

    def on_outcome(self, origin: Origin, outcome: ApplyResult) -> None:
        """Take the outcome of an applied proposal."""
        if origin.session == self.session:
            self.resolve(origin.sequence, outcome)

    def on_reply(self, reply: ProposeReply) -> None:
        """Take a leader's refusal, if no other leader can have the proposal."""
        item = self.pending.get(reply.sequence)
        if item is None:
            return
        item.tries -= 1
        if reply.refusal.code in RETRIED or item.tries > 0:
            wait_s = RETRY_INTERVAL_S - RESEND_INTERVAL_S
            item.sent_s = self.clock.seconds() + wait_s
            return
        self.resolve(reply.sequence, Err(reply.refusal))

    def on_restored(self, seen: Callable[[Origin], bool]) -> None:
        """Give up proposals whose outcome a snapshot has swallowed."""
        for item in list(self.pending.values()):
            if seen(Origin("", self.session, item.sequence)):
                text = "the change is applied, but its outcome is not known"
                self.resolve(item.sequence, Err(Refusal(Code.NO_LEADER, text)))

    def resolve(self, sequence: int, outcome: ApplyResult) -> None:
        """Hand an outcome to the proposal that waits for it."""
        item = self.pending.pop(sequence, None)
        if item is not None:
            item.done.callback(outcome)
