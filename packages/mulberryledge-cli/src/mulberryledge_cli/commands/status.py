"""
mulberryledge_cli.commands.status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that query every entry for its status and its recorded decisions.
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
from mulberryledge_cli.formatting import time_text

__all__ = ["COMMANDS", "query_entries"]

MAX_DECISIONS = 100_000


def query_entries(
    client: OperatorClient, path: str
) -> list[tuple[str, Result[dict, Failure]]]:
    """Send a request once to each entry and return the outcomes by entry."""
    outcomes = []
    for entry in client.entries:
        outcome = client.send_once(entry, "GET", path, None)
        outcomes.append((entry, outcome.map_err(lambda pair: pair[0])))
    return outcomes


class Status(OperatorCommand):
    """Show the state of every entry."""

    name = "status"
    description = "Shows every entry, and the hosts, jobs and waves by phase."
    help = "Example: <c1>mulberryledge status</c1>"

    def handle(self) -> int:
        """Show a row per entry, then the counts of the most recent one."""
        outcomes = query_entries(self.client(), "/v1/status")
        if not outcomes:
            return self.fail(Failure("no-entry", "no entry is configured"))
        answers = [one.ok_value for _, one in outcomes if not isinstance(one, Err)]
        json_rows = [
            {"entry": entry, "error": one.err_value.message}
            if isinstance(one, Err)
            else {"entry": entry, **one.ok_value}
            for entry, one in outcomes
        ]
        rows = [entry_row(entry, one) for entry, one in outcomes]
        headers = ("entry", "daemon", "zone", "role", "ready", "index")
        self.show_rows(headers, rows, json_rows)
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
    """Return the table row of one entry."""
    if isinstance(outcome, Err):
        return (entry, outcome.err_value.code, "-", "-", "no", "-")
    status: dict[str, Any] = outcome.ok_value
    role = "leader" if status["leader"] else "follower"
    return (
        entry,
        status["name"],
        status["availability_zone"] or "-",
        role if status["fresh"] else "cut off",
        "yes" if status["ready"] else "no",
        status["index"],
    )


class Explain(OperatorCommand):
    """Show decisions of the cluster and their causes."""

    name = "explain"
    description = (
        "Shows the decisions on a subject, or all decisions, with their causes."
    )
    help = (
        "Example: <c1>mulberryledge explain host/host-1</c1>\n"
        "A subject is a kind and a name: host, job, team, wave, pool or target."
    )
    arguments = [argument("subject", "For example host/host-1.", optional=True)]
    options = [
        *COMMON_OPTIONS,
        option("limit", None, "Maximum number of decisions.", flag=False, default="50"),
    ]

    def handle(self) -> int:
        """Merge the decisions of all entries, newest first."""
        limit = self.int_option("limit", 1, MAX_DECISIONS)
        client = self.client()
        subject = self.argument("subject") or ""
        outcomes = query_entries(client, f"/v1/explain?subject={subject}")
        answers = [one.ok_value for _, one in outcomes if not isinstance(one, Err)]
        if not answers:
            return self.fail(no_answer_failure(outcomes))
        merged = [
            decision | {"daemon": answer["daemon"]}
            for answer in answers
            for decision in answer["decisions"]
        ]
        merged.sort(key=lambda one: one["at_ms"], reverse=True)
        self.show_missing(outcomes)
        rows = [
            (time_text(one["at_ms"]), one["kind"], one["subject"], one["cause"])
            for one in merged[:limit]
        ]
        return self.show_rows(
            ("time", "kind", "subject", "cause"), rows, merged[:limit]
        )

    def show_missing(self, outcomes: list[tuple[str, Result[dict, Failure]]]) -> None:
        """Print the entries that did not answer."""
        for entry, one in outcomes:
            if isinstance(one, Err):
                self.line_error(f"{entry} is not included: {one.err_value.message}")


def no_answer_failure(outcomes: list[tuple[str, Result[dict, Failure]]]) -> Failure:
    """Return the failure of a query that no entry answered."""
    if not outcomes:
        return Failure("no-entry", "no entry is configured: use --entries")
    failure = outcomes[0][1].err_value
    return replace(failure, message=f"no entry answered: {failure.message}")


COMMANDS = (Status, Explain)
