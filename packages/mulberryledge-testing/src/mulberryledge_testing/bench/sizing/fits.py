"""
mulberryledge_testing.bench.sizing.fits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Straight-line fits of measured costs with their error.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import linear_regression, mean

from mulberryledge_testing.bench.measures import LOWER, Measure

__all__ = ["Fit", "fit_line", "slope_measures"]


@dataclass(frozen=True, slots=True)
class Fit:
    """
    A straight line through measured points.

    Attributes
    ----------
    slope, base : float
        Cost of one more, and cost at zero.
    error : float
        Largest distance of a point from the line, as a share of the mean cost.
    """

    slope: float
    base: float
    error: float


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Fit a line by least squares."""
    slope, base = linear_regression(sizes, costs)
    distances = [
        abs(base + slope * size - cost) for size, cost in zip(sizes, costs, strict=True)
    ]
    return Fit(slope, base, max(distances) / mean(costs))


def slope_measures(
    name: str, unit: str, sizes: Sequence[float], costs: Sequence[float]
) -> Iterator[Measure]:
    """Yield the slope and the error of its fit."""
    fit = fit_line(sizes, costs)
    yield Measure(name, fit.slope, unit, LOWER)
    yield Measure(f"{name}.fit_error", fit.error, "share", LOWER)
