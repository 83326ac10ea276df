"""
mulberryledge_core.decisions.pools
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Capacity of pools: bursts of demand, moves of hosts and the size of the spare pool.

The spare pool is the buffer against losses and bursts.
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

TREND_WINDOW_S = 120.0
HIGH_WATER_MARK = 0.85
LOW_WATER_MARK = 0.60
MIN_DWELL_S = 300.0
MAX_MOVES_AT_ONCE = 2
MISSING_HOST_PRICE_FACTOR = 200.0
HOURS_PER_MONTH = 730.0


@dataclass(frozen=True, slots=True)
class Weights:
    """
    Prices, set by the operators, of one unit of each cost.

    Attributes
    ----------
    roll_out : float
        A slot-second of waiting work, which delays roll-outs and plans.
    buffer : float
        A host-hour in the spare pool.
    moves : float
        A host moved from one pool to another.
    share : float
        A slot-second by which a team deviates from its share.
    """

    roll_out: float = 1.0
    buffer: float = 1.0
    moves: float = 1.0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class DemandTrend:
    """
    Moving average and last value of a pool's demand in slots.

    Attributes
    ----------
    mean : float
        Average over :data:`TREND_WINDOW_S`, on which bursts of seconds have little
        effect.
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
    State of a pool for decisions on moves.

    Attributes
    ----------
    pool : str
        Name.
    spare : bool
        Whether it is the spare pool.
    hosts : tuple of str
        Hosts that may be moved, least used first.
    serving : int
        Hosts that serve.
    min_hosts : int
        Minimum number of hosts, by the availability promises of its services.
    slots_per_host : float
        Mean slots of a serving host.
    trend : DemandTrend
        Demand in slots.
    changed_s : float
        Time of the last move into or out of the pool, in seconds.
    arriving : int
        Hosts of the pool that do not serve yet.
    """

    pool: str
    spare: bool
    hosts: tuple[str, ...]
    serving: int
    min_hosts: int
    slots_per_host: float
    trend: DemandTrend
    changed_s: float = -math.inf
    arriving: int = 0

    @property
    def utilisation(self) -> float:
        """Mean demand as a fraction of the capacity."""
        capacity = self.serving * self.slots_per_host
        if capacity:
            return self.trend.mean / capacity
        return math.inf if self.trend.mean else 0.0


@dataclass(frozen=True, slots=True)
class HostMove:
    """A host to move to another pool, and why."""

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
    Demand in excess of a pool's capacity.

    Attributes
    ----------
    excess_slots : float
        Missing slots.
    duration_s : float
        Expected duration in seconds.
    lendable_slots : float
        Free slots on hosts of the spare pool that can run the work immediately.
    movable_hosts : int
        Hosts that other pools can release.
    slots_per_host : float
        Slots that a moved host adds.
    move_s : float
        Time to drain, move and start a host, in seconds.
    """

    excess_slots: float
    duration_s: float
    lendable_slots: float
    movable_hosts: int
    slots_per_host: float
    move_s: float


@dataclass(frozen=True, slots=True)
class BurstChoice:
    """Cheapest way to serve a burst; the cause lists the cost of each option."""

    option: BurstOption
    cost: float
    cause: str


@dataclass(frozen=True, slots=True)
class LossScenario:
    """
    Correlated loss of the hosts of one failure domain.

    Attributes
    ----------
    name : str
        ``host``, ``rack`` or ``zone``.
    hosts : float
        Hosts that a pool loses.
    per_month : float
        Occurrences a month.
    outage_h : float
        Hours until the hosts are back.
    required_spares : float
        Spare hosts needed during the loss to keep every availability promise.
    """

    name: str
    hosts: float
    per_month: float
    outage_h: float
    required_spares: float = 0.0


@dataclass(frozen=True, slots=True)
class BufferChoice:
    """Number of spare hosts, with its expected monthly cost."""

    hosts: int
    cost: float
    cause: str


def observe_demand(trend: DemandTrend, slots: float, at_s: float) -> DemandTrend:
    """
    Return the trend after one more value.

    Until :data:`TREND_WINDOW_S` have passed, the mean is smoothed over the time
    observed so far, so that the first values weigh no more than later ones.
    """
    if not trend.at_s:
        return DemandTrend(slots, slots, at_s, at_s)
    elapsed = max(0.0, at_s - trend.at_s)
    window_s = min(TREND_WINDOW_S, max(elapsed, at_s - trend.since_s))
    weight = 1 - math.exp(-elapsed / window_s) if window_s else 0.0
    mean = trend.mean + weight * (slots - trend.mean)
    return DemandTrend(mean, slots, at_s, trend.since_s)


def serve_burst(burst: Burst, weights: Weights) -> BurstChoice:
    """
    Return the cheapest way to serve a burst.

    The cost of an option is the slot-seconds of work that still waits, at the weight
    of roll-out time; moved hosts add the price of a move in each direction.
    """
    missing = burst.excess_slots
    costs = {
        BurstOption.WAIT: weights.roll_out * missing * burst.duration_s,
    }
    if burst.lendable_slots > 0:
        waiting_slots = max(0.0, missing - burst.lendable_slots)
        costs[BurstOption.LEND] = weights.roll_out * waiting_slots * burst.duration_s
    if burst.movable_hosts > 0:
        hosts = min(burst.movable_hosts, math.ceil(missing / burst.slots_per_host))
        remaining_slots = max(0.0, missing - hosts * burst.slots_per_host)
        until_moved_s = min(burst.move_s, burst.duration_s)
        slot_seconds = missing * until_moved_s + remaining_slots * (
            burst.duration_s - until_moved_s
        )
        costs[BurstOption.MOVE] = (
            weights.roll_out * slot_seconds + 2 * weights.moves * hosts
        )
    option = min(costs, key=lambda one: (costs[one], one != BurstOption.WAIT))
    cost_list = ", ".join(f"{one} {cost:.0f}" for one, cost in costs.items())
    cause = (
        f"{missing:.0f} slots missing for about {burst.duration_s:.0f} s;"
        f" costs: {cost_list}"
    )
    return BurstChoice(option, costs[option], cause)


def buffer_size(
    scenarios: Iterable[LossScenario], max_hosts: int, weights: Weights
) -> BufferChoice:
    """
    Return the number of spare hosts with the lowest expected monthly cost.

    A spare host costs its hours. A host missing in a scenario costs the hours for
    which it is missing, at :data:`MISSING_HOST_PRICE_FACTOR` times the weight of
    roll-out time. The result is never below what the availability promises need,
    whatever it costs.

    Parameters
    ----------
    scenarios : iterable of LossScenario
        Losses to consider.
    max_hosts : int
        Largest size to consider.
    weights : Weights
        Prices.
    """
    all_scenarios = tuple(scenarios)
    promised = [one for one in all_scenarios if one.required_spares > 0]
    min_hosts = math.ceil(max((one.required_spares for one in promised), default=0))
    min_hosts = min(max_hosts, min_hosts)

    def cost(hosts: int) -> float:
        missing_host_hours = sum(
            one.per_month * one.outage_h * max(0.0, one.hosts - hosts)
            for one in all_scenarios
        )
        return (
            weights.buffer * HOURS_PER_MONTH * hosts
            + shortage_price * missing_host_hours
        )

    shortage_price = weights.roll_out * MISSING_HOST_PRICE_FACTOR
    best = min(range(min_hosts, max_hosts + 1), key=lambda hosts: (cost(hosts), hosts))
    names = ", ".join(one.name for one in promised) or "no loss without spare hosts"
    cause = (
        f"{best} spare hosts cost {cost(best):.0f} a month; promises need {min_hosts},"
        f" which would cost {cost(min_hosts):.0f}; promised through {names}"
    )
    return BufferChoice(best, cost(best), cause)


def plan_moves(
    pools: Iterable[PoolView], buffer_hosts: int, now_s: float, weights: Weights
) -> tuple[HostMove, ...]:
    """
    Return the hosts to move between pools.

    A pool whose mean demand is above the high-water mark gets a host from the spare
    pool while that holds more than ``buffer_hosts``, else from the least used pool
    below the low-water mark. Pools below the low-water mark return hosts to the
    spare pool while it holds fewer than ``buffer_hosts``. A pool that changed within
    :data:`MIN_DWELL_S` is not changed, and no move is made whose gain over that time
    is below its price.
    """
    views = sorted(pools, key=lambda one: one.pool)
    spare_pools = [one for one in views if one.spare]
    settled = [
        one for one in views if not one.spare and now_s - one.changed_s >= MIN_DWELL_S
    ]
    short_pools = sorted(
        (one for one in settled if needs_host(one)),
        key=lambda one: (-one.utilisation, one.pool),
    )
    idle_pools = sorted(
        (one for one in settled if can_release_host(one)),
        key=lambda one: (one.utilisation, one.pool),
    )
    movable = {one.pool: list(one.hosts) for one in views}
    buffered = sum(one.serving for one in spare_pools)
    moves: list[HostMove] = []
    for view in short_pools[:MAX_MOVES_AT_ONCE]:
        source = _choose_source(
            spare_pools, idle_pools, movable, buffered - buffer_hosts
        )
        if source is None or not _is_worthwhile(view, weights):
            continue
        buffered -= source.spare
        idle_pools = [one for one in idle_pools if one.pool != source.pool]
        moves.append(_move(movable, source, view.pool, _shortage_cause(view)))
    for view in idle_pools:
        if (
            buffered >= buffer_hosts
            or len(moves) >= MAX_MOVES_AT_ONCE
            or not spare_pools
        ):
            break
        cause = (
            f"the buffer holds {buffered} of {buffer_hosts} hosts; mean demand of"
            f" {view.pool!r} is {view.utilisation:.0%} of its capacity"
        )
        moves.append(_move(movable, view, spare_pools[0].pool, cause))
        buffered += 1
    return tuple(moves)


def can_release_host(view: PoolView) -> bool:
    """Return whether a pool stays below the high-water mark without one host."""
    if not view.hosts or view.serving <= view.min_hosts or view.serving < 2:
        return False
    utilisation_after = view.trend.mean / (
        (view.serving - 1) * view.slots_per_host or math.inf
    )
    return view.utilisation < LOW_WATER_MARK and utilisation_after < HIGH_WATER_MARK


def needs_host(view: PoolView) -> bool:
    """Return whether a pool needs a host and none is already arriving."""
    return view.utilisation > HIGH_WATER_MARK and not view.arriving


def _choose_source(
    spare_pools: list[PoolView],
    idle_pools: list[PoolView],
    movable: dict[str, list[str]],
    beyond_buffer: int,
) -> PoolView | None:
    from_spare = (
        [one for one in spare_pools if movable[one.pool]] if beyond_buffer > 0 else []
    )
    from_pools = [one for one in idle_pools if movable[one.pool]]
    return next(iter((*from_spare, *from_pools)), None)


def _is_worthwhile(view: PoolView, weights: Weights) -> bool:
    capacity = view.serving * view.slots_per_host
    missing = max(0.0, view.trend.mean - HIGH_WATER_MARK * capacity)
    gain = weights.roll_out * min(missing, view.slots_per_host) * MIN_DWELL_S
    return gain > weights.moves


def _shortage_cause(view: PoolView) -> str:
    return (
        f"mean demand of {view.pool!r} is {view.trend.mean:.0f} slots, above"
        f" {HIGH_WATER_MARK:.0%} of its {view.serving * view.slots_per_host:.0f} slots"
    )


def _move(
    movable: dict[str, list[str]], source: PoolView, to_pool: str, cause: str
) -> HostMove:
    return HostMove(movable[source.pool].pop(0), source.pool, to_pool, cause)
