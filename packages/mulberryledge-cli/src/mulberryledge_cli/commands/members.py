"""
mulberryledge_cli.commands.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on the daemons of the cluster.
"""

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option
from result import Err, Ok, Result

from mulberryledge_cli.client import Failure
from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_cli.commands.status import ask_all, first_failure
from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
)

__all__ = ["COMMANDS"]

MAX_PORT = 65_535
SHOWN_FOLDER_CHARS = 8


class MemberCommand(OperatorCommand):
    """A command on the members."""

    def cluster(self) -> Result[dict, Failure]:
        """Return the leader's view of the cluster, else the newest one."""
        found = ask_all(self.client(), "/v1/cluster")
        answers = [one.ok_value for _, one in found if isinstance(one, Ok)]
        if not answers:
            return Err(first_failure(found))
        return Ok(max(answers, key=lambda one: (one["leads"], one["applied"])))

    def member(self, name: str) -> Result[dict, Failure]:
        """Return what the leader knows of one member."""
        found = self.cluster()
        if isinstance(found, Err):
            return found
        if not found.ok_value["leads"]:
            text = "no entry that answers leads: see 'status'"
            return Err(Failure("no-leader", text))
        for one in found.ok_value["members"]:
            if one["member"]["name"] == name:
                return Ok(one)
        return Err(Failure("not-found", f"member {name!r} does not exist"))


class MemberList(MemberCommand):
    """List the members."""

    name = "member list"
    description = "Lists the daemons of the cluster, and which of them vote."
    help = "Example: <c1>mulberryledge member list</c1>"

    def handle(self) -> int:
        """List the members as the leader sees them."""
        found = self.cluster()
        if isinstance(found, Err):
            return self.fail(found.err_value)
        cluster = found.ok_value
        headers = ("member", "address", "zone", "role", "applied", "folder")
        rows = [member_row(one, cluster["leader"]) for one in cluster["members"]]
        return self.show_rows(headers, rows, cluster)


def member_row(status: dict, leader: str) -> tuple[object, ...]:
    """Return the line of one member."""
    member = status["member"]
    role = "voter" if member["folder"] else "learner"
    if member["name"] == leader:
        role = "leader"
    folder = member["folder"][:SHOWN_FOLDER_CHARS] or "-"
    seen = status["folder_seen"]
    if seen and member["folder"] and seen != member["folder"]:
        folder += f" (has {seen[:SHOWN_FOLDER_CHARS]}: does not vote)"
    return (
        member["name"],
        f"{member['address']}:{member['port']}",
        member["availability_zone"] or "-",
        role,
        "-" if status["applied"] is None else status["applied"],
        folder,
    )


class MemberAdd(MemberCommand):
    """Add a daemon."""

    name = "member add"
    description = "Adds a daemon as a learner; promote it once it has caught up."
    help = (
        "Example: <c1>mulberryledge member add entry-8 10.0.0.8 7072 --zone izki</c1>"
    )
    arguments = [
        argument("member", "Name of the daemon."),
        argument("address", "IP number of the daemon."),
        argument("port", "Its TCP port for peers."),
    ]
    options = [
        *COMMON_OPTIONS,
        option("zone", None, "Availability zone.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Add the daemon."""
        given = self.argument("port")
        if not given.isdecimal() or not 0 < int(given) <= MAX_PORT:
            raise CleoValueError(f"port {given!r}: use 1 to {MAX_PORT}")
        command = AddMember(
            self.argument("member"),
            self.argument("address"),
            int(given),
            self.option("zone"),
        )
        text = f"{command.name} is a learner"
        return self.show(self.client().propose(command), text)


class MemberPromote(MemberCommand):
    """Let a learner vote."""

    name = "member promote"
    description = "Lets a learner with a disk vote, with the data folder it has now."
    help = "Example: <c1>mulberryledge member promote entry-8</c1>"
    arguments = [argument("member", "Name of the daemon.")]

    def handle(self) -> int:
        """Promote the daemon with the folder that the leader sees."""
        name = self.argument("member")
        found = self.member(name)
        if isinstance(found, Err):
            return self.fail(found.err_value)
        folder = found.ok_value["folder_seen"]
        if not folder:
            text = f"{name} has no data folder, or has not greeted the leader yet"
            return self.fail(Failure("refused", text))
        outcome = self.client().propose(PromoteMember(name, folder))
        return self.show(outcome, f"{name} votes")


class MemberDemote(MemberCommand):
    """Make a voter a learner."""

    name = "member demote"
    description = "Makes a voter a learner."
    help = "Example: <c1>mulberryledge member demote entry-8</c1>"
    arguments = [argument("member", "Name of the daemon.")]

    def handle(self) -> int:
        """Demote the daemon with the folder that it was promoted with."""
        name = self.argument("member")
        found = self.member(name)
        if isinstance(found, Err):
            return self.fail(found.err_value)
        command = DemoteMember(name, found.ok_value["member"]["folder"])
        return self.show(self.client().propose(command), f"{name} is a learner")


class MemberRemove(MemberCommand):
    """Remove a daemon."""

    name = "member remove"
    description = "Removes a daemon from the cluster."
    help = "Example: <c1>mulberryledge member remove entry-8</c1>"
    arguments = [argument("member", "Name of the daemon.")]

    def handle(self) -> int:
        """Remove the daemon."""
        command = RemoveMember(self.argument("member"))
        text = f"{command.name} is no member"
        return self.show(self.client().propose(command), text)


COMMANDS = (MemberList, MemberAdd, MemberPromote, MemberDemote, MemberRemove)
