"""
mulberryledge_core.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed requests that entries send to the leader, and the leader's replies.
"""

from dataclasses import dataclass

__all__ = [
    "MESSAGES",
    "Acknowledged",
    "CallDemand",
    "DemandReport",
    "InForceAsk",
    "InForceReply",
    "JobLease",
    "NoJob",
    "RenewJob",
    "TakeJob",
    "TakenJob",
    "TargetsSeen",
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


@dataclass(frozen=True, slots=True)
class NoJob:
    """No job came up within the wait."""


@dataclass(frozen=True, slots=True)
class RenewJob:
    """Renew the lease of one attempt."""

    job_id: str
    attempt: int
    key: str


@dataclass(frozen=True, slots=True)
class JobLease:
    """A renewed lease; ``cancel_requested`` asks the target to stop the job."""

    lease_ms: int
    cancel_requested: bool


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
    )
}


def get_message_by_name(name: str) -> type | None:
    """Return the message class with the given name, or None."""
    return MESSAGES.get(name)
