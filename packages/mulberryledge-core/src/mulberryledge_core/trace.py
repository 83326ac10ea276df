"""
mulberryledge_core.trace
~~~~~~~~~~~~~~~~~~~~~~~~

Merges the log lines of several daemons about a job, target or host into one timeline,
and picks the line that explains the outcome.

The clocks of daemons differ. The leader accepts a job while the entry handles the
request; if the times of the two lines contradict this, the entry's lines are shifted
by the smallest offset that makes them agree.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

__all__ = ["Line", "Trace", "read_lines", "trace"]

CONTEXT_S = 1.0  # before and after, in which lines about the job's targets are included
ANSWERED, SUBMITTED = "request answered", "job submitted"
STARTED, RUN_ENDED, ENDED = "tasks started", "run ended", "job ended"
LEADER_MESSAGES = (
    "leader",
    "scheduling begins",
    "scheduling ends",
    "fenced off",
    "manifest",
)


@dataclass(frozen=True, slots=True)
class Line:
    """
    Line of a log.

    Attributes
    ----------
    time_s : float
        Time of day by the clock of the daemon that wrote it.
    fields : dict
        All other fields of the line.
    """

    time_s: float
    daemon: str
    message: str
    fields: dict

    def mentions(self, subject: str) -> bool:
        """Return whether the line is about a job, a target or a host."""
        if subject in (self.fields.get("job"), self.fields.get("host")):
            return True
        return any(
            subject in (incarnation, incarnation.partition("@")[0])
            for incarnation in self.targets()
        )

    def targets(self) -> set[str]:
        """Return the target incarnations that the line mentions."""
        by_target = self.fields.get("targets")
        found = set(by_target) if isinstance(by_target, dict) else set()
        if isinstance(self.fields.get("target"), str):
            found.add(self.fields["target"])
        return found


@dataclass(frozen=True, slots=True)
class Trace:
    """
    Timeline of a job, target or host.

    Attributes
    ----------
    lines : tuple of Line
        In order of their corrected times.
    offsets_s : dict of str to float
        By daemon: offset added to its times.
    deciding : Line or None
        The line that explains the outcome; None if there are no lines.
    verdict : str
        Outcome in a few words.
    """

    subject: str
    lines: tuple[Line, ...]
    offsets_s: dict[str, float]
    deciding: Line | None
    verdict: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse log lines, skipping any other text and truncated lines."""
    for text in texts:
        start = text.find("{")
        try:
            plain = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(plain, dict) and isinstance(plain.get("time"), int | float):
            fields = {
                name: value
                for name, value in plain.items()
                if name not in ("time", "daemon", "message", "logger")
            }
            daemon, message = plain.get("daemon", ""), plain.get("message", "")
            yield Line(plain["time"], str(daemon), str(message), fields)


def trace(subject: str, lines: Iterable[Line]) -> Trace:
    """Return the timeline of a job, a target or a host."""
    all_lines = list(lines)
    related = [line for line in all_lines if line.mentions(subject)]
    offsets_by_daemon = offsets_of(related)
    if related:
        related += context_lines(related, all_lines)
    corrected = [
        Line(
            round(line.time_s + offsets_by_daemon.get(line.daemon, 0.0), 3),
            line.daemon,
            line.message,
            line.fields,
        )
        for line in related
    ]
    corrected.sort(key=lambda line: line.time_s)
    deciding, verdict = evaluate(corrected)
    return Trace(subject, tuple(corrected), offsets_by_daemon, deciding, verdict)


def offsets_of(lines: list[Line]) -> dict[str, float]:
    """Return by entry the offset that makes its times agree with the leader's."""
    offsets_by_daemon: dict[str, float] = {}
    submitted = [line for line in lines if line.message == SUBMITTED]
    for line in lines:
        if line.message != ANSWERED or line.fields.get("kind") != "submit":
            continue
        started_s = line.time_s - float(line.fields.get("ms") or 0) / 1_000
        shifts = [shift(started_s, line.time_s, other.time_s) for other in submitted]
        if shifts:
            offsets_by_daemon[line.daemon] = round(min(shifts, key=abs), 3)
    return offsets_by_daemon


def shift(start_s: float, end_s: float, time_s: float) -> float:
    """Return the smallest shift of a span that makes it include a time."""
    if time_s < start_s:
        return time_s - start_s
    return max(0.0, time_s - end_s)


def context_lines(related: list[Line], all_lines: list[Line]) -> list[Line]:
    """Return lines about the subject's targets and about leaders in its time."""
    first = min(line.time_s for line in related) - CONTEXT_S
    last = max(line.time_s for line in related) + CONTEXT_S
    targets = set().union(*(line.targets() for line in related))
    included = {id(line) for line in related}
    found = []
    for line in all_lines:
        if id(line) in included or not first <= line.time_s <= last:
            continue
        on_target = "job" not in line.fields and line.fields.get("target") in targets
        if on_target or line.message in LEADER_MESSAGES:
            found.append(line)
    return found


def evaluate(lines: list[Line]) -> tuple[Line | None, str]:
    """Return the deciding line and the outcome of the subject."""
    for evaluate_case in (evaluate_ended, evaluate_refused, evaluate_running):
        found = evaluate_case(lines)
        if found is not None:
            return found
    if not lines:
        return None, "nothing is known of it"
    return lines[-1], lines[-1].message


def evaluate_ended(lines: list[Line]) -> tuple[Line, str] | None:
    """Evaluate a job that has ended."""
    ended = last_matching(lines, lambda line: line.message == ENDED)
    if ended is None:
        return None
    phase = ended.fields.get("phase")
    if phase == "failed":
        failed = last_matching(lines, lambda line: run_end_of(line) == "failed")
        runs = ended.fields.get("failed_runs")
        return failed or ended, f"failed after {runs} failed runs"
    if phase != "completed" or ended.fields.get("in_time"):
        return ended, f"{phase} after {ended.fields.get('ms')} ms"
    late_ms = ended.fields.get("ms", 0) - ended.fields.get("objective_ms", 0)
    return slowest(lines) or ended, f"completed {late_ms} ms late"


def slowest(lines: list[Line]) -> Line | None:
    """Return the line with the longest delay: a lost run or a late start."""

    def delay_ms(line: Line) -> float:
        if line.message == RUN_ENDED:
            return line.fields.get("after_ms") or 0
        return line.fields.get("waited_ms") or 0

    delays = [line for line in lines if line.message in (STARTED, RUN_ENDED)]
    return max(delays, key=delay_ms, default=None)


def evaluate_refused(lines: list[Line]) -> tuple[Line, str] | None:
    """Evaluate a request that was not accepted."""
    if any(
        line.message == SUBMITTED and line.fields.get("committed") == "yes"
        for line in lines
    ):
        return None
    answered = last_matching(
        lines,
        lambda line: line.message == ANSWERED and line.fields.get("verdict") != "ok",
    )
    if answered is None:
        return None
    verdict = answered.fields.get("verdict")
    why = answered.fields.get("why") or "no reason given"
    return answered, f"not accepted: {verdict}, {why}"


def evaluate_running(lines: list[Line]) -> tuple[Line, str] | None:
    """Evaluate a job that has not ended."""
    if not any(line.message == SUBMITTED for line in lines):
        return None
    started = last_matching(lines, lambda line: line.message in (STARTED, RUN_ENDED))
    if started is None:
        return lines[-1], "accepted, nothing of it has started"
    return started, "has not ended"


def run_end_of(line: Line) -> str:
    """Return how a run ended; empty for other lines."""
    return str(line.fields.get("how", "")) if line.message == RUN_ENDED else ""


def last_matching(lines: list[Line], predicate: Callable[[Line], bool]) -> Line | None:
    """Return the last line that satisfies a predicate, or None."""
    return next((line for line in reversed(lines) if predicate(line)), None)
