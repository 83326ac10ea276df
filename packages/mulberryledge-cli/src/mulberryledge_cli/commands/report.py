"""
mulberryledge_cli.commands.report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The report on service-level burn as text, JSON and a page.
"""

from pathlib import Path
from typing import Any

from cleo.exceptions import CleoValueError
from cleo.helpers import option
from result import Err, Ok

from mulberryledge_cli.commands.base import COMMON_OPTIONS, EXIT_OK, OperatorCommand
from mulberryledge_cli.commands.status import ask_all, first_failure
from mulberryledge_cli.figures import RATE_WINDOWS, share_text, spent_text, time_text
from mulberryledge_cli.page import report_page
from mulberryledge_core.burn import Burn, FleetReport, sum_reports
from mulberryledge_core.codec import from_plain, to_plain
from mulberryledge_core.model.burn import BurnReport

__all__ = ["COMMANDS"]


class Report(OperatorCommand):
    """Report on service-level burn."""

    name = "report"
    description = "Shows the error budget left, how fast it burns, and what spent it."
    help = (
        "Example: <c1>mulberryledge report --html burn.html</c1>\n"
        "Every entry counts its own calls; the report adds up those that answer."
    )
    options = [
        *COMMON_OPTIONS,
        option("teams", None, "Also a row for each calling team."),
        option("html", None, "Write a page with plots to this path.", flag=False),
    ]

    def handle(self) -> int:
        """Add up the entries' counts and show them."""
        found = ask_all(self.client(), "/v1/burn")
        reports = []
        for entry, one in found:
            parsed = one.and_then(lambda plain: from_plain(plain, BurnReport))
            if isinstance(parsed, Err):
                message = parsed.err_value.message
                self.line_error(f"{entry} is missing here: {message}")
            else:
                reports.append(parsed.ok_value)
        if not reports:
            return self.fail(first_failure(found))
        return self.show_report(sum_reports(reports))

    def show_report(self, report: FleetReport) -> int:
        """Print the report, and write the page if a path is given."""
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
        headers = ("service", "team", "objective", "left", *rates, "spent by", "alert")
        self.show_rows(headers, [row_of(one) for one in burns], plain_report(report))
        return EXIT_OK


def row_of(burn: Burn) -> tuple[object, ...]:
    """Return the line of one burn."""
    return (
        burn.objective.service,
        burn.team or "all",
        share_text(burn.objective.success_share),
        share_text(burn.budget_left),
        *(f"{burn.rate(window_s):.3g}" for _, window_s in RATE_WINDOWS),
        spent_text(burn),
        burn.alert or "-",
    )


def plain_report(report: FleetReport) -> dict[str, Any]:
    """Return the report for JSON."""
    return {
        "daemons": list(report.daemons),
        "since_ms": report.since_ms,
        "now_ms": report.now_ms,
        "burns": [plain_burn(one) for one in (*report.services, *report.teams)],
    }


def plain_burn(burn: Burn) -> dict[str, Any]:
    """Return one burn for JSON; an empty team stands for all."""
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
