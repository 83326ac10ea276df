"""
mulberryledge_daemon.batch.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ports between the scheduler and what it sends orders and questions to: targets, the
cloud that owns the hosts, and the placement advisor.
"""

from collections.abc import Awaitable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.configuration import AdviceCost
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepId, TaskId
from mulberryledge_core.batch.targets import Target

__all__ = [
    "Advisor",
    "Cloud",
    "CloudOutcome",
    "HostState",
    "HostView",
    "HostsView",
    "ListedEnd",
    "ListedRun",
    "OrderAnswer",
    "OrderOutcome",
    "RenewOrder",
    "StartOrder",
    "StopOrder",
    "TargetOrders",
    "TargetView",
    "TicketGrant",
]


class OrderOutcome(StrEnum):
    """Outcome of an order to a target."""

    DONE = "done"
    FENCED = "fenced"  # the target has seen a higher fencing token
    OLD_RUN = "old-run"  # this run or a later one has ended or been stopped
    DEADLINE_PASSED = "late"  # the order's deadline has passed
    NO_CAPACITY = "no-room"
    BAD_TICKET = "bad-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # the target refused without any effect
    OTHER_INCARNATION = "other-life"  # another incarnation answers at the address
    NOT_SENT = "not-sent"  # no connection: the target never received the order
    UNKNOWN = "unknown"  # may have been executed, or may still be


@dataclass(frozen=True, slots=True)
class StartOrder:
    """
    Start a run.

    Attributes
    ----------
    deadline_ms : int
        Time on the target's clock after which it refuses the order.
    fence : int
        Fencing token of the leader that sends the order.
    checkpoint, ticket : str
        Empty if there is none.
    """

    task: TaskId
    run: int
    body: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, or prevent it from ever starting."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Throttle a run to a percentage of its full speed."""

    task: TaskId
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class RenewOrder:
    """
    Renew the lease of all runs on a target, and request its lists.

    Attributes
    ----------
    deadline_ms : int or None
        End of the lease on the target's clock; None leaves it unchanged.
    last_seen : int
        Ends up to this number are durable, so the target may discard them.
    wait_ms : int
        How long the target may delay its answer until a run ends.
    """

    fence: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """
    Answer to an order.

    Attributes
    ----------
    clock_ms : int or None
        Reading of the target's clock, None if it did not answer.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ListedRun:
    """
    A run in progress.

    Attributes
    ----------
    percent : int
        Progress; 100 means that a long-running task is at work.
    measurement : int or None
        Tail latency in milliseconds of a task with a latency target, else the
        processor time in use in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measurement: int | None = None


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """End of a run that the leader has not confirmed as durable yet."""

    number: int
    task: TaskId
    run: int
    how: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """
    Runs and ends that a target lists.

    Attributes
    ----------
    born_ms : int or None
        Start time of the incarnation that answers, None if it does not report it.
    ends_complete : bool
        Whether no further ends can be waiting for a later list. A run that an
        incomplete view does not list may have ended.
    """

    clock_ms: int
    born_ms: int | None
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    ends_complete: bool = True


class TargetOrders(Protocol):
    """
    Orders to targets.

    An order reaches the incarnation that it is for, or none, even if a later one has
    the same name and address.
    """

    def start(self, target: Target, order: StartOrder) -> Awaitable[OrderAnswer]:
        """Start a run."""

    def stop(self, target: Target, order: StopOrder) -> Awaitable[OrderAnswer]:
        """Stop a run."""

    def throttle(self, target: Target, order: ThrottleOrder) -> Awaitable[OrderAnswer]:
        """Set the speed of a run."""

    def renew_lease(
        self, target: Target, order: RenewOrder
    ) -> Awaitable[TargetView | OrderAnswer]:
        """Renew the lease; returns the lists, or why there are none."""

    def close_connections(self, target: Target) -> None:
        """Close the connections to a target."""


class CloudOutcome(StrEnum):
    """Outcome of an order to the cloud."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    INVALID = "invalid"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


class HostState(StrEnum):
    """State of a host as the cloud reports it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class HostView:
    """
    A host as the cloud lists it.

    Attributes
    ----------
    target : str
        Name of the target that runs on it, empty if none does.
    labels : tuple of str
        Labels of the targets that run on it.
    """

    host: str
    pool: str
    state: HostState
    availability_zone: str
    rack: str
    capacity: Size
    target: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HostsView:
    """
    Hosts that the cloud lists.

    Attributes
    ----------
    undecoded : int
        Number of rows that could not be decoded; a missing host may be among them.
    truncated : bool
        Whether the list has further pages that were not read.
    """

    hosts: tuple[HostView, ...]
    undecoded: int = 0
    truncated: bool = False


class Cloud(Protocol):
    """Orders to the owner of the hosts."""

    def list_hosts(self) -> Awaitable[HostsView | CloudOutcome]:
        """Return all hosts, or why the list is unavailable."""

    def move(self, host: str, pool: str, fence: int) -> Awaitable[CloudOutcome]:
        """Move a host to another pool; all runs on it end."""

    def upkeep(self, host: str, wave: int, fence: int) -> Awaitable[CloudOutcome]:
        """Take a host down for its upkeep; all runs on it end."""


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """Ticket to run a step on the named target in its present incarnation."""

    target: str
    ticket: str


class Advisor(Protocol):
    """Decides which targets may run the steps of some queues."""

    def advise(
        self, step: StepId, targets: tuple[str, ...], cost: AdviceCost
    ) -> Awaitable[tuple[TicketGrant, ...] | None]:
        """Return tickets for the targets that may run it, None without an answer."""
