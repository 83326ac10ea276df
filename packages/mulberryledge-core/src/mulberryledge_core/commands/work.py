"""
mulberryledge_core.commands.work
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on jobs, reservations, sessions and loans.
"""

from dataclasses import dataclass

from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import Answer, JobPhase, ReservationPhase
from mulberryledge_core.model.sessions import ServiceSlots, SlotGrant, TeamGrant

__all__ = [
    "COMMANDS",
    "CancelJobs",
    "CloseSession",
    "EndJob",
    "ExpireJob",
    "ForgetAnswers",
    "ForgetWork",
    "Lend",
    "OpenSession",
    "Recall",
    "Reserve",
    "ReturnLoan",
    "SettleReservation",
    "StartJob",
    "SubmitJob",
]


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Queue a job; submitting the same job again succeeds."""

    job_id: str
    service: str
    team: str
    body: bytes
    urgent: bool = False
    repeatable: bool = True
    size: Resources | None = None


@dataclass(frozen=True, slots=True)
class StartJob:
    """Lease a queued job to a target; ``key`` is the key that the target used."""

    job_id: str
    target: str
    generation: int
    key: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """
    End the given attempt of a running job.

    Attributes
    ----------
    phase : JobPhase
        ``DONE``, ``FAILED``, ``CANCELLED``, or ``QUEUED`` to return the job to
        the queue.
    result : bytes
        Result or failure text; the checkpoint of a job that returns to the queue.
    key : str
        Key of the target, checked if given.
    not_run : bool
        Whether the target reports that a job it returns to the queue has not
        started. Otherwise a job that must not be repeated becomes unknown.
    """

    job_id: str
    attempt: int
    phase: JobPhase
    result: bytes = b""
    key: str = ""
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class ExpireJob:
    """End an attempt whose lease expired: requeue if repeatable, else unknown."""

    job_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancel jobs of one team; queued ones end, running ones are asked to stop."""

    team: str
    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Reserve:
    """
    Claim the only run of a request that must not be repeated.

    ``token`` is new for each claim; repeating a claim succeeds.
    """

    request_id: str
    team: str
    service: str
    digest: bytes
    entry: str
    session: str
    token: str = ""


@dataclass(frozen=True, slots=True)
class SettleReservation:
    """Record the outcome of a reserved request; ``token`` identifies the claim."""

    request_id: str
    team: str
    session: str
    phase: ReservationPhase
    answer: Answer | None = None
    token: str = ""


@dataclass(frozen=True, slots=True)
class ForgetAnswers:
    """Remove the stored answers to requests reserved before ``before_ms``."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class ForgetWork:
    """
    Remove repeatable jobs that ended before ``before_ms``.

    Other jobs are removed if they ended before ``once_before_ms``, and settled
    reservations if they were made before it. Jobs that ended before
    ``results_before_ms`` lose their results but stay, so that a resend still
    finds them.
    """

    before_ms: int
    results_before_ms: int = 0
    once_before_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Open a session of a daemon; earlier sessions stay until closed."""

    daemon: str
    session: str


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session: its loan is returned, its running calls become unknown."""

    daemon: str
    session: str


@dataclass(frozen=True, slots=True)
class Lend:
    """Increase the loan of a session by the given amounts."""

    session: str
    slots: tuple[SlotGrant, ...] = ()
    permits: tuple[TeamGrant, ...] = ()


@dataclass(frozen=True, slots=True)
class ReturnLoan:
    """
    Decrease the loan of a session by the given amounts.

    A return with a ``sequence`` above zero takes effect once, however often it is
    proposed; a session numbers its returns from one.
    """

    session: str
    slots: tuple[SlotGrant, ...] = ()
    permits: tuple[TeamGrant, ...] = ()
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Recall:
    """Ask a session to return capacity as soon as its calls have ended."""

    session: str
    services: tuple[ServiceSlots, ...] = ()
    permits: tuple[TeamGrant, ...] = ()


COMMANDS = (
    SubmitJob,
    StartJob,
    EndJob,
    ExpireJob,
    CancelJobs,
    Reserve,
    SettleReservation,
    ForgetAnswers,
    ForgetWork,
    OpenSession,
    CloseSession,
    Lend,
    ReturnLoan,
    Recall,
)
