"""
mulberryledge_cli.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the operators' command line, one module per group.
"""

from mulberryledge_cli.commands import (
    fleet,
    jobs,
    maintenance,
    members,
    report,
    services,
    status,
    teams,
    trace,
)

__all__ = ["COMMANDS"]

COMMANDS = (
    *fleet.COMMANDS,
    *teams.COMMANDS,
    *services.COMMANDS,
    *jobs.COMMANDS,
    *maintenance.COMMANDS,
    *members.COMMANDS,
    *status.COMMANDS,
    *report.COMMANDS,
    *trace.COMMANDS,
)
