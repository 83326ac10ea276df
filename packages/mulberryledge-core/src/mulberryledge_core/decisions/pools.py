"""
mulberryledge_core.decisions.pools
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a pool's demand is met: waiting, lent slots, moved hosts; and the spare buffer.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "BufferChoice",
    "Burst",
    "BurstChoice",
    "BurstOption",
    "DemandTrend",
    "HostMove",
    "LossScenario",
    "PoolView",
    "Weights",
    "buffer_size",
    "observe_demand",
    "plan_moves",
    "serve_burst",
]

TREND_S = 120.0
HIGH_WATER = 0.85
LOW_WATER = 0.60
DWELL_S = 300.0
MAX_MOVES_AT_ONCE = 2
SHORTAGE_FACTOR = 200.0
HOURS_PER_MONTH = 730.0


@dataclass(frozen=True, slots=True)
class Weights:
    """
    What the operators weigh: prices of one unit of each cost.

    Attributes
    ----------
    roll_out : float
        A slot-second of waiting work, by which roll-outs and plans get late.
    buffer : float
        A host-hour in the spare pool.
    moves : float
        A host moved from one pool to another.
    share : float
        A slot-second by which a team is off its share.
    """

    roll_out: float = 1.0
    buffer: float = 1.0
    moves: float = 1.0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class DemandTrend:
    """
    Slow and fast view of the slots that a pool's work asks for.

    Attributes
    ----------
    mean : float
        Mean over :data:`TREND_S`; bursts of seconds hardly move it.
    now : float
        Last value.
    at_s : float
        Time of the last value in seconds.
    since_s : float
        Time of the first value in seconds.
    """

    mean: float = 0.0
    now: float = 0.0
    at_s: float = 0.0
    since_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolView:
    """
    A pool as the decision on moves sees it.

    Attributes
    ----------
    pool : str
        Name.
    spare : bool
        Whether it is the buffer.
    hosts : tuple of str
        Hosts that may be moved, the emptiest first.
    serving : int
        Hosts that serve.
    least : int
        Hosts that must stay, by the promises of its services.
    slots_per_host : float
        Mean slots that one of its hosts adds.
    trend : DemandTrend
        Demand in slots.
    changed_s : float
        Time of the last move into or out of it, in seconds.
    arriving : int
        Hosts that have come and do not serve yet.
    """

    pool: str
    spare: bool
    hosts: tuple[str, ...]
    serving: int
    least: int
    slots_per_host: float
    trend: DemandTrend
    changed_s: float = -math.inf
    arriving: int = 0

    @property
    def utilisation(self) -> float:
        """Mean demand by capacity."""
        capacity = self.serving * self.slots_per_host
        if capacity:
            return self.trend.mean / capacity
        return math.inf if self.trend.mean else 0.0


@dataclass(frozen=True, slots=True)
class HostMove:
    """A host that should change pools, and why."""

    host: str
    from_pool: str
    to_pool: str
    cause: str


class BurstOption(StrEnum):
    """Ways to serve a burst."""

    WAIT = "wait"
    LEND = "lend"
    MOVE = "move"


@dataclass(frozen=True, slots=True)
class Burst:
    """
    Demand beyond a pool's capacity.

    Attributes
    ----------
    excess_slots : float
        Slots missing.
    lasts_s : float
        Expected length in seconds.
    lendable_slots : float
        Free slots on hosts of the spare pool that can run the work at once.
    movable_hosts : int
        Hosts that other pools can do without.
    slots_per_host : float
        Slots that a moved host adds.
    move_s : float
        Time to drain, move and start, in seconds.
    """

    excess_slots: float
    lasts_s: float
    lendable_slots: float
    movable_hosts: int
    slots_per_host: float
    move_s: float


@dataclass(frozen=True, slots=True)
class BurstChoice:
    """The cheapest way to serve a burst, with its cost and the others'."""

    option: BurstOption
    cost: float
    cause: str


@dataclass(frozen=True, slots=True)
class LossScenario:
    """
    A correlated loss of hosts.

    Attributes
    ----------
    name : str
        ``host``, ``rack`` or ``zone``.
    hosts : float
        Hosts that a pool loses in it.
    per_month : float
        How often it comes.
    lasts_h : float
        Hours until the hosts are back.
    promised_hosts : float
        Hosts without which a promise of availability breaks in it.
    """

    name: str
    hosts: float
    per_month: float
    lasts_h: float
    promised_hosts: float = 0.0


@dataclass(frozen=True, slots=True)
class BufferChoice:
    """Size of the buffer with its expected monthly cost."""

    hosts: int
    cost: float
    cause: str


def observe_demand(trend: DemandTrend, slots: float, at_s: float) -> DemandTrend:
    """
    Return the trend after one more value.

    The mean starts as the plain mean of what was seen, so that the first values
    count no more than later ones.
    """
    if not trend.at_s:
        return DemandTrend(slots, slots, at_s, at_s)
    elapsed = max(0.0, at_s - trend.at_s)
    age = min(TREND_S, max(elapsed, at_s - trend.since_s))
    part = 1 - math.exp(-elapsed / age) if age else 0.0
    mean = trend.mean + part * (slots - trend.mean)
    return DemandTrend(mean, slots, at_s, trend.since_s)


def serve_burst(burst: Burst, weights: Weights) -> BurstChoice:
    """
    Return the cheapest way to serve a burst.

    Each option costs the slot-seconds that still wait, priced by the weight of
    roll-out time; moves cost their price, there and back, as well.
    """
    missing = burst.excess_slots
    costs = {
        BurstOption.WAIT: weights.roll_out * missing * burst.lasts_s,
    }
    if burst.lendable_slots > 0:
        still = max(0.0, missing - burst.lendable_slots)
        costs[BurstOption.LEND] = weights.roll_out * still * burst.lasts_s
    if burst.movable_hosts > 0:
        hosts = min(burst.movable_hosts, math.ceil(missing / burst.slots_per_host))
        left = max(0.0, missing - hosts * burst.slots_per_host)
        before = min(burst.move_s, burst.lasts_s)
        late = missing * before + left * (burst.lasts_s - before)
        costs[BurstOption.MOVE] = weights.roll_out * late + 2 * weights.moves * hosts
    option = min(costs, key=lambda one: (costs[one], one != BurstOption.WAIT))
    listed = ", ".join(f"{one} {cost:.0f}" for one, cost in costs.items())
    cause = (
        f"{missing:.0f} slots missing for about {burst.lasts_s:.0f} s; costs: {listed}"
    )
    return BurstChoice(option, costs[option], cause)


def buffer_size(
    scenarios: Iterable[LossScenario], most: int, weights: Weights
) -> BufferChoice:
    """
    Return the number of spare hosts with the least expected cost a month.

    A spare host costs its hours; a host missing in a scenario costs the hours
    for which it is missing, priced by the weight of roll-out time. What the
    promises of availability need is the least size, whatever it costs.

    Parameters
    ----------
    scenarios : iterable of LossScenario
        Losses to weigh.
    most : int
        Largest size to consider.
    weights : Weights
        Prices.
    """
    listed = tuple(scenarios)
    promised = [one for one in listed if one.promised_hosts > 0]
    least = math.ceil(max((one.promised_hosts for one in promised), default=0))
    least = min(most, least)

    def cost(hosts: int) -> float:
        short = sum(
            one.per_month * one.lasts_h * max(0.0, one.hosts - hosts) for one in listed
        )
        return weights.buffer * HOURS_PER_MONTH * hosts + shortage_price * short

    shortage_price = weights.roll_out * SHORTAGE_FACTOR
    best = min(range(least, most + 1), key=lambda hosts: (cost(hosts), hosts))
    names = ", ".join(one.name for one in promised) or "no loss without spare hosts"
    cause = (
        f"{best} spare hosts cost {cost(best):.0f} a month; promises need {least},"
        f" which would cost {cost(least):.0f}; promised through {names}"
    )
    return BufferChoice(best, cost(best), cause)


def plan_moves(
    pools: Iterable[PoolView], buffer_hosts: int, now_s: float, weights: Weights
) -> tuple[HostMove, ...]:
    """
    Return the hosts to move between pools.

    A pool whose mean demand is over the high-water mark gets a host from the
    spare pool down to its buffer, then from the pool below the low-water mark
    that is least used. A pool below the low-water mark gives hosts back while the
    buffer is short. A pool that was changed within :data:`DWELL_S` is left
    alone, and no move is made whose gain over the dwell time is below its price.
    """
    views = sorted(pools, key=lambda one: one.pool)
    spare = [one for one in views if one.spare]
    settled = [
        one for one in views if not one.spare and now_s - one.changed_s >= DWELL_S
    ]
    short = sorted(
        (one for one in settled if is_short(one)),
        key=lambda one: (-one.utilisation, one.pool),
    )
    idle = sorted(
        (one for one in settled if can_give(one)),
        key=lambda one: (one.utilisation, one.pool),
    )
    left = {one.pool: list(one.hosts) for one in views}
    held = sum(one.serving for one in spare)
    moves: list[HostMove] = []
    for view in short[:MAX_MOVES_AT_ONCE]:
        giver = _giver(spare, idle, left, held - buffer_hosts)
        if giver is None or not _worth(view, weights):
            continue
        held -= giver.spare
        idle = [one for one in idle if one.pool != giver.pool]
        moves.append(_move(left, giver, view.pool, _why_short(view)))
    for view in idle:
        if held >= buffer_hosts or len(moves) >= MAX_MOVES_AT_ONCE or not spare:
            break
        cause = (
            f"the buffer holds {held} of {buffer_hosts} hosts; mean demand of"
            f" {view.pool!r} is {view.utilisation:.0%} of its capacity"
        )
        moves.append(_move(left, view, spare[0].pool, cause))
        held += 1
    return tuple(moves)


def can_give(view: PoolView) -> bool:
    """Return whether a pool stays below the high-water mark with a host less."""
    if not view.hosts or view.serving <= view.least or view.serving < 2:
        return False
    after = view.trend.mean / ((view.serving - 1) * view.slots_per_host or math.inf)
    return view.utilisation < LOW_WATER and after < HIGH_WATER


def is_short(view: PoolView) -> bool:
    """Return whether a pool needs a host beyond those that arrive already."""
    return view.utilisation > HIGH_WATER and not view.arriving


def _giver(
    spare: list[PoolView],
    idle: list[PoolView],
    left: dict[str, list[str]],
    beyond_buffer: int,
) -> PoolView | None:
    from_spare = [one for one in spare if left[one.pool]] if beyond_buffer > 0 else []
    from_pools = [one for one in idle if left[one.pool]]
    return next(iter((*from_spare, *from_pools)), None)


def _worth(view: PoolView, weights: Weights) -> bool:
    capacity = view.serving * view.slots_per_host
    missing = max(0.0, view.trend.mean - HIGH_WATER * capacity)
    gain = weights.roll_out * min(missing, view.slots_per_host) * DWELL_S
    return gain > weights.moves


def _why_short(view: PoolView) -> str:
    return (
        f"mean demand of {view.pool!r} is {view.trend.mean:.0f} slots, over"
        f" {HIGH_WATER:.0%} of the {view.serving * view.slots_per_host:.0f} it has"
    )


def _move(
    left: dict[str, list[str]], giver: PoolView, to_pool: str, cause: str
) -> HostMove:
    return HostMove(left[giver.pool].pop(0), giver.pool, to_pool, cause)
