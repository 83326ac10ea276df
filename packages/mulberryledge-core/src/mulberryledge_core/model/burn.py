"""
mulberryledge_core.model.burn
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts of calls by outcome, from which error-budget burn rates are computed.
"""

from dataclasses import dataclass, fields
from enum import StrEnum

__all__ = [
    "BurnReport",
    "CallOutcome",
    "Counts",
    "Interval",
    "Series",
    "ServiceObjective",
    "WindowCounts",
]


class CallOutcome(StrEnum):
    """Outcome under which a call is counted."""

    GOOD = "good"
    REFUSED = "refused"
    LATE = "late"
    UNKNOWN = "unknown"
    MAINTENANCE = "maintenance"
    LOSS = "loss"


@dataclass(frozen=True, slots=True)
class Counts:
    """
    Calls by cause.

    Attributes
    ----------
    good : int
        Answered completely and in time.
    refused : int
        Refused for lack of capacity while no host was out.
    late : int
        Answered after the objective's latency, or ended by the deadline.
    unknown : int
        Sent to a target without a complete answer.
    maintenance : int
        Refused while a host of the pool was out for maintenance.
    loss : int
        Refused while a host of the pool or a target was lost.
    """

    good: int = 0
    refused: int = 0
    late: int = 0
    unknown: int = 0
    maintenance: int = 0
    loss: int = 0

    @property
    def total(self) -> int:
        """Calls of every cause."""
        return sum(getattr(self, field.name) for field in fields(self))

    @property
    def bad(self) -> int:
        """Calls that spend the error budget."""
        return self.total - self.good

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            *(getattr(self, f.name) + getattr(other, f.name) for f in COUNT_FIELDS)
        )


COUNT_FIELDS = fields(Counts)


@dataclass(frozen=True, slots=True)
class ServiceObjective:
    """The objective stated in a service's document."""

    service: str
    owner: str
    success_share: float
    window_days: int


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Counts of the last ``window_s`` seconds."""

    window_s: int
    counts: Counts


@dataclass(frozen=True, slots=True)
class Series:
    """Counts of one service and team over every window."""

    service: str
    team: str
    windows: tuple[WindowCounts, ...]


@dataclass(frozen=True, slots=True)
class Interval:
    """Counts of one service over all teams in one interval."""

    service: str
    start_ms: int
    length_ms: int
    counts: Counts


@dataclass(frozen=True, slots=True)
class BurnReport:
    """
    Counts of one daemon.

    Attributes
    ----------
    daemon : str
        Name of the daemon.
    since_ms, now_ms : int
        Log times, in milliseconds, of the first count and of the report.
    """

    daemon: str
    since_ms: int
    now_ms: int
    objectives: tuple[ServiceObjective, ...] = ()
    series: tuple[Series, ...] = ()
    history: tuple[Interval, ...] = ()
