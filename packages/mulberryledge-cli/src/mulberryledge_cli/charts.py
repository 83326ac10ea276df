"""
mulberryledge_cli.charts
~~~~~~~~~~~~~~~~~~~~~~~~

Charts of the service-level report as inline SVG.
"""

from collections.abc import Iterable
from datetime import UTC, datetime
from math import floor, log10

import drawsvg

from mulberryledge_core.model.burn import CallOutcome, Counts, Interval

__all__ = ["COLOURS", "budget_bar", "failure_chart"]

WIDTH = 760
HEIGHT = 190
LEFT = 52
RIGHT = 12
TOP = 12
BOTTOM = 30
BAR_HEIGHT = 14
TEXT_SIZE = 11
HOUR_MS = 3_600_000
MS_PER_S = 1_000
HOURS_SHOWN = 72
HOURS_PER_MARK = 12
Y_MARKS = 4
NICE_STEPS = (1.0, 2.0, 2.5, 5.0, 10.0)
AXIS = "#666666"
GRID = "#e3e3e3"
INK = "#222222"
ALLOWED = "#b3261e"
GOOD_BAR = "#2e7d5b"
TRACK = "#ececec"

COLOURS = {
    CallOutcome.REFUSED: "#e69f00",
    CallOutcome.LATE: "#56b4e9",
    CallOutcome.UNKNOWN: "#cc79a7",
    CallOutcome.MAINTENANCE: "#0072b2",
    CallOutcome.LOSS: "#d55e00",
}


def failure_chart(
    history: Iterable[Interval], success_share: float, now_ms: int
) -> str:
    """
    Return a chart of the share of failed calls by hour and cause.

    Parameters
    ----------
    history : iterable of Interval
        Counts of one service, one an hour.
    success_share : float
        The objective, drawn as the share of calls that may fail.
    now_ms : int
        End of the chart in milliseconds.
    """
    end_ms = now_ms - now_ms % HOUR_MS + HOUR_MS
    begin_ms = end_ms - HOURS_SHOWN * HOUR_MS
    shown = [one for one in history if begin_ms <= one.start_ms < end_ms]
    allowed = 1.0 - success_share
    highest = max((bad_share(one.counts) for one in shown), default=0.0)
    top = round_up(max(highest, allowed))
    drawing = drawsvg.Drawing(WIDTH, HEIGHT, id_prefix="chart")
    draw_axes(drawing, top, begin_ms)
    step = (WIDTH - LEFT - RIGHT) / HOURS_SHOWN
    for one in shown:
        x = LEFT + (one.start_ms - begin_ms) / HOUR_MS * step
        draw_stack(drawing, x, step, one.counts, top)
    y = y_of(allowed, top)
    drawing.append(
        drawsvg.Line(LEFT, y, WIDTH - RIGHT, y, stroke=ALLOWED, stroke_dasharray="5 4")
    )
    return drawing.as_svg(header="")


def bad_share(counts: Counts) -> float:
    """Return the share of calls that failed."""
    return counts.bad / counts.total if counts.total else 0.0


def round_up(share: float) -> float:
    """Return a top of the axis that gives marks in round numbers."""
    unit = 10.0 ** floor(log10(share / Y_MARKS))
    step = next(nice for nice in NICE_STEPS if nice * unit * Y_MARKS >= share)
    return step * unit * Y_MARKS


def y_of(share: float, top: float) -> float:
    """Return the height at which a share is drawn."""
    return HEIGHT - BOTTOM - share / top * (HEIGHT - TOP - BOTTOM)


def draw_axes(drawing: drawsvg.Drawing, top: float, begin_ms: int) -> None:
    """Draw grid, axis and marks."""
    for mark in range(Y_MARKS + 1):
        share = top * mark / Y_MARKS
        y = y_of(share, top)
        drawing.append(drawsvg.Line(LEFT, y, WIDTH - RIGHT, y, stroke=GRID))
        label = drawsvg.Text(
            f"{share * 100:.3g}%", TEXT_SIZE, LEFT - 6, y + 4, text_anchor="end"
        )
        drawing.append(label)
    step = (WIDTH - LEFT - RIGHT) / HOURS_SHOWN
    for hour in range(0, HOURS_SHOWN, HOURS_PER_MARK):
        x = LEFT + hour * step
        moment = datetime.fromtimestamp((begin_ms + hour * HOUR_MS) / MS_PER_S, UTC)
        text = moment.strftime("%d %b %H:%M")
        base = HEIGHT - BOTTOM
        drawing.append(drawsvg.Line(x, base, x, base + 4, stroke=AXIS))
        drawing.append(drawsvg.Text(text, TEXT_SIZE, x, base + 18))
    base = HEIGHT - BOTTOM
    drawing.append(drawsvg.Line(LEFT, base, WIDTH - RIGHT, base, stroke=AXIS))


def draw_stack(
    drawing: drawsvg.Drawing, x: float, step: float, counts: Counts, top: float
) -> None:
    """Draw the failed calls of one hour, one cause above the other."""
    below = 0.0
    for cause, colour in COLOURS.items():
        count = getattr(counts, cause)
        if not count:
            continue
        above = below + count / counts.total
        upper, lower = y_of(above, top), y_of(below, top)
        bar = drawsvg.Rectangle(x, upper, step - 1, lower - upper, fill=colour)
        bar.append_title(f"{count} {cause} of {counts.total}")
        drawing.append(bar)
        below = above


def budget_bar(left: float) -> str:
    """Return a bar of the error budget that is left."""
    width = 160
    drawing = drawsvg.Drawing(width, BAR_HEIGHT, id_prefix="bar")
    drawing.append(drawsvg.Rectangle(0, 0, width, BAR_HEIGHT, fill=TRACK))
    filled = max(0.0, min(1.0, left)) * width
    colour = GOOD_BAR if left > 0 else ALLOWED
    drawing.append(drawsvg.Rectangle(0, 0, filled or width, BAR_HEIGHT, fill=colour))
    return drawing.as_svg(header="")
