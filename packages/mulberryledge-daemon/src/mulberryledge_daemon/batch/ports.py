"""
mulberryledge_daemon.batch.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ports between the scheduler and what it gives orders to: targets, the cloud that owns
the hosts, and the advisor on placement.
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
    "HoldOrder",
    "HostState",
    "HostView",
    "HostsView",
    "ListedEnd",
    "ListedRun",
    "OrderAnswer",
    "OrderOutcome",
    "StartOrder",
    "StopOrder",
    "TargetOrders",
    "TargetView",
    "TicketGrant",
]


class OrderOutcome(StrEnum):
    """What became of an order to a target."""

    DONE = "done"
    FENCED = "fenced"  # the target has seen a higher fencing token
    OLD_RUN = "old-run"  # a run as high has ended or been stopped there
    LATE = "late"  # the order's deadline has passed
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # the target refuses, and has done nothing
    OTHER_LIFE = "other-life"  # another life answers at the address
    NOT_SENT = "not-sent"  # no connection: the target never saw the order
    UNKNOWN = "unknown"  # may have been carried out, or may still be


@dataclass(frozen=True, slots=True)
class StartOrder:
    """
    Start a run.

    Attributes
    ----------
    deadline_ms : int
        On the target's clock; later the target refuses.
    checkpoint, ticket : str
        Empty for none.
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
    """Stop a run, or keep it from ever starting."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a percentage of its speed."""

    task: TaskId
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """
    Renew the lease of everything that runs on a target, and list it.

    Attributes
    ----------
    deadline_ms : int or None
        End of the lease on the target's clock; None leaves it as it is.
    last_seen : int
        Ends up to this number are durable and may be forgotten.
    wait_ms : int
        How long the answer may wait for an end.
    """

    fence: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """
    The answer to an order.

    Attributes
    ----------
    clock_ms : int or None
        The target's clock, if it answered.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ListedRun:
    """
    A run that is under way.

    Attributes
    ----------
    percent : int
        Progress; for runs that last, 100 means at work.
    figure : int or None
        Tail latency in milliseconds of what serves, else the processor time in use
        in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    figure: int | None = None


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that the target has not been told to forget."""

    number: int
    task: TaskId
    run: int
    how: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """
    What a target lists.

    Attributes
    ----------
    born_ms : int or None
        Start of the life that answers, if it tells.
    """

    clock_ms: int
    born_ms: int | None
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class TargetOrders(Protocol):
    """Orders to targets."""

    def start(self, target: Target, order: StartOrder) -> Awaitable[OrderAnswer]:
        """Start a run."""

    def stop(self, target: Target, order: StopOrder) -> Awaitable[OrderAnswer]:
        """Stop a run."""

    def pace(self, target: Target, order: PaceOrder) -> Awaitable[OrderAnswer]:
        """Set the pace of a run."""

    def hold(
        self, target: Target, order: HoldOrder
    ) -> Awaitable[TargetView | OrderAnswer]:
        """Renew the lease; the lists, or why there are none."""

    def forget(self, target: Target) -> None:
        """Close the connections to a target."""


class CloudOutcome(StrEnum):
    """What became of an order to the cloud."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    INVALID = "invalid"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


class HostState(StrEnum):
    """What the cloud says of a host."""

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
    state : HostState
        Whether it serves, moves, has its upkeep, or is down.
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
    All hosts that the cloud lists.

    Attributes
    ----------
    unread : int
        Rows that could not be read: a host that is missing may be one of them.
    """

    hosts: tuple[HostView, ...]
    unread: int = 0


class Cloud(Protocol):
    """Orders to the owner of the hosts."""

    def list_hosts(self) -> Awaitable[HostsView | CloudOutcome]:
        """Return all hosts, or why they can't be had."""

    def move(self, host: str, pool: str, fence: int) -> Awaitable[CloudOutcome]:
        """Move a host to another pool; everything on it ends."""

    def upkeep(self, host: str, wave: int, fence: int) -> Awaitable[CloudOutcome]:
        """Take a host down for its upkeep; everything on it ends."""


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """Leave to run a step on the target of that name, in its present life."""

    target: str
    ticket: str


class Advisor(Protocol):
    """Decides which targets may run the steps of some queues."""

    def advise(
        self, step: StepId, targets: tuple[str, ...], cost: AdviceCost
    ) -> Awaitable[tuple[TicketGrant, ...] | None]:
        """Return tickets for those that may run it, None without an answer."""
