"""
mulberryledge_cli.html_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The service-level report as a self-contained HTML page.
"""

from collections.abc import Iterator
from html import escape

from mulberryledge_cli.charts import CAUSE_COLOURS, budget_bar, failure_chart
from mulberryledge_cli.formatting import (
    RATE_WINDOWS,
    share_text,
    spent_text,
    time_text,
)
from mulberryledge_core.burn import Burn, FleetReport

__all__ = ["report_page"]

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; color: #222; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
h2 { font-size: 1.15rem; margin: 2.2rem 0 .4rem; }
p.note { color: #666; margin: 0; }
table { border-collapse: collapse; margin: .6rem 0; }
th, td { padding: .25rem .8rem .25rem 0; text-align: right;
  white-space: nowrap; }
td.spent, th.spent { text-align: left; white-space: normal; }
td svg { max-width: none; }
th { font-weight: 600; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
td.page { color: #b3261e; font-weight: 600; }
td.ticket { color: #8a5a00; font-weight: 600; }
svg { max-width: 100%; height: auto; vertical-align: middle;
  font-family: system-ui, sans-serif; }
ul.legend { list-style: none; padding: 0; margin: .2rem 0; display: flex; gap: 1rem; }
ul.legend span { display: inline-block; width: .8rem; height: .8rem;
  margin-right: .35rem; vertical-align: -1px; }
"""


def report_page(report: FleetReport) -> str:
    """Return an HTML page with a summary and a section per service."""
    body = "\n".join((*summary(report), *service_sections(report)))
    return (
        '<!doctype html>\n<html lang="en">\n<head><meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width">\n'
        f"<title>Service-level burn</title>\n<style>{STYLE}</style></head>\n"
        f"<body>\n{body}\n</body>\n</html>\n"
    )


def summary(report: FleetReport) -> Iterator[str]:
    """Yield the heading and the table of services."""
    yield "<h1>Service-level burn</h1>"
    daemons = escape(", ".join(report.daemons)) or "no daemon"
    yield (
        f'<p class="note">{time_text(report.now_ms)}, counted since'
        f" {time_text(report.since_ms)} by {daemons}. A burn rate of 1 spends the"
        " error budget exactly within its window.</p>"
    )
    if not report.services:
        yield "<p>No calls have been counted yet.</p>"
        return
    yield burn_table("service", report.services, lambda one: one.objective.service)


def service_sections(report: FleetReport) -> Iterator[str]:
    """Yield the section of each service."""
    for burn in report.services:
        name = burn.objective.service
        share = share_text(burn.objective.success_share)
        yield f"<h2>{escape(name)}</h2>"
        yield (
            f'<p class="note">Owned by {escape(burn.objective.owner)}; objective'
            f" {share} of calls complete and in time over"
            f" {burn.objective.window_days} days. Failed calls by hour; the"
            " dashed line is the share that the objective allows:</p>"
        )
        history = [one for one in report.history if one.service == name]
        yield failure_chart(history, burn.objective.success_share, report.now_ms)
        yield legend()
        teams = tuple(one for one in report.teams if one.objective.service == name)
        yield burn_table("calling team", teams, lambda one: one.team)


def legend() -> str:
    """Return a legend of the causes and their colours."""
    items = "".join(
        f'<li><span style="background:{colour}"></span>{cause}</li>'
        for cause, colour in CAUSE_COLOURS.items()
    )
    return f'<ul class="legend">{items}</ul>'


def burn_table(title: str, burns: tuple[Burn, ...], name_of) -> str:
    """Return a table with one row per burn."""
    rates = "".join(f"<th>burn {label}</th>" for label, _ in RATE_WINDOWS)
    header = (
        f"<tr><th>{title}</th><th>budget remaining</th><th></th>{rates}"
        '<th class="spent">spent by</th><th>alert</th></tr>'
    )
    return f"<table>{header}{''.join(row(one, name_of(one)) for one in burns)}</table>"


def row(burn: Burn, name: str) -> str:
    """Return one row of a table."""
    rates = "".join(f"<td>{burn.rate(s):.3g}</td>" for _, s in RATE_WINDOWS)
    return (
        f"<tr><td>{escape(name)}</td><td>{share_text(burn.budget_left)}</td>"
        f"<td>{budget_bar(burn.budget_left)}</td>{rates}"
        f'<td class="spent">{escape(spent_text(burn))}</td><td class="{burn.alert}">'
        f"{burn.alert or '-'}</td></tr>"
    )
