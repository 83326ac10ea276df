"""
mulberryledge_core.model.hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts, their pools and their failure domains.
"""

from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.model.maintenance import Upkeep

__all__ = ["Host", "HostPhase", "Pool", "Resources"]


class HostPhase(StrEnum):
    """Lifecycle phase; only ``SERVING`` and ``PROBATION`` hosts take new work."""

    SERVING = "serving"
    CORDONED = "cordoned"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBATION = "probation"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Resources:
    """
    Capacity of a host or size of a job.

    Attributes
    ----------
    processors : float
        Processor cores.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Number of accelerators.
    """

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """
    A named set of hosts with a daily quiet window.

    Attributes
    ----------
    name : str
        Unique name.
    quiet_start_min, quiet_end_min : int
        Quiet window in minutes after midnight UTC; a window whose end is not
        after its start wraps over midnight, and equal values mean all day.
    spare : bool
        Whether the pool is a spare pool, shared by all pools.
    """

    name: str
    quiet_start_min: int = 0
    quiet_end_min: int = 0
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Host:
    """
    A worker machine that belongs to exactly one pool.

    Attributes
    ----------
    name : str
        Unique name.
    pool : str
        Owning pool.
    region, availability_zone, rack : str
        Failure domains, largest first.
    resources : Resources
        Total capacity.
    phase : HostPhase
        Lifecycle phase.
    phase_since_ms : int
        Log time at which the phase was entered, in milliseconds.
    maintained_ms : int
        Log time of the last completed maintenance, zero if never.
    upkeep : Upkeep
        Maintenance record, used by the availability budgets and the repair.
    """

    name: str
    pool: str
    region: str = ""
    availability_zone: str = ""
    rack: str = ""
    resources: Resources = Resources()
    phase: HostPhase = HostPhase.SERVING
    phase_since_ms: int = 0
    maintained_ms: int = 0
    upkeep: Upkeep = Upkeep()
