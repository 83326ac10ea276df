"""Steps on simulated clusters."""

from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager, nullcontext
from dataclasses import replace
from unittest.mock import patch

from behave import then, when
from hypothesis.stateful import run_state_machine_as_test
from mulberryledge_testing.simulation import Defects, runs, try_seed
from mulberryledge_testing.simulation.machine import SETTINGS, ClusterMachine
from mulberryledge_testing.simulation.world import VOTERS, World

from mulberryledge_core.consensus import election, following, leading, leases, steps

WORKERS = 3
CHUNK = 25
ANY = "any invariant"


def lease_counted_from_arrival():
    def take_grant(node, grant, now):
        leases.accept_grant(node, replace(grant, requested_ms=now, age_ms=0), now)

    return patch.object(following, "accept_grant", take_grant)


def votes_despite_leader():
    def may_vote(node, now, handed_over):
        return bool(node.folder) and node.storage_ok

    return patch.object(election, "_accepts_election", may_vote)


@contextmanager
def skip_lease_wait():
    original = leading.become_leader

    def become_leader(node, now):
        original(node, now)
        node.elected_ms = now - node.timing.grantor_lease_ms

    with patch.object(leading, "become_leader", become_leader):
        yield


def votes_twice():
    def would_vote(node, sender, request):
        return request.term >= node.term

    return patch.object(election, "_grants_vote", would_vote)


def wipe_voter_disk(world):
    runs.heal(world)
    leader = world.leader()
    if leader is None:
        return
    others = [world.members[one] for one in VOTERS if one != leader.name]
    world.random.shuffle(others)
    world.blocked |= {(leader.name, others[0].name), (others[0].name, leader.name)}
    runs.propose(world)
    world.run(300)
    if runs.can_lose_disk(world, others[1]):
        world.restart_after_ms = 10
        world.wipe(others[1])
        world.crash(leader)
        world.run(3_000)


def crash_all_during_writes(world):
    runs.heal(world)
    world.run(2_500)
    runs.propose(world)
    world.run(8)
    world.restart_after_ms = 10
    for member in world.members.values():
        world.crash(member)


def isolate_learner(world):
    runs.heal(world)
    world.run(2_500)
    for other in world.members:
        world.blocked |= {("e", other), (other, "e")}
    runs.propose(world)
    world.run(3_500)


PATCHES = {
    "lease from its arrival": lease_counted_from_arrival,
    "votes despite a leader": votes_despite_leader,
    "leases forgotten": skip_lease_wait,
    "votes twice a term": votes_twice,
}


@when("seeds {first:d} to {last:d} run")
def step_run(context, first, last):
    with ProcessPoolExecutor(WORKERS) as pool:
        found = pool.map(try_seed, range(first, last + 1), chunksize=CHUNK)
        context.outcomes = list(found)


@when("seeds {first:d} to {last:d} run with automatic membership")
def step_run_automatic_membership(context, first, last):
    with ProcessPoolExecutor(WORKERS) as pool:
        seeds = range(first, last + 1)
        context.outcomes = list(
            pool.map(runs.try_automatic_membership_seed, seeds, chunksize=CHUNK)
        )


@then("no run violates an invariant")
def step_none(context):
    broken = [one for one in context.outcomes if isinstance(one, str)]
    assert not broken, broken


@then("together they had at least {terms:d} terms and {entries:d} committed entries")
def step_enough(context, terms, entries):
    found = (
        sum(one.terms for one in context.outcomes),
        sum(one.committed for one in context.outcomes),
    )
    print(f"terms and committed entries: {found}")
    assert found[0] >= terms and found[1] >= entries, found


@then("the hypothesis state machine finds nothing")
def step_machine(context):
    run_state_machine_as_test(ClusterMachine, settings=SETTINGS)


FOCUSES = {
    "acknowledge_early": runs.Focus(crash_all_during_writes, slow_disk=0.9),
    "wiped_keeps_name": runs.Focus(wipe_voter_disk),
    "apply_doubles": runs.Focus(runs.resend),
    "lease from its arrival": runs.Focus(isolate_learner),
    "votes despite a leader": runs.Focus(runs.cut_from_leader),
    "votes twice a term": runs.Focus(crash_all_during_writes, slow=0.5),
    "leases forgotten": runs.Focus(runs.isolate_leader),
}


@when('runs with the defect "{defect}" start at seed {seed:d}')
def step_defect(context, defect, seed):
    context.seed = seed
    context.focus = FOCUSES[defect]
    context.patch = PATCHES.get(defect, nullcontext)
    context.defects = None if defect in PATCHES else Defects(**{defect: True})


@then('one of the first {runs:d} runs violates "{invariant}"')
def step_found(context, runs, invariant):
    with context.patch():
        for seed in range(context.seed, context.seed + runs):
            outcome = try_seed(seed, context.defects, context.focus)
            if isinstance(outcome, str) and (invariant in outcome or invariant == ANY):
                print(outcome[:300])
                context.last = seed
                return
    raise AssertionError(f"no run of {runs} violated {invariant!r}")


@then("the same runs without the defect violate nothing")
def step_control(context):
    for seed in range(context.seed, context.last + 1):
        outcome = try_seed(seed, None, context.focus)
        assert not isinstance(outcome, str), outcome


@when("{count:d} fault-free clusters have their leader resign just after a proposal")
def resign_after_proposal(context, count):
    context.times_ms = []
    for seed in range(1, count + 1):
        world = World(seed)
        world.loss = world.duplication = world.slow_disk = world.crash_on_sync = 0
        world.run(5_000)
        former = world.leader()
        world.propose()
        world.propose()
        steps.resign(former.node, world.now(former))
        world.execute_effects(former)
        started_ms = world.time_ms
        while world.leader() in (None, former) and world.time_ms < started_ms + 5_000:
            world.run(5)
        context.times_ms.append(world.time_ms - started_ms)


@then("each has another leader within {bound_ms:d} ms")
def led_within(context, bound_ms):
    assert max(context.times_ms) <= bound_ms, sorted(context.times_ms)[-5:]
