"""
mulberryledge_testing.bench.groups.operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of state, snapshots, commands, renewals and service-level counts.
"""

import gc
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from mulberryledge_core.codec import encode
from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget
from mulberryledge_core.commands.table import decode_command, encode_command
from mulberryledge_core.commands.work import EndJob, StartJob, SubmitJob
from mulberryledge_core.messages import TargetsSeen, TargetUsage, UsageReport
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_core.state import ClusterState, Context, apply, restore, snapshot
from mulberryledge_daemon.burn.recorder import BurnRecorder
from mulberryledge_daemon.burn.store import save_counts
from mulberryledge_daemon.observations import CallObservation
from mulberryledge_testing.bench.measures import LOWER, Measure
from mulberryledge_testing.bench.sizing.fits import slope_measures
from mulberryledge_testing.bench.sizing.fleets import (
    JOB_BODY_BYTES,
    TWO_YEARS,
    FleetSize,
    build_state,
    commands_for,
)
from mulberryledge_testing.bench.sizing.processes import (
    DaemonProcess,
    client_usage,
    open_process,
)

__all__ = ["run"]

MB = 1_048_576
US_PER_S = 1_000_000
MS_PER_S = 1_000
MEMORY_BOUND_MB = 128.0
CORE_SHARE_BOUND = 0.016
SLOPES = {
    "worker": ("workers", (250, 500, 1_000, 2_000)),
    "team": ("teams", (250, 500, 1_000, 2_000)),
    "key": ("keys", (250, 500, 1_000, 2_000)),
    "job": ("jobs", (500, 1_000, 2_000, 4_000)),
    "change": ("changes", (21, 105, 210, 420)),
}
PROCESS_WORKERS = (0, 500, 1_000)
IDLE_S = 5.0
RENEWALS = 2_000
BURN_SERIES = 250
BURN_MINUTES = 60


def run() -> Iterator[Measure]:
    """Yield the measures of the group."""
    yield from state_slopes()
    yield from two_year_state()
    yield from command_costs()
    yield from message_bytes()
    yield from usage_bytes()
    yield from record_bytes()
    yield from burn_costs()
    yield from process_costs()
    yield from client_costs()


def state_slopes() -> Iterator[Measure]:
    """Yield memory and snapshot bytes by workers, teams, keys, jobs and changes."""
    for kind, (field, sizes) in SLOPES.items():
        memory, stored = [], []
        for count in sizes:
            size = replace(FleetSize(), **{field: count})
            used, state = traced(lambda size=size: build_state(size))
            memory.append(used)
            stored.append(len(snapshot(state)))
        name = f"operations.state_bytes_per_{kind}"
        yield from slope_measures(name, "bytes", sizes, memory)
        name = f"operations.snapshot_bytes_per_{kind}"
        yield from slope_measures(name, "bytes", sizes, stored)


def traced(build: Callable[[], ClusterState]) -> tuple[int, ClusterState]:
    """Return the bytes that a built value keeps, and the value."""
    gc.collect()
    tracemalloc.start()
    value = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used, value


def two_year_state() -> Iterator[Measure]:
    """Yield the state, snapshot and restore at the two-year size."""
    used, state = traced(lambda: build_state(TWO_YEARS))
    yield Measure("operations.two_years.state", used / MB, "MB", LOWER, MEMORY_BOUND_MB)
    began = time.perf_counter()
    data = snapshot(state)
    yield Measure(
        "operations.two_years.snapshot_s", time.perf_counter() - began, "s", LOWER
    )
    yield Measure("operations.two_years.snapshot", len(data) / MB, "MB", LOWER)
    began = time.perf_counter()
    restore(data)
    yield Measure(
        "operations.two_years.restore_s", time.perf_counter() - began, "s", LOWER
    )


def command_costs() -> Iterator[Measure]:
    """Yield processor time to apply, and to encode and decode, each command."""
    state = ClusterState()
    spent = defaultdict(list)
    coded = defaultdict(list)
    size = replace(TWO_YEARS, workers=500, jobs=500)
    for command in commands_for(size):
        kind = type(command).__name__
        began = time.perf_counter()
        decoded = decode_command(encode_command(command))
        coded[kind].append(time.perf_counter() - began)
        index = state.applied_index + 1
        began = time.perf_counter()
        apply(state, decoded, Context(index, index))
        spent[kind].append(time.perf_counter() - began)
    for kind in sorted(spent):
        name = f"operations.apply.{kind}"
        yield Measure(name, median(spent[kind]) * US_PER_S, "us", LOWER)
        name = f"operations.codec.{kind}"
        yield Measure(name, median(coded[kind]) * US_PER_S, "us", LOWER)


def message_bytes() -> Iterator[Measure]:
    """Yield the bytes by which a renewed target lease reaches the leader."""
    sizes = (10, 50, 100, 500)
    costs = [len(encode(TargetsSeen("entry-1", tuple([300] * size)))) for size in sizes]
    name = "operations.renewal_bytes_per_target"
    yield from slope_measures(name, "bytes", sizes, costs)


def usage_bytes() -> Iterator[Measure]:
    """Yield the bytes by which a target's measured use reaches the leader."""
    sizes = (10, 50, 100, 500)
    used = Resources(12.5, 24_000, 1)
    costs = []
    for size in sizes:
        rows = (TargetUsage(f"target-{n}", 1_000_000 + n, used) for n in range(size))
        costs.append(len(encode(UsageReport("entry-1", tuple(rows)))))
    name = "operations.usage_bytes_per_target"
    yield from slope_measures(name, "bytes", sizes, costs)


def record_bytes() -> Iterator[Measure]:
    """Yield the bytes that one job puts into the log from submission to end."""
    job_id, target = f"{0:032x}", "target-1"
    records = (
        SubmitJob(job_id, "service-1", "team-1", bytes(JOB_BODY_BYTES)),
        StartJob(job_id, target, 1_000_000, "000000000000"),
        EndJob(job_id, 1, JobPhase.DONE, b"done"),
    )
    total = sum(len(encode_command(record)) for record in records)
    yield Measure("operations.record_bytes_per_job", total, "bytes", LOWER)


def burn_costs() -> Iterator[Measure]:
    """Yield the cost of counting a call, and of keeping the counts."""
    state = build_state(FleetSize(teams=BURN_SERIES))
    burn = BurnRecorder("entry-1", state, 0)
    calls = [
        CallObservation(
            f"service-{number % 21}", f"team-{number}", RunOutcome.RAN, "ok", 200, 0.01
        )
        for number in range(BURN_SERIES)
    ]
    gc.collect()
    tracemalloc.start()
    for minute in range(BURN_MINUTES):
        for call in calls:
            burn.observe(call, minute * 60 * MS_PER_S)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield Measure("operations.burn.memory", used / MB, "MB", LOWER)
    began = time.perf_counter()
    for call in calls:
        burn.observe(call, 0)
    spent = (time.perf_counter() - began) / len(calls)
    yield Measure("operations.burn.observe", spent * US_PER_S, "us", LOWER)
    with TemporaryDirectory() as folder:
        began = time.perf_counter()
        save_counts(Path(folder), burn.to_stored())
        spent = time.perf_counter() - began
    yield Measure("operations.burn.save", spent * MS_PER_S, "ms", LOWER)


def process_costs() -> Iterator[Measure]:
    """Yield memory and processor time of a daemon process by workers."""
    memory, idle = [], []
    with open_process() as daemon:
        prepare(daemon)
        for step, count in enumerate(PROCESS_WORKERS):
            before = PROCESS_WORKERS[step - 1] if step else 0
            add_workers(daemon, before, count)
            memory.append(daemon.memory_mb())
            idle.append(daemon.idle_share(IDLE_S))
        yield from renewal_costs(daemon)
    name = "operations.process.memory_kb_per_worker"
    yield from slope_measures(
        name, "KB", PROCESS_WORKERS, [one * 1_024 for one in memory]
    )
    yield Measure("operations.process.memory_empty", memory[0], "MB", LOWER)
    yield Measure("operations.process.memory", memory[-1], "MB", LOWER, MEMORY_BOUND_MB)
    yield Measure("operations.process.idle_empty", idle[0], "core", LOWER)
    yield Measure("operations.process.idle", idle[-1], "core", LOWER, CORE_SHARE_BOUND)


def prepare(daemon: DaemonProcess) -> None:
    """Create pools, teams, keys and services."""
    for command in commands_for(FleetSize(teams=250, keys=250)):
        daemon.propose(command)


def add_workers(daemon: DaemonProcess, begin: int, end: int) -> None:
    """Add hosts, and announce a target on each."""
    wanted = {f"host-{number}" for number in range(begin, end)}
    for command in commands_for(FleetSize(workers=end)):
        if isinstance(command, AddHost) and command.name in wanted:
            daemon.propose(command)
        if isinstance(command, AnnounceTarget) and command.host in wanted:
            announce(daemon, command)


def announce(daemon: DaemonProcess, command: AnnounceTarget) -> None:
    """Announce a target as its process would."""
    body = {
        "host": command.host,
        "service": command.service,
        "address": command.address,
        "port": command.port,
        "instance": command.instance,
    }
    daemon.send("PUT", f"/v1/targets/{command.name}", target_key(), body)


def target_key() -> str:
    """Return the text of the first key of the fleet."""
    return f"mlk_{'00' * 6}_{'00' * 24}"


def renewal_costs(daemon: DaemonProcess) -> Iterator[Measure]:
    """Yield processor time of one renewal of a target's lease over HTTP."""
    before = daemon.processor_s()
    for number in range(RENEWALS):
        name = f"target-{number % PROCESS_WORKERS[-1]}"
        daemon.send("POST", f"/v1/targets/{name}/lease", target_key())
    spent = (daemon.processor_s() - before) / RENEWALS
    yield Measure("operations.process.renewal", spent * US_PER_S, "us", LOWER)


def client_costs() -> Iterator[Measure]:
    """Yield processor time and memory of one run of the command line."""
    used = client_usage()
    yield Measure("operations.client.processor", used.processor_s, "s", LOWER)
    yield Measure("operations.client.memory", used.memory_mb, "MB", LOWER)
