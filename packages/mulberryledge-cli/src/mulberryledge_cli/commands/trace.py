"""
mulberryledge_cli.commands.trace
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Timeline of one job, target or host, merged from the logs of all daemons.
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

HIDDEN_FIELDS = ("level", "job")


class TraceCommand(Command):
    """Show the timeline of one job, target or host."""

    name = "trace"
    description = (
        "Orders the log lines on a job, target or host and marks the deciding one."
    )
    help = (
        "Example: <c1>mulberryledge trace 5c0e7a21d94b36f8 logs/*</c1>\n"
        "Without files the logs are read from standard input. A target is named as\n"
        "in the logs, with or without its incarnation; a host by its name."
    )
    arguments = [
        argument("subject", "Job, target or host."),
        argument(
            "files", "Log files of one or more daemons.", optional=True, multiple=True
        ),
    ]
    options = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Read the logs and show the timeline."""
        timeline = trace(self.argument("subject"), read_lines(self.texts()))
        if self.option("json"):
            self.line(json.dumps(trace_json(timeline)))
        else:
            self.show(timeline)
        return EXIT_OK if timeline.lines else EXIT_REFUSED

    def texts(self) -> Iterator[str]:
        """Yield the lines of all log files, or of standard input."""
        paths = self.argument("files")
        if not paths:
            yield from sys.stdin
        for path in paths:
            try:
                with Path(path).open(errors="replace") as log:
                    yield from log
            except OSError as error:
                raise CleoValueError(f"{path}: {error.strerror}") from None

    def show(self, timeline: Trace) -> None:
        """Print a timeline as text, with the deciding line marked."""
        for line in timeline.lines:
            marker = ">" if line is timeline.deciding else " "
            self.line(f"{marker} {time_text(line)}  {line.daemon}  {line_text(line)}")
        for daemon, offset_s in sorted(timeline.offsets_s.items()):
            if offset_s:
                self.line(f"clock of {daemon} corrected by {offset_s:+.3f} s")
        self.line(f"{timeline.subject}: {timeline.verdict}")


def time_text(line: Line) -> str:
    """Return the time of day of a line, in UTC."""
    moment = datetime.fromtimestamp(line.time_s, UTC)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1_000:03}"


def line_text(line: Line) -> str:
    """Return the message and fields of a line."""
    shown = [
        f"{name}={json.dumps(value) if isinstance(value, dict | list) else value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    ]
    return " ".join([f"{line.message}:", *shown])


def trace_json(timeline: Trace) -> dict:
    """Return a timeline as JSON values."""
    return {
        "subject": timeline.subject,
        "verdict": timeline.verdict,
        "deciding": None if timeline.deciding is None else line_json(timeline.deciding),
        "offsets_s": timeline.offsets_s,
        "lines": [line_json(line) for line in timeline.lines],
    }


def line_json(line: Line) -> dict:
    """Return a log line as JSON values."""
    return {
        "time": line.time_s,
        "daemon": line.daemon,
        "message": line.message,
        **line.fields,
    }


COMMANDS = (TraceCommand,)
