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

__all__ = ["CAUSE_COLOURS", "budget_bar", "failure_chart"]

WIDTH_PX = 760
HEIGHT_PX = 190
LEFT_MARGIN_PX = 52
RIGHT_MARGIN_PX = 12
TOP_MARGIN_PX = 12
BOTTOM_MARGIN_PX = 30
BAR_HEIGHT_PX = 14
TEXT_SIZE_PX = 11
HOUR_MS = 3_600_000
MS_PER_S = 1_000
HOURS_SHOWN = 72
HOURS_PER_TICK = 12
Y_TICKS = 4
NICE_STEPS = (1.0, 2.0, 2.5, 5.0, 10.0)
AXIS_COLOUR = "#666666"
GRID_COLOUR = "#e3e3e3"
TEXT_COLOUR = "#222222"
LIMIT_COLOUR = "#b3261e"
BUDGET_COLOUR = "#2e7d5b"
BAR_BACKGROUND_COLOUR = "#ececec"

CAUSE_COLOURS = {
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
    Return a chart of the share of failed calls, stacked by cause, for each hour.

    Parameters
    ----------
    history : iterable of Interval
        Hourly counts of one service.
    success_share : float
        The objective; the share of calls that may fail is drawn as a line.
    now_ms : int
        End of the chart in milliseconds.
    """
    end_ms = now_ms - now_ms % HOUR_MS + HOUR_MS
    start_ms = end_ms - HOURS_SHOWN * HOUR_MS
    visible = [
        interval for interval in history if start_ms <= interval.start_ms < end_ms
    ]
    allowed_share = 1.0 - success_share
    max_share = max(
        (failed_share(interval.counts) for interval in visible), default=0.0
    )
    axis_max = nice_axis_max(max(max_share, allowed_share))
    drawing = drawsvg.Drawing(WIDTH_PX, HEIGHT_PX, id_prefix="chart")
    draw_axes(drawing, axis_max, start_ms)
    step = (WIDTH_PX - LEFT_MARGIN_PX - RIGHT_MARGIN_PX) / HOURS_SHOWN
    for interval in visible:
        x = LEFT_MARGIN_PX + (interval.start_ms - start_ms) / HOUR_MS * step
        draw_stacked_bar(drawing, x, step, interval.counts, axis_max)
    y = y_position(allowed_share, axis_max)
    drawing.append(
        drawsvg.Line(
            LEFT_MARGIN_PX,
            y,
            WIDTH_PX - RIGHT_MARGIN_PX,
            y,
            stroke=LIMIT_COLOUR,
            stroke_dasharray="5 4",
        )
    )
    return drawing.as_svg(header="")


def failed_share(counts: Counts) -> float:
    """Return the share of calls that failed."""
    return counts.bad / counts.total if counts.total else 0.0


def nice_axis_max(share: float) -> float:
    """Return an axis maximum that gives ticks at round numbers."""
    unit = 10.0 ** floor(log10(share / Y_TICKS))
    step = next(nice for nice in NICE_STEPS if nice * unit * Y_TICKS >= share)
    return step * unit * Y_TICKS


def y_position(share: float, axis_max: float) -> float:
    """Return the vertical coordinate of a share in pixels."""
    return (
        HEIGHT_PX
        - BOTTOM_MARGIN_PX
        - share / axis_max * (HEIGHT_PX - TOP_MARGIN_PX - BOTTOM_MARGIN_PX)
    )


def draw_axes(drawing: drawsvg.Drawing, axis_max: float, start_ms: int) -> None:
    """Draw grid lines, axes and tick labels."""
    for tick in range(Y_TICKS + 1):
        share = axis_max * tick / Y_TICKS
        y = y_position(share, axis_max)
        drawing.append(
            drawsvg.Line(
                LEFT_MARGIN_PX, y, WIDTH_PX - RIGHT_MARGIN_PX, y, stroke=GRID_COLOUR
            )
        )
        label = drawsvg.Text(
            f"{share * 100:.3g}%",
            TEXT_SIZE_PX,
            LEFT_MARGIN_PX - 6,
            y + 4,
            text_anchor="end",
        )
        drawing.append(label)
    step = (WIDTH_PX - LEFT_MARGIN_PX - RIGHT_MARGIN_PX) / HOURS_SHOWN
    for hour in range(0, HOURS_SHOWN, HOURS_PER_TICK):
        x = LEFT_MARGIN_PX + hour * step
        moment = datetime.fromtimestamp((start_ms + hour * HOUR_MS) / MS_PER_S, UTC)
        text = moment.strftime("%d %b %H:%M")
        base = HEIGHT_PX - BOTTOM_MARGIN_PX
        drawing.append(drawsvg.Line(x, base, x, base + 4, stroke=AXIS_COLOUR))
        drawing.append(drawsvg.Text(text, TEXT_SIZE_PX, x, base + 18))
    base = HEIGHT_PX - BOTTOM_MARGIN_PX
    drawing.append(
        drawsvg.Line(
            LEFT_MARGIN_PX, base, WIDTH_PX - RIGHT_MARGIN_PX, base, stroke=AXIS_COLOUR
        )
    )


def draw_stacked_bar(
    drawing: drawsvg.Drawing, x: float, step: float, counts: Counts, axis_max: float
) -> None:
    """Draw the failed calls of one hour as a bar stacked by cause."""
    below = 0.0
    for cause, colour in CAUSE_COLOURS.items():
        count = getattr(counts, cause)
        if not count:
            continue
        above = below + count / counts.total
        upper, lower = y_position(above, axis_max), y_position(below, axis_max)
        bar = drawsvg.Rectangle(x, upper, step - 1, lower - upper, fill=colour)
        bar.append_title(f"{count} {cause} of {counts.total}")
        drawing.append(bar)
        below = above


def budget_bar(remaining: float) -> str:
    """Return a bar of the remaining share of the error budget."""
    width = 160
    drawing = drawsvg.Drawing(width, BAR_HEIGHT_PX, id_prefix="bar")
    drawing.append(
        drawsvg.Rectangle(0, 0, width, BAR_HEIGHT_PX, fill=BAR_BACKGROUND_COLOUR)
    )
    filled = max(0.0, min(1.0, remaining)) * width
    colour = BUDGET_COLOUR if remaining > 0 else LIMIT_COLOUR
    drawing.append(drawsvg.Rectangle(0, 0, filled or width, BAR_HEIGHT_PX, fill=colour))
    return drawing.as_svg(header="")
