"""Steps on stops of long-running tasks that the soak's witness sees."""

from random import Random
from types import SimpleNamespace

from behave import given, then, when
from mulberryledge_testing.batch.witness import STARTUP_S
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.configuration import FleetConfiguration
from mulberryledge_core.batch.sizes import NOTHING, Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec, TaskId
from mulberryledge_platform.http_client import HttpResponse
from mulberryledge_platform_testing.soak.callers import OK, Callers, SoakJob
from mulberryledge_platform_testing.soak.promises import SoakWitness

JOB, OTHER_JOB = "a" * 16, "b" * 16
ENTRY = "entry-1"


def job_of(job_id):
    """Return a job of three long-running tasks of which one may be unavailable."""
    step = StepSpec(3, NOTHING, long_running=True, max_unavailable=1)
    return SoakJob(job_id, b"", JobSpec("", (step,)))


@given("three long-running tasks at work, of which one may be unavailable")
def step_tasks(context):
    clock = Clock()
    context.witness = SoakWitness(clock, FleetConfiguration())
    context.witness.submitted[JOB] = job_of(JOB)
    target = SimpleNamespace(
        incarnation="i-1", labels=(), capacity=Size(1, 1), draining=False
    )
    behaviour = SimpleNamespace(hangs=False)
    context.target = SimpleNamespace(target=target, running={}, behaviour=behaviour)
    context.tasks = [TaskId(JOB, 0, 0, index) for index in range(3)]
    for task in context.tasks:
        context.witness.on_event("start", context.target, task, 1, None)
    clock.advance(STARTUP_S)


@when("nothing is cancelled")
def step_nothing(context):
    pass


@when("the cancellation of another job is sent")
def step_other(context):
    cancel(context, OTHER_JOB, Deferred())


@when("the cancellation of their job is sent")
def step_sent(context):
    cancel(context, JOB, Deferred())


@when("the cancellation of their job is acknowledged")
def step_acknowledged(context):
    cancel(context, JOB, succeed(HttpResponse(OK, b"")))


def cancel(context, job_id, answer):
    """Let a caller cancel a job through an entry that gives an answer."""
    witness = context.witness
    client = SimpleNamespace(request=lambda address, request: answer)
    callers = Callers(
        witness.clock, Random(1), {ENTRY: None}, witness, clients={ENTRY: client}
    )
    ensureDeferred(callers.cancel(job_of(job_id)))


@when("two of them are stopped")
def step_stopped(context):
    for task in context.tasks[:2]:
        context.witness.on_event("end", context.target, task, 1, RunEnd.STOPPED)


@then("{count} of the stops is reported as above the limit")
def step_reported(context, count):
    problems = context.witness.problems
    assert len(problems) == {"one": 1, "none": 0}[count], problems
    assert all("is stopped while 1 others are away" in one for one in problems)
