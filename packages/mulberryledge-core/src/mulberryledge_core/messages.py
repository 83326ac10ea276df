"""
mulberryledge_core.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed requests that entries send to the leader, and the leader's replies.
"""

from dataclasses import dataclass

__all__ = [
    "MESSAGES",
    "Acknowledged",
    "DemandReport",
    "InForceAsk",
    "InForceReply",
    "JobLease",
    "NoJob",
    "RenewJob",
    "ServiceDemand",
    "TakeJob",
    "TakenJob",
    "TargetsSeen",
    "TeamDemand",
    "get_message_by_name",
]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Reply without content."""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Target slots of one service that an entry could use now."""

    service: str
    wanted: int


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Permits of one team that an entry could use now."""

    team: str
    wanted: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """What an entry could use beyond its loans; answered by log entries."""

    session: str
    availability_zone: str
    services: tuple[ServiceDemand, ...] = ()
    teams: tuple[TeamDemand, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetsSeen:
    """Targets that renewed their leases at an entry since its last report."""

    daemon: str
    targets: tuple[str, ...]


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
