"""
mulberryledge_testing.bench.groups.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls a second and added latency against a bare server and a plain pass-through,
each on one core, with 16 keep-alive clients.
"""

import random
from collections.abc import Iterator
from itertools import pairwise

import httpx

from mulberryledge_core.messages import TargetsSeen
from mulberryledge_daemon.log.channel import encode_named
from mulberryledge_testing.bench.measures import HIGHER, LOWER, Measure
from mulberryledge_testing.bench.path.children import Child, start_server
from mulberryledge_testing.bench.path.load import (
    Load,
    closed_loop,
    open_loop,
    percentile,
)
from mulberryledge_testing.bench.path.sharing import Sharing, share_slots

__all__ = ["run"]

CLIENTS = 16
RUN_S = 3.0
DEADLINE_MS = 5_000
BARE_SHARE = 0.3
HALF_LOAD_FACTOR = 1.5
OVERLOAD = 3.0
OVERLOAD_GOODPUT = 0.9
SLOW_TARGET_MS = 20
SLOW_DEADLINE_MS = 500
SLOTS = 8
RETRY_FACTOR = 1.2
TARGETS = 1_000
GENERATIONS = 1_000_000
RENEWALS = 3
LEASE_S = 10
LEASE_REPORTS_PER_S = 2
ENTRY_HOSTS = 9
CONTROL_BYTES_PER_S = 3_072


def request_to(child: Child) -> bytes:
    """Return the request that the clients send."""
    body = b"plan for van 7"
    key = f"Authorization: Bearer {child.key}\r\n" if child.key else ""
    return (
        f"POST /v1/services/route-plans/calls/today HTTP/1.1\r\nHost: bench\r\n{key}"
        f"Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def full_load(child: Child) -> Load:
    """Run all clients without a pause, after a short one to warm up."""
    closed_loop(child.port, request_to(child), CLIENTS, 0.5)
    return closed_loop(child.port, request_to(child), CLIENTS, RUN_S)


def half_load(child: Child, rate: float) -> Load:
    """Run the clients with pauses that come to half of a rate."""
    source = random.Random(1)
    mean_s = 2 * CLIENTS / rate
    pause_s = lambda: source.expovariate(1 / mean_s)  # noqa: E731
    return closed_loop(child.port, request_to(child), CLIENTS, RUN_S, pause_s)


def run() -> Iterator[Measure]:
    """Measure."""
    with start_server("target") as target:
        with start_server("bare") as bare:
            bare_load = full_load(bare)
        with start_server("agent", target.port) as agent:
            agent_load = full_load(agent)
            agent_half = half_load(agent, agent_load.good_per_s)
        with start_server("entry", DEADLINE_MS, target.port, target.port) as entry:
            entry_load = full_load(entry)
            entry_half = half_load(entry, agent_load.good_per_s)
    yield from speed(bare_load, agent_load, entry_load)
    yield from latency(agent_half, entry_half)
    yield overload()
    yield from dead_zone()
    yield from sharing()
    yield lease_bytes()


def speed(bare: Load, agent: Load, entry: Load) -> Iterator[Measure]:
    """Compare calls a second."""
    per_s, agent_s, bare_s = entry.good_per_s, agent.good_per_s, bare.good_per_s
    yield Measure(
        "calls.per_s_against_pass_through", per_s, "calls/s", HIGHER, agent_s, agent_s
    )
    yield Measure(
        "calls.share_of_bare_server", per_s / bare_s, "ratio", HIGHER, BARE_SHARE, 1.0
    )
    yield Measure("calls.bare_server_per_s", bare_s, "calls/s", HIGHER)


def latency(agent: Load, entry: Load) -> Iterator[Measure]:
    """Compare latencies at half the load that the pass-through can carry."""
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        plain_ms = 1_000 * percentile(agent.latencies_s, share)
        ours_ms = 1_000 * percentile(entry.latencies_s, share)
        bound = HALF_LOAD_FACTOR * plain_ms if name == "p99" else None
        yield Measure(f"calls.half_load_{name}", ours_ms, "ms", LOWER, bound, plain_ms)


def overload() -> Measure:
    """Offer three times what the slots of one target can do."""
    peak = SLOTS * 1_000 / SLOW_TARGET_MS
    with (
        start_server("target", SLOW_TARGET_MS) as target,
        start_server("entry", SLOW_DEADLINE_MS, target.port) as entry,
    ):
        full = closed_loop(entry.port, request_to(entry), CLIENTS, RUN_S)
        over = open_loop(entry.port, request_to(entry), OVERLOAD * peak, 2 * RUN_S)
    return Measure(
        "calls.goodput_at_3x_overload",
        over.good_per_s / full.good_per_s,
        "ratio",
        HIGHER,
        OVERLOAD_GOODPUT,
        full.good_per_s,
    )


def dead_zone() -> Iterator[Measure]:
    """Kill the targets of one zone of four and count tries for each call."""
    with start_server("target") as target, start_server("target") as doomed:
        ports = (doomed.port, target.port, target.port, target.port)
        with start_server("entry", DEADLINE_MS, *ports) as entry:
            closed_loop(entry.port, request_to(entry), CLIENTS, 1.0)
            before = retries_of(entry)
            doomed.process.kill()
            load = closed_loop(entry.port, request_to(entry), CLIENTS, RUN_S)
            retries = retries_of(entry) - before
    calls = sum(load.statuses.values())
    yield Measure(
        "calls.retry_factor_dead_zone",
        1 + retries / calls,
        "tries/call",
        LOWER,
        RETRY_FACTOR,
    )
    failed = 1 - load.statuses[200] / calls
    yield Measure("calls.failed_dead_zone", failed, "ratio", LOWER)


def retries_of(entry: Child) -> float:
    """Return the retries that an entry has counted."""
    url = f"http://127.0.0.1:{entry.port}/metrics"
    total = 0.0
    for line in httpx.get(url, trust_env=False).text.splitlines():
        if line.startswith("mulberryledge_call_retries_total"):
            total += float(line.split()[-1])
    return total


def sharing() -> Iterator[Measure]:
    """Compare lending with home entries that queue, under on-off demand."""
    lent, home = share_slots("lend"), share_slots("home")
    for name, ours, plain, unit, better in (
        ("answered", answered(lent), answered(home), "ratio", HIGHER),
        ("wait_p99", wait_ms(lent), wait_ms(home), "ms", LOWER),
        ("messages", per_call(lent), per_call(home), "1/call", LOWER),
    ):
        yield Measure(f"calls.on_off_{name}", ours, unit, better, None, plain)
    entries_per_s = lent.log_bytes / lent.seconds
    yield Measure("calls.on_off_lending", entries_per_s, "log B/s", LOWER)


def lease_bytes() -> Measure:
    """Encode the reports on 1,000 targets that renew three times in a 10 s lease."""
    source = random.Random(1)
    each = ENTRY_HOSTS * LEASE_REPORTS_PER_S
    total = 0
    for _ in range(each):
        seen = sorted(
            source.sample(range(GENERATIONS), TARGETS * RENEWALS // LEASE_S // each)
        )
        gaps = tuple(b - a for a, b in pairwise([0, *seen]))
        total += len(encode_named(TargetsSeen("entry-1", gaps)))
    return Measure(
        "calls.target_lease_bytes_at_leader", total, "B/s", LOWER, CONTROL_BYTES_PER_S
    )


def answered(found: Sharing) -> float:
    """Return the share of calls that were answered within their deadline."""
    return found.answered / found.offered


def wait_ms(found: Sharing) -> float:
    """Return the 99th percentile of the wait for a slot, in milliseconds."""
    return 1_000 * percentile(found.waits_s, 0.99)


def per_call(found: Sharing) -> float:
    """Return messages between entries and targets for each call."""
    return found.messages / found.offered
