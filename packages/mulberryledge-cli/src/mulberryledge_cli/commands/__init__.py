"""
mulberryledge_cli.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the operators' command line, one module a group.
"""

from mulberryledge_cli.commands import fleet, maintenance, services, teams

__all__ = ["COMMANDS"]

COMMANDS = (
    *fleet.COMMANDS,
    *teams.COMMANDS,
    *services.COMMANDS,
    *maintenance.COMMANDS,
)
