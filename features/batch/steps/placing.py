"""Steps on plans of starts."""

from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from behave import then

from mulberryledge_core.batch import placing
from mulberryledge_core.batch.commands import (
    ChangeSet,
    PutConfiguration,
    RecordTarget,
    SubmitJob,
)
from mulberryledge_core.batch.configuration import (
    FleetConfiguration,
    PoolConfig,
    Queue,
    TeamConfig,
)
from mulberryledge_core.batch.demand import DurationEstimates
from mulberryledge_core.batch.machine import BatchMachine
from mulberryledge_core.batch.placing import PlacingView, plan_starts
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.state.tables import Context

RACKS = ("r1", "r2", "r3")
POOLS = ("rounds", "depots")


def random_size(random, maximum):
    return Size(random.randint(1, maximum), random.randint(1, maximum))


def random_target(random, number):
    rack = random.choice(RACKS)
    return Target(
        f"t{number}",
        1,
        f"m-{number}",
        f"10.0.0.{number}:80",
        random.choice(POOLS),
        "z1",
        rack,
        ("a", rack),
        random_size(random, 40),
    )


def random_step(random):
    return StepSpec(
        random.randint(1, 12),
        random_size(random, 12),
        random.randint(100, 2_000),
        data_rack=random.choice(("", "", *RACKS)),
        required_label=random.choice(("", "", "a", "zz")),
        max_per_target=random.choice((0, 0, 1, 2)),
        long_running=random.random() < 0.15,
        gang=random.random() < 0.15,
    )


def random_state(random):
    """Return the state of a fleet on which some of the tasks run."""
    machine = BatchMachine()
    queues = tuple(
        Queue(f"q-{pool}", "h", f"/{pool}/", pool, max_attempts=3) for pool in POOLS
    )
    pools = tuple(PoolConfig(pool) for pool in POOLS)
    team = TeamConfig("dispatch", ("k",), upper_limit=Size(random.randint(20, 200)))
    fleet = FleetConfiguration(1, queues, pools, (team,))
    changes = [PutConfiguration(fleet, b"")]
    changes += [RecordTarget(random_target(random, number)) for number in range(9)]
    apply(machine, 1, changes)
    for index in (2, 3):
        jobs = [
            SubmitJob(
                f"{16 * index + number:016x}",
                random.choice(queues).name,
                "dispatch",
                JobSpec("", (random_step(random),)),
            )
            for number in range(random.randint(1, 6))
        ]
        starts = plan_starts(view_of(machine.state, frozenset()))
        apply(machine, index, [*starts, *jobs])
    return machine.state


def apply(machine, index, changes):
    machine.apply(ChangeSet(1, tuple(changes)), Context(index, 1_000 + index, 1))


def view_of(state, trials):
    targets = list(state.targets.values())
    return PlacingView(state, targets, 2_000, DurationEstimates(), trials=trials)


@then("in {count:d} random fleets both plans start the same runs")
def same_plans(context, count):
    planned = 0
    for seed in range(count):
        random = Random(seed)
        state = random_state(random)
        trials = frozenset(
            incarnation for incarnation in state.targets if random.random() < 0.2
        )
        fast = plan_starts(view_of(state, trials))
        with ExitStack() as stack:
            for name in ("can_fill_in_order", "is_within"):
                stack.enter_context(patch.object(placing, name, lambda *_: False))
            slow = plan_starts(view_of(state, trials))
        assert fast == slow, (seed, fast, slow)
        planned += len(fast)
    assert planned > count, planned
