"""
mulberryledge_core.decisions.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted max-min fair shares of slots, processors, memory and accelerators.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mulberryledge_core.decisions.loads import Load, fractions

__all__ = [
    "MEMORY_S",
    "MEMORY_WEIGHT",
    "Claimant",
    "Use",
    "advance_use",
    "fair_tasks",
    "share_distance",
    "share_score",
]

MEMORY_S = 10.0
MEMORY_WEIGHT = 0.5
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Claimant:
    """
    A team that competes for capacity.

    Attributes
    ----------
    team : str
        Name of the team.
    weight : float
        Share of the team, greater than zero.
    demand : float
        Tasks that the team could run now, at most its upper limit.
    size : Load
        Measured mean load of one task.
    """

    team: str
    weight: float
    demand: float
    size: Load


@dataclass(frozen=True, slots=True)
class Use:
    """
    Use of a team now and in the recent past, as a dominant fraction.

    Attributes
    ----------
    now : float
        Dominant fraction of the capacity in use.
    recent : float
        Average of it, weighted by ``exp(-age / MEMORY_S)``.
    at_s : float
        Time of the last change in seconds.
    """

    now: float = 0.0
    recent: float = 0.0
    at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Growth:
    """How a claimant grows with the fill level: ``min(demand, rate * level)``."""

    team: str
    rate: float
    demand: float
    parts: tuple[float, ...]

    @property
    def ceiling(self) -> float:
        """Fill level at which the demand is met."""
        return self.demand / self.rate


def fair_tasks(claimants: Iterable[Claimant], capacity: Load) -> dict[str, float]:
    """
    Return the weighted dominant-resource fair number of tasks of each team.

    Every team's dominant fraction grows in proportion to its weight. A team
    stops once its demand is met or a quantity that it uses is exhausted.

    Parameters
    ----------
    claimants : iterable of Claimant
        Each team once.
    capacity : Load
        What there is to share.

    Returns
    -------
    dict of str to float
        Tasks by team; the sum of their loads never exceeds the capacity.

    References
    ----------
    Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
    """
    tasks: dict[str, float] = {}
    active: list[Growth] = []
    for claimant in claimants:
        parts = fractions(claimant.size, capacity)
        if claimant.demand <= 0 or max(parts) <= 0:
            tasks[claimant.team] = max(0.0, claimant.demand)
            continue
        rate = claimant.weight / max(parts)
        active.append(Growth(claimant.team, rate, claimant.demand, parts))
    active.sort(key=lambda growth: growth.ceiling)
    used = [0.0, 0.0, 0.0, 0.0]
    while active:
        level, scarce = _first_exhausted(active, used)
        rest = []
        for growth in active:
            if scarce is not None and not growth.parts[scarce]:
                rest.append(growth)
                continue
            granted = min(growth.demand, growth.rate * level)
            tasks[growth.team] = granted
            for kind, part in enumerate(growth.parts):
                used[kind] += part * granted
        active = rest
    return tasks


def _first_exhausted(
    active: list[Growth], used: list[float]
) -> tuple[float, int | None]:
    best, scarce = math.inf, None
    for kind, already in enumerate(used):
        level = _exhaustion_level(active, kind, 1.0 - already)
        if level < best:
            best, scarce = level, kind
    return best, scarce


def _exhaustion_level(active: list[Growth], kind: int, free: float) -> float:
    """Return the level at which one quantity is used up, or infinity."""
    if sum(growth.demand * growth.parts[kind] for growth in active) <= free + EPSILON:
        return math.inf
    slope = sum(growth.rate * growth.parts[kind] for growth in active)
    met = 0.0
    for growth in active:
        if met + slope * growth.ceiling >= free:
            return max(0.0, (free - met) / slope)
        met += growth.demand * growth.parts[kind]
        slope -= growth.rate * growth.parts[kind]
    return active[-1].ceiling


def advance_use(use: Use, now: float, at_s: float) -> Use:
    """
    Return the use after a change.

    Parameters
    ----------
    use : Use
        Use up to now.
    now : float
        Dominant fraction in use from now on.
    at_s : float
        Time of the change in seconds.
    """
    kept = math.exp(-max(0.0, at_s - use.at_s) / MEMORY_S)
    recent = use.now + (use.recent - use.now) * kept
    return Use(now, recent, at_s)


def share_score(use: Use, weight: float, at_s: float) -> float:
    """
    Return the weighted use by which teams queue up; the lowest goes first.

    The recent use is bounded by :data:`MEMORY_S`, so that a team that was idle
    for long gains no more than one that was idle for some seconds.
    """
    current = advance_use(use, use.now, at_s)
    blended = current.now + MEMORY_WEIGHT * (current.recent - current.now)
    return blended / weight


def share_distance(
    received: Mapping[str, float], entitled: Mapping[str, float]
) -> float:
    """
    Return half the sum of differences, as a fraction of what is entitled.

    Zero means that every team got its share, one that none of it went right.
    """
    whole = sum(entitled.values())
    if whole <= 0:
        return 0.0
    teams = set(received) | set(entitled)
    off = sum(abs(received.get(one, 0.0) - entitled.get(one, 0.0)) for one in teams)
    return off / (2 * whole)
