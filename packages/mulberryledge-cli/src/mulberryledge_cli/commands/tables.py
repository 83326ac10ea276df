"""
mulberryledge_cli.commands.tables
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that list a table of the state or show one row of it.
"""

from typing import Any

from cleo.helpers import argument
from result import Err

from mulberryledge_cli.commands.base import OperatorCommand
from mulberryledge_cli.figures import time_text

__all__ = ["make_list_command", "make_show_command"]


def cell(row: dict[str, Any], path: str) -> object:
    """Return the value at a dotted path of a row; times as text."""
    value: Any = row
    for name in path.split("."):
        value = value.get(name, "") if isinstance(value, dict) else ""
    return time_text(value) if path.endswith("_ms") else value


def make_list_command(
    kind: str, table: str, columns: tuple[str, ...]
) -> type[OperatorCommand]:
    """
    Return a command that lists a table.

    Parameters
    ----------
    columns : tuple of str
        Dotted paths of the values that are shown after the name.
    """

    class ListCommand(OperatorCommand):
        name = f"{kind} list"
        description = f"Lists every {kind}."
        help = f"Example: <c1>mulberryledge {kind} list</c1>"

        def handle(self) -> int:
            """List the rows in order of their names."""
            found = self.client().table(table)
            if isinstance(found, Err):
                return self.fail(found.err_value)
            rows = found.ok_value
            cells = [
                (name, *(cell(row, path) for path in columns))
                for name, row in sorted(rows.items())
            ]
            return self.show_rows((kind, *map(header_of, columns)), cells, rows)

    return ListCommand


def make_show_command(kind: str, table: str) -> type[OperatorCommand]:
    """Return a command that shows one row of a table."""

    class ShowCommand(OperatorCommand):
        name = f"{kind} show"
        description = f"Shows one {kind}."
        help = f"Example: <c1>mulberryledge {kind} show some-{kind}</c1>"
        arguments = [argument("name", f"Name of the {kind}.")]

        def handle(self) -> int:
            """Show every field of the row."""
            wanted = self.argument("name")
            found = self.client().table(table, wanted)
            if isinstance(found, Err):
                return self.fail(found.err_value)
            return self.show_fields(found.ok_value[wanted])

    return ShowCommand


def header_of(path: str) -> str:
    """Return the heading of a column."""
    return path.rpartition(".")[2].removesuffix("_ms").replace("_", " ")
