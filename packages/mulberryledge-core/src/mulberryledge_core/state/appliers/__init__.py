"""
mulberryledge_core.state.appliers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers by command, one module per group of commands.
"""

from mulberryledge_core.state.appliers import (
    fleet,
    jobs,
    loans,
    maintenance,
    members,
    teams,
    upkeep,
)

__all__ = ["get_applier_by_command"]

APPLIERS = {
    command: applier
    for module in (fleet, teams, jobs, loans, maintenance, members, upkeep)
    for command, applier in module.APPLIERS.items()
}


def get_applier_by_command(kind: type):
    """Return the applier of a command class, or None."""
    return APPLIERS.get(kind)
