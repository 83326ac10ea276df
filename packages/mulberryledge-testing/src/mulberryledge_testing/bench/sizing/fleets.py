"""
mulberryledge_testing.bench.sizing.fleets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

States of the replicated log at chosen sizes, built through its own commands.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.commands.work import SubmitJob
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.state import ClusterState, Context, apply

__all__ = ["JOB_BODY_BYTES", "TWO_YEARS", "FleetSize", "build_state", "commands_for"]

POOLS = 21
ZONES = 7
HOSTS_PER_RACK = 4
SLOTS = 8
JOB_BODY_BYTES = 256
DOCUMENT = """[service]
name = "service-{number}"
team = "team-0"
pool = "pool-{number}"

[calls]
repeatable = true
deadline_ms = {deadline}

[queue]
open = true
lease_ms = 5000

[availability]
max_hosts_out = 2
min_hosts_serving = 1
"""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of rows to build; ``changes`` counts accepted documents."""

    workers: int = 0
    teams: int = 1
    keys: int = 1
    jobs: int = 0
    changes: int = POOLS


TWO_YEARS = FleetSize(
    workers=1_000, teams=250, keys=500, jobs=2_000, changes=POOLS * 20
)


def commands_for(size: FleetSize) -> Iterator[Command]:
    """Yield the commands that build a fleet of the size."""
    for number in range(POOLS):
        yield CreatePool(f"pool-{number}")
    for number in range(size.teams):
        yield CreateTeam(f"team-{number}", 1.0, 64)
    for number in range(size.keys):
        random = number.to_bytes(6, "big") + bytes(KEY_BYTES - 6)
        key = make_key(random)
        team = f"team-{number % size.teams}"
        yield GiveKey(key.key_id, team, key.salt, key.digest)
    for number in range(size.changes):
        service, version = number % POOLS, number // POOLS + 1
        text = DOCUMENT.format(number=service, deadline=1_000 + version)
        yield ApplyDocument(text, version)
    for number in range(size.workers):
        yield from worker(number)
    for number in range(size.jobs):
        yield SubmitJob(
            f"{number:032x}",
            f"service-{number % POOLS}",
            f"team-{number % size.teams}",
            bytes(JOB_BODY_BYTES),
        )


def worker(number: int) -> Iterator[Command]:
    """Yield the commands that add one host with its target."""
    pool = number % POOLS
    host = f"host-{number}"
    yield AddHost(
        host,
        f"pool-{pool}",
        region=f"region-{number % 2}",
        availability_zone=f"zone-{number % ZONES}",
        rack=f"rack-{number // HOSTS_PER_RACK}",
        resources=Resources(64.0, 131_072, 1),
    )
    yield AnnounceTarget(
        f"target-{number}",
        host,
        f"service-{pool}",
        f"10.0.{number // 250}.{number % 250}",
        8080,
        slots=SLOTS,
        key="000000000000",
        instance=f"{number:032x}",
    )


def build_state(size: FleetSize) -> ClusterState:
    """Apply the commands of a size to an empty state; each must succeed."""
    state = ClusterState()
    for command in commands_for(size):
        index = state.applied_index + 1
        outcome = apply(state, command, Context(index, index))
        assert outcome.is_ok(), outcome
    return state
