"""
mulberryledge_core.outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outcomes of commands and requests, returned as values.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from result import Result

__all__ = ["Applied", "ApplyResult", "Code", "Fault", "Refusal", "RunOutcome"]


class RunOutcome(StrEnum):
    """Whether a request has run, as far as known."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(StrEnum):
    """Stable, machine-readable codes of refusals."""

    BAD_REQUEST = "bad-request"
    BAD_KEY = "bad-key"
    NOT_ALLOWED = "not-allowed"
    NOT_FOUND = "not-found"
    EXISTS = "exists"
    CONFLICT = "conflict"
    IN_USE = "in-use"
    INVALID_DOCUMENT = "invalid-document"
    LIMIT = "limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    NOT_FRESH = "not-fresh"
    NO_LEADER = "no-leader"
    STALE = "stale"
    TARGET_FAILED = "target-failed"
    TOO_LARGE = "too-large"
    BUDGET = "budget"
    DISK = "disk"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Fault:
    """
    Fault in a document or request.

    Attributes
    ----------
    place : str
        Dotted path of the faulty value.
    problem : str
        What is wrong, and which values are accepted.
    """

    place: str
    problem: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    Why a command was not applied.

    Attributes
    ----------
    code : Code
        Stable code for programs.
    message : str
        Readable message that names the place and the value.
    faults : tuple of Fault
        All faults found in a document or request.
    unsure : bool
        Whether a request that reached the leader may have taken effect anyway.
    """

    code: Code
    message: str
    faults: tuple[Fault, ...] = ()
    unsure: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """
    Result of a successful command.

    Attributes
    ----------
    index : int
        Log index at which the command took effect; the same for a resend.
    detail : str
        Identifier or short text that the command produced.
    without_effect : tuple of (int, str)
        For a command of several changes: positions of those that had no effect, and
        why.
    """

    index: int
    detail: str = field(default="")
    without_effect: tuple[tuple[int, str], ...] = ()


ApplyResult = Result[Applied, Refusal]
