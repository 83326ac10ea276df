"""
mulberryledge_core.commands.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on the members of the cluster, and the no-operation command.
"""

from dataclasses import dataclass

__all__ = [
    "COMMANDS",
    "AddMember",
    "DemoteMember",
    "Nothing",
    "PromoteMember",
    "RemoveMember",
    "ReplaceFolder",
]


@dataclass(frozen=True, slots=True)
class Nothing:
    """Change nothing; a leader appends it at the start of its term."""


@dataclass(frozen=True, slots=True)
class AddMember:
    """Add a daemon as a learner."""

    name: str
    address: str
    port: int
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """Make a caught-up learner a voter with the given data folder."""

    name: str
    folder: str


@dataclass(frozen=True, slots=True)
class DemoteMember:
    """Make a voter a learner, if it votes with the given data folder."""

    name: str
    folder: str = ""


@dataclass(frozen=True, slots=True)
class ReplaceFolder:
    """Accept the new data folder of a voter that lost its old one."""

    name: str
    folder: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a daemon."""

    name: str


COMMANDS = (
    Nothing,
    AddMember,
    PromoteMember,
    DemoteMember,
    RemoveMember,
    ReplaceFolder,
)
