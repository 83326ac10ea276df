"""
mulberryledge_cli.commands.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on pools, hosts and targets.
"""

from cleo.helpers import argument, option
from result import Err

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_cli.commands.tables import make_list_command, make_show_command
from mulberryledge_core.commands.fleet import (
    AddHost,
    CreatePool,
    MoveHost,
    RemoveHost,
    RemovePool,
    SetHostPhase,
)
from mulberryledge_core.model.hosts import HostPhase, Resources

__all__ = ["COMMANDS"]

MAX_MINUTE_OF_DAY = 1_439
MAX_PROCESSORS = 65_536
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 1_024


class PoolCreate(OperatorCommand):
    """Create a pool."""

    name = "pool create"
    description = "Creates a pool."
    help = (
        "Example, quiet from 22:00 to 02:00 UTC:"
        " <c1>mulberryledge pool create interior"
        " --quiet-start 1320 --quiet-end 120</c1>"
    )
    arguments = [argument("pool", "Name of the pool.")]
    options = [
        *COMMON_OPTIONS,
        option(
            "quiet-start",
            None,
            "Start of the quiet time, minute of the UTC day.",
            flag=False,
            default="0",
        ),
        option(
            "quiet-end",
            None,
            "End of the quiet time, minute of the UTC day.",
            flag=False,
            default="0",
        ),
        option("spare", None, "Make this the shared spare pool."),
    ]

    def handle(self) -> int:
        """Create the pool."""
        command = CreatePool(
            self.argument("pool"),
            self.int_option("quiet-start", 0, MAX_MINUTE_OF_DAY),
            self.int_option("quiet-end", 0, MAX_MINUTE_OF_DAY),
            self.option("spare"),
        )
        return self.show(
            self.client().propose(command), f"pool {command.name} is there"
        )


class PoolRemove(OperatorCommand):
    """Remove a pool."""

    name = "pool remove"
    description = "Removes an empty pool that no service names."
    help = "Example: <c1>mulberryledge pool remove interior</c1>"
    arguments = [argument("pool", "Name of the pool.")]

    def handle(self) -> int:
        """Remove the pool."""
        command = RemovePool(self.argument("pool"))
        return self.show(self.client().propose(command), f"pool {command.name} is gone")


class HostAdd(OperatorCommand):
    """Assign a new host to a pool."""

    name = "host add"
    description = "Assigns a new host to a pool."
    help = (
        "Example: <c1>mulberryledge host add host-1 interior --zone nizwa"
        " --rack n1 --processors 64 --memory-mb 131072</c1>"
    )
    arguments = [argument("host", "Name of the host."), argument("pool", "Its pool.")]
    options = [
        *COMMON_OPTIONS,
        option("region", None, "Region.", flag=False, default=""),
        option("zone", None, "Availability zone.", flag=False, default=""),
        option("rack", None, "Rack.", flag=False, default=""),
        option("processors", None, "Processor cores.", flag=False, default="0"),
        option("memory-mb", None, "Memory in MB.", flag=False, default="0"),
        option("accelerators", None, "Accelerators.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Add the host."""
        command = AddHost(
            name=self.argument("host"),
            pool=self.argument("pool"),
            region=self.option("region"),
            availability_zone=self.option("zone"),
            rack=self.option("rack"),
            resources=Resources(
                self.float_option("processors", 0, MAX_PROCESSORS),
                self.int_option("memory-mb", 0, MAX_MEMORY_MB),
                self.int_option("accelerators", 0, MAX_ACCELERATORS),
            ),
        )
        text = f"host {command.name} belongs to pool {command.pool}"
        return self.show(self.client().propose(command), text)


class HostMove(OperatorCommand):
    """Move a host between pools."""

    name = "host move"
    description = "Moves a host if it still belongs to the expected pool."
    help = "Example: <c1>mulberryledge host move host-1 office interior</c1>"
    arguments = [
        argument("host", "Name."),
        argument("expected-pool", "Current pool of the host."),
        argument("pool", "New pool of the host."),
    ]

    def handle(self) -> int:
        """Move the host."""
        command = MoveHost(
            self.argument("host"),
            self.argument("expected-pool"),
            self.argument("pool"),
        )
        text = f"host {command.name} belongs to pool {command.pool}"
        return self.show(self.client().propose(command), text)


class HostRemove(OperatorCommand):
    """Remove a host."""

    name = "host remove"
    description = "Removes a host that runs no target."
    help = "Example: <c1>mulberryledge host remove host-1</c1>"
    arguments = [argument("host", "Name.")]

    def handle(self) -> int:
        """Remove the host."""
        command = RemoveHost(self.argument("host"))
        return self.show(self.client().propose(command), f"host {command.name} is gone")


def make_phase_command(
    verb: str, summary: str, expected: HostPhase, phase: HostPhase
) -> type[OperatorCommand]:
    """Return a command that changes the phase of a host."""

    class PhaseCommand(OperatorCommand):
        name = f"host {verb}"
        description = summary
        help = f"Example: <c1>mulberryledge host {verb} host-1</c1>"
        arguments = [argument("host", "Name.")]

        def handle(self) -> int:
            """Change the phase."""
            command = SetHostPhase(
                self.argument("host"), expected, phase, f"operator: {verb}"
            )
            text = f"host {command.name} is {phase}"
            return self.show(self.client().propose(command), text)

    return PhaseCommand


class HostShow(make_show_command("host", "hosts")):
    """Show a host and the targets on it."""

    def handle(self) -> int:
        """Show the host's fields and its targets."""
        client = self.client()
        name = self.argument("name")
        host = client.fetch_rows("hosts", name)
        targets = client.fetch_rows("targets")
        for fetched in (host, targets):
            if isinstance(fetched, Err):
                return self.fail(fetched.err_value)
        on_host = [
            f"{target} ({row['phase']})"
            for target, row in sorted(targets.ok_value.items())
            if row["host"] == name
        ]
        return self.show_fields(host.ok_value[name] | {"targets": on_host})


COMMANDS = (
    PoolCreate,
    make_list_command("pool", "pools", ("quiet_start_min", "quiet_end_min", "spare")),
    PoolRemove,
    HostAdd,
    make_list_command(
        "host", "hosts", ("pool", "availability_zone", "rack", "phase", "maintained_ms")
    ),
    HostShow,
    HostMove,
    make_phase_command(
        "cordon",
        "Stops assigning new work to a serving host.",
        HostPhase.SERVING,
        HostPhase.CORDONED,
    ),
    make_phase_command(
        "uncordon",
        "Resumes assigning work to a cordoned host.",
        HostPhase.CORDONED,
        HostPhase.SERVING,
    ),
    HostRemove,
    make_list_command("target", "targets", ("host", "service", "phase", "slots")),
    make_show_command("target", "targets"),
)
