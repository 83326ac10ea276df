"""
mulberryledge_core.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed commands of the replicated log, found by name for decoding.
"""

from mulberryledge_core.commands import fleet, maintenance, members, teams, work

__all__ = ["COMMANDS", "Command", "get_command_by_name"]

COMMANDS = {
    command.__name__: command
    for module in (fleet, teams, work, maintenance, members)
    for command in module.COMMANDS
}

Command = object


def get_command_by_name(name: str) -> type | None:
    """Return the command class with the given name, or None."""
    return COMMANDS.get(name)
