"""
mulberryledge_cli.commands.report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Service-level burn report as text, JSON or an HTML page.
"""

from pathlib import Path
from typing import Any

from cleo.exceptions import CleoValueError
from cleo.helpers import option
from result import Err, Ok

from mulberryledge_cli.commands.base import COMMON_OPTIONS, EXIT_OK, OperatorCommand
from mulberryledge_cli.commands.status import no_answer_failure, query_entries
from mulberryledge_cli.formatting import RATE_WINDOWS, share_text, spent_text, time_text
from mulberryledge_cli.html_report import report_page
from mulberryledge_core.burn import Burn, FleetReport, sum_reports
from mulberryledge_core.codec import from_plain, to_plain
from mulberryledge_core.model.burn import BurnReport

__all__ = ["COMMANDS"]


class Report(OperatorCommand):
    """Report on error budgets and burn rates."""

    name = "report"
    description = (
        "Shows the remaining error budget, its burn rate and the causes that spent it."
    )
    help = (
        "Example: <c1>mulberryledge report --html burn.html</c1>\n"
        "Each entry counts its own calls; the report adds up the entries that answer."
    )
    options = [
        *COMMON_OPTIONS,
        option("teams", None, "Add a row for each calling team."),
        option(
            "html", None, "Write an HTML page with charts to this path.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Sum the counts of all entries and show them."""
        outcomes = query_entries(self.client(), "/v1/burn")
        reports = []
        for entry, outcome in outcomes:
            parsed = outcome.and_then(lambda answer: from_plain(answer, BurnReport))
            if isinstance(parsed, Err):
                message = parsed.err_value.message
                self.line_error(f"{entry} is not included: {message}")
            else:
                reports.append(parsed.ok_value)
        if not reports:
            return self.fail(no_answer_failure(outcomes))
        return self.show_report(sum_reports(reports))

    def show_report(self, report: FleetReport) -> int:
        """Print the report, or write it as a page if a path is given."""
        path = self.option("html")
        if path is not None:
            try:
                Path(path).write_text(report_page(report))
            except OSError as error:
                raise CleoValueError(f"--html {path}: {error.strerror}") from None
            return self.show(Ok({"page": path}), f"page written to {path}")
        burns = report.services
        if self.option("teams"):
            burns = tuple(
                sorted(
                    (*burns, *report.teams),
                    key=lambda one: (one.objective.service, one.team),
                )
            )
        if not self.option("json"):
            daemons = ", ".join(report.daemons)
            self.line(f"counted since {time_text(report.since_ms)} by {daemons}")
        rates = (f"burn {label}" for label, _ in RATE_WINDOWS)
        headers = (
            "service",
            "team",
            "objective",
            "remaining",
            *rates,
            "spent by",
            "alert",
        )
        self.show_rows(headers, [burn_row(one) for one in burns], report_json(report))
        return EXIT_OK


def burn_row(burn: Burn) -> tuple[object, ...]:
    """Return the table row of one burn."""
    return (
        burn.objective.service,
        burn.team or "all",
        share_text(burn.objective.success_share),
        share_text(burn.budget_left),
        *(f"{burn.rate(window_s):.3g}" for _, window_s in RATE_WINDOWS),
        spent_text(burn),
        burn.alert or "-",
    )


def report_json(report: FleetReport) -> dict[str, Any]:
    """Return a report as JSON values."""
    return {
        "daemons": list(report.daemons),
        "since_ms": report.since_ms,
        "now_ms": report.now_ms,
        "burns": [burn_json(one) for one in (*report.services, *report.teams)],
    }


def burn_json(burn: Burn) -> dict[str, Any]:
    """Return a burn as JSON values; an empty team stands for all."""
    return {
        "service": burn.objective.service,
        "team": burn.team,
        "success_share": burn.objective.success_share,
        "window_days": burn.objective.window_days,
        "budget_left": burn.budget_left,
        "alert": burn.alert,
        "windows": [
            {
                "window_s": window_s,
                "burn_rate": burn.rate(window_s),
                "counts": to_plain(counts),
            }
            for window_s, counts in sorted(burn.windows.items())
        ],
    }


COMMANDS = (Report,)
