"""
mulberryledge_core.batch.sizes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Amounts of processors, memory and accelerators, and running sums of them.
"""

from dataclasses import dataclass

__all__ = ["NOTHING", "Size", "Tally"]


@dataclass(frozen=True, slots=True)
class Size:
    """
    Resources requested by a task or provided by a target.

    Attributes
    ----------
    cpu_millis : int
        Processor time in millicores.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Number of accelerators.
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
        """Add a size, or subtract it with ``sign`` -1."""
        self.cpu_millis += sign * size.cpu_millis
        self.memory_mb += sign * size.memory_mb
        self.accelerators += sign * size.accelerators

    def copy(self) -> "Tally":
        """Return an independent copy."""
        return Tally(self.cpu_millis, self.memory_mb, self.accelerators)

    def fits(self, size: Size, capacity: Size) -> bool:
        """Return whether the sum stays within a capacity if a size is added."""
        return (
            self.cpu_millis + size.cpu_millis <= capacity.cpu_millis
            and self.memory_mb + size.memory_mb <= capacity.memory_mb
            and self.accelerators + size.accelerators <= capacity.accelerators
        )
