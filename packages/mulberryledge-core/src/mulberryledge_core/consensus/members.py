"""
mulberryledge_core.consensus.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The members of a cluster, and the changes that may be made to them.
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
        Identity of the data folder that votes; empty for a learner. A daemon
        with another folder does not vote under this name.
    """

    name: str
    address: str = ""
    port: int = 0
    availability_zone: str = ""
    folder: str = ""

    @property
    def voter(self) -> bool:
        """Whether the member votes."""
        return bool(self.folder)


@dataclass(frozen=True, slots=True)
class Configuration:
    """
    The members, and the names that were removed most recently.

    Attributes
    ----------
    generation : int
        Raised by an operator who restores a cluster that lost its majority.
    """

    members: tuple[Member, ...] = ()
    former: tuple[str, ...] = ()
    generation: int = 1

    def find(self, name: str) -> Member | None:
        """Return the member with the name, or None."""
        return next((one for one in self.members if one.name == name), None)

    def voters(self) -> tuple[Member, ...]:
        """Return the members that vote."""
        return tuple(one for one in self.members if one.voter)

    def votes(self, name: str, folder: str) -> bool:
        """Return whether a vote with this name and folder counts."""
        member = self.find(name)
        return member is not None and member.voter and member.folder == folder

    def majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self.voters()) // 2 + 1


def change_members(
    present: Configuration, command: object
) -> Result[Configuration, Refusal]:
    """
    Return the members after a command; an error if it changes nothing.

    At most one voter comes or goes with a command, so that a quorum before and
    one after the change always share a voter.
    """
    return CHANGES[type(command)](present, command)


def _add(present: Configuration, command: AddMember) -> Result:
    member = Member(
        command.name, command.address, command.port, command.availability_zone
    )
    known = present.find(command.name)
    if known is not None and replace(known, folder="") == member:
        return _refuse(Code.EXISTS, f"daemon {command.name!r} is a member already")
    if known is not None and known.voter:
        text = f"daemon {command.name!r} votes: demote it before you change it"
        return _refuse(Code.CONFLICT, text)
    members = (*(one for one in present.members if one != known), member)
    former = tuple(name for name in present.former if name != command.name)
    return Ok(replace(present, members=members, former=former))


def _promote(present: Configuration, command: PromoteMember) -> Result:
    member = present.find(command.name)
    if member is None:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is no member")
    if member.voter:
        text = f"daemon {command.name!r} votes already, with folder {member.folder}"
        same = member.folder == command.folder
        return _refuse(Code.EXISTS if same else Code.CONFLICT, text)
    if not command.folder:
        return _refuse(Code.BAD_REQUEST, "folder: name the data folder's identity")
    return Ok(_with(present, replace(member, folder=command.folder)))


def _demote(present: Configuration, command: DemoteMember) -> Result:
    member = present.find(command.name)
    if member is None or not member.voter:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} does not vote")
    if command.folder not in ("", member.folder):
        text = f"daemon {command.name!r} votes with folder {member.folder}"
        return _refuse(Code.CONFLICT, text)
    if len(present.voters()) == 1:
        return _refuse(Code.IN_USE, f"daemon {command.name!r} is the last voter")
    return Ok(_with(present, replace(member, folder="")))


def _replace_folder(present: Configuration, command: ReplaceFolder) -> Result:
    member = present.find(command.name)
    if member is None or not member.voter:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} does not vote")
    if not command.folder or command.folder == member.folder:
        text = f"daemon {command.name!r} votes with folder {member.folder}"
        return _refuse(Code.EXISTS, text)
    return Ok(_with(present, replace(member, folder=command.folder)))


def _remove(present: Configuration, command: RemoveMember) -> Result:
    member = present.find(command.name)
    if member is None:
        return _refuse(Code.NOT_FOUND, f"daemon {command.name!r} is no member")
    if present.voters() == (member,):
        return _refuse(Code.IN_USE, f"daemon {command.name!r} is the last voter")
    members = tuple(one for one in present.members if one != member)
    former = (*present.former, member.name)[-MAX_FORMER:]
    return Ok(replace(present, members=members, former=former))


def _with(present: Configuration, member: Member) -> Configuration:
    members = tuple(
        member if one.name == member.name else one for one in present.members
    )
    return replace(present, members=members)


def _refuse(code: Code, text: str) -> Result:
    return Err(Refusal(code, text))


CHANGES = {
    AddMember: _add,
    PromoteMember: _promote,
    DemoteMember: _demote,
    RemoveMember: _remove,
    ReplaceFolder: _replace_folder,
}
