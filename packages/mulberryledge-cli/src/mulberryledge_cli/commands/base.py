"""
mulberryledge_cli.commands.base
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Base class of the commands: common options, connection to the entries and output.
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
HINTS = {
    "bad-key": "check --key, MULBERRYLEDGE_KEY or the settings file",
    "no-leader": "an election is under way or the quorum is lost: see 'status'",
    "not-fresh": "the entry is cut off from the cluster: see 'status'",
    "disk": "the disk of a voter is full or failing: see its log",
}
MAX_WAIT_S = 3_600
COMMON_OPTIONS = [
    option("settings", None, "Settings file with entries and key.", flag=False),
    option("entries", None, "Base URLs of entries, separated by commas.", flag=False),
    option("key", None, "The operators' key.", flag=False),
    option("wait", None, "Seconds to wait until a change is in force.", flag=False),
    option("json", None, "Print JSON."),
]


class OperatorCommand(Command):
    """Command that sends requests to the entries."""

    options = COMMON_OPTIONS

    def client(self) -> OperatorClient:
        """Return a client configured by flags, environment and settings file."""
        parsed = load_client_settings(
            self.option("settings") or "",
            self.option("entries") or "",
            self.option("key") or "",
        )
        if isinstance(parsed, Err):
            raise CleoValueError(parsed.err_value)
        settings = parsed.ok_value
        context = tls_context(settings)
        if isinstance(context, Err):
            raise CleoValueError(context.err_value)
        wait_s = DEFAULT_WAIT_S
        if self.option("wait") is not None:
            wait_s = self.float_option("wait", 0, MAX_WAIT_S)
        return OperatorClient(
            settings.entries, settings.key, context.ok_value, wait_s, self.progress
        )

    def progress(self, waiting: list[str], seconds: float) -> None:
        """Print the daemons on which a change is not yet in force."""
        self.line_error(f"{seconds:4.1f} s  not yet in force on {', '.join(waiting)}")

    def int_option(self, name: str, min_value: int, max_value: int) -> int:
        """Return an integer option, or fail naming the option and its value."""
        text = self.option(name)
        try:
            value = int(text)
        except ValueError:
            raise CleoValueError(f"--{name} {text!r} is no whole number") from None
        return self.check_range(name, value, min_value, max_value)

    def float_option(self, name: str, min_value: float, max_value: float) -> float:
        """Return a numeric option, or fail naming the option and its value."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            raise CleoValueError(f"--{name} {text!r} is no number") from None
        return self.check_range(name, value, min_value, max_value)

    def check_range(
        self, name: str, value: Any, min_value: float, max_value: float
    ) -> Any:
        """Return a value in range, or fail naming the option and its value."""
        if math.isfinite(value) and min_value <= value <= max_value:
            return value
        raise CleoValueError(
            f"--{name} {value} is out of range: use {min_value} to {max_value}"
        )

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
        if failure.code in HINTS:
            self.line_error(HINTS[failure.code])
        return EXIT_CODES.get(failure.code, EXIT_REFUSED)

    def show_rows(
        self, headers: Sequence[str], rows: Sequence[Sequence[object]], json_value: Any
    ) -> int:
        """Print a table, or the given value as JSON."""
        if self.option("json"):
            self.line(json.dumps(json_value))
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
        """Print the fields of a row, one per line, or as JSON."""
        if self.option("json"):
            self.line(json.dumps(fields))
            return EXIT_OK
        width = max(map(len, fields), default=0)
        for name, value in fields.items():
            self.line(f"{name:{width}}  {value}")
        return EXIT_OK
