"""Steps on simulated clusters that end with a fault of all members."""

from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager, nullcontext
from functools import partial
from unittest.mock import patch

from behave import then, when
from mulberryledge_testing.simulation import Defects, final_fault
from mulberryledge_testing.simulation.power import PowerDisk

from mulberryledge_core.consensus import leading
from mulberryledge_core.consensus.members import Configuration

WORKERS = 3
SIZES = {9: final_fault.NINE, 5: final_fault.FIVE}


@when("seeds {first:d} to {last:d} of {members:d} members end with a final fault")
def step_run(context, first, last, members):
    play = partial(final_fault.try_seed, size=SIZES[members])
    with ProcessPoolExecutor(WORKERS) as pool:
        context.outcomes = list(pool.map(play, range(first, last + 1)))


@then("each has a leader within 15 s that holds all that was acknowledged")
def step_none_lost(context):
    broken = [one for one in context.outcomes if isinstance(one, str)]
    assert not broken, broken


@then(
    "together they had {snapshots:d} snapshots read and {disks:d} disks lost at least"
)
def step_enough(context, snapshots, disks):
    found = (
        sum(one.snapshots for one in context.outcomes),
        sum(len(one.fault.split()) - 1 for one in context.outcomes),
    )
    assert found[0] >= snapshots and found[1] >= disks, found


@contextmanager
def leader_counts_unsynced():
    original = leading.append

    def append(node, *args, **kwargs):
        entry = original(node, *args, **kwargs)
        node.durable = entry.index
        return entry

    with patch.object(leading, "append", append):
        yield


@contextmanager
def small_commit_quorum():
    original = leading.try_commit

    def try_commit(node, now):
        with patch.object(
            Configuration, "majority", lambda one: len(one.voters()) // 2
        ):
            original(node, now)

    with patch.object(leading, "try_commit", try_commit):
        yield


PATCHES = {
    "writes without a sync": lambda: patch.object(
        PowerDisk, "sync", lambda disk, descriptor: None
    ),
    "the leader's entry before its sync": leader_counts_unsynced,
    "a commit by one voter too few": small_commit_quorum,
}


@when('the defect "{defect}" is played with {members:d} members from seed {seed:d}')
def step_defect(context, defect, members, seed):
    context.patch = PATCHES.get(defect, nullcontext)
    context.defects = None if defect in PATCHES else Defects(**{defect: True})
    context.size, context.seed = SIZES[members], seed


@then("one of the first {runs:d} runs finds it")
def step_found(context, runs):
    with context.patch():
        for seed in range(context.seed, context.seed + runs):
            outcome = final_fault.try_seed(seed, context.size, context.defects)
            if isinstance(outcome, str):
                print(outcome[:300])
                return
    raise AssertionError(f"no run of {runs} found the defect")
