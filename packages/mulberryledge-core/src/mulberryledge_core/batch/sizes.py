"""
mulberryledge_core.batch.sizes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Amounts of processor, memory and accelerators, and sums of them.
"""

from dataclasses import dataclass

__all__ = ["NOTHING", "Size", "Tally"]


@dataclass(frozen=True, slots=True)
class Size:
    """
    What a task asks for, or what a target holds.

    Attributes
    ----------
    cpu_millis : int
        Thousandths of a processor core.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def times(self, count: int) -> "Size":
        """Return the size of ``count`` such tasks together."""
        return Size(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )


NOTHING = Size()


@dataclass(slots=True)
class Tally:
    """A running sum of sizes."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, size: Size, sign: int = 1) -> None:
        """Add a size, or take it off with ``sign`` -1."""
        self.cpu_millis += sign * size.cpu_millis
        self.memory_mb += sign * size.memory_mb
        self.accelerators += sign * size.accelerators

    def copy(self) -> "Tally":
        """Return an independent sum of the same value."""
        return Tally(self.cpu_millis, self.memory_mb, self.accelerators)

    def fits(self, size: Size, capacity: Size) -> bool:
        """Return whether the size can be added without passing the capacity."""
        return (
            self.cpu_millis + size.cpu_millis <= capacity.cpu_millis
            and self.memory_mb + size.memory_mb <= capacity.memory_mb
            and self.accelerators + size.accelerators <= capacity.accelerators
        )
