"""
mulberryledge_core.decisions.loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Arithmetic on load vectors of slots, processors, memory and accelerators.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mulberryledge_core.model.hosts import Resources

__all__ = [
    "NO_LOAD",
    "Load",
    "add",
    "covers",
    "dominant_fraction",
    "fractions",
    "load_of",
    "scaled",
    "total",
]


@dataclass(frozen=True, slots=True)
class Load:
    """
    Slots and resources in use, requested or available.

    Attributes
    ----------
    slots : float
        Concurrent calls and jobs.
    processors : float
        Processor cores.
    memory_mb : float
        Memory in megabytes.
    accelerators : float
        Accelerator devices.
    """

    slots: float = 0.0
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


NO_LOAD = Load()


def load_of(resources: Resources, slots: float = 1.0) -> Load:
    """Return resources as a load with the given number of slots."""
    return Load(
        slots, resources.processors, resources.memory_mb, resources.accelerators
    )


def quantities(load: Load) -> tuple[float, float, float, float]:
    """Return the quantities of a load in the order of its fields."""
    return load.slots, load.processors, load.memory_mb, load.accelerators


def add(first: Load, second: Load) -> Load:
    """Return the sum of two loads."""
    return Load(
        *(a + b for a, b in zip(quantities(first), quantities(second), strict=True))
    )


def scaled(load: Load, factor: float) -> Load:
    """Return a load multiplied by a factor."""
    return Load(*(factor * value for value in quantities(load)))


def total(loads: Iterable[Load]) -> Load:
    """Return the sum of loads."""
    sums = [0.0, 0.0, 0.0, 0.0]
    for load in loads:
        sums[0] += load.slots
        sums[1] += load.processors
        sums[2] += load.memory_mb
        sums[3] += load.accelerators
    return Load(*sums)


def covers(capacity: Load, load: Load) -> bool:
    """Return whether the load fits the capacity in every quantity."""
    return (
        load.slots <= capacity.slots
        and load.processors <= capacity.processors
        and load.memory_mb <= capacity.memory_mb
        and load.accelerators <= capacity.accelerators
    )


def fractions(load: Load, capacity: Load) -> tuple[float, ...]:
    """
    Return each quantity of a load as a fraction of the capacity.

    A quantity of which there is no capacity yields zero. Whether a load that needs
    it can run at all is checked by :func:`covers`.
    """
    pairs = zip(quantities(load), quantities(capacity), strict=True)
    return tuple(
        used / available if available > 0 else 0.0 for used, available in pairs
    )


def dominant_fraction(load: Load, capacity: Load) -> float:
    """Return the largest fraction of the capacity that a load uses."""
    return max(fractions(load, capacity))
