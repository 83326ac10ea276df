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
    """Create a pool; creating it again with the same values succeeds."""

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

    With ``within_budgets``, the move is refused if the availability budgets forbid a
    planned outage of the host; without it, an operator overrides the budgets.
    """

    name: str
    expected_pool: str
    pool: str
    within_budgets: bool = False


@dataclass(frozen=True, slots=True)
class SetHostPhase:
    """Change the phase of a host if its current phase is ``expected``."""

    name: str
    expected: HostPhase
    phase: HostPhase
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Announce a target; an identical announcement keeps the generation."""

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
    Stop giving new work to a target.

    With ``within_budgets``, the command is refused if the availability budgets
    forbid a planned outage of the host; a target that leaves on its own is not
    checked.
    """

    name: str
    generation: int
    within_budgets: bool = False


@dataclass(frozen=True, slots=True)
class DropTarget:
    """Remove a target that left or whose lease expired; ``lost`` keeps it as lost."""

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
