"""
mulberryledge_core.decisions.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement of jobs on hosts: spread over failure domains, best fit within one.
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
from mulberryledge_core.decisions.sizes import MAX_UNMEASURED_PER_HOST
from mulberryledge_core.model.hosts import Resources

__all__ = [
    "HostCandidate",
    "JobRequirements",
    "PlacementHold",
    "Spread",
    "choose_host",
    "host_capacity",
    "placement_problem",
    "unplaceable_reason",
]

PROCESSOR_OVERCOMMIT_FACTOR = 1.25
SPREAD_STEP_JOBS = 2


@dataclass(frozen=True, slots=True)
class HostCandidate:
    """
    A host considered for placement, with its capacity and load.

    Attributes
    ----------
    host, availability_zone, rack : str
        Name and failure domains.
    capacity, load : Load
        Capacity, and the measured and corrected load on it.
    unmeasured_jobs : int
        Running jobs of unmeasured size.
    borrowed : bool
        Whether the host belongs to a pool other than the service's.
    """

    host: str
    availability_zone: str
    rack: str
    capacity: Load
    load: Load
    unmeasured_jobs: int = 0
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class JobRequirements:
    """
    Requirements of a job.

    Attributes
    ----------
    size, declared_size : Load
        Corrected size, and the size by declaration alone.
    measured : bool
        Whether the corrected size is measured.
    urgent : bool
        Whether the job is urgent; it may exceed the limit of jobs of unmeasured
        size per host by one.
    """

    size: Load
    declared_size: Load
    measured: bool = False
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Spread:
    """Number of running jobs of one team on one service by failure domain."""

    zones: Counter[str]
    racks: Counter[str]


@dataclass(frozen=True, slots=True)
class PlacementHold:
    """Reason why no host can take a job now, as a message."""

    cause: str


def host_capacity(resources: Resources) -> Load:
    """
    Return the capacity of a host, unbounded if it declares no resources.

    Processors are overcommitted by :data:`PROCESSOR_OVERCOMMIT_FACTOR`, since
    contention only slows jobs.
    """
    if resources == Resources():
        return Load(math.inf, math.inf, math.inf, math.inf)
    return Load(
        math.inf,
        resources.processors * PROCESSOR_OVERCOMMIT_FACTOR,
        resources.memory_mb,
        resources.accelerators,
    )


def placement_problem(candidate: HostCandidate, job: JobRequirements) -> str | None:
    """
    Return why the host can't take a job now, or None.

    A host without jobs takes any job whose declared size fits, so that a corrected
    size that is too large never prevents a job from running.
    """
    size = job.size if candidate.load.slots else job.declared_size
    if not covers(candidate.capacity, add(candidate.load, size)):
        return f"host {candidate.host!r} has no capacity for {describe_load(size)}"
    if (
        not job.measured
        and candidate.unmeasured_jobs >= MAX_UNMEASURED_PER_HOST + job.urgent
    ):
        return (
            f"host {candidate.host!r} runs {candidate.unmeasured_jobs}"
            " jobs of unmeasured size"
        )
    return None


def choose_host(
    candidates: Iterable[HostCandidate], job: JobRequirements, spread: Spread
) -> Result[HostCandidate, PlacementHold]:
    """
    Return the host on which to place a job.

    Hosts of the service's own pool are preferred to borrowed ones; then the zone and
    the rack with the fewest jobs of the team on the service, compared in steps of
    :data:`SPREAD_STEP_JOBS`; then a host whose accelerators would not be idle; then
    the tightest fit.

    Parameters
    ----------
    candidates : iterable of HostCandidate
        Hosts with a free slot.
    job : JobRequirements
        Requirements of the job.
    spread : Spread
        Running jobs of the same team on the same service.
    """
    best, best_rank, problem = None, None, "no target with a free slot is waiting"
    for candidate in candidates:
        reason = placement_problem(candidate, job)
        if reason is not None:
            problem = reason
            continue
        rank = _rank(candidate, job.size, spread)
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return Err(PlacementHold(problem)) if best is None else Ok(best)


def _rank(candidate: HostCandidate, size: Load, spread: Spread) -> tuple:
    idles_accelerators = candidate.capacity.accelerators > 0 and size.accelerators == 0
    remaining = 1 - dominant_fraction(add(candidate.load, size), candidate.capacity)
    return (
        candidate.borrowed,
        spread.zones[candidate.availability_zone] // SPREAD_STEP_JOBS,
        spread.racks[candidate.rack] // SPREAD_STEP_JOBS,
        idles_accelerators,
        remaining,
        candidate.host,
    )


def unplaceable_reason(size: Load, hosts: Iterable[Resources]) -> str | None:
    """
    Return what a job needs if it exceeds the total capacity of every host, or None.

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
    largest_size = describe_load(load_of(largest))
    return f"needs a host with {describe_load(size)}; the largest has {largest_size}"


def describe_load(load: Load) -> str:
    """Format the resources of a load for messages."""
    text = f"{load.processors:g} processors and {load.memory_mb:g} MB"
    if load.accelerators:
        text += f" and {load.accelerators:g} accelerators"
    return text
