"""
mulberryledge_core.commands.table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

All commands by name, and their encoding.
"""

import cbor2

from mulberryledge_core.codec import CBOR
from mulberryledge_core.commands import (
    Command,
    fleet,
    maintenance,
    members,
    teams,
    work,
)

__all__ = ["COMMANDS", "decode_command", "encode_command"]

COMMANDS = {
    command.__name__: command
    for module in (fleet, teams, work, maintenance, members)
    for command in module.COMMANDS
}


def encode_command(command: Command) -> bytes:
    """Encode a command with its name."""
    return cbor2.dumps([type(command).__name__, CBOR.unstructure(command)])


def decode_command(data: bytes) -> Command:
    """
    Decode a command that :func:`encode_command` wrote.

    Raises
    ------
    ValueError
        If the command is unknown to this release.
    """
    name, fields = cbor2.loads(data)
    kind = COMMANDS.get(name)
    if kind is None:
        raise ValueError(f"unknown command {name!r}: upgrade this daemon first")
    return CBOR.structure(fields, kind)
