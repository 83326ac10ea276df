"""
mulberryledge_daemon.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~

Protocols between the daemon's tasks and its adapters, and the types they exchange.
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
    "CallRequest",
    "DispatchOutcome",
    "InForceResult",
    "LeaderChannel",
    "Platform",
    "RebootState",
    "ReplicatedLog",
    "TargetClient",
]


@dataclass(frozen=True, slots=True)
class AppliedEvent:
    """An applied command and its outcome."""

    index: int
    command: Command
    outcome: ApplyResult


@dataclass(frozen=True, slots=True)
class InForceResult:
    """
    Result of waiting until an index is in force.

    Attributes
    ----------
    index : int
        Requested index.
    waiting : tuple of str
        Daemons that neither applied the index nor lost their freshness lease
        before the wait ended; empty if the index is in force everywhere.
    """

    index: int
    waiting: tuple[str, ...] = ()


class ReplicatedLog(Protocol):
    """
    The replicated log as one daemon sees it.

    Attributes
    ----------
    state : ClusterState
        State after the last entry that this daemon applied.
    session : str
        Identifier of this daemon's session, new at each start.
    """

    state: ClusterState
    session: str

    def propose(self, command: Command) -> Awaitable[ApplyResult]:
        """
        Append a command; resolves when this daemon has applied it.

        After a refusal with code ``no-leader`` it is unknown whether the command is
        applied; proposing the same command again is harmless.
        """

    def is_leader(self) -> bool:
        """Return whether this daemon is the leader and holds a valid quorum lease."""

    def is_fresh(self) -> bool:
        """Return whether this daemon holds a valid freshness lease."""

    def time_ms(self) -> int:
        """Return the log time that a command proposed now would be assigned."""

    def wait_in_force(self, index: int, timeout_s: float) -> Awaitable[InForceResult]:
        """Wait until the index is in force on every daemon."""

    def catch_up(self, timeout_s: float) -> Awaitable[bool]:
        """
        Wait until this daemon has applied all entries committed before the call.

        Resolves to False if the leader cannot be reached or the wait times out.
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
    Receives an answer that is too large to be buffered.

    A sink that has been started is either ended or aborted, so that its reader
    cannot mistake a truncated answer for a complete one.
    """

    def start(self, head: Answer, length: int | None, source: object) -> None:
        """
        Start the answer.

        Parameters
        ----------
        head : Answer
            Status, content type and the first part of the body.
        length : int or None
            Length of the body in bytes, None for a chunked body.
        source : IPushProducer
            Producer of the body, paused while the sink's reader is slow.
        """

    def write(self, data: bytes) -> None:
        """Write the next part of the body."""

    def end(self) -> None:
        """Mark the body as complete."""

    def abort(self) -> None:
        """Close the connection because the body cannot be completed."""


@dataclass(frozen=True, slots=True)
class CallRequest:
    """
    A call as it is sent to a target.

    Attributes
    ----------
    body : BinaryIO or bytes
        Request body; a file if it is too large for memory.
    length : int
        Length of the body in bytes.
    timeout_s : float
        Remaining time until the caller's deadline, in seconds.
    repeatable : bool
        Whether the call may run again; one that may not uses a new connection,
        because the target may close an idle one at the same moment.
    sink : AnswerSink or None
        Receives an answer too large to be buffered; without a sink it is a failure.
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
class DispatchOutcome:
    """
    Outcome of one dispatch.

    Attributes
    ----------
    run_outcome : RunOutcome
        Whether the call ran, as far as is known.
    answer : Answer or None
        The complete answer, or the head of one that was streamed completely.
    problem : str
        Reason for a missing answer.
    sink_started : bool
        Whether the sink was started, so that no other response can be sent.
    target_finished : bool
        Whether the target is known to have stopped processing the call.
    """

    run_outcome: RunOutcome
    answer: Answer | None = None
    problem: str = ""
    sink_started: bool = False
    target_finished: bool = True


class TargetClient(Protocol):
    """Dispatches calls to targets."""

    def call(self, target: Target, request: CallRequest) -> Awaitable[DispatchOutcome]:
        """Dispatch one call; never fails, and never outlives its timeout."""

    def close(self) -> Awaitable[None]:
        """Close idle connections."""


class RebootState(StrEnum):
    """State of a reboot as reported by the platform."""

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
    is_configured : bool
        Whether a platform is configured.
    """

    is_configured: bool

    def reboot(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Request a reboot; idempotent by permit."""

    def reboot_state(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Return the state of a reboot."""
