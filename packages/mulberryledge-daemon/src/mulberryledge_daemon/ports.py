"""
mulberryledge_daemon.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~

Ports between the daemon's tasks and its adapters.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import BinaryIO, Protocol

from result import Result

from mulberryledge_core.commands import Command
from mulberryledge_core.model.jobs import Answer
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import ApplyResult, Refusal, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.http.headers import Header

__all__ = [
    "AnswerSink",
    "AppliedEvent",
    "CallOutcome",
    "CallRequest",
    "InForce",
    "LeaderChannel",
    "Platform",
    "RebootState",
    "ReplicatedLog",
    "TargetClient",
]


@dataclass(frozen=True, slots=True)
class AppliedEvent:
    """One applied command and what it came to."""

    index: int
    command: Command
    outcome: ApplyResult


@dataclass(frozen=True, slots=True)
class InForce:
    """
    Where an index is in force.

    Attributes
    ----------
    index : int
        Index asked for.
    waiting : tuple of str
        Daemons that neither applied the index nor lost their freshness lease
        before the wait ended; empty when the index is in force everywhere.
    """

    index: int
    waiting: tuple[str, ...] = ()


class ReplicatedLog(Protocol):
    """
    The replicated log as one daemon sees it.

    Attributes
    ----------
    state : ClusterState
        What this daemon has applied.
    session : str
        Identifier of this life of the daemon, new at each start.
    """

    state: ClusterState
    session: str

    def propose(self, command: Command) -> Awaitable[ApplyResult]:
        """
        Append a command; resolves once this daemon has applied it.

        A refusal with code ``no-leader`` means that the outcome is not known
        to be applied; proposing the same command again is harmless.
        """

    def is_leader(self) -> bool:
        """Return whether this daemon leads and its quorum lease holds."""

    def is_fresh(self) -> bool:
        """Return whether this daemon's freshness lease holds."""

    def time_ms(self) -> int:
        """Return the log time that a command proposed now would get."""

    def in_force(self, index: int, timeout_s: float) -> Awaitable[InForce]:
        """Wait until the index is in force on every daemon."""

    def catch_up(self, timeout_s: float) -> Awaitable[bool]:
        """
        Wait until this daemon has applied all that is committed when it asks.

        Resolves to False if the leader cannot be asked or the time is over.
        """

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Call the listener after each applied command."""

    def stop(self) -> Awaitable[None]:
        """Stop gracefully."""


class LeaderChannel(Protocol):
    """Requests from entries to the tasks of the leader."""

    def ask(self, message: object) -> Awaitable[Result[object, Refusal]]:
        """Send a request to the leader."""

    def serve(
        self,
        kind: type,
        handler: Callable[[object], Awaitable[Result[object, Refusal]]],
    ) -> None:
        """Register the handler that answers a kind of request while leading."""


class AnswerSink(Protocol):
    """
    Where an answer goes that is too large to be held whole.

    A sink that has begun either gets the end of the answer or is aborted, so
    that its reader cannot take a truncated answer for a whole one.
    """

    def begin(self, head: Answer, length: int | None, source: object) -> None:
        """
        Begin the answer.

        Parameters
        ----------
        head : Answer
            Status, content type and the first part of the body.
        length : int or None
            Length of the whole body in bytes, None if it ends with a mark.
        source : IPushProducer
            Is paused while the sink's reader is slow.
        """

    def write(self, data: bytes) -> None:
        """Take the next part of the body."""

    def end(self) -> None:
        """Take note that the body is whole."""

    def abort(self) -> None:
        """Cut the connection: the body will not become whole."""


@dataclass(frozen=True, slots=True)
class CallRequest:
    """
    A call as it goes to a target.

    Attributes
    ----------
    body : BinaryIO or bytes
        Request body; a file for one too large to be held in memory.
    length : int
        Length of the body in bytes.
    timeout_s : float
        Time left until the caller's deadline, in seconds.
    repeatable : bool
        Whether the call may run again; one that may not gets a connection of
        its own, because an idle one may be closed by the target meanwhile.
    sink : AnswerSink or None
        Takes an answer too large to be held; without one it is a failure.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | BinaryIO
    length: int
    timeout_s: float
    answer_id_required: bool = False
    repeatable: bool = True
    sink: AnswerSink | None = None


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """
    What became of one dispatch.

    Attributes
    ----------
    run : RunOutcome
        What is known of the run.
    answer : Answer or None
        The whole answer, or the head of one that went whole to the sink.
    problem : str
        Why there is no answer.
    streamed : bool
        Whether the sink has begun, so that nothing else may be told.
    over : bool
        Whether the target is known to have stopped working on the call.
    """

    run: RunOutcome
    answer: Answer | None = None
    problem: str = ""
    streamed: bool = False
    over: bool = True


class TargetClient(Protocol):
    """Dispatches calls to targets."""

    def call(self, target: Target, request: CallRequest) -> Awaitable[CallOutcome]:
        """Dispatch one call; never fails, and never outlives its timeout."""

    def close(self) -> Awaitable[None]:
        """Close idle connections."""


class RebootState(StrEnum):
    """What the platform says of a reboot."""

    PENDING = "pending"
    REBOOTING = "rebooting"
    UP = "up"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class Platform(Protocol):
    """
    The platform's host operations.

    Attributes
    ----------
    is_set : bool
        Whether there is a platform to ask.
    """

    is_set: bool

    def reboot(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Ask for a reboot; the same permit again is the same reboot."""

    def reboot_state(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Return the state of a reboot."""
