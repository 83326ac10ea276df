"""
mulberryledge_core.outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outcomes as values: what a command or a request came to.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from result import Result

__all__ = ["Applied", "ApplyResult", "Code", "Fault", "Refusal", "RunOutcome"]


class RunOutcome(StrEnum):
    """What is known about the run of a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(StrEnum):
    """Stable codes of refusals."""

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
    One fault in a document or request.

    Attributes
    ----------
    place : str
        Dotted path of the faulty value.
    problem : str
        What is wrong, and what would be right.
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
        Sentence for people that names the place and value.
    faults : tuple of Fault
        Every fault found, where there are several.
    unsure : bool
        Whether a request that reached the leader may have been acted on all the same.
    """

    code: Code
    message: str
    faults: tuple[Fault, ...] = ()
    unsure: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """
    Success of a command.

    Attributes
    ----------
    index : int
        Log index in which the command took effect; a resend gives the first one.
    detail : str
        Identifier or short text that the command produced.
    """

    index: int
    detail: str = field(default="")


ApplyResult = Result[Applied, Refusal]
