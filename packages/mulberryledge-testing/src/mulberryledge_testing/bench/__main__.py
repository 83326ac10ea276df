"""
mulberryledge_testing.bench.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Prints each measure as one JSON object a line, and a table on standard error.
"""

import json
import sys
from dataclasses import asdict

from mulberryledge_testing.bench.groups import GROUPS, get_group_by_name
from mulberryledge_testing.bench.measures import Measure

__all__ = ["main"]


def main(names: list[str]) -> int:
    """Run the named groups, or all; return the exit code."""
    measures = []
    for name in names or GROUPS:
        group = get_group_by_name(name)
        if group is None:
            print(f"no group {name!r}: use {', '.join(GROUPS)}", file=sys.stderr)
            return 2
        for measure in group():
            print(json.dumps(asdict(measure)), flush=True)
            measures.append(measure)
    for measure in measures:
        print(row(measure), file=sys.stderr)
    return 0


def row(measure: Measure) -> str:
    """Return a line of the table for people."""
    bound = "" if measure.bound is None else f"bound {measure.bound:g}"
    baseline = "" if measure.baseline is None else f"baseline {measure.baseline:g}"
    return (
        f"{measure.measure:48} {measure.value:12.4g} {measure.unit:12}"
        f" {measure.better:7} {bound:14} {baseline}"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
