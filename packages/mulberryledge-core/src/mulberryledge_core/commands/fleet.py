"""
mulberryledge_core.commands.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on pools, hosts and targets.
"""

from dataclasses import dataclass

from mulberryledge_core.model.hosts import HostPhase, Resources
from mulberryledge_core.model.targets import DEFAULT_CONNECTIONS, DEFAULT_SLOTS

__all__ = [
    "COMMANDS",
    "AddHost",
    "AnnounceTarget",
    "CreatePool",
    "DropTarget",
    "LeaveTarget",
    "MoveHost",
    "RemoveHost",
    "RemovePool",
    "SetHostPhase",
]


@dataclass(frozen=True, slots=True)
class CreatePool:
    """Create a pool; the same values again are the same success."""

    name: str
    quiet_start_min: int = 0
    quiet_end_min: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class RemovePool:
    """Remove an empty pool."""

    name: str


@dataclass(frozen=True, slots=True)
class AddHost:
    """Assign a new host to a pool."""

    name: str
    pool: str
    region: str = ""
    availability_zone: str = ""
    rack: str = ""
    resources: Resources = Resources()


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """Remove a host that runs no target."""

    name: str


@dataclass(frozen=True, slots=True)
class MoveHost:
    """
    Move a host between pools if it still belongs to ``expected_pool``.

    ``within_budgets`` refuses a move that a planned outage of the host would not be
    allowed; without it, the move is an operator's own word.
    """

    name: str
    expected_pool: str
    pool: str
    within_budgets: bool = False


@dataclass(frozen=True, slots=True)
class SetHostPhase:
    """Change the phase of a host if it still is in ``expected``."""

    name: str
    expected: HostPhase
    phase: HostPhase
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Announce a target; the same target again keeps its generation."""

    name: str
    host: str
    service: str
    address: str
    port: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    key: str = ""
    instance: str = ""


@dataclass(frozen=True, slots=True)
class LeaveTarget:
    """
    Give a target no new work.

    ``within_budgets`` refuses what no budget would allow as a planned outage; a
    target that says by itself that it leaves is believed.
    """

    name: str
    generation: int
    within_budgets: bool = False


@dataclass(frozen=True, slots=True)
class DropTarget:
    """Forget a target that left or whose lease ran out."""

    name: str
    generation: int
    lost: bool = False


COMMANDS = (
    CreatePool,
    RemovePool,
    AddHost,
    RemoveHost,
    MoveHost,
    SetHostPhase,
    AnnounceTarget,
    LeaveTarget,
    DropTarget,
)
