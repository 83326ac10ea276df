"""
mulberryledge_core.commands.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on teams, keys and service documents.
"""

from dataclasses import dataclass

__all__ = [
    "COMMANDS",
    "ApplyDocument",
    "CreateTeam",
    "GiveKey",
    "RemoveService",
    "RemoveTeam",
    "SetTeamQuota",
    "WithdrawKey",
]


@dataclass(frozen=True, slots=True)
class CreateTeam:
    """Create a team; creating it again with the same values succeeds."""

    name: str
    share: float = 1.0
    upper_limit: int = 64


@dataclass(frozen=True, slots=True)
class SetTeamQuota:
    """Change a team's share and upper limit."""

    name: str
    share: float
    upper_limit: int


@dataclass(frozen=True, slots=True)
class RemoveTeam:
    """Remove a team that owns no service, and its keys."""

    name: str


@dataclass(frozen=True, slots=True)
class GiveKey:
    """Store the salted hash of a new key."""

    key_id: str
    team: str
    salt: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key; withdrawing it again succeeds."""

    key_id: str


@dataclass(frozen=True, slots=True)
class ApplyDocument:
    """
    Put a service document in force.

    ``version`` is the number of the new text; it must be one above the version in
    force. Applying a stored version again with the same text succeeds.
    """

    text: str
    version: int


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Remove a service without targets or unfinished jobs."""

    name: str


COMMANDS = (
    CreateTeam,
    SetTeamQuota,
    RemoveTeam,
    GiveKey,
    WithdrawKey,
    ApplyDocument,
    RemoveService,
)
