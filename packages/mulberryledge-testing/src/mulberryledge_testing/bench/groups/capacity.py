"""
mulberryledge_testing.bench.groups.capacity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares, urgent starts, bursts, buffer and plan time on the users' sizes.
"""

from collections.abc import Iterator

from mulberryledge_core.decisions.pools import buffer_size
from mulberryledge_daemon.leader.moves import MAX_BUFFER_HOSTS, loss_scenarios
from mulberryledge_testing.bench.capacity.scale import measure_plan
from mulberryledge_testing.bench.capacity.scenarios import (
    SITES,
    make_fleet,
    run_full,
    run_turns,
)
from mulberryledge_testing.bench.measures import HIGHER, LOWER, Measure

__all__ = ["run"]

BASELINES = ("static", "greedy")
MAX_DISTANCE = 0.05
MAX_URGENT_S = 1.7
MAX_PLAN_MS = 100.0
PARTS = (0.1, 0.5, 1.0)


def run() -> Iterator[Measure]:
    """Yield the measures of the group."""
    for user in SITES:
        yield from full(user)
        yield from turns(user)
        yield from buffer(user)
    for part in PARTS:
        figures = measure_plan(part)
        name = f"capacity.plan.part_{part:g}"
        bound = MAX_PLAN_MS if part == 1.0 else None
        yield Measure(f"{name}.time", figures.plan_ms, "ms", LOWER, bound)
        yield Measure(f"{name}.choose", figures.choose_ms, "ms", LOWER)
        yield Measure(f"{name}.memory", figures.memory_mb, "MB", LOWER)


def full(user: str) -> Iterator[Measure]:
    """
    Yield the measures of a full fleet.

    The clairvoyant least of the distance and of the urgent start is zero, and
    that of utilisation one, as work could be divided at will.
    """
    ours = run_full(user, "product")
    for policy in BASELINES:
        other = run_full(user, policy)
        prefix = f"capacity.{user}.full.vs_{policy}"
        yield Measure(
            f"{prefix}.share_distance",
            ours.distance,
            "",
            LOWER,
            MAX_DISTANCE,
            other.distance,
        )
        yield Measure(
            f"{prefix}.utilisation",
            ours.utilisation,
            "",
            HIGHER,
            None,
            other.utilisation,
        )
        yield Measure(
            f"{prefix}.urgent_start_p99",
            ours.urgent_p99_s,
            "s",
            LOWER,
            MAX_URGENT_S,
            other.urgent_p99_s,
        )


def turns(user: str) -> Iterator[Measure]:
    """Yield the measures of demand in turns, with a zone lost."""
    ours = run_turns(user, "product")
    for policy in BASELINES:
        other = run_turns(user, policy)
        prefix = f"capacity.{user}.turns.vs_{policy}"
        yield Measure(
            f"{prefix}.wait_mean", ours.wait_s, "s", LOWER, None, other.wait_s
        )
        yield Measure(
            f"{prefix}.urgent_start_p99",
            ours.urgent_p99_s,
            "s",
            LOWER,
            MAX_URGENT_S,
            other.urgent_p99_s,
        )
        yield Measure(f"{prefix}.moves", ours.moves, "hosts", LOWER, None, other.moves)
    least = ours.least_wait_s
    yield Measure(
        f"capacity.{user}.turns.vs_least.wait_mean",
        ours.wait_s,
        "s",
        LOWER,
        None,
        least,
    )


def buffer(user: str) -> Iterator[Measure]:
    """
    Yield the cost of the buffer in host-hours a month.

    The static baseline holds the worst promised loss in each pool on its own.
    """
    site = SITES[user]
    state = make_fleet(user, "product").log.state
    scenarios = loss_scenarios(state)
    shared = buffer_size(scenarios, MAX_BUFFER_HOSTS, site.weights).hosts
    least = max(1, max(one.required_spares for one in scenarios))
    alone = max(one.hosts for one in scenarios) * site.services
    hours = 730.0
    name = f"capacity.{user}.buffer"
    yield Measure(
        f"{name}.vs_static", shared * hours, "host-hours", LOWER, None, alone * hours
    )
    yield Measure(
        f"{name}.vs_least", shared * hours, "host-hours", LOWER, None, least * hours
    )
