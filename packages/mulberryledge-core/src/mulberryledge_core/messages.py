"""
mulberryledge_core.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests that entries send to the leader, and the leader's replies.
"""

from dataclasses import dataclass

from mulberryledge_core.batch.requests import (
    CallReply,
    CancelAsk,
    JobStateAsk,
    QueueAsk,
    SubmitAsk,
)
from mulberryledge_core.decisions.preemption import Order
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
    """Reply that only confirms receipt."""


@dataclass(frozen=True, slots=True)
class CallDemand:
    """Slots that one team's calls to one service could use at an entry."""

    service: str
    team: str
    wanted: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """
    Renewal of an entry's session, with the capacity that its calls could use.

    The leader replies at once and grants capacity by entries of the log.

    Attributes
    ----------
    short : bool
        Whether calls are waiting because the loan is used up.
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
        Generations in ascending order, each as its difference to the previous one.
    """

    daemon: str
    gaps: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TakeJob:
    """
    Request for a job of one queue on behalf of a target.

    Attributes
    ----------
    wait_ms : int
        Longest time to wait for a job, in milliseconds.
    """

    service: str
    target: str
    generation: int
    key: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class TakenJob:
    """Job leased to the requesting target."""

    job_id: str
    attempt: int
    lease_ms: int
    body: bytes
    checkpoint: bytes = b""


@dataclass(frozen=True, slots=True)
class NoJob:
    """No job became available within the waiting time."""


@dataclass(frozen=True, slots=True)
class RenewJob:
    """
    Renewal of the lease of one attempt.

    Attributes
    ----------
    wait_ms : int
        Longest time to wait for an order, in milliseconds; the lease starts at
        the request.
    """

    job_id: str
    attempt: int
    key: str
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobLease:
    """
    Renewed lease of a job.

    Attributes
    ----------
    cancel_requested : bool
        Whether the target should stop the job permanently.
    order : Order
        What the target should do to free capacity for other work.
    """

    lease_ms: int
    cancel_requested: bool
    order: Order = Order.NONE


@dataclass(frozen=True, slots=True)
class JobUsage:
    """Measured resource use of one running job."""

    job_id: str
    attempt: int
    used: Resources


@dataclass(frozen=True, slots=True)
class TargetUsage:
    """Measured resource use of one target and of its running jobs."""

    target: str
    generation: int
    used: Resources
    jobs: tuple[JobUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Resource use that targets reported to an entry since its last report."""

    daemon: str
    targets: tuple[TargetUsage, ...]


@dataclass(frozen=True, slots=True)
class ReadIndexAsk:
    """Request for the commit index, for a linearizable read."""


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Commit index of a leader whose quorum lease is valid."""

    index: int


@dataclass(frozen=True, slots=True)
class InForceAsk:
    """Request to wait until an index is in force, at most ``timeout_ms``."""

    index: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class InForceReply:
    """Daemons on which the index may not be in force yet."""

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
    """Return the message class, or None if the name is unknown."""
    return MESSAGES.get(name)
