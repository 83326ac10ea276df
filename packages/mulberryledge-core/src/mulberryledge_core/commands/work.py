"""
mulberryledge_core.commands.work
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on jobs, reservations, and the sessions that capacity is lent to.
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
    """Queue a job; the same job again is the same success."""

    job_id: str
    service: str
    team: str
    body: bytes
    urgent: bool = False
    repeatable: bool = True
    size: Resources | None = None


@dataclass(frozen=True, slots=True)
class StartJob:
    """Lease a queued job to a target; ``key`` is the key that took it."""

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
        ``DONE``, ``FAILED``, ``CANCELLED``, or ``QUEUED`` to hand the job back.
    result : bytes
        Result or failure text; the checkpoint of a job that is handed back.
    key : str
        Key of the target, checked if given.
    not_run : bool
        Whether the target states that a job it hands back has not begun to run.
        Otherwise a job that must not be repeated becomes unknown.
    """

    job_id: str
    attempt: int
    phase: JobPhase
    result: bytes = b""
    key: str = ""
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class ExpireJob:
    """End an attempt whose lease ran out: requeue if repeatable, else unknown."""

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
    Claim the one run of a request that must not be repeated.

    ``token`` is new for each claim; the same claim again is the same success.
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
    """Record what became of a reserved request; ``token`` names the claim."""

    request_id: str
    team: str
    session: str
    phase: ReservationPhase
    answer: Answer | None = None
    token: str = ""


@dataclass(frozen=True, slots=True)
class ForgetAnswers:
    """Drop the kept answers of what was reserved before ``before_ms``."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class ForgetWork:
    """
    Drop ended jobs that may be repeated from before ``before_ms``.

    Ended jobs and settled reservations that must not be repeated are dropped from
    before ``once_before_ms``. Results of jobs that ended before
    ``results_before_ms`` are dropped as well, while the jobs stay, so that a
    resend still finds them.
    """

    before_ms: int
    results_before_ms: int = 0
    once_before_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Begin a new life of a daemon; earlier lives stay until closed."""

    daemon: str
    session: str


@dataclass(frozen=True, slots=True)
class CloseSession:
    """End a life of a daemon: its loans return, its running calls are unknown."""

    daemon: str
    session: str


@dataclass(frozen=True, slots=True)
class Lend:
    """Raise what is lent to a session by the given amounts."""

    session: str
    slots: tuple[SlotGrant, ...] = ()
    permits: tuple[TeamGrant, ...] = ()


@dataclass(frozen=True, slots=True)
class ReturnLoan:
    """
    Lower what is lent to a session by the given amounts.

    A return with a ``sequence`` above zero takes effect once, however often it is
    proposed; a session counts its returns up from one.
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
