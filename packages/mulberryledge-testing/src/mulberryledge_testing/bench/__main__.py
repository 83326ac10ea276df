"""
mulberryledge_testing.bench.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Prints each measure as one JSON object a line, and a table on standard error.
"""

import json
import sys
import time
import traceback
from argparse import ArgumentParser
from collections.abc import Iterator
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path

from mulberryledge_testing.bench.groups import GROUPS, get_group_by_name
from mulberryledge_testing.bench.history import append_run, render_page
from mulberryledge_testing.bench.measures import LOWER, Measure

__all__ = ["main"]

EXIT_FAILED = 1


def main(arguments: list[str]) -> int:
    """Run the named groups, or all; return the exit code."""
    options = parse(arguments)
    began = time.monotonic()
    measures: list[Measure] = []
    failed = []
    for name in options.groups or GROUPS:
        try:
            for measure in get_group_by_name(name)():
                print(json.dumps(asdict(measure)), flush=True)
                measures.append(measure)
        except Exception:
            traceback.print_exc()
            failed.append(name)
    show_table(measures)
    seconds = time.monotonic() - began
    print(f"{len(measures)} measures in {seconds:.0f} s", file=sys.stderr)
    if failed:
        print(f"FAILED: {', '.join(failed)}", file=sys.stderr)
        return EXIT_FAILED
    if options.history:
        keep(options.history, options.commit, measures)
    return 0


def parse(arguments: list[str]):
    """Return the parsed arguments."""
    parser = ArgumentParser(prog="bench", description=__doc__.splitlines()[-1])
    parser.add_argument("groups", nargs="*", metavar="group", help=", ".join(GROUPS))
    parser.add_argument(
        "--history", type=Path, help="file of results by commit; also writes BENCH.md"
    )
    parser.add_argument("--commit", default="(working copy)", help="commit measured")
    options = parser.parse_args(arguments)
    for name in options.groups:
        if name not in GROUPS:
            parser.error(f"no group {name!r}: use {', '.join(GROUPS)}")
    return options


def keep(path: Path, commit: str, measures: list[Measure]) -> None:
    """Add the run to the history and write its page beside."""
    date = datetime.now(UTC).strftime("%Y-%m-%d %H:%M")
    append_run(path, commit, date, measures)
    path.with_name("BENCH.md").write_text(render_page(path))


def show_table(measures: list[Measure]) -> None:
    """Print the table for people, a blank line between groups."""
    group = ""
    for measure in measures:
        first = measure.measure.partition(".")[0]
        if first != group:
            group = first
            print(file=sys.stderr)
        print(row(measure), file=sys.stderr)


def row(measure: Measure) -> str:
    """Return a line of the table."""
    return " ".join((f"{measure.measure:52}", *cells(measure))).rstrip()


def cells(measure: Measure) -> Iterator[str]:
    """Yield the cells of a line after the name."""
    yield f"{measure.value:11.4g} {measure.unit:8}"
    yield f"{measure.better:6}"
    bound = "" if measure.bound is None else f"bound {measure.bound:g}"
    yield f"{bound:14}"
    if measure.baseline is not None:
        yield f"baseline {measure.baseline:g}"
    if is_missed(measure):
        yield "MISSED"


def is_missed(measure: Measure) -> bool:
    """Return whether a measure is beyond its bound."""
    if measure.bound is None:
        return False
    if measure.better == LOWER:
        return measure.value > measure.bound
    return measure.value < measure.bound


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
