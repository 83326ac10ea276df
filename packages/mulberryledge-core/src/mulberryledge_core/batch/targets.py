"""
mulberryledge_core.batch.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Targets that run tasks. An incarnation of a target is one run of its process.
"""

from dataclasses import dataclass

from mulberryledge_core.batch.sizes import Size

__all__ = ["Target", "find_contradiction"]

FIXED_FIELDS = ("host", "address", "pool", "availability_zone")


@dataclass(frozen=True, slots=True)
class Target:
    """
    One incarnation of a target.

    Attributes
    ----------
    name : str
        Identifier chosen by the target; a later incarnation may use it again.
    started_ms : int
        Unix time of the start of the process, in milliseconds.
    host : str
        Host that it runs on, empty if it reports none.
    address : str
        Where it accepts orders, ``ip:port``.
    pool, availability_zone, rack : str
        Pool and failure domains.
    labels : tuple of str
        Labels that steps may require.
    capacity : Size
        Total capacity.
    draining : bool
        Whether it has announced that it will leave.
    """

    name: str
    started_ms: int
    host: str
    address: str
    pool: str
    availability_zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Size
    draining: bool = False

    @property
    def incarnation(self) -> str:
        """Unique identifier of this incarnation."""
        return f"{self.name}@{self.started_ms}"


def find_contradiction(known: Target, reported: Target) -> str:
    """
    Return what a report about a known incarnation denies, empty if nothing.

    A process stays on its host, at its address and in its pool. A field that is not
    known yet may be reported later.
    """
    for name in FIXED_FIELDS:
        value = getattr(known, name)
        if value and getattr(reported, name) != value:
            return f"{name} {getattr(reported, name)!r} in place of {value!r}"
    return ""
