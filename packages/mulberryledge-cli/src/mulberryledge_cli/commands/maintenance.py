"""
mulberryledge_cli.commands.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on maintenance waves.
"""

from cleo.helpers import argument, option

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_core.commands.maintenance import StartWave

__all__ = ["COMMANDS"]


class WaveStart(OperatorCommand):
    """Start a wave."""

    name = "wave start"
    description = "Starts the maintenance of hosts of one pool."
    help = "Example: <c1>mulberryledge wave start monday interior host-1 host-2</c1>"
    arguments = [
        argument("wave", "Name of the wave."),
        argument("pool", "Pool of the hosts."),
        argument("hosts", "Hosts in order.", multiple=True),
    ]
    options = [
        *COMMON_OPTIONS,
        option("ignore-quiet", None, "Also run outside the quiet time."),
    ]

    def handle(self) -> int:
        """Start the wave."""
        command = StartWave(
            self.argument("wave"),
            self.argument("pool"),
            tuple(self.argument("hosts")),
            self.option("ignore-quiet"),
        )
        return self.show(self.client().propose(command), f"wave {command.name} runs")


COMMANDS = (WaveStart,)
