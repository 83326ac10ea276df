"""
mulberryledge_testing.bench.groups.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log over real daemons: writes, failover, leases, restart, idle cost.
"""

import os
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_testing.bench.log.embedded import EmbeddedLearner, running_learner
from mulberryledge_testing.bench.log.usage import Usage, usage_of
from mulberryledge_testing.bench.measures import HIGHER, LOWER, Measure
from mulberryledge_testing.processes import Cluster, running_cluster, wait_until

__all__ = ["run"]

VOTERS = 3
LEARNERS = 6
OWN_NAME = "e6"
RECORD_BYTES = 256
BASELINE_RECORDS = 1_000
ALONE_WRITES = 200
TOGETHER_WRITES = 10_000
CONCURRENT_WRITES = 64
IN_FORCE_TRIES = 20
IDLE_S = 6.0
FAILOVERS = 3
ISOLATIONS = 3
FAILOVER_BOUND_S = 2.0
IN_FORCE_BOUND_S = 8.0
ISOLATED_BOUND_S = 3.0
IDLE_BYTES_BOUND = 3_000.0
IDLE_CPU_BOUND = 1.6


def run() -> Iterator[Measure]:
    """Measure a cluster of nine daemons, one of them in this process."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        append_ms = bare_appends_ms(folder / "bare")
        with running_cluster(folder, VOTERS, LEARNERS) as cluster:
            cluster.wait_ready()
            cluster.stop(OWN_NAME)
            with running_learner(cluster.daemons[OWN_NAME]) as own:
                yield from idle(cluster)
                yield from in_force(cluster, own)
                yield from writes(own, append_ms)
                yield from restart(cluster)
                yield from failover(cluster, own)
                yield isolated(cluster)


def bare_appends_ms(path: Path) -> list[float]:
    """Return the milliseconds of plain appends, each with fdatasync, sorted."""
    times = []
    with open(path, "ab", buffering=0) as file:
        for _ in range(BASELINE_RECORDS):
            begin = time.perf_counter()
            file.write(bytes(RECORD_BYTES))
            os.fdatasync(file.fileno())
            times.append((time.perf_counter() - begin) * 1_000)
    return sorted(times)


def quantile(times: list[float], part: float) -> float:
    """Return a quantile of sorted values."""
    return times[min(len(times) - 1, int(len(times) * part))]


def idle(cluster: Cluster) -> Iterator[Measure]:
    """Measure what daemons spend while nothing happens."""
    leader = cluster.leader()
    daemons = cluster.running()
    before = {one.name: usage_of(one) for one in daemons}
    time.sleep(IDLE_S)
    spent = {one.name: usage_of(one) - before[one.name] for one in daemons}
    others = [use for name, use in spent.items() if name != leader]
    learners = [use for name, use in spent.items() if name.startswith("e")]
    worst = max(others, key=lambda use: use.bytes_per_s())
    yield idle_bytes("leader", spent[leader])
    yield idle_bytes("other", worst)
    yield Measure(
        "log.idle.leader_bytes_per_daemon",
        sum(use.bytes_per_s() for use in learners) / len(learners),
        "B/s",
        LOWER,
    )
    for name, use in (
        ("leader", spent[leader]),
        ("other", max(others, key=Usage.cpu_percent)),
    ):
        yield Measure(
            f"log.idle.{name}_cpu", use.cpu_percent(), "%", LOWER, IDLE_CPU_BOUND
        )


def idle_bytes(name: str, use: Usage) -> Measure:
    """Return the measure of a daemon's idle traffic, both directions."""
    return Measure(
        f"log.idle.{name}_bytes", use.bytes_per_s(), "B/s", LOWER, IDLE_BYTES_BOUND
    )


def in_force(cluster: Cluster, own: EmbeddedLearner) -> Iterator[Measure]:
    """Measure until a change is in force on nine daemons, one paused at last."""
    leader = cluster.daemons[cluster.leader()]
    before = usage_of(leader)
    times = sorted(own.in_force_s(f"force-{n}") for n in range(IN_FORCE_TRIES))
    spent = usage_of(leader) - before
    name = "log.in_force"
    bound = IN_FORCE_BOUND_S
    yield Measure(f"{name}.worst", times[-1], "s", LOWER, bound)
    yield Measure("log.change.leader_bytes", spent.bytes() / IN_FORCE_TRIES, "B", LOWER)
    cluster.pause("e1")
    yield Measure(
        f"{name}.one_paused", own.in_force_s("force-paused"), "s", LOWER, bound
    )
    cluster.resume("e1")


def writes(own: EmbeddedLearner, append_ms: list[float]) -> Iterator[Measure]:
    """Measure synced writes one by one and many at a time."""
    alone = sorted(own.propose_ms(f"alone-{n}") for n in range(ALONE_WRITES))
    for name, part in (("median", 0.5), ("p99", 0.99)):
        yield Measure(
            f"log.write.{name}",
            quantile(alone, part),
            "ms",
            LOWER,
            baseline=quantile(append_ms, part),
        )
    commands = [CreatePool(f"many-{n}") for n in range(TOGETHER_WRITES)]
    begin = time.perf_counter()
    times = sorted(own.propose_many(commands, CONCURRENT_WRITES))
    seconds = time.perf_counter() - begin
    bare = BASELINE_RECORDS / sum(append_ms) * 1_000
    yield Measure("log.writes", TOGETHER_WRITES / seconds, "1/s", HIGHER, baseline=bare)
    yield Measure(
        f"log.writes.p99_{CONCURRENT_WRITES}_at_once",
        quantile(times, 0.99),
        "ms",
        LOWER,
        baseline=quantile(append_ms, 0.99),
    )


def restart(cluster: Cluster) -> Iterator[Measure]:
    """Measure until a voter that was killed after all these changes is ready."""
    leader = cluster.leader()
    name = next(
        one.name
        for one in cluster.running()
        if one.data_folder is not None and one.name != leader
    )
    for case, stop in (("voter", name), ("learner", "e2")):
        cluster.kill(stop)
        begin = time.perf_counter()
        cluster.start(stop)
        cluster.wait_ready(stop)
        seconds = time.perf_counter() - begin
        yield Measure(
            f"log.restart.{case}_{TOGETHER_WRITES}_changes", seconds, "s", LOWER
        )


def failover(cluster: Cluster, own: EmbeddedLearner) -> Iterator[Measure]:
    """Measure until a change is accepted again after the leader has ended."""
    for name, end in (("killed", cluster.kill), ("stopped", cluster.stop)):
        times = []
        for number in range(FAILOVERS):
            leader = cluster.leader()
            end(leader)
            begin = time.perf_counter()
            own.propose_ms(f"{name}-{number}")
            times.append(time.perf_counter() - begin)
            cluster.start(leader)
            cluster.wait_ready(leader)
        yield Measure(
            f"log.leaderless.{name}", max(times), "s", LOWER, FAILOVER_BOUND_S
        )


def isolated(cluster: Cluster) -> Measure:
    """Measure until a daemon that lost all voters admits no key any more."""
    daemon = cluster.daemons["e3"]
    voters = [name for name in cluster.daemons if name.startswith("v")]
    times = []
    for _ in range(ISOLATIONS):
        cluster.wait_ready()
        for name in voters:
            cluster.pause(name)
        times.append(wait_until(lambda: not daemon.is_ready(), "the lease ends"))
        for name in voters:
            cluster.resume(name)
    return Measure("log.isolated_key.worst", max(times), "s", LOWER, ISOLATED_BOUND_S)
