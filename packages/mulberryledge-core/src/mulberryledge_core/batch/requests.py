"""
mulberryledge_core.batch.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests of callers to the leader about jobs, and its replies.
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
    """Outcome of a caller's request."""

    OK = "ok"
    INVALID = "invalid"
    BAD_KEY = "bad-key"
    NO_QUEUE = "no-queue"
    NO_JOB = "no-job"
    REFUSED = "refused"  # not accepted; this request will never run a job
    UNAVAILABLE = "unavailable"  # the same, as there is no leader or configuration
    UNKNOWN = "unknown"  # may have been accepted


@dataclass(frozen=True, slots=True)
class SubmitAsk:
    """
    Submit a job.

    Attributes
    ----------
    host, path : str
        Host and path of the HTTP request; the path ends with the job's identifier.
    key : str
        The caller's key, empty if it presented none.
    request_id : str
        Identifier of the caller's request, the same for each send of it.
    """

    host: str
    path: str
    key: str
    spec: JobSpec
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class JobStateAsk:
    """Read the phase of a job."""

    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class CancelAsk:
    """
    Cancel a job.

    Attributes
    ----------
    request_id : str
        Identifier of the caller's request, the same for each send of it.
    """

    host: str
    path: str
    key: str
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class QueueAsk:
    """Read the number of waiting jobs of a queue."""

    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class CallReply:
    """
    The leader's reply.

    Attributes
    ----------
    phase : str
        Phase of the job, if one was requested.
    waiting : int
        Number of waiting jobs, if a queue was requested.
    retry_after_ms : int
        Delay before the caller should retry, 0 if it should not.
    reason : str
        Explanation for the log, one sentence.
    """

    verdict: Verdict
    phase: str = ""
    waiting: int = 0
    retry_after_ms: int = 0
    reason: str = ""
