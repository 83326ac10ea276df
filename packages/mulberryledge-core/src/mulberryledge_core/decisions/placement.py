"""
mulberryledge_core.decisions.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which host takes a job: what fits, spread by failure domain, packed tightly.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from mulberryledge_core.decisions.loads import (
    Load,
    add,
    covers,
    dominant_fraction,
    load_of,
)
from mulberryledge_core.decisions.sizes import MAX_UNSEEN_PER_HOST
from mulberryledge_core.model.hosts import Resources

__all__ = [
    "HostRoom",
    "JobNeed",
    "PlacementHold",
    "Spread",
    "choose_host",
    "host_capacity",
    "never_fits",
    "room_problem",
]

PROCESSOR_OVERCOMMIT = 1.25
SPREAD_STEP = 2


@dataclass(frozen=True, slots=True)
class HostRoom:
    """
    A host as placement sees it.

    Attributes
    ----------
    host, availability_zone, rack : str
        Name and failure domains.
    capacity, load : Load
        What it can hold, and the measured and corrected load on it.
    unseen : int
        Running jobs whose size is a guess.
    borrowed : bool
        Whether the host belongs to another pool than the service.
    """

    host: str
    availability_zone: str
    rack: str
    capacity: Load
    load: Load
    unseen: int = 0
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class JobNeed:
    """
    What a job needs.

    Attributes
    ----------
    size, declared : Load
        Corrected size, and the size by declaration alone.
    seen : bool
        Whether the corrected size is measured.
    urgent : bool
        Whether one more job of unmeasured size is allowed for it.
    """

    size: Load
    declared: Load
    seen: bool = False
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Spread:
    """Running jobs of one team on one service, counted by failure domain."""

    zones: Counter[str]
    racks: Counter[str]


@dataclass(frozen=True, slots=True)
class PlacementHold:
    """Why no host takes a job now, in a sentence."""

    cause: str


def host_capacity(resources: Resources) -> Load:
    """
    Return what a host holds; one that declares nothing bounds nothing.

    Processors may be overcommitted a little, since contention only slows jobs.
    """
    if resources == Resources():
        return Load(math.inf, math.inf, math.inf, math.inf)
    return Load(
        math.inf,
        resources.processors * PROCESSOR_OVERCOMMIT,
        resources.memory_mb,
        resources.accelerators,
    )


def room_problem(room: HostRoom, need: JobNeed) -> str | None:
    """
    Return why the host can't take a job now, or None.

    A host without jobs takes any job whose declared size fits, so that a size
    corrected too far never keeps a job from running at all.
    """
    size = need.size if room.load.slots else need.declared
    if not covers(room.capacity, add(room.load, size)):
        return f"host {room.host!r} has no room for {describe(size)}"
    if not need.seen and room.unseen >= MAX_UNSEEN_PER_HOST + need.urgent:
        return f"host {room.host!r} runs {room.unseen} jobs of unmeasured size"
    return None


def choose_host(
    rooms: Iterable[HostRoom], need: JobNeed, spread: Spread
) -> Result[HostRoom, PlacementHold]:
    """
    Return the host that takes a job.

    Own hosts go before borrowed ones. Among them the zone, then the rack with
    fewest jobs of the kind is taken, in steps of :data:`SPREAD_STEP`; then a
    host whose accelerators would not lie idle; then the tightest fit.

    Parameters
    ----------
    rooms : iterable of HostRoom
        Hosts with a free slot.
    need : JobNeed
        What the job needs.
    spread : Spread
        Where jobs of the kind run already.
    """
    best, best_rank, problem = None, None, "no target with a free slot waits"
    for room in rooms:
        why = room_problem(room, need)
        if why is not None:
            problem = why
            continue
        rank = _rank(room, need.size, spread)
        if best_rank is None or rank < best_rank:
            best, best_rank = room, rank
    return Err(PlacementHold(problem)) if best is None else Ok(best)


def _rank(room: HostRoom, size: Load, spread: Spread) -> tuple:
    idle_devices = room.capacity.accelerators > 0 and size.accelerators == 0
    left = 1 - dominant_fraction(add(room.load, size), room.capacity)
    return (
        room.borrowed,
        spread.zones[room.availability_zone] // SPREAD_STEP,
        spread.racks[room.rack] // SPREAD_STEP,
        idle_devices,
        left,
        room.host,
    )


def never_fits(size: Load, hosts: Iterable[Resources]) -> str | None:
    """
    Return what would be needed if none of the hosts can ever hold a job, or None.

    Parameters
    ----------
    size : Load
        Corrected size.
    hosts : iterable of Resources
        Total capacity of each host that may run the job.
    """
    largest = Resources()
    for resources in hosts:
        if covers(host_capacity(resources), size):
            return None
        largest = max(largest, resources, key=lambda one: (one.processors,))
    most = describe(load_of(largest))
    return f"needs a host with {describe(size)}; the largest has {most}"


def describe(load: Load) -> str:
    """Return a load in words."""
    text = f"{load.processors:g} processors and {load.memory_mb:g} MB"
    if load.accelerators:
        text += f" and {load.accelerators:g} accelerators"
    return text
