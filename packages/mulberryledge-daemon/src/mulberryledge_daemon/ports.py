"""
mulberryledge_daemon.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~

Ports between the daemon's tasks and its adapters.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

from mulberryledge_core.commands import Command
from mulberryledge_core.model.jobs import Answer
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import ApplyResult, Refusal, RunOutcome
from mulberryledge_core.state import ClusterState

__all__ = [
    "AppliedEvent",
    "CallOutcome",
    "CallRequest",
    "Header",
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

    def lease_ended_s(self, session: str) -> float:
        """
        Return for how long the freshness lease of a session has surely ended.

        Only the leader knows; it counts the drift margin in, and answers zero for
        leases that may still hold, among them all for one term after its election.
        """

    def time_ms(self) -> int:
        """Return the log time that a command proposed now would get."""

    def in_force(self, index: int, timeout_s: float) -> Awaitable[InForce]:
        """Wait until the index is in force on every daemon."""

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


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class CallRequest:
    """
    A call as it goes to a target.

    Attributes
    ----------
    timeout_s : float
        Time left until the caller's deadline, in seconds.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float
    answer_id_required: bool = False


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """What became of one dispatch; the answer is whole or absent."""

    run: RunOutcome
    answer: Answer | None = None
    problem: str = ""


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
    """The platform's host operations."""

    def reboot(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Ask for a reboot; the same permit again is the same reboot."""

    def reboot_state(self, host: str, permit_id: str) -> Awaitable[RebootState]:
        """Return the state of a reboot."""
