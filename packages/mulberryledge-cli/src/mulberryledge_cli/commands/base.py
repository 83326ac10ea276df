"""
mulberryledge_cli.commands.base
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What all commands share: where the entries are, and how outcomes are shown.
"""

import json
import math
from collections.abc import Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.exceptions import CleoValueError
from cleo.helpers import option
from result import Err, Result

from mulberryledge_cli.client import DEFAULT_WAIT_S, Failure, OperatorClient
from mulberryledge_cli.settings import load_client_settings, tls_context

__all__ = [
    "COMMON_OPTIONS",
    "EXIT_INVALID",
    "EXIT_NOT_IN_FORCE",
    "EXIT_NO_ENTRY",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "OperatorCommand",
]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_NO_ENTRY = 3
EXIT_NOT_IN_FORCE = 4
EXIT_UNKNOWN = 5
EXIT_CODES = {
    "no-entry": EXIT_NO_ENTRY,
    "unknown-outcome": EXIT_UNKNOWN,
    "usage": EXIT_INVALID,
    "bad-request": EXIT_INVALID,
    "invalid-document": EXIT_INVALID,
}
NEXT_STEPS = {
    "bad-key": "check --key, MULBERRYLEDGE_KEY or the settings file",
    "no-leader": "the daemons elect a leader or have lost their quorum: see 'status'",
    "not-fresh": "the entry is cut off from the others: see 'status'",
    "disk": "a voter's disk is full or fails: see its log",
}
MAX_WAIT_S = 3_600
COMMON_OPTIONS = [
    option("settings", None, "Settings file with entries and key.", flag=False),
    option("entries", None, "Base URLs of entries, separated by commas.", flag=False),
    option("key", None, "The operators' key.", flag=False),
    option("wait", None, "Seconds to wait for a change in force.", flag=False),
    option("json", None, "Print JSON."),
]


class OperatorCommand(Command):
    """A command that talks to the entries."""

    options = COMMON_OPTIONS

    def client(self) -> OperatorClient:
        """Return a client from flags, environment and settings file."""
        loaded = load_client_settings(
            self.option("settings") or "",
            self.option("entries") or "",
            self.option("key") or "",
        )
        if isinstance(loaded, Err):
            raise CleoValueError(loaded.err_value)
        settings = loaded.ok_value
        context = tls_context(settings)
        if isinstance(context, Err):
            raise CleoValueError(context.err_value)
        wait_s = DEFAULT_WAIT_S
        if self.option("wait") is not None:
            wait_s = self.number("wait", 0, MAX_WAIT_S)
        return OperatorClient(
            settings.entries, settings.key, context.ok_value, wait_s, self.progress
        )

    def progress(self, waiting: list[str], seconds: float) -> None:
        """Say on standard error which daemons are waited for."""
        self.line_error(f"{seconds:4.1f} s  not yet in force on {', '.join(waiting)}")

    def whole_number(self, name: str, least: int, most: int) -> int:
        """Return an option as a whole number, or fail naming option and value."""
        text = self.option(name)
        try:
            value = int(text)
        except ValueError:
            raise CleoValueError(f"--{name} {text!r} is no whole number") from None
        return self.in_range(name, value, least, most)

    def number(self, name: str, least: float, most: float) -> float:
        """Return an option as a number, or fail naming option and value."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            raise CleoValueError(f"--{name} {text!r} is no number") from None
        return self.in_range(name, value, least, most)

    def in_range(self, name: str, value: Any, least: float, most: float) -> Any:
        """Return a value if it is in range, or fail naming option and value."""
        if math.isfinite(value) and least <= value <= most:
            return value
        raise CleoValueError(f"--{name} {value} is out of range: use {least} to {most}")

    def show(self, outcome: Result[dict, Failure], text: str) -> int:
        """Print the outcome of a command and return the exit code."""
        if isinstance(outcome, Err):
            return self.fail(outcome.err_value)
        answer = outcome.ok_value
        waiting = answer.get("waiting")
        if self.option("json"):
            self.line(json.dumps(answer))
        else:
            suffix = f", not yet in force on {', '.join(waiting)}" if waiting else ""
            self.line(text + suffix)
        return EXIT_NOT_IN_FORCE if waiting else EXIT_OK

    def fail(self, failure: Failure) -> int:
        """Print a failure on standard error and return the exit code."""
        if self.option("json"):
            body = {
                "code": failure.code,
                "message": failure.message,
                "faults": list(failure.faults),
            }
            self.line(json.dumps(body))
        elif failure.faults:
            for fault in failure.faults:
                self.line_error(f"{fault['place']}: {fault['problem']}")
        else:
            self.line_error(f"{failure.code}: {failure.message}")
        if failure.code in NEXT_STEPS:
            self.line_error(NEXT_STEPS[failure.code])
        return EXIT_CODES.get(failure.code, EXIT_REFUSED)

    def show_rows(
        self, headers: Sequence[str], rows: Sequence[Sequence[object]], plain: Any
    ) -> int:
        """Print a table for people, or the plain values as JSON."""
        if self.option("json"):
            self.line(json.dumps(plain))
            return EXIT_OK
        if not rows:
            self.line("none")
            return EXIT_OK
        cells = [[str(cell) for cell in row] for row in rows]
        table = self.table(list(headers), cells)
        table.set_style("compact")
        table.render()
        return EXIT_OK

    def show_fields(self, fields: dict[str, Any]) -> int:
        """Print one row as a field a line, or as JSON."""
        if self.option("json"):
            self.line(json.dumps(fields))
            return EXIT_OK
        width = max(map(len, fields), default=0)
        for name, value in fields.items():
            self.line(f"{name:{width}}  {value}")
        return EXIT_OK
