"""Steps on jobs and drains over a fleet in memory."""

from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from result import Err, Ok
from waves import HOUR_MS, canary, host_of, step_probation

from mulberryledge_core.commands.fleet import (
    LeaveTarget,
)
from mulberryledge_core.commands.work import EndJob, StartJob, SubmitJob
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_daemon.leader.drains import make_preempt_job


@when("its canary fails its first jobs")
def step_fails_jobs(context):
    step_probation(context)
    for number in range(2):
        context.world.return_slot(canary(context).host)
        job_id = start_job(context, canary(context).host, f"job-{number}")
        context.world.must(EndJob(job_id, 1, JobPhase.FAILED))


def start_job(context, host, job_id):
    world = context.world
    target = world.state.targets[f"{host}-t"]
    world.must(SubmitJob(job_id, target.service, "team", b""))
    world.must(StartJob(job_id, target.name, target.generation, "key"))
    return job_id


@when("a job of an hour runs on the canary")
def step_long_job(context):
    for number in range(18):
        start_job(context, f"host-0-{number}", f"job-{number}")


@then("the operator is told of the job and its expected end")
def step_told(context):
    host = canary(context).host
    number = host.rpartition("-")[2]
    job = context.world.state.jobs[f"job-{number}"]
    cause = f"job '{job.job_id}' holds the drain, expected end"
    told = [one for one in context.world.decisions if one.subject == f"host/{host}"]
    end_ms = job.started_ms + HOUR_MS
    assert any(cause in one.cause and str(end_ms) in one.cause for one in told), told


@then('the canary is "{phase}" and its job still runs')
def step_still_runs(context, phase):
    host = canary(context).host
    assert host_of(context, host).phase == phase, host_of(context, host)
    job = context.world.state.jobs[f"job-{host.rpartition('-')[2]}"]
    assert job.phase == JobPhase.RUNNING, job


@given('the queues allow "{allowed}" and their jobs are {kind}')
def step_queues(context, allowed, kind):
    world = context.world
    repeatable = kind == "repeatable"
    for service in list(world.state.services.values()):
        queue = replace(
            service.document.queue, repeatable=repeatable, **{allowed: True}
        )
        document = replace(service.document, queue=queue)
        world.state.services[service.name] = replace(service, document=document)
    context.orders = {}
    orders = SimpleNamespace(order=lambda one, order: keep_order(context, one, order))
    world.preempt_job = make_preempt_job(world.leader.log, orders)


def keep_order(context, attempt, order):
    context.orders[attempt.job_id] = order


@then('the canary\'s job was asked to "{order}"')
def step_asked(context, order):
    number = canary(context).host.rpartition("-")[2]
    assert context.orders.get(f"job-{number}", "none") == order, context.orders
    others = set(context.orders) - {f"job-{number}"}
    assert not others, context.orders


@when("a planner drains hosts of one service one after the other")
def step_planner_drains(context):
    context.outcomes = [leave(context, host, True) for host in one_service(context)]


def one_service(context):
    services = context.world.services
    return [host for host in services if services[host] == "service-0-0"][:2]


def leave(context, host, within_budgets):
    target = context.world.state.targets[f"{host}-t"]
    command = LeaveTarget(target.name, target.generation, within_budgets)
    return context.world.propose(command)


@then('the second drain is refused with "{code}"')
def step_second_drain(context, code):
    first, second = context.outcomes
    assert isinstance(first, Ok), first
    assert isinstance(second, Err), second
    assert second.err_value.code == code, second


@then("a target that says so itself leaves")
def step_leaves(context):
    outcome = leave(context, one_service(context)[1], False)
    assert isinstance(outcome, Ok), outcome
