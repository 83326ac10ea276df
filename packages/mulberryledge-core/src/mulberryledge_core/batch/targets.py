"""
mulberryledge_core.batch.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Targets that run tasks. One life of a target is one start of its process.
"""

from dataclasses import dataclass

from mulberryledge_core.batch.sizes import Size

__all__ = ["Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """
    One life of a target.

    Attributes
    ----------
    name : str
        Identifier that the target gave itself; a later life may use it again.
    born_ms : int
        Unix time of the start of this life, in milliseconds.
    host : str
        Machine that it runs on, empty if it names none.
    address : str
        Where it takes orders, ``ip:port``.
    pool, availability_zone, rack : str
        Pool and failure domains.
    labels : tuple of str
        Labels that steps may require.
    capacity : Size
        What it holds.
    draining : bool
        Whether it has announced that it will leave.
    """

    name: str
    born_ms: int
    host: str
    address: str
    pool: str
    availability_zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Size
    draining: bool = False

    @property
    def life(self) -> str:
        """Identifies this life among all lives of all targets."""
        return f"{self.name}@{self.born_ms}"
