"""
mulberryledge_core.model.services
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Service documents as data: one class per section, with units in the field names.
"""

from dataclasses import dataclass

from mulberryledge_core.model.hosts import Resources

__all__ = [
    "AvailabilitySection",
    "CallsSection",
    "ObjectiveSection",
    "QueueSection",
    "Service",
    "ServiceDocument",
    "ServiceSection",
    "ServiceVersion",
]


@dataclass(frozen=True, slots=True)
class ServiceSection:
    """Identity of a service: its name, owning team and pool."""

    name: str
    team: str
    pool: str


@dataclass(frozen=True, slots=True)
class CallsSection:
    """
    How calls of a service are dispatched.

    Attributes
    ----------
    repeatable : bool
        Whether a call may run again after a failure.
    deadline_ms : int
        Longest time that a call may take, in milliseconds.
    max_body_kb : int
        Largest request body in kilobytes.
    answer_id_required : bool
        Whether an answer must echo the ``X-Request-Id`` header.
    """

    repeatable: bool = True
    deadline_ms: int = 10_000
    max_body_kb: int = 1_024
    answer_id_required: bool = False


@dataclass(frozen=True, slots=True)
class QueueSection:
    """
    How queued jobs of a service are run.

    Attributes
    ----------
    open : bool
        Whether the queue is open to every team.
    repeatable : bool
        Whether a job may run again after its lease expired.
    lease_ms : int
        Length of a job lease in milliseconds.
    max_attempts : int
        Failed runs after which a repeatable job counts as failed.
    max_run_s : int
        Declared longest run time in seconds.
    max_queued : int
        Jobs that may wait at once; more are refused.
    may_throttle, may_checkpoint, may_stop : bool
        What the system may do to a running job to reclaim capacity.
    """

    open: bool = False
    repeatable: bool = True
    lease_ms: int = 10_000
    max_attempts: int = 3
    max_run_s: int = 3_600
    max_queued: int = 10_000
    may_throttle: bool = False
    may_checkpoint: bool = False
    may_stop: bool = False


@dataclass(frozen=True, slots=True)
class AvailabilitySection:
    """
    The availability budget of a service.

    Attributes
    ----------
    max_hosts_out : int
        Hosts that may be out at once, planned and unplanned together.
    max_hosts_out_per_zone : int
        The same within one availability zone.
    max_hosts_out_per_rack : int
        The same within one rack.
    min_hosts_serving : int
        Hosts that must keep serving.
    outage_minutes : int
        Host minutes, planned and unplanned together, beyond which a window allows
        no further planned outage; zero for no bound.
    window_days : int
        Length of that window in days.
    """

    max_hosts_out: int = 1
    max_hosts_out_per_zone: int = 1
    max_hosts_out_per_rack: int = 1
    min_hosts_serving: int = 1
    outage_minutes: int = 0
    window_days: int = 28


@dataclass(frozen=True, slots=True)
class ObjectiveSection:
    """
    The service-level objective of a service.

    Attributes
    ----------
    success_share : float
        Share of calls that must be answered completely and in time.
    latency_ms : int
        Time within which an answer counts as in time, in milliseconds; zero
        stands for the deadline of the calls.
    window_days : int
        Length of the window of the error budget, in days.
    """

    success_share: float = 0.999
    latency_ms: int = 0
    window_days: int = 28


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """A complete service document."""

    service: ServiceSection
    calls: CallsSection | None = None
    queue: QueueSection | None = None
    size: Resources = Resources()
    availability: AvailabilitySection = AvailabilitySection()
    objective: ObjectiveSection = ObjectiveSection()


@dataclass(frozen=True, slots=True)
class ServiceVersion:
    """One accepted text of a service document."""

    version: int
    text: str
    index: int
    accepted_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """
    A service: its document in force and its recent history, oldest first.

    Attributes
    ----------
    hold : str
        Why an operator excludes its hosts from maintenance, empty if not.
    """

    name: str
    document: ServiceDocument
    history: tuple[ServiceVersion, ...]
    hold: str = ""

    @property
    def version(self) -> int:
        """Number of the version in force."""
        return self.history[-1].version

    @property
    def text(self) -> str:
        """Text of the version in force."""
        return self.history[-1].text
