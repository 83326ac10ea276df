"""
mulberryledge_core.model.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs and reservations of requests that must not be repeated.
"""

from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.model.hosts import Resources

__all__ = ["Answer", "Job", "JobPhase", "Reservation", "ReservationPhase"]


class JobPhase(StrEnum):
    """Lifecycle phase of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Job:
    """
    A queued unit of work.

    Attributes
    ----------
    job_id : str
        Unique identifier, chosen by the submitting entry.
    service, team : str
        Queue and submitting team.
    body : bytes
        Work description passed to the target.
    digest : bytes
        Hash of the body, which a resend must match; the body itself is dropped
        when the job ends.
    urgent : bool
        Whether the job runs before ordinary ones.
    repeatable : bool
        Whether the job may run again after its lease expired.
    size : Resources
        Declared size.
    phase : JobPhase
        Lifecycle phase.
    submitted_ms, started_ms, ended_ms : int
        Log times in milliseconds, zero before the event.
    attempt : int
        Number of starts; also the fencing token of the lease.
    target : str
        Target that holds the lease or held it last, empty if none did.
    lease_ms : int
        Length of the lease in milliseconds.
    result : bytes
        Stored result or failure text.
    result_dropped : bool
        Whether the result was removed to make space for newer ones.
    cancel_requested : bool
        Whether a running job has been asked to stop.
    checkpoint : bytes
        Checkpoint from when the job was last stopped and queued again.
    failures, expiries, stops : int
        Attempts that failed, whose lease expired, and that were stopped to run later.
    failed_on : tuple of str
        Targets that the job failed on, the most recent last; later attempts avoid
        them.
    """

    job_id: str
    service: str
    team: str
    body: bytes
    digest: bytes = b""
    urgent: bool = False
    repeatable: bool = True
    size: Resources = Resources()
    phase: JobPhase = JobPhase.QUEUED
    submitted_ms: int = 0
    started_ms: int = 0
    ended_ms: int = 0
    attempt: int = 0
    target: str = ""
    lease_ms: int = 10_000
    result: bytes = b""
    result_dropped: bool = False
    cancel_requested: bool = False
    checkpoint: bytes = b""
    failures: int = 0
    expiries: int = 0
    stops: int = 0
    failed_on: tuple[str, ...] = ()


class ReservationPhase(StrEnum):
    """Phase of an at-most-once reservation."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """A stored answer to a call."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Reservation:
    """
    The durable claim on one run of a request.

    Attributes
    ----------
    request_id : str
        Idempotency key, unique within its team.
    team, service : str
        Calling team and called service.
    digest : bytes
        Hash of the request, which a resend must match.
    entry, session : str
        Daemon that dispatches the request, and the daemon's session.
    phase : ReservationPhase
        Phase of the run.
    answer : Answer or None
        Stored answer.
    reserved_ms : int
        Log time of the reservation in milliseconds.
    token : str
        Identifies the claim among several on the same request.
    """

    request_id: str
    team: str
    service: str
    digest: bytes
    entry: str
    session: str
    phase: ReservationPhase = ReservationPhase.RUNNING
    answer: Answer | None = None
    reserved_ms: int = 0
    token: str = ""
