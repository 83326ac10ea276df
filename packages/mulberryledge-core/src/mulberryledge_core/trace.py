"""
mulberryledge_core.trace
~~~~~~~~~~~~~~~~~~~~~~~~

Puts what the logs of many daemons say of one job or one target in order, and names the
line that decided what became of it.

Clocks of daemons differ. A request that an entry answered was under way while the
leader accepted the job; where the two lines say otherwise, the entry's lines are moved
by as much as needed.
"""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

__all__ = ["Line", "Trace", "read_lines", "trace"]

SPAN_S = 1.0  # before and after, in which lines on the job's targets belong to it
ANSWERED, SUBMITTED = "request answered", "job submitted"
STARTED, RUN_ENDED, ENDED = "tasks started", "run ended", "job ended"
WIDE = ("leader", "scheduling begins", "scheduling ends", "fenced off", "manifest")


@dataclass(frozen=True, slots=True)
class Line:
    """
    One line of a log.

    Attributes
    ----------
    time_s : float
        Time of day by the clock of the daemon that wrote it.
    fields : dict
        Everything else that the line holds.
    """

    time_s: float
    daemon: str
    message: str
    fields: dict

    def names(self, subject: str) -> bool:
        """Return whether the line is about a job, a target or a host."""
        if subject in (self.fields.get("job"), self.fields.get("host")):
            return True
        return any(subject in (life, life.partition("@")[0]) for life in self.targets())

    def targets(self) -> set[str]:
        """Return the lives of targets that the line names."""
        named = self.fields.get("targets")
        found = set(named) if isinstance(named, dict) else set()
        if isinstance(self.fields.get("target"), str):
            found.add(self.fields["target"])
        return found


@dataclass(frozen=True, slots=True)
class Trace:
    """
    The life of a job or a target.

    Attributes
    ----------
    lines : tuple of Line
        In order, with the times of day made to agree.
    offsets_s : dict of str to float
        By daemon: what was added to its times.
    deciding : Line or None
        The line that tells why it ended as it did; None if nothing is known of it.
    verdict : str
        What became of it, in a few words.
    """

    subject: str
    lines: tuple[Line, ...]
    offsets_s: dict[str, float]
    deciding: Line | None
    verdict: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the lines that are log lines; others, and torn ones, are left out."""
    for text in texts:
        begin = text.find("{")
        try:
            plain = json.loads(text[begin:]) if begin >= 0 else None
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
    """Return the life of a job, a target or a host."""
    everything = list(lines)
    own = [line for line in everything if line.names(subject)]
    offsets = offsets_of(own)
    if own:
        own += around(own, everything)
    placed = [
        Line(
            round(line.time_s + offsets.get(line.daemon, 0.0), 3),
            line.daemon,
            line.message,
            line.fields,
        )
        for line in own
    ]
    placed.sort(key=lambda line: line.time_s)
    deciding, verdict = judge(placed)
    return Trace(subject, tuple(placed), offsets, deciding, verdict)


def offsets_of(lines: list[Line]) -> dict[str, float]:
    """Return what to add to the times of entries, so that they agree with leaders."""
    offsets: dict[str, float] = {}
    submitted = [line for line in lines if line.message == SUBMITTED]
    for line in lines:
        if line.message != ANSWERED or line.fields.get("kind") != "submit":
            continue
        began_s = line.time_s - float(line.fields.get("ms") or 0) / 1_000
        gaps = [gap(began_s, line.time_s, other.time_s) for other in submitted]
        if gaps:
            offsets[line.daemon] = round(min(gaps, key=abs), 3)
    return offsets


def gap(begin_s: float, end_s: float, time_s: float) -> float:
    """Return what moves a span so that it holds a time, 0 if it does."""
    if time_s < begin_s:
        return time_s - begin_s
    return max(0.0, time_s - end_s)


def around(own: list[Line], everything: list[Line]) -> list[Line]:
    """Return what happened to the targets of a job, and who led, in its time."""
    first = min(line.time_s for line in own) - SPAN_S
    last = max(line.time_s for line in own) + SPAN_S
    targets = set().union(*(line.targets() for line in own))
    known = {id(line) for line in own}
    found = []
    for line in everything:
        if id(line) in known or not first <= line.time_s <= last:
            continue
        on_target = "job" not in line.fields and line.fields.get("target") in targets
        if on_target or line.message in WIDE:
            found.append(line)
    return found


def judge(lines: list[Line]) -> tuple[Line | None, str]:
    """Return the deciding line, and what became of the subject."""
    for applies in (judge_ended, judge_refused, judge_running):
        found = applies(lines)
        if found is not None:
            return found
    if not lines:
        return None, "nothing is known of it"
    return lines[-1], lines[-1].message


def judge_ended(lines: list[Line]) -> tuple[Line, str] | None:
    """Judge a job that has ended."""
    ended = last(lines, lambda line: line.message == ENDED)
    if ended is None:
        return None
    phase = ended.fields.get("phase")
    if phase == "failed":
        failed = last(lines, lambda line: how(line) == "failed")
        runs = ended.fields.get("failed_runs")
        return failed or ended, f"failed after {runs} failed runs"
    if phase != "completed" or ended.fields.get("in_time"):
        return ended, f"{phase} after {ended.fields.get('ms')} ms"
    late_ms = ended.fields.get("ms", 0) - ended.fields.get("objective_ms", 0)
    return slowest(lines) or ended, f"completed {late_ms} ms late"


def slowest(lines: list[Line]) -> Line | None:
    """Return the line with the longest wait: a lost run, or a start that came late."""

    def cost_ms(line: Line) -> float:
        if line.message == RUN_ENDED:
            return line.fields.get("after_ms") or 0
        return line.fields.get("waited_ms") or 0

    waits = [line for line in lines if line.message in (STARTED, RUN_ENDED)]
    return max(waits, key=cost_ms, default=None)


def judge_refused(lines: list[Line]) -> tuple[Line, str] | None:
    """Judge a request that was not accepted."""
    if any(
        line.message == SUBMITTED and line.fields.get("committed") == "yes"
        for line in lines
    ):
        return None
    answered = last(
        lines,
        lambda line: line.message == ANSWERED and line.fields.get("verdict") != "ok",
    )
    if answered is None:
        return None
    verdict = answered.fields.get("verdict")
    why = answered.fields.get("why") or "no reason given"
    return answered, f"not accepted: {verdict}, {why}"


def judge_running(lines: list[Line]) -> tuple[Line, str] | None:
    """Judge a job that has not ended."""
    if not any(line.message == SUBMITTED for line in lines):
        return None
    started = last(lines, lambda line: line.message in (STARTED, RUN_ENDED))
    if started is None:
        return lines[-1], "accepted, nothing of it has started"
    return started, "has not ended"


def how(line: Line) -> str:
    """Return how a run ended, empty for other lines."""
    return str(line.fields.get("how", "")) if line.message == RUN_ENDED else ""


def last(lines: list[Line], test: Callable[[Line], bool]) -> Line | None:
    """Return the last line that passes a test."""
    return next((line for line in reversed(lines) if test(line)), None)
