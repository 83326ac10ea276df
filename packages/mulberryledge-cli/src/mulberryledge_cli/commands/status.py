"""
mulberryledge_cli.commands.status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that ask every entry: its status, and the decisions that it took.
"""

from dataclasses import replace
from typing import Any

from cleo.helpers import argument, option
from result import Err, Result

from mulberryledge_cli.client import Failure, OperatorClient
from mulberryledge_cli.commands.base import (
    COMMON_OPTIONS,
    EXIT_NO_ENTRY,
    EXIT_OK,
    OperatorCommand,
)
from mulberryledge_cli.figures import time_text

__all__ = ["COMMANDS", "ask_all"]

MAX_DECISIONS = 100_000


def ask_all(
    client: OperatorClient, path: str
) -> list[tuple[str, Result[dict, Failure]]]:
    """Ask each entry once and return the answers by entry."""
    found = []
    for entry in client.entries:
        outcome = client.ask(entry, "GET", path, None)
        found.append((entry, outcome.map_err(lambda pair: pair[0])))
    return found


class Status(OperatorCommand):
    """Show the state of every entry."""

    name = "status"
    description = "Shows every entry, and the hosts, jobs and waves by phase."
    help = "Example: <c1>mulberryledge status</c1>"

    def handle(self) -> int:
        """Show a line for each entry, then the counts of the newest one."""
        found = ask_all(self.client(), "/v1/status")
        if not found:
            return self.fail(Failure("no-entry", "no entry is configured"))
        answers = [one.ok_value for _, one in found if not isinstance(one, Err)]
        plain = [
            {"entry": entry, "error": one.err_value.message}
            if isinstance(one, Err)
            else {"entry": entry, **one.ok_value}
            for entry, one in found
        ]
        rows = [entry_row(entry, one) for entry, one in found]
        headers = ("entry", "daemon", "zone", "role", "ready", "index")
        self.show_rows(headers, rows, plain)
        if answers and not self.option("json"):
            newest = max(answers, key=lambda one: one["index"])
            self.show_counts(newest["counts"])
        return EXIT_OK if answers else EXIT_NO_ENTRY

    def show_counts(self, counts: dict[str, dict[str, int]]) -> None:
        """Print the number of rows by phase."""
        self.line("")
        for name, phases in counts.items():
            shown = ", ".join(
                str(count) if phase == "all" else f"{count} {phase}"
                for phase, count in sorted(phases.items())
            )
            self.line(f"{name:9} {shown or 'none'}")


def entry_row(entry: str, outcome: Result[dict, Failure]) -> tuple[object, ...]:
    """Return the line of one entry."""
    if isinstance(outcome, Err):
        return (entry, outcome.err_value.code, "-", "-", "no", "-")
    said: dict[str, Any] = outcome.ok_value
    role = "leader" if said["leader"] else "follower"
    return (
        entry,
        said["name"],
        said["availability_zone"] or "-",
        role if said["fresh"] else "cut off",
        "yes" if said["ready"] else "no",
        said["index"],
    )


class Explain(OperatorCommand):
    """Show why the system did what it did."""

    name = "explain"
    description = "Shows the decisions on a subject, or all, with their causes."
    help = (
        "Example: <c1>mulberryledge explain host/host-1</c1>\n"
        "A subject is a kind and a name: host, job, team, wave, pool or target."
    )
    arguments = [argument("subject", "For example host/host-1.", optional=True)]
    options = [
        *COMMON_OPTIONS,
        option("limit", None, "Decisions to show.", flag=False, default="50"),
    ]

    def handle(self) -> int:
        """Merge the decisions of all entries, newest first."""
        limit = self.whole_number("limit", 1, MAX_DECISIONS)
        client = self.client()
        subject = self.argument("subject") or ""
        found = ask_all(client, f"/v1/explain?subject={subject}")
        answers = [one.ok_value for _, one in found if not isinstance(one, Err)]
        if not answers:
            return self.fail(first_failure(found))
        merged = [
            decision | {"daemon": answer["daemon"]}
            for answer in answers
            for decision in answer["decisions"]
        ]
        merged.sort(key=lambda one: one["at_ms"], reverse=True)
        self.name_silent(found)
        rows = [
            (time_text(one["at_ms"]), one["kind"], one["subject"], one["cause"])
            for one in merged[:limit]
        ]
        return self.show_rows(
            ("time", "kind", "subject", "cause"), rows, merged[:limit]
        )

    def name_silent(self, found: list[tuple[str, Result[dict, Failure]]]) -> None:
        """Say on standard error which entries did not answer."""
        for entry, one in found:
            if isinstance(one, Err):
                self.line_error(f"{entry} is missing here: {one.err_value.message}")


def first_failure(found: list[tuple[str, Result[dict, Failure]]]) -> Failure:
    """Return why no entry answered."""
    if not found:
        return Failure("no-entry", "no entry is configured: use --entries")
    failure = found[0][1].err_value
    return replace(failure, message=f"no entry answered: {failure.message}")


COMMANDS = (Status, Explain)
