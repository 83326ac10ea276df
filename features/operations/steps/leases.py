"""Steps on the leases of targets, with a clock of their own."""

from itertools import pairwise

from behave import given, then, when
from mulberryledge_testing.bench.sizing.fleets import FleetSize, commands_for
from steps_common import run
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from mulberryledge_core.messages import TargetsSeen
from mulberryledge_daemon.leader.leases import TargetLeases


class LeaderFake:
    """The log and the channel of a leader, over one state."""

    def __init__(self, state):
        self.state = state

    def serve(self, kind, handler):
        self.handler = handler

    async def propose(self, command):
        return run(self.state, command)


def see(context, names):
    generations = sorted(context.state.targets[name].generation for name in names)
    gaps = (after - before for before, after in pairwise((0, *generations)))
    message = TargetsSeen("entry-1", tuple(gaps))
    Deferred.fromCoroutine(context.leader.handler(message))


def check(context):
    Deferred.fromCoroutine(context.leases.tick())


@given("{count:d} targets with a lease of {lease:d} s, all seen now")
def step_targets(context, count, lease):
    for command in commands_for(FleetSize(workers=count)):
        assert run(context.state, command).is_ok(), command
    context.clock = Clock()
    context.leader = LeaderFake(context.state)
    context.leases = TargetLeases(context.clock, context.leader, context.leader, lease)
    see(context, context.state.targets)


@when("{seconds:d} s pass with a check each {step:g} s")
def step_pass(context, seconds, step):
    for _ in range(round(seconds / step)):
        context.clock.advance(step)
        check(context)


@when(
    "{seconds:d} s pass with a check each {step:g} s"
    ' and target "{one}" and "{two}" are seen'
)
def step_pass_seen(context, seconds, step, one, two):
    for _ in range(round(seconds / step)):
        context.clock.advance(step)
        check(context)
    see(context, [name.replace("t-", "target-") for name in (one, two)])


@when("{seconds:d} s pass without a check")
def step_absent(context, seconds):
    context.clock.advance(seconds)


def lost(context):
    targets = context.state.targets.values()
    return {target.name for target in targets if target.phase == "lost"}


@then('target "{name}" is lost and the others serve')
def step_lost(context, name):
    assert lost(context) == {name.replace("t-", "target-")}, lost(context)


@then("no target is lost")
def step_none(context):
    assert not lost(context), lost(context)


@then("every target is lost")
def step_all(context):
    assert lost(context) == set(context.state.targets), lost(context)
