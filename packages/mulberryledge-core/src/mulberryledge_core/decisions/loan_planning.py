"""
mulberryledge_core.decisions.loan_planning
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Planning of loans by weighted max-min fairness.

Capacity is divided over teams by their shares, then within each team over the
entries at which its calls arrive. A loan is capacity (slots or permits) granted to a
daemon's session until it is returned or recalled.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = ["Claim", "LoanPlan", "entitlements", "max_min", "plan_loans"]

ROUNDING_TOLERANCE = 1e-9
RANKED_UNITS_PER_HOLDER = 2
NO_RANKS: Mapping[str, int] = {}


@dataclass(frozen=True, slots=True)
class Claim:
    """Units of capacity that one team can use at one holder of loans."""

    holder: str
    team: str
    requested: int


@dataclass(frozen=True, slots=True)
class LoanPlan:
    """
    Changes to the loans of one kind of capacity.

    Attributes
    ----------
    grants : dict of str to int
        Units to lend now, by holder.
    recalls : dict of str to int
        Units to recall, by holder.
    shortage : int
        Units that holders are entitled to but that are not free.
    """

    grants: Mapping[str, int]
    recalls: Mapping[str, int]
    shortage: int = 0


def max_min(
    capacity: int,
    requested: Mapping[str, int],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> dict[str, int]:
    """
    Divide integer units by weighted max-min fairness.

    Parameters
    ----------
    capacity : int
        Units to divide.
    requested : mapping of str to int
        Maximum that each claimant can use.
    weights : mapping of str to float
        Weights greater than zero; 1 for a claimant without a weight.
    ranks : mapping of str to int
        Order in which claimants with equal claims get the units that remain after
        rounding down, lowest first.

    Returns
    -------
    dict of str to int
        Units by claimant; their sum is the smaller of the capacity and the total
        requested.
    """
    level = _fill_level(capacity, requested, weights)
    granted = {
        name: min(count, int(level * weights.get(name, 1.0) + ROUNDING_TOLERANCE))
        for name, count in requested.items()
    }
    remaining = min(capacity, sum(requested.values())) - sum(granted.values())
    unmet = [name for name in requested if granted[name] < requested[name]]
    unmet.sort(key=lambda name: (ranks.get(name, 0), name))
    for _ in range(remaining):
        name = min(unmet, key=lambda one: granted[one] / weights.get(one, 1.0))
        granted[name] += 1
        if granted[name] == requested[name]:
            unmet.remove(name)
    return granted


def _fill_level(
    capacity: int, requested: Mapping[str, int], weights: Mapping[str, float]
) -> float:
    """Return the units per weight that claimants with unmet requests receive."""
    remaining = float(capacity)
    total_weight = sum(weights.get(name, 1.0) for name in requested)
    by_relative_request = sorted(
        requested, key=lambda name: requested[name] / weights.get(name, 1.0)
    )
    for name in by_relative_request:
        weight = weights.get(name, 1.0)
        if requested[name] / weight > remaining / total_weight:
            return remaining / total_weight
        remaining -= requested[name]
        total_weight -= weight
    return float(max(requested.values(), default=0)) / min(
        (weights.get(name, 1.0) for name in requested), default=1.0
    )


def entitlements(
    capacity: int,
    claims: Collection[Claim],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> dict[str, int]:
    """Return the units that each holder is entitled to."""
    by_team: dict[str, dict[str, int]] = {}
    for claim in claims:
        team = by_team.setdefault(claim.team, {})
        team[claim.holder] = team.get(claim.holder, 0) + claim.requested
    totals = {team: sum(requests.values()) for team, requests in by_team.items()}
    units = max_min(capacity, totals, weights)
    entitled: dict[str, int] = {}
    for team, requests in by_team.items():
        for holder, count in max_min(units[team], requests, {}, ranks).items():
            entitled[holder] = entitled.get(holder, 0) + count
    return entitled


def plan_loans(
    capacity: int,
    held: Mapping[str, int],
    claims: Collection[Claim],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> LoanPlan:
    """
    Plan the changes to the loans of one kind of capacity.

    Free units go to holders below their entitlement. Units are recalled only from
    holders above theirs, and only as many as others lack once the free units are
    granted, so that the plan is empty while demand is steady.

    Parameters
    ----------
    capacity : int
        Total units.
    held : mapping of str to int
        Units on loan to each holder.
    claims : collection of Claim
        Units that each holder can use, including those in use.
    weights : mapping of str to float
        Shares of the teams.
    ranks : mapping of str to int
        Order in which holders are served, lowest first. Ranks apply only below
        :data:`RANKED_UNITS_PER_HOLDER`: with more units each holder gets some, and
        a change of ranks would cause needless recalls.
    """
    holders = {claim.holder for claim in claims if claim.requested}
    if capacity >= RANKED_UNITS_PER_HOLDER * len(holders):
        ranks = NO_RANKS
    entitled = entitlements(capacity, claims, weights, ranks)
    free = max(0, capacity - sum(held.values()))
    shortfalls = {
        holder: count - held.get(holder, 0)
        for holder, count in entitled.items()
        if count > held.get(holder, 0)
    }
    grants = {name: n for name, n in max_min(free, shortfalls, {}).items() if n}
    shortage = sum(shortfalls.values()) - sum(grants.values())
    excess = {
        holder: count - entitled.get(holder, 0)
        for holder, count in held.items()
        if count > entitled.get(holder, 0)
    }
    recalls = {name: n for name, n in max_min(shortage, excess, {}).items() if n}
    return LoanPlan(grants, recalls, shortage)
