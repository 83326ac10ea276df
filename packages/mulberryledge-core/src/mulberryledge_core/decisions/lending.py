"""
mulberryledge_core.decisions.lending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who is entitled to what: weighted max-min over teams, then over the entries at which
the teams' calls arrive.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = ["Claim", "Plan", "entitlements", "max_min", "plan_loans"]

ROUNDING = 1e-9
SCARCE_FACTOR = 2
NO_RANKS: Mapping[str, int] = {}


@dataclass(frozen=True, slots=True)
class Claim:
    """Capacity that the calls of one team could use at one holder."""

    holder: str
    team: str
    wanted: int


@dataclass(frozen=True, slots=True)
class Plan:
    """
    What to change in the loans of one capacity.

    Attributes
    ----------
    grants : dict of str to int
        Amounts to lend now, by holder.
    recalls : dict of str to int
        Amounts to ask back, by holder.
    short : int
        Units that holders are entitled to and that are not free.
    """

    grants: Mapping[str, int]
    recalls: Mapping[str, int]
    short: int = 0


def max_min(
    capacity: int,
    wanted: Mapping[str, int],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> dict[str, int]:
    """
    Divide whole units by weighted max-min fairness.

    Parameters
    ----------
    capacity : int
        Units to divide.
    wanted : mapping of str to int
        Most that each claimant can use.
    weights : mapping of str to float
        Weights greater than zero; 1 for a claimant that is not named.
    ranks : mapping of str to int
        Who goes first among equals where units are left over, lowest first.

    Returns
    -------
    dict of str to int
        Sums up to the capacity or to all that is wanted, whichever is less.
    """
    level = _water_level(capacity, wanted, weights)
    given = {
        name: min(count, int(level * weights.get(name, 1.0) + ROUNDING))
        for name, count in wanted.items()
    }
    left = min(capacity, sum(wanted.values())) - sum(given.values())
    unmet = [name for name in wanted if given[name] < wanted[name]]
    unmet.sort(key=lambda name: (ranks.get(name, 0), name))
    for _ in range(left):
        name = min(unmet, key=lambda one: given[one] / weights.get(one, 1.0))
        given[name] += 1
        if given[name] == wanted[name]:
            unmet.remove(name)
    return given


def _water_level(
    capacity: int, wanted: Mapping[str, int], weights: Mapping[str, float]
) -> float:
    """Return what a unit of weight gets where demand is not met."""
    left = float(capacity)
    total = sum(weights.get(name, 1.0) for name in wanted)
    by_need = sorted(wanted, key=lambda name: wanted[name] / weights.get(name, 1.0))
    for name in by_need:
        weight = weights.get(name, 1.0)
        if wanted[name] / weight > left / total:
            return left / total
        left -= wanted[name]
        total -= weight
    return float(max(wanted.values(), default=0)) / min(
        (weights.get(name, 1.0) for name in wanted), default=1.0
    )


def entitlements(
    capacity: int,
    claims: Collection[Claim],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> dict[str, int]:
    """Return what each holder is entitled to."""
    by_team: dict[str, dict[str, int]] = {}
    for claim in claims:
        team = by_team.setdefault(claim.team, {})
        team[claim.holder] = team.get(claim.holder, 0) + claim.wanted
    totals = {team: sum(parts.values()) for team, parts in by_team.items()}
    shares = max_min(capacity, totals, weights)
    entitled: dict[str, int] = {}
    for team, parts in by_team.items():
        for holder, count in max_min(shares[team], parts, {}, ranks).items():
            entitled[holder] = entitled.get(holder, 0) + count
    return entitled


def plan_loans(
    capacity: int,
    held: Mapping[str, int],
    claims: Collection[Claim],
    weights: Mapping[str, float],
    ranks: Mapping[str, int] = NO_RANKS,
) -> Plan:
    """
    Plan the loans of one capacity.

    Free units go to holders below their entitlement. Units are asked back only
    from holders above theirs, and only as many as others are short of after the
    free units are gone, so that steady demand changes nothing.

    Parameters
    ----------
    capacity : int
        Units in all.
    held : mapping of str to int
        Units that each holder has now.
    claims : collection of Claim
        What each holder can use, units in use counted in.
    weights : mapping of str to float
        Shares of the teams.
    ranks : mapping of str to int
        Which holders go first where there are too few units for each to have
        some; with more units the ranks are left out, so that they move nothing.
    """
    holders = {claim.holder for claim in claims if claim.wanted}
    if capacity >= SCARCE_FACTOR * len(holders):
        ranks = NO_RANKS
    entitled = entitlements(capacity, claims, weights, ranks)
    free = max(0, capacity - sum(held.values()))
    short = {
        holder: count - held.get(holder, 0)
        for holder, count in entitled.items()
        if count > held.get(holder, 0)
    }
    grants = {name: n for name, n in max_min(free, short, {}).items() if n}
    missing = sum(short.values()) - sum(grants.values())
    over = {
        holder: count - entitled.get(holder, 0)
        for holder, count in held.items()
        if count > entitled.get(holder, 0)
    }
    recalls = {name: n for name, n in max_min(missing, over, {}).items() if n}
    return Plan(grants, recalls, missing)
