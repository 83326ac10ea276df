"""
mulberryledge_core.consensus.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The members of a cluster, and the rules of membership changes.
"""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
    ReplaceFolder,
)
from mulberryledge_core.outcomes import Code, Refusal

__all__ = ["Configuration", "Member", "change_members"]

MAX_FORMER = 64


@dataclass(frozen=True, slots=True)
class Member:
    """
    One daemon of the cluster.

    Attributes
    ----------
    folder : str
        Identity of the data folder that may vote under this name; empty for a
        learner. A vote from any other folder is not counted.
    """

    name: str
    address: str = ""
    port: int = 0
    availability_zone: str = ""
    folder: str = ""

    @property
    def voter(self) -> bool:
        """Whether the member is a voter."""
        return bool(self.folder)


@dataclass(frozen=True, slots=True)
class Configuration:
    """
    The members of the cluster.

    Attributes
    ----------
    former : tuple of str
        Names of the members removed last, at most :data:`MAX_FORMER`.
    generation : int
        Incremented by an operator who restores a cluster that lost its majority.
    """

    members: tuple[Member, ...] = ()
    former: tuple[str, ...] = ()
    generation: int = 1

    def find(self, name: str) -> Member | None:
        """Return the member with the name, or None."""
        return next((member for member in self.members if member.name == name), None)

    def voters(self) -> tuple[Member, ...]:
        """Return the voters."""
        return tuple(member for member in self.members if member.voter)

    def has_voter(self, name: str, folder: str) -> bool:
        """Return whether votes of this name and data folder count."""
        member = self.find(name)
        return member is not None and member.voter and member.folder == folder

    def majority(self) -> int:
        """Return the size of a quorum."""
        return len(self.voters()) // 2 + 1


def change_members(
    current: Configuration, command: object
) -> Result[Configuration, Refusal]:
    """
    Return the configuration after a command; an error if it changes nothing.

    A command adds or removes at most one voter, so that any quorum before the
    change and any quorum after it share a voter.
    """
    return CHANGES[type(command)](current, command)


def _add(current: Configuration, command: AddMember) -> Result:
    member = Member(
        command.name, command.address, command.port, command.availability_zone
    )
    known = current.find(command.name)
    if known is not None and replace(known, folder="") == member:
        return _refuse(Code.EXISTS, f"daemon {command.name!r} is already a member")
    if known is not None and known.voter:
        text = f"daemon {command.name!r} is a voter: demote it before changing it"
        return _refuse(Code.CONFLICT, text)
    members = (*(other for other in current.members if other != known), member)
    former = tuple(name for name in current.former if name != command.name)
    return Ok(replace(current, members=members, former=former))


def _promote(current: Configuration, command: PromoteMember) -> Result:
    member = current.find(command.name)
    if member is None:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is no member")
    if member.voter:
        text = f"daemon {command.name!r} is already a voter with folder {member.folder}"
        same_folder = member.folder == command.folder
        return _refuse(Code.EXISTS if same_folder else Code.CONFLICT, text)
    if not command.folder:
        return _refuse(
            Code.BAD_REQUEST, "folder: missing; use the data folder's identity"
        )
    return Ok(_with_member(current, replace(member, folder=command.folder)))


def _demote(current: Configuration, command: DemoteMember) -> Result:
    member = current.find(command.name)
    if member is None or not member.voter:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is not a voter")
    if command.folder not in ("", member.folder):
        text = f"daemon {command.name!r} is a voter with folder {member.folder}"
        return _refuse(Code.CONFLICT, text)
    if len(current.voters()) == 1:
        return _refuse(Code.IN_USE, f"daemon {command.name!r} is the last voter")
    return Ok(_with_member(current, replace(member, folder="")))


def _replace_folder(current: Configuration, command: ReplaceFolder) -> Result:
    member = current.find(command.name)
    if member is None or not member.voter:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is not a voter")
    if not command.folder or command.folder == member.folder:
        text = f"daemon {command.name!r} is a voter with folder {member.folder}"
        return _refuse(Code.EXISTS, text)
    return Ok(_with_member(current, replace(member, folder=command.folder)))


def _remove(current: Configuration, command: RemoveMember) -> Result:
    member = current.find(command.name)
    if member is None:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is no member")
    if current.voters() == (member,):
        return _refuse(Code.IN_USE, f"daemon {command.name!r} is the last voter")
    members = tuple(other for other in current.members if other != member)
    former = (*current.former, member.name)[-MAX_FORMER:]
    return Ok(replace(current, members=members, former=former))


def _with_member(current: Configuration, member: Member) -> Configuration:
    members = tuple(
        member if other.name == member.name else other for other in current.members
    )
    return replace(current, members=members)


def _refuse(code: Code, text: str) -> Result:
    return Err(Refusal(code, text))


CHANGES = {
    AddMember: _add,
    PromoteMember: _promote,
    DemoteMember: _demote,
    RemoveMember: _remove,
    ReplaceFolder: _replace_folder,
}
