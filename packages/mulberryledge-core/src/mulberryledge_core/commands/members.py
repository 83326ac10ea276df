"""
mulberryledge_core.commands.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on the daemons of the cluster, and the entry that changes nothing.
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
    """Change nothing; a leader begins its term with it."""


@dataclass(frozen=True, slots=True)
class AddMember:
    """Add a daemon as a learner."""

    name: str
    address: str
    port: int
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """Let a learner that has caught up vote with the given data folder."""

    name: str
    folder: str


@dataclass(frozen=True, slots=True)
class DemoteMember:
    """Make a voter a learner, if it votes with the given data folder."""

    name: str
    folder: str = ""


@dataclass(frozen=True, slots=True)
class ReplaceFolder:
    """Let a voter that lost its data folder vote with the new one."""

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
