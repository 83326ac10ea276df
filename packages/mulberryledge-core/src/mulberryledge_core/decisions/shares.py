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
    "RECENT_USE_S",
    "RECENT_USE_WEIGHT",
    "Claimant",
    "TeamUsage",
    "advance_usage",
    "fair_tasks",
    "share_distance",
    "share_score",
]

RECENT_USE_S = 10.0
RECENT_USE_WEIGHT = 0.5
ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Claimant:
    """
    Demand of a team that competes for capacity.

    Attributes
    ----------
    team : str
        Name of the team.
    weight : float
        Share of the team, greater than zero.
    demand : float
        Number of tasks that the team can run now, at most its upper limit.
    size : Load
        Measured mean load of one task.
    """

    team: str
    weight: float
    demand: float
    size: Load


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """
    Current and recent use of a team as a dominant fraction of the capacity.

    Attributes
    ----------
    now : float
        Dominant fraction in use.
    recent : float
        Average of the use, weighted by ``exp(-age / RECENT_USE_S)``.
    at_s : float
        Time of the last change in seconds.
    """

    now: float = 0.0
    recent: float = 0.0
    at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GrowthRate:
    """Tasks of a claimant by fill level: ``min(demand, rate * level)``."""

    team: str
    rate: float
    demand: float
    task_fractions: tuple[float, ...]

    @property
    def demand_level(self) -> float:
        """Fill level at which the demand is met."""
        return self.demand / self.rate


def fair_tasks(claimants: Iterable[Claimant], capacity: Load) -> dict[str, float]:
    """
    Return the number of tasks of each team by weighted dominant-resource fairness.

    Progressive filling: every team's dominant fraction grows in proportion to its
    weight, until its demand is met or a quantity that it uses is exhausted.

    Parameters
    ----------
    claimants : iterable of Claimant
        Claimants, one per team.
    capacity : Load
        Capacity to divide.

    Returns
    -------
    dict of str to float
        Tasks by team; the sum of their loads never exceeds the capacity.

    References
    ----------
    Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
    """
    tasks: dict[str, float] = {}
    active: list[GrowthRate] = []
    for claimant in claimants:
        task_fractions = fractions(claimant.size, capacity)
        if claimant.demand <= 0 or max(task_fractions) <= 0:
            tasks[claimant.team] = max(0.0, claimant.demand)
            continue
        rate = claimant.weight / max(task_fractions)
        active.append(GrowthRate(claimant.team, rate, claimant.demand, task_fractions))
    active.sort(key=lambda growth: growth.demand_level)
    used = [0.0, 0.0, 0.0, 0.0]
    while active:
        level, scarce = _first_exhausted(active, used)
        growing = []
        for growth in active:
            if scarce is not None and not growth.task_fractions[scarce]:
                growing.append(growth)
                continue
            granted = min(growth.demand, growth.rate * level)
            tasks[growth.team] = granted
            for quantity, part in enumerate(growth.task_fractions):
                used[quantity] += part * granted
        active = growing
    return tasks


def _first_exhausted(
    active: list[GrowthRate], used: list[float]
) -> tuple[float, int | None]:
    best, scarce = math.inf, None
    for quantity, used_fraction in enumerate(used):
        level = _exhaustion_level(active, quantity, 1.0 - used_fraction)
        if level < best:
            best, scarce = level, quantity
    return best, scarce


def _exhaustion_level(active: list[GrowthRate], quantity: int, free: float) -> float:
    """Return the fill level at which a quantity is exhausted, or infinity."""
    if (
        sum(growth.demand * growth.task_fractions[quantity] for growth in active)
        <= free + ROUNDING_TOLERANCE
    ):
        return math.inf
    usage_rate = sum(growth.rate * growth.task_fractions[quantity] for growth in active)
    used = 0.0
    for growth in active:
        if used + usage_rate * growth.demand_level >= free:
            return max(0.0, (free - used) / usage_rate)
        used += growth.demand * growth.task_fractions[quantity]
        usage_rate -= growth.rate * growth.task_fractions[quantity]
    return active[-1].demand_level


def advance_usage(use: TeamUsage, now: float, at_s: float) -> TeamUsage:
    """
    Return the use after a change.

    Parameters
    ----------
    use : TeamUsage
        Use before the change.
    now : float
        Dominant fraction in use after the change.
    at_s : float
        Time of the change in seconds.
    """
    decay = math.exp(-max(0.0, at_s - use.at_s) / RECENT_USE_S)
    recent = use.now + (use.recent - use.now) * decay
    return TeamUsage(now, recent, at_s)


def share_score(use: TeamUsage, weight: float, at_s: float) -> float:
    """
    Return the weighted use by which teams are ordered, lowest first.

    Recent use decays over :data:`RECENT_USE_S`, so that a team that was idle for a
    long time gains no more than one that was idle for some seconds.
    """
    current = advance_usage(use, use.now, at_s)
    blended = current.now + RECENT_USE_WEIGHT * (current.recent - current.now)
    return blended / weight


def share_distance(
    received: Mapping[str, float], entitled: Mapping[str, float]
) -> float:
    """
    Return half the sum of absolute differences as a fraction of the entitlements.

    It is 0 if every team received its share, and 1 if all capacity went to teams not
    entitled to it.
    """
    total = sum(entitled.values())
    if total <= 0:
        return 0.0
    teams = set(received) | set(entitled)
    difference = sum(
        abs(received.get(one, 0.0) - entitled.get(one, 0.0)) for one in teams
    )
    return difference / (2 * total)
