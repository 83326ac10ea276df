"""
mulberryledge_daemon.log.channel
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests of the entries to the leader's tasks, over the connections between peers.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import cbor2
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.codec import CBOR
from mulberryledge_core.messages import get_message_by_name
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.peers.messages import Ask, AskReply

__all__ = ["RequestChannel"]

ASK_TIMEOUT_S = 40.0
MAX_PENDING_ASKS = 10_000
SESSION_HEX_DIGITS = 12  # of a session's identifier, in the numbers of its requests


@dataclass(frozen=True, slots=True)
class PendingAsk:
    """A request that the leader has not answered."""

    leader: str
    deferred: Deferred


class RequestChannel:
    """
    Owns the open requests of this daemon and the handlers of its leader tasks.

    Parameters
    ----------
    session : str
        Hexadecimal identifier of this process. Its requests have numbers of their own:
        the leader may still answer those of an earlier process with the same name.
    """

    def __init__(
        self,
        clock: IReactorTime,
        leader: Callable[[], str],
        is_leader: Callable[[], bool],
        send: Callable[[str, object], bool],
        session: str,
    ):
        self.clock = clock
        self.leader = leader
        self.is_leader = is_leader
        self.send = send
        self.handlers: dict[type, Callable] = {}
        self.pending: dict[int, PendingAsk] = {}
        self.last_number = int(session[:SESSION_HEX_DIGITS], base=16)

    def serve(self, kind: type, handler: Callable[[object], Awaitable]) -> None:
        """Register the handler of a kind of request."""
        self.handlers[kind] = handler

    async def ask(
        self, message: object, timeout_s: float = ASK_TIMEOUT_S
    ) -> Result[object, Refusal]:
        """Send a request to the leader and return its answer."""
        if self.is_leader():
            return await self.answer(message)
        leader = self.leader()
        if not leader or len(self.pending) >= MAX_PENDING_ASKS:
            return no_leader("there is no known leader")
        self.last_number += 1
        number = self.last_number
        if not self.send(leader, Ask(number, encode_named(message))):
            return no_leader(f"leader {leader!r} cannot be reached")
        deferred = Deferred()
        self.pending[number] = PendingAsk(leader, deferred)
        timer = self.clock.callLater(
            timeout_s, self.resolve, number, unsure_refusal("the leader did not answer")
        )
        outcome = await deferred
        if timer.active():
            timer.cancel()
        return outcome

    async def answer(self, message: object) -> Result[object, Refusal]:
        """Answer a request as the leader."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return no_leader(f"nobody serves {type(message).__name__}")
        return await handler(message)

    def on_ask(self, sender: str, ask: Ask) -> None:
        """Answer another daemon's request."""
        answered = ensureDeferred(self.answer_peer(ask))
        answered.addErrback(lambda failure: handler_failure(ask, failure))
        answered.addCallback(lambda reply: self.send(sender, reply))

    async def answer_peer(self, ask: Ask) -> AskReply:
        """Return the reply to another daemon's request."""
        if not self.is_leader():
            refusal = Refusal(Code.NO_LEADER, "this daemon does not lead")
            return AskReply(ask.number, refusal=refusal)
        outcome = await self.answer(decode_named(ask.data))
        if isinstance(outcome, Err):
            return AskReply(ask.number, refusal=outcome.err_value)
        return AskReply(ask.number, encode_named(outcome.ok_value))

    def on_reply(self, reply: AskReply) -> None:
        """Resolve a request with the leader's reply."""
        if reply.refusal is not None:
            self.resolve(reply.number, Err(reply.refusal))
            return
        try:
            self.resolve(reply.number, Ok(decode_named(reply.data)))
        except ValueError as error:
            refusal = Refusal(
                Code.UNAVAILABLE, f"the leader's reply cannot be decoded: {error}"
            )
            self.resolve(reply.number, Err(refusal))

    def on_closed(self, peer: str) -> None:
        """Fail the requests to a leader whose connection is lost."""
        for number, ask in list(self.pending.items()):
            if ask.leader == peer:
                self.resolve(
                    number, unsure_refusal(f"connection to leader {peer!r} lost")
                )

    def on_leader(self, leader: str) -> None:
        """Fail the requests to any other leader."""
        for number, ask in list(self.pending.items()):
            if ask.leader != leader:
                self.resolve(
                    number, unsure_refusal("the leader changed before it answered")
                )

    def resolve(self, number: int, outcome: Result[object, Refusal]) -> None:
        """Resolve a pending request."""
        ask = self.pending.pop(number, None)
        if ask is not None:
            ask.deferred.callback(outcome)


def handler_failure(ask: Ask, failure) -> AskReply:
    """Return the reply for a handler that raised an exception."""
    text = f"the leader's handler failed: {failure.value}"
    refusal = Refusal(Code.UNAVAILABLE, text, unsure=True)
    return AskReply(ask.number, refusal=refusal)


def no_leader(text: str) -> Result[object, Refusal]:
    """Return the refusal of a request that reached no leader."""
    return Err(Refusal(Code.NO_LEADER, text))


def unsure_refusal(text: str) -> Result[object, Refusal]:
    """Return the refusal of a request that a leader may have acted on."""
    return Err(Refusal(Code.NO_LEADER, text, unsure=True))


def encode_named(message: object) -> bytes:
    """Encode a message with its name."""
    return cbor2.dumps([type(message).__name__, CBOR.unstructure(message)])


def decode_named(data: bytes) -> object:
    """Decode what :func:`encode_named` wrote."""
    name, fields = cbor2.loads(data)
    kind = get_message_by_name(name)
    if kind is None:
        raise ValueError(f"unknown message {name!r}: upgrade this daemon first")
    return CBOR.structure(fields, kind)
