"""Steps on targets that leave."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.defer import ensureDeferred, succeed

from mulberryledge_core.batch.commands import ChangeSet, EndIncarnation, RecordTarget
from mulberryledge_core.batch.machine import BatchMachine
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.state.tables import Context
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.scheduling_cycles import CommitOutcome
from mulberryledge_platform.core import Core
from mulberryledge_platform.http_server import WebRequest

TERM, NAME = 1, "i-7f3a91c2"


@given("a core machine that knows a {state} target started at {started_ms:d}")
def core_with_target(context, state, started_ms):
    machine = BatchMachine()
    target = Target(
        name=NAME,
        started_ms=started_ms,
        host="m-1",
        address="10.0.0.9:8080",
        pool="plans",
        availability_zone="",
        rack="r1",
        labels=("r1",),
        capacity=Size(1_000, 64),
        draining=state == "draining",
    )

    def submit(change):
        context.changes.append(change)
        return succeed(CommitOutcome.YES)

    machine.apply(ChangeSet(TERM, (RecordTarget(target, 1),)), Context(1, 0, TERM))
    context.changes = []
    context.core = Core.__new__(Core)  # without its ports
    context.core.state = machine.state
    context.calls = []
    session = SimpleNamespace(check_presence=lambda: context.calls.append(NAME))
    scheduler = context.core.scheduler = Scheduler.__new__(Scheduler)
    scheduler.state = machine.state
    scheduler.cycles = SimpleNamespace(submit=submit)
    scheduler.sessions = {target.incarnation: session}
    context.incarnation = target.incarnation


@when("a leave of its name arrives with the body {body}")
def leave_arrives(context, body):
    sent = "" if body == "nothing" else body
    path = f"/Instances.Leave/{NAME}"
    request = WebRequest("POST", "core", path, sent.encode())
    context.replies = []
    answered = ensureDeferred(context.core.on_leave(NAME, request))
    answered.addCallback(context.replies.append)


@then("the leave is acknowledged, and the target {outcome}")
def leave_acknowledged(context, outcome):
    assert [reply.status for reply in context.replies] == [200], context.replies
    ended = [EndIncarnation(context.incarnation)] if outcome == "is ended" else []
    assert context.changes == ended, context.changes
    assert context.calls == ([NAME] if outcome == "is called" else []), context.calls
