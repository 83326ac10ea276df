"""
mulberryledge_testing.bench.measures
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One measure with its bound and baseline.
"""

from dataclasses import dataclass

__all__ = ["HIGHER", "LOWER", "Measure"]

LOWER = "lower"
HIGHER = "higher"


@dataclass(frozen=True, slots=True)
class Measure:
    """
    One measured figure.

    Attributes
    ----------
    measure : str
        Name, dotted, its group first.
    value : float
        What was measured in this run.
    unit : str
        Unit of the value.
    better : str
        ``lower`` or ``higher``.
    bound : float or None
        Bound from a stated target.
    baseline : float or None
        What a plain policy or a bare pass-through gave in the same run.
    """

    measure: str
    value: float
    unit: str
    better: str
    bound: float | None = None
    baseline: float | None = None
