"""How many voters a leader keeps by itself."""

import logging
from dataclasses import replace
from itertools import combinations
from random import Random

from behave import given, then, when
from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
)
from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leading import (
    on_install_snapshot_reply,
    track_members,
)
from mulberryledge_core.consensus.members import Configuration, Member, change_members
from mulberryledge_core.consensus.membership_policy import (
    JoiningDaemon,
    next_change,
    target_voter_count,
)
from mulberryledge_core.consensus.membership_summary import summarise_members
from mulberryledge_core.consensus.messages import InstallSnapshotReply
from mulberryledge_core.consensus.node import Node, Progress, Role, StepDownCause
from mulberryledge_core.consensus.steps import tick
from mulberryledge_daemon.log.membership import CHECK_INTERVAL_MS, MembershipController
from mulberryledge_daemon.log.options import LogOptions
from mulberryledge_daemon.log.proposer import Proposer
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.settings import DaemonSection, Settings

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
    found = target_voter_count(leader_of(context.members), fewest, NOW_MS)
    assert found == wanted, found


@then("each majority of the daemons holds a majority of the voters")
def step_majorities(context):
    names = [one.name for one in context.members.members]
    voters = {one.name for one in context.members.voters()}
    for some in combinations(names, len(names) // 2 + 1):
        held = len(voters & set(some))
        assert held >= context.members.majority(), (some, sorted(voters))


class LedCluster:
    """Members of one leader that goes on leading while others come and go."""

    def __init__(self, members, min_voters):
        self.node = leader_of(members)
        self.min_voters = min_voters
        self.now_ms = NOW_MS
        self.live = {one.name for one in members.members}
        self.coming = {}
        self.lost_at_promotion = ""
        self.least_majority_margin = len(self.live)
        self.most_members = self.most_voters = len(self.live)
        self.changes = []
        self.without_disk = set()

    def lose(self, name):
        self.live.discard(name)
        self.coming.pop(name, None)

    def come(self, name):
        self.live.add(name)
        self.coming[name] = JoiningDaemon(name, name, 1, "", f"disk-{name}")

    def pass_time(self, seconds):
        for _ in range(int(seconds * 5)):
            self.now_ms += 200
            self.hear()
            self.change()

    def hear(self):
        for name in self.live - {self.node.name}:
            progress = self.node.progress.get(name)
            if progress is not None:
                folder = "" if name in self.without_disk else f"disk-{name}"
                progress.reported_ms, progress.folder = self.now_ms, folder

    def change(self):
        applicants = tuple(self.coming.values())
        change = next_change(self.node, applicants, self.min_voters, self.now_ms)
        if change is None:
            return
        self.changes.append(type(change))
        members = change_members(self.node.log.members, change).unwrap()
        self.node.log = EntryLog(Snapshot(members=members))
        track_members(self.node, self.now_ms)
        if isinstance(change, PromoteMember) and change.name == self.lost_at_promotion:
            self.lose(change.name)
        self.most_members = max(self.most_members, len(members.members))
        self.most_voters = max(self.most_voters, len(members.voters()))
        heard = sum(one.name in self.live for one in members.voters())
        margin = heard - members.majority()
        self.least_majority_margin = min(self.least_majority_margin, margin)

    def voters(self):
        return {one.name for one in self.node.log.members.voters()}


@when(
    "each other voter is lost {times:d} times, one every {interval_s:d} seconds,"
    " and a successor comes"
)
def step_replace(context, times, interval_s):
    context.cluster = cluster = LedCluster(context.members, 3)
    context.voters_after_loss = []
    count = len(cluster.voters())
    order = sorted(cluster.voters() - {cluster.node.name})
    for number in range(times * (count - 1)):
        cluster.lose(order.pop(0))
        cluster.come(f"n{number}")
        order.append(f"n{number}")
        cluster.pass_time(interval_s)
        context.voters_after_loss.append(cluster.voters())
        assert cluster.voters() == cluster.live, (cluster.voters(), cluster.live)


@then("the voters are {count:d} daemons that are heard, after each of these losses")
def step_voters_each_time(context, count):
    assert {len(one) for one in context.voters_after_loss} == {count}


@then("there are never more than {most:d} members")
def step_most_members(context, most):
    assert context.cluster.most_members <= most, context.cluster.most_members


@when("{lost:d} voters are lost, and then {coming:d} successors come")
def step_lose_then_come(context, lost, coming):
    context.cluster = cluster = LedCluster(context.members, 3)
    for name in sorted(cluster.voters())[-lost:]:
        cluster.lose(name)
    cluster.pass_time(3)
    for number in range(coming):
        cluster.come(f"n{number}")
    cluster.pass_time(3)


@when("{lost:d} voters are lost {when}, and {coming:d} successors come at once")
def step_lose_and_come(context, lost, when, coming):
    step_lose_and_come_for(context, lost, when, coming, 5)


@when(
    "{lost:d} voters are lost {when}, and {coming:d} successors come"
    " for {seconds:g} seconds"
)
def step_lose_and_come_for(context, lost, when, coming, seconds):
    context.cluster = cluster = LedCluster(context.members, 3)
    for name in sorted(cluster.voters())[-lost:]:
        cluster.lose(name)
    if when == "at a leader's election":
        elect_anew(cluster.node)
    for number in range(coming):
        cluster.come(f"n{number}")
    cluster.pass_time(seconds)


@then("there are never more than {most:d} voters")
def step_most_voters(context, most):
    assert context.cluster.most_voters <= most, context.cluster.most_voters


@when("{lost:d} voters are lost, and a successor that is lost at its promotion comes")
def step_lost_at_promotion(context, lost):
    context.cluster = cluster = LedCluster(context.members, 5)
    for name in sorted(cluster.voters())[-lost:]:
        cluster.lose(name)
    cluster.pass_time(3)
    cluster.lost_at_promotion = "n0"
    cluster.come("n0")
    cluster.pass_time(9)


@when(
    "{lost:d} voters are lost for {seconds:d} seconds"
    " where at least {needed:d} are needed"
)
def step_lost_for_long(context, lost, seconds, needed):
    context.cluster = cluster = LedCluster(context.members, needed)
    for name in sorted(cluster.voters())[-lost:]:
        cluster.lose(name)
    cluster.pass_time(seconds)


@then("the voters are {count:d} daemons that are heard")
def step_voters(context, count):
    cluster = context.cluster
    assert len(cluster.voters()) == count, cluster.voters()
    assert cluster.voters() <= cluster.live, (cluster.voters(), cluster.live)


@then("a majority of the voters is heard after each change")
def step_majority_heard(context):
    assert context.cluster.least_majority_margin >= 0


def elect_anew(node):
    node.elected_ms = NOW_MS
    for progress in node.progress.values():
        progress.reported_ms, progress.folder = None, ""
        progress.known_since_ms = NOW_MS


@when("a newcomer connects that reports nothing for {seconds:d} seconds")
def step_slow_newcomer(context, seconds):
    context.cluster = cluster = LedCluster(context.members, 3)
    cluster.come("n0")
    cluster.live.discard("n0")
    cluster.pass_time(seconds)


@then("it has been added once and is still a member")
def step_added_once(context):
    members = context.cluster.node.log.members
    assert members.find("n0") is not None, members
    assert context.cluster.changes == [AddMember], context.cluster.changes


@when("it is elected anew and has heard from no one")
def step_elected_anew(context):
    context.node = leader_of(context.members)
    elect_anew(context.node)


@then("it changes no members")
def step_no_change(context):
    assert next_change(context.node, (), 3, NOW_MS) is None


@given("a leader decided on a change, which no quorum has confirmed")
def step_decided(context):
    context.clock = Clock()
    log = ReplicatedLog(
        context.clock,
        Settings(DaemonSection("m0")),
        None,
        Random(1),
        None,
        LogOptions(),
    )
    context.node = log.node
    context.node.role = Role.LEADER
    context.sent = []
    log.proposer = context.proposer = Proposer(
        context.clock, "session", lambda message: not context.sent.append(message)
    )
    context.outcomes = []
    decision = Deferred.fromCoroutine(log.propose_in_term(DemoteMember("m1", "disk")))
    decision.addCallback(context.outcomes.append)


@when("another daemon leads")
def step_other_leads(context):
    assert len(context.sent) == 1 and not context.outcomes
    context.node.become_follower(context.node.term + 1, "m2", 0)
    context.proposer.send_all()


@then("the change is not sent to it, and its decision has failed")
def step_not_sent(context):
    assert len(context.sent) == 1, context.sent
    assert isinstance(context.outcomes[0], Err), context.outcomes


@given("a leader whose proposals raise an error")
def step_raising(context):
    context.proposed = []

    async def propose(change):
        context.proposed.append(change)
        raise RuntimeError("planned")

    node = leader_of(Configuration((Member("m0", folder="disk-m0"),)))
    context.times_ms = iter(range(NOW_MS, NOW_MS * 2, CHECK_INTERVAL_MS))
    context.controller = MembershipController(node, 1, propose, lambda: context.now_ms)
    context.controller.joining_daemons["m1"] = JoiningDaemon("m1", "m1", 1, "", "d")


@when("it checks its members twice")
def step_check_twice(context):
    for _ in range(2):
        context.now_ms = next(context.times_ms)
        context.controller.tick()


@then("it has proposed {count:d} changes")
def step_proposed(context, count):
    assert len(context.proposed) == count, context.proposed


@when('"{name}" reports another disk and then nothing for {seconds:d} second')
def step_reports_disk(context, name, seconds):
    context.node = leader_of(context.members)
    context.node.progress[name].folder = "another"
    for other, progress in context.node.progress.items():
        if other == name:
            progress.reported_ms = NOW_MS - 1_000 * seconds - 500


@when('it hears of "{name}" only, and then of no one')
def step_hears_of_no_one(context, name):
    context.node = leader_of(context.members)
    for other, progress in context.node.progress.items():
        if other == name:
            progress.confirmed_ms, progress.confirmed_folder = NOW_MS, progress.folder
    later_ms = NOW_MS + context.node.timing.election_max_ms
    context.node.progress[name].reported_ms = later_ms
    tick(context.node, later_ms)


@then('it says that its quorum is lost, without "{names}"')
def step_says_lost(context, names):
    ended = context.node.last_step_down
    assert ended.cause == StepDownCause.QUORUM_LOST, ended
    assert ended.unheard == tuple(names.split()), ended


@then(
    "of {voters:d} voters with a quorum of {quorum:d} it reports {missing:d} as missing"
    " and {borne:d} losses as borne"
)
def step_summary(context, voters, quorum, missing, borne):
    cluster = context.cluster
    found = summarise_members(cluster.node, cluster.min_voters, cluster.now_ms)
    assert (found.voters, found.quorum) == (voters, quorum), found
    assert (len(found.missing), found.losses_borne) == (missing, borne), found


@then("it warns once that fewer losses are borne than promised")
def step_warns_once(context):
    cluster, lines = context.cluster, []
    controller = MembershipController(
        cluster.node, cluster.min_voters, None, lambda: cluster.now_ms
    )
    handler = logging.Handler()
    handler.emit = lines.append
    logger = logging.getLogger("mulberryledge_daemon.log.membership")
    logger.addHandler(handler)
    try:
        controller.check_losses_borne()
        controller.check_losses_borne()
        context.warnings = list(lines)
        cluster.node.set_term(cluster.node.term + 1)
        controller.check_losses_borne()
        context.warnings_of_both_terms = list(lines)
    finally:
        logger.removeHandler(handler)
    lines = context.warnings
    assert [one.levelno for one in lines] == [logging.WARNING], lines
    assert lines[0].losses_borne == 0 and lines[0].promised == 2


@when("a voter comes back without a usable disk, and a successor comes")
def step_without_disk(context):
    context.cluster = cluster = LedCluster(context.members, 3)
    lost = max(cluster.voters())
    cluster.without_disk.add(lost)
    cluster.come("n0")
    cluster.pass_time(3)
    cluster.live.discard(lost)


@when(
    "the standby answers chunks of a snapshot for {seconds:d} seconds, and nothing else"
)
def step_snapshot(context, seconds):
    context.node = node = leader_of(context.members)
    name = context.members.members[-1].name
    progress = node.progress[name]
    node.log.snapshot = replace(node.log.snapshot, index=200, data=bytes(1_000_000))
    node.commit = node.applied = node.durable = 200
    progress.reported_ms = NOW_MS - seconds * 1_000
    progress.match = 0
    reply = InstallSnapshotReply(node.term, f"disk-{name}", 200, 1, NOW_MS)
    on_install_snapshot_reply(node, name, reply, NOW_MS)
    node.take_effects()


@then("it warns again in its next term")
def step_warns_again(context):
    levels = [one.levelno for one in context.warnings_of_both_terms]
    assert levels == [logging.WARNING] * 2, levels
