"""
mulberryledge_core.batch.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What callers ask of the leader about jobs, and what it answers.
"""

from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.batch.specs import JobSpec

__all__ = [
    "CallReply",
    "CancelAsk",
    "JobStateAsk",
    "QueueAsk",
    "SubmitAsk",
    "Verdict",
]


class Verdict(StrEnum):
    """What became of a caller's request."""

    OK = "ok"
    INVALID = "invalid"
    BAD_KEY = "bad-key"
    NO_QUEUE = "no-queue"
    NO_JOB = "no-job"
    REFUSED = "refused"  # not accepted, and never will run from this request
    UNAVAILABLE = "unavailable"  # the same, for want of a leader or configuration
    UNKNOWN = "unknown"  # may have been accepted


@dataclass(frozen=True, slots=True)
class SubmitAsk:
    """
    Accept a job.

    Attributes
    ----------
    host, path : str
        Where the caller sent it; the path ends with the job's identifier.
    key : str
        The caller's key, empty if it presented none.
    """

    host: str
    path: str
    key: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobStateAsk:
    """Tell the state of a job."""

    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class CancelAsk:
    """Cancel a job."""

    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class QueueAsk:
    """Tell how many jobs of a queue wait."""

    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class CallReply:
    """
    The leader's answer.

    Attributes
    ----------
    phase : str
        Phase of the job, where one was asked for.
    waiting : int
        Jobs that wait, where a queue was asked about.
    retry_after_ms : int
        When the caller should come back, 0 if it should not.
    reason : str
        Why, in a sentence for the log.
    """

    verdict: Verdict
    phase: str = ""
    waiting: int = 0
    retry_after_ms: int = 0
    reason: str = ""
