"""
mulberryledge_cli.commands.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on the membership of the cluster.
"""

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option
from result import Err, Ok, Result

from mulberryledge_cli.client import Failure
from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_cli.commands.status import no_answer_failure, query_entries
from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
)

__all__ = ["COMMANDS"]

MAX_PORT = 65_535
FOLDER_PREFIX_CHARS = 8


class MemberCommand(OperatorCommand):
    """Command on the members of the cluster."""

    def cluster_status(self) -> Result[dict, Failure]:
        """Return the leader's view of the cluster, or else the most recent one."""
        fetched = query_entries(self.client(), "/v1/cluster")
        answers = [one.ok_value for _, one in fetched if isinstance(one, Ok)]
        if not answers:
            return Err(no_answer_failure(fetched))
        return Ok(max(answers, key=lambda one: (one["leads"], one["applied"])))

    def member_status(self, name: str) -> Result[dict, Failure]:
        """Return the leader's status of one member."""
        fetched = self.cluster_status()
        if isinstance(fetched, Err):
            return fetched
        if not fetched.ok_value["leads"]:
            text = "no entry that answered is the leader: see 'status'"
            return Err(Failure("no-leader", text))
        for one in fetched.ok_value["members"]:
            if one["member"]["name"] == name:
                return Ok(one)
        return Err(Failure("not-found", f"member {name!r} does not exist"))


class MemberList(MemberCommand):
    """List the members."""

    name = "member list"
    description = "Lists the daemons of the cluster, and which of them vote."
    help = "Example: <c1>mulberryledge member list</c1>"

    def handle(self) -> int:
        """List the members as reported by the leader."""
        fetched = self.cluster_status()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        cluster = fetched.ok_value
        headers = ("member", "address", "zone", "role", "applied", "folder")
        rows = [member_row(one, cluster["leader"]) for one in cluster["members"]]
        return self.show_rows(headers, rows, cluster)


def member_row(status: dict, leader: str) -> tuple[object, ...]:
    """Return the table row of one member."""
    member = status["member"]
    role = "voter" if member["folder"] else "learner"
    if member["name"] == leader:
        role = "leader"
    folder = member["folder"][:FOLDER_PREFIX_CHARS] or "-"
    reported_folder = status["folder_seen"]
    if reported_folder and member["folder"] and reported_folder != member["folder"]:
        folder += f" (has {reported_folder[:FOLDER_PREFIX_CHARS]}: does not vote)"
    return (
        member["name"],
        f"{member['address']}:{member['port']}",
        member["availability_zone"] or "-",
        role,
        "-" if status["applied"] is None else status["applied"],
        folder,
    )


class MemberAdd(MemberCommand):
    """Add a daemon as a learner."""

    name = "member add"
    description = "Adds a daemon as a learner; promote it once it has caught up."
    help = (
        "Example: <c1>mulberryledge member add entry-8 10.0.0.8 7072 --zone izki</c1>"
    )
    arguments = [
        argument("member", "Name of the daemon."),
        argument("address", "IP address of the daemon."),
        argument("port", "TCP port of the daemon for peers."),
    ]
    options = [
        *COMMON_OPTIONS,
        option("zone", None, "Availability zone.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Add the daemon."""
        port_text = self.argument("port")
        if not port_text.isdecimal() or not 0 < int(port_text) <= MAX_PORT:
            raise CleoValueError(f"port {port_text!r}: use 1 to {MAX_PORT}")
        command = AddMember(
            self.argument("member"),
            self.argument("address"),
            int(port_text),
            self.option("zone"),
        )
        text = f"{command.name} is a learner"
        return self.show(self.client().propose(command), text)


class MemberPromote(MemberCommand):
    """Make a learner a voter."""

    name = "member promote"
    description = "Makes a learner a voter, bound to the data folder that it has now."
    help = "Example: <c1>mulberryledge member promote entry-8</c1>"
    arguments = [argument("member", "Name of the daemon.")]

    def handle(self) -> int:
        """Promote the daemon with the data folder that it reported to the leader."""
        name = self.argument("member")
        fetched = self.member_status(name)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        folder = fetched.ok_value["folder_seen"]
        if not folder:
            text = f"{name} has no data folder, or has not greeted the leader yet"
            return self.fail(Failure("refused", text))
        outcome = self.client().propose(PromoteMember(name, folder))
        return self.show(outcome, f"{name} is a voter")


class MemberDemote(MemberCommand):
    """Make a voter a learner."""

    name = "member demote"
    description = "Makes a voter a learner."
    help = "Example: <c1>mulberryledge member demote entry-8</c1>"
    arguments = [argument("member", "Name of the daemon.")]

    def handle(self) -> int:
        """Demote the daemon with the data folder that it was promoted with."""
        name = self.argument("member")
        fetched = self.member_status(name)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        command = DemoteMember(name, fetched.ok_value["member"]["folder"])
        return self.show(self.client().propose(command), f"{name} is a learner")


class MemberRemove(MemberCommand):
    """Remove a daemon from the cluster."""

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
