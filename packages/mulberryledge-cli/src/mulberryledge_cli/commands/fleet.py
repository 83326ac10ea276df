"""
mulberryledge_cli.commands.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on pools and hosts.
"""

from cleo.helpers import argument, option

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_core.commands.fleet import AddHost, CreatePool, MoveHost
from mulberryledge_core.model.hosts import Resources

__all__ = ["COMMANDS"]


class PoolCreate(OperatorCommand):
    """Create a pool."""

    name = "pool create"
    description = "Creates a pool."
    arguments = [argument("pool", "Name of the pool.")]
    options = [
        *COMMON_OPTIONS,
        option("quiet-start", None, "Minute of the day.", flag=False, default="0"),
        option("quiet-end", None, "Minute of the day.", flag=False, default="0"),
        option("spare", None, "The pool is the shared buffer."),
    ]

    def handle(self) -> int:
        """Create the pool."""
        command = CreatePool(
            self.argument("pool"),
            int(self.option("quiet-start")),
            int(self.option("quiet-end")),
            self.option("spare"),
        )
        return self.show(
            self.client().propose(command), f"pool {command.name} is there"
        )


class HostAdd(OperatorCommand):
    """Assign a new host to a pool."""

    name = "host add"
    description = "Assigns a new host to a pool."
    arguments = [argument("host", "Name."), argument("pool", "Pool.")]
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
                float(self.option("processors")),
                int(self.option("memory-mb")),
                int(self.option("accelerators")),
            ),
        )
        text = f"host {command.name} belongs to pool {command.pool}"
        return self.show(self.client().propose(command), text)


class HostMove(OperatorCommand):
    """Move a host between pools."""

    name = "host move"
    description = "Moves a host if it still belongs to the expected pool."
    arguments = [
        argument("host", "Name."),
        argument("expected-pool", "Pool that the host belongs to."),
        argument("pool", "Pool that it moves to."),
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


COMMANDS = (PoolCreate, HostAdd, HostMove)
