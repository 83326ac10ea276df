"""
mulberryledge_cli.commands.tables
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Factories for commands that list a table of the state or show one of its rows.
"""

from typing import Any

from cleo.helpers import argument
from result import Err

from mulberryledge_cli.commands.base import OperatorCommand
from mulberryledge_cli.formatting import time_text

__all__ = ["make_list_command", "make_show_command"]


def cell(row: dict[str, Any], path: str) -> object:
    """Return the value at a dotted path of a row, with times as text."""
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
        Dotted paths of the values shown after the name.
    """

    class ListCommand(OperatorCommand):
        name = f"{kind} list"
        description = f"Lists every {kind}."
        help = f"Example: <c1>mulberryledge {kind} list</c1>"

        def handle(self) -> int:
            """List the rows sorted by name."""
            fetched = self.client().fetch_rows(table)
            if isinstance(fetched, Err):
                return self.fail(fetched.err_value)
            rows = fetched.ok_value
            cells = [
                (name, *(cell(row, path) for path in columns))
                for name, row in sorted(rows.items())
            ]
            return self.show_rows((kind, *map(column_header, columns)), cells, rows)

    return ListCommand


def make_show_command(kind: str, table: str) -> type[OperatorCommand]:
    """Return a command that shows one row of a table."""

    class ShowCommand(OperatorCommand):
        name = f"{kind} show"
        description = f"Shows one {kind}."
        help = f"Example: <c1>mulberryledge {kind} show some-{kind}</c1>"
        arguments = [argument("name", f"Name of the {kind}.")]

        def handle(self) -> int:
            """Show all fields of the row."""
            row_name = self.argument("name")
            fetched = self.client().fetch_rows(table, row_name)
            if isinstance(fetched, Err):
                return self.fail(fetched.err_value)
            return self.show_fields(fetched.ok_value[row_name])

    return ShowCommand


def column_header(path: str) -> str:
    """Return the heading of a column."""
    return path.rpartition(".")[2].removesuffix("_ms").replace("_", " ")
