"""How many voters a leader keeps by itself."""

from itertools import combinations
from random import Random

from behave import given, then, when

from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.members import Configuration, Member, change_members
from mulberryledge_core.consensus.membership_policy import (
    next_change,
    target_voter_count,
)
from mulberryledge_core.consensus.node import Node, Progress, Role

NOW_MS = 50_000
MOST_CHANGES = 30


def leader_of(members):
    """Return a leader that hears from every member and has sent them its log."""
    first = members.members[0]
    log = EntryLog(Snapshot(members=members))
    node = Node(first.name, first.folder, log, Random(1).random, NOW_MS)
    node.role = Role.LEADER
    for one in members.members[1:]:
        progress = Progress(1, answered_ms=NOW_MS)
        progress.reported_ms, progress.folder = NOW_MS, f"disk-{one.name}"
        node.progress[one.name] = progress
    return node


@given("a leader with {voters:d} voters and {standbys:d} standbys besides")
def step_leader(context, voters, standbys):
    members = tuple(
        Member(f"m{n}", folder=f"disk-m{n}" if n < voters else "")
        for n in range(voters + standbys)
    )
    context.members = Configuration(members)


@when("it changes the members until nothing is left to change")
def step_change(context):
    for _ in range(MOST_CHANGES):
        node = leader_of(context.members)
        change = next_change(node, (), 1, NOW_MS)
        if change is None:
            return
        context.members = change_members(context.members, change).unwrap()
    raise AssertionError(f"{MOST_CHANGES} changes, and no end")


@then("it wants {wanted:d} voters where at least {fewest:d} are needed")
def step_wanted(context, wanted, fewest):
    found = target_voter_count(leader_of(context.members), fewest)
    assert found == wanted, found


@then("each majority of the daemons holds a majority of the voters")
def step_majorities(context):
    names = [one.name for one in context.members.members]
    voters = {one.name for one in context.members.voters()}
    for some in combinations(names, len(names) // 2 + 1):
        held = len(voters & set(some))
        assert held >= context.members.majority(), (some, sorted(voters))
