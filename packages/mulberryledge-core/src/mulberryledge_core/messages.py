"""
mulberryledge_core.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed requests that entries send to the leader, and the leader's replies.
"""

from dataclasses import dataclass

from mulberryledge_core.batch.requests import (
    CallReply,
    CancelAsk,
    JobStateAsk,
    QueueAsk,
    SubmitAsk,
)
from mulberryledge_core.decisions.plan import Order
from mulberryledge_core.model.hosts import Resources

__all__ = [
    "MESSAGES",
    "Acknowledged",
    "CallDemand",
    "DemandReport",
    "InForceAsk",
    "InForceReply",
    "JobLease",
    "JobUsage",
    "NoJob",
    "ReadIndex",
    "ReadIndexAsk",
    "RenewJob",
    "TakeJob",
    "TakenJob",
    "TargetUsage",
    "TargetsSeen",
    "UsageReport",
    "get_message_by_name",
]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Reply without content."""


@dataclass(frozen=True, slots=True)
class CallDemand:
    """Slots that the calls of one team to one service could use at an entry."""

    service: str
    team: str
    wanted: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """
    Renews an entry's session and says what its calls could use.

    Answered at once; capacity follows by log entries.

    Attributes
    ----------
    short : bool
        Whether calls wait for more than is on loan.
    """

    session: str
    availability_zone: str
    demands: tuple[CallDemand, ...] = ()
    short: bool = False


@dataclass(frozen=True, slots=True)
class TargetsSeen:
    """
    Targets that renewed their leases at an entry since its last report.

    Attributes
    ----------
    gaps : tuple of int
        Generations in rising order, each as the difference from the one before.
    """

    daemon: str
    gaps: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TakeJob:
    """
    Ask for a job of one queue on behalf of a target.

    Attributes
    ----------
    wait_ms : int
        How long the request may wait for work, in milliseconds.
    """

    service: str
    target: str
    generation: int
    key: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class TakenJob:
    """A job leased to the asking target."""

    job_id: str
    attempt: int
    lease_ms: int
    body: bytes
    checkpoint: bytes = b""


@dataclass(frozen=True, slots=True)
class NoJob:
    """No job came up within the wait."""


@dataclass(frozen=True, slots=True)
class RenewJob:
    """
    Renew the lease of one attempt.

    Attributes
    ----------
    wait_ms : int
        How long the reply may wait for an order, in milliseconds; the lease
        counts from the request.
    """

    job_id: str
    attempt: int
    key: str
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobLease:
    """
    A renewed lease.

    Attributes
    ----------
    cancel_requested : bool
        Whether the target should stop the job for good.
    order : Order
        What the target should do to make room for others.
    """

    lease_ms: int
    cancel_requested: bool
    order: Order = Order.NONE


@dataclass(frozen=True, slots=True)
class JobUsage:
    """Measured use of one running job."""

    job_id: str
    attempt: int
    used: Resources


@dataclass(frozen=True, slots=True)
class TargetUsage:
    """Measured use of one target and of its running jobs."""

    target: str
    generation: int
    used: Resources
    jobs: tuple[JobUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What an entry heard of the use of targets since its last report."""

    daemon: str
    targets: tuple[TargetUsage, ...]


@dataclass(frozen=True, slots=True)
class ReadIndexAsk:
    """Ask for the commit index, to read what is committed now."""


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Commit index of a leader whose quorum lease holds."""

    index: int


@dataclass(frozen=True, slots=True)
class InForceAsk:
    """Wait, at most the given milliseconds, until an index is in force."""

    index: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class InForceReply:
    """Daemons on which the index is not known to be in force."""

    waiting: tuple[str, ...] = ()


MESSAGES = {
    kind.__name__: kind
    for kind in (
        Acknowledged,
        DemandReport,
        TargetsSeen,
        TakeJob,
        TakenJob,
        NoJob,
        RenewJob,
        JobLease,
        InForceAsk,
        InForceReply,
        ReadIndexAsk,
        ReadIndex,
        UsageReport,
        SubmitAsk,
        JobStateAsk,
        CancelAsk,
        QueueAsk,
        CallReply,
    )
}


def get_message_by_name(name: str) -> type | None:
    """Return the message class with the given name, or None."""
    return MESSAGES.get(name)
