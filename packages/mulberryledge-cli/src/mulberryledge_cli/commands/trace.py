"""
mulberryledge_cli.commands.trace
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The life of one job, target or host, from the logs of all daemons.
"""

import json
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from cleo.commands.command import Command
from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option

from mulberryledge_cli.commands.base import EXIT_OK, EXIT_REFUSED
from mulberryledge_core.trace import Line, Trace, read_lines, trace

__all__ = ["COMMANDS"]

HIDDEN = ("level", "job")


class TraceCommand(Command):
    """Show what the logs say of one job, target or host."""

    name = "trace"
    description = "Puts one job's life in order from logs, and names what decided it."
    help = (
        "Example: <c1>mulberryledge trace 5c0e7a21d94b36f8 logs/*</c1>\n"
        "Without files the logs are read from standard input. A target is named as\n"
        "in the logs, with or without its life; a host by its name."
    )
    arguments = [
        argument("subject", "Job, target or host."),
        argument(
            "files", "Logs of any number of daemons.", optional=True, multiple=True
        ),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Read the logs and show one life."""
        found = trace(self.argument("subject"), read_lines(self.texts()))
        if self.option("json"):
            self.line(json.dumps(plain_trace(found)))
        else:
            self.show(found)
        return EXIT_OK if found.lines else EXIT_REFUSED

    def texts(self) -> Iterator[str]:
        """Yield the lines of all logs."""
        paths = self.argument("files")
        if not paths:
            yield from sys.stdin
        for path in paths:
            try:
                with Path(path).open(errors="replace") as log:
                    yield from log
            except OSError as error:
                raise CleoValueError(f"{path}: {error.strerror}") from None

    def show(self, found: Trace) -> None:
        """Print a life for people; the deciding line is marked."""
        for line in found.lines:
            mark = ">" if line is found.deciding else " "
            self.line(f"{mark} {time_text(line)}  {line.daemon}  {line_text(line)}")
        for daemon, offset_s in sorted(found.offsets_s.items()):
            if offset_s:
                self.line(f"clock of {daemon} corrected by {offset_s:+.3f} s")
        self.line(f"{found.subject}: {found.verdict}")


def time_text(line: Line) -> str:
    """Return the time of day of a line, in UTC."""
    moment = datetime.fromtimestamp(line.time_s, UTC)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1_000:03}"


def line_text(line: Line) -> str:
    """Return what a line says."""
    shown = [
        f"{name}={json.dumps(value) if isinstance(value, dict | list) else value}"
        for name, value in line.fields.items()
        if name not in HIDDEN and value not in ("", None)
    ]
    return " ".join([f"{line.message}:", *shown])


def plain_trace(found: Trace) -> dict:
    """Return a life for JSON."""
    return {
        "subject": found.subject,
        "verdict": found.verdict,
        "deciding": None if found.deciding is None else plain_line(found.deciding),
        "offsets_s": found.offsets_s,
        "lines": [plain_line(line) for line in found.lines],
    }


def plain_line(line: Line) -> dict:
    """Return one line for JSON."""
    return {
        "time": line.time_s,
        "daemon": line.daemon,
        "message": line.message,
        **line.fields,
    }


COMMANDS = (TraceCommand,)
