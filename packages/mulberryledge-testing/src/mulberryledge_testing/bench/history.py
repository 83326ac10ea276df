"""
mulberryledge_testing.bench.history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Results by commit: one JSON object a line, and a page with the latest columns.
"""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from mulberryledge_testing.bench.measures import Measure

__all__ = ["append_run", "render_page"]

SHOWN_RUNS = 5
MAX_RUNS = 60
HEADING = """# Measures by commit

Written by `make bench-history`; the newest run is on the right. All figures were
measured on one machine in the run named at the head of their column.

"""


@dataclass(frozen=True, slots=True)
class Run:
    """The measures of one commit."""

    commit: str
    date: str
    measures: dict[str, dict[str, object]]


def append_run(path: Path, commit: str, date: str, measures: Sequence[Measure]) -> None:
    """Add a run to the file; a run of the same commit is replaced."""
    kept = [run for run in read_runs(path) if run.commit != commit]
    rows = {one.measure: asdict(one) for one in measures}
    runs = [*kept, Run(commit, date, rows)][-MAX_RUNS:]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(json.dumps(asdict(run)) + "\n" for run in runs))


def read_runs(path: Path) -> list[Run]:
    """Return the runs in the file, oldest first."""
    if not path.exists():
        return []
    return [Run(**json.loads(line)) for line in path.read_text().splitlines()]


def render_page(path: Path) -> str:
    """Return the page of the latest runs, a row for each measure."""
    runs = read_runs(path)[-SHOWN_RUNS:]
    titles = [f"{run.commit} {run.date}" for run in runs]
    lines = [
        f"| measure | unit | better | bound | {' | '.join(titles)} |",
        f"|---|---|---|---|{'---|' * len(runs)}",
    ]
    for name in sorted({name for run in runs for name in run.measures}):
        latest = next(run.measures[name] for run in runs[::-1] if name in run.measures)
        cells = [figure(run.measures.get(name, {}).get("value")) for run in runs]
        bound = figure(latest["bound"])
        head = f"| {name} | {latest['unit']} | {latest['better']} | {bound} |"
        lines.append(f"{head} {' | '.join(cells)} |")
    return HEADING + "\n".join(lines) + "\n"


def figure(value: object) -> str:
    """Return a figure for the page, empty if there is none."""
    return "" if value is None else f"{value:.4g}"
