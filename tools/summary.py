"""
summary
~~~~~~~

Adds up the behave reports of all suites and prints ``N passed, N failed``.

A suite whose report is missing or empty counts as one failure. A failed scenario
that KNOWN-RED.txt lists, one ``suite: scenario`` a line before its explanation, is
printed but does not fail the run.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
FEATURES = Path("features")
CASE_PREFIX = "case: "
REASON_CHARACTERS = 3_000  # of a failed scenario; a verdict with its list fits in


@dataclass(frozen=True, slots=True)
class Scenario:
    """
    Name and status of one scenario.

    Attributes
    ----------
    why : str
        What the step said that failed.
    """

    name: str
    status: str
    why: str = ""


def read_suite(suite: str, folder: Path) -> list[Scenario]:
    """Return the scenarios of one suite's report."""
    broken = [Scenario(f"{suite}: (no report, see {folder}/{suite}.log)", "failed")]
    path = folder / f"{suite}.json"
    try:
        features = json.loads(path.read_text())
    except (OSError, ValueError):
        return broken
    found = [
        Scenario(
            f"{suite}: {element['name'].strip()}",
            element.get("status", "untested"),
            reason_of(element),
        )
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    return found or broken


def reason_of(element: dict) -> str:
    """Return what the failed steps of a scenario said."""
    results = [step.get("result", {}) for step in element.get("steps", [])]
    lines = [line for one in results for line in as_lines(one.get("error_message"))]
    return "\n".join(lines)[-REASON_CHARACTERS:]


def as_lines(message: str | list[str] | None) -> list[str]:
    """Return a message, which behave gives as a text or as lines."""
    return message.splitlines() if isinstance(message, str) else message or []


def known_red() -> frozenset[str]:
    """Return the cases that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    cases = (line for line in lines if line.startswith(CASE_PREFIX))
    return frozenset(line.removeprefix(CASE_PREFIX).strip() for line in cases)


def main(folder: Path) -> int:
    """Print the summary and return the exit code."""
    suites = sorted(path.name for path in FEATURES.iterdir() if path.is_dir())
    scenarios = [one for suite in suites for one in read_suite(suite, folder)]
    passed = [one for one in scenarios if one.status == "passed"]
    red = [one for one in scenarios if one.status != "passed"]
    known = known_red()
    for one in red:
        label = "KNOWN RED" if one.name in known else "FAILED"
        print(f"{label}  {one.name} ({one.status})")
        if one.why:
            print(one.why)
    failed = [one for one in red if one.name not in known]
    for suite in sorted({one.name.partition(":")[0] for one in failed}):
        log = folder / f"{suite}.txt"
        if log.exists():
            print(f"--- {log}\n{log.read_text()[-8000:]}")
        log = folder / f"{suite}.log"
        if log.exists():
            print(f"--- {log}\n{log.read_text()[-3000:]}")
    known_count = len(red) - len(failed)
    if known_count:
        print(f"{known_count} known red, listed in {KNOWN_RED}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
