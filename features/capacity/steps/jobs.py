"""Steps on jobs through the leader's tasks on a model clock."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise

from behave import given, then, when
from mulberryledge_testing.fleet.model import ModelFleet, Site
from mulberryledge_testing.fleet.truth import JobProfile
from mulberryledge_testing.soak.groups.capacity import run as run_faults
from result import Err
from twisted.internet.defer import Deferred, ensureDeferred

from mulberryledge_core.commands.fleet import LeaveTarget, MoveHost, SetHostPhase
from mulberryledge_core.commands.teams import WithdrawKey
from mulberryledge_core.commands.work import CancelJobs, EndJob, StartJob, SubmitJob
from mulberryledge_core.decisions.hold_reasons import hold_reason
from mulberryledge_core.decisions.queues import cancel_chunks
from mulberryledge_core.messages import TakeJob
from mulberryledge_core.model.hosts import HostPhase, Resources
from mulberryledge_core.model.jobs import JobPhase

SITE = Site(
    "test", ("a", "b"), services=1, workers=2, processors=16, memory_mb=32_768, slots=4
)
TEAMS = {"red": 1.0, "blue": 1.0}


@given("a fleet of {services:d} service with {workers:d} workers")
@given("a fleet of {services:d} services with {workers:d} workers")
def step_fleet(context, services, workers, limit=1_000):
    spare = 1 if services > 1 else 0
    site = replace(SITE, services=services, workers=workers, spare_hosts=spare)
    context.fleet = ModelFleet(site, TEAMS, limit)
    context.commands = []
    context.fleet.log.watch(lambda event: context.commands.append(event))


@given("a fleet of 1 service with 2 workers and an upper limit of 1")
def step_limited(context):
    step_fleet(context, 1, 2, limit=1)


def submit(context, job_id, run_s=1.0, repeatable=True, urgent=False, size=1.0, **more):
    nature = JobProfile("red", "service-0", run_s, repeatable=repeatable, **more)
    return context.fleet.submit(job_id, nature, urgent, size)


def job(context, job_id="job"):
    return context.fleet.log.state.jobs[job_id]


def holder(context, job_id="job"):
    return context.fleet.workers[job(context, job_id).target]


@given("a {kind} job of {s:d} s runs")
def step_runs(context, kind, s):
    submit(context, "job", s, kind == "repeatable")
    context.fleet.run(0.5)
    assert job(context).phase == JobPhase.RUNNING, job(context)
    context.first_target = job(context).target


@when("its worker is cut off")
def step_cut_off(context):
    holder(context).connected = False


@when("its key is withdrawn")
def step_withdraw(context):
    context.fleet.must(WithdrawKey("k"))


@when("{s:d} s go by")
def step_time(context, s):
    context.fleet.run(s)


@then('the job is "{phase}"')
def step_phase(context, phase):
    assert job(context).phase == phase, job(context)
    if phase == "running" and job(context).attempt > 1:
        assert job(context).target != context.first_target, job(context)


@when("another job is submitted")
def step_another(context):
    submit(context, "job-2", 100.0)


@then("no more than 1 job really runs during 30 s")
def step_one_runs(context):
    # The model asserts the limit at each start, by what really runs.
    context.fleet.run(30)
    assert context.fleet.run_recorder.running["red"] == 1
    assert sum(context.fleet.run_recorder.starts.values()) == 2, (
        context.fleet.run_recorder.starts
    )


@when("the leader changes every 2 s for 20 s")
def step_leaders(context):
    for _ in range(10):
        context.fleet.run(2)
        context.fleet.jobs.step_down()
        context.fleet.start_leader_tasks()


@when('its target hands it back, and says "{report}"')
def step_hand_back(context, report):
    context.fleet.must(
        EndJob("job", 1, JobPhase.QUEUED, key="k", not_run=report == "not run")
    )


@then('the job became "{phase}"')
def step_became(context, phase):
    found = job(context).phase
    assert found == phase, job(context)


@when("a taker {leaves} while a non-repeatable job is being started for it")
def step_goes_away(context, leaves):
    fleet = context.fleet
    for worker in fleet.workers.values():
        worker.connected = False
    fleet.run(11)
    propose, started = fleet.log.propose, Deferred()

    async def slow(command):
        if isinstance(command, StartJob) and not started.called:
            await started
        return await propose(command)

    fleet.log.propose = slow
    first, second = list(fleet.workers.values())
    request = TakeJob("service-0", first.name, first.generation, "k", 5_000)
    taking = ensureDeferred(fleet.log.ask(request))
    taking.addErrback(lambda failure: None)
    submit(context, "job", 5.0, repeatable=False)
    fleet.clock.advance(0.01)
    if leaves == "asks again":
        ensureDeferred(fleet.log.ask(replace(request, wait_ms=1)))
    else:
        taking.cancel()
    fleet.clock.advance(0.01)
    started.callback(None)
    second.connected = True


@then("the job runs once on another target")
def step_once_elsewhere(context):
    context.fleet.run(10)
    assert context.fleet.run_recorder.starts["job"] == 1, (
        context.fleet.run_recorder.starts
    )
    assert job(context).phase == JobPhase.DONE, job(context)


@when("a {kind} job that fails everywhere is submitted")
def step_fails(context, kind):
    submit(context, "job", 0.5, kind == "repeatable", fails=True)


@then("it ran {times:d} times on different targets")
def step_ran(context, times):
    assert context.fleet.run_recorder.starts["job"] == times, job(context)
    assert len(job(context).failed_on) == times, job(context)


def started(context):
    submit(context, "job", 100.0)
    context.fleet.run(0.5)
    return job(context)


def start(context, key="k", generation=0, service="service-0"):
    worker = next(iter(context.fleet.workers.values()))
    context.fleet.propose(SubmitJob("late", service, "red", b""))
    return StartJob("late", worker.name, worker.generation + generation, key)


def start_withdrawn(context):
    context.fleet.must(WithdrawKey("k"))
    return start(context)


def start_leaving(context):
    worker = next(iter(context.fleet.workers.values()))
    context.fleet.must(LeaveTarget(worker.name, worker.generation))
    return start(context)


def start_lost(context):
    context.fleet.lose(next(iter(context.fleet.workers.values())))
    return start(context)


def start_other_service(context):
    step_fleet(context, 2, 2)
    return start(context, service="service-1")


def end_withdrawn(context):
    started(context)
    context.fleet.must(WithdrawKey("k"))
    return EndJob("job", 1, JobPhase.DONE, key="k")


def end_older(context):
    started(context)
    context.fleet.must(EndJob("job", 1, JobPhase.QUEUED))
    context.fleet.run(0.5)
    return EndJob("job", 1, JobPhase.DONE, key="k")


def end_large(context):
    started(context)
    return EndJob("job", 1, JobPhase.DONE, bytes(2_000_000))


def submit_full(context):
    for worker in context.fleet.workers.values():
        context.fleet.lose(worker)
    state = context.fleet.log.state
    service = state.services["service-0"]
    queue = replace(service.document.queue, max_queued=2)
    document = replace(service.document, queue=queue)
    state.services["service-0"] = replace(service, document=document)
    for number in range(2):
        context.fleet.must(SubmitJob(f"job-{number}", "service-0", "red", b""))
    return SubmitJob("job-2", "service-0", "red", b"")


def submit_again(context):
    context.fleet.must(SubmitJob("job", "service-0", "red", b"one"))
    return SubmitJob("job", "service-0", "red", b"two")


def submit_negative(context):
    return SubmitJob("job", "service-0", "red", b"", size=Resources(-1.0))


REFUSED = {
    "start with a withdrawn key": start_withdrawn,
    "start on a leaving target": start_leaving,
    "start on a lost target": start_lost,
    "start under an older generation": lambda context: start(context, generation=-1),
    "start on another service's target": start_other_service,
    "end with a withdrawn key": end_withdrawn,
    "end an older attempt": end_older,
    "end with two megabytes": end_large,
    "submit a megabyte": lambda _: SubmitJob("j", "service-0", "red", bytes(1_000_000)),
    "submit to a full queue": submit_full,
    "submit another body under one id": submit_again,
    "submit a size below zero": submit_negative,
}


@then('"{command}" is refused as "{code}"')
def step_refused(context, command, code):
    refused = REFUSED[command](context)
    outcome = context.fleet.propose(refused)
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.code == code, outcome


@given("it is full of repeatable jobs of 60 s")
def step_full(context):
    for number in range(40):
        submit(context, f"long-{number}", 60.0)
    context.fleet.run(20)
    assert context.fleet.run_recorder.running["red"] == 16, (
        context.fleet.run_recorder.running
    )


@given("two teams fill it with repeatable jobs of 60 s")
def step_full_by_two(context):
    for number in range(40):
        team = ("red", "blue")[number % 2]
        nature = JobProfile(team, "service-0", 60.0)
        context.fleet.submit(f"long-{number}", nature)
    context.fleet.run(20)
    assert context.fleet.run_recorder.running == {"red": 8, "blue": 8}


@when("one team calls all jobs urgent and the other none for 60 s")
def step_all_urgent(context):
    context.held = Counter()
    for second in range(60):
        for number in range(20):
            for team in ("red", "blue"):
                nature = JobProfile(team, "service-0", 1.0)
                job_id = f"{team}-{second}-{number}"
                context.fleet.submit(job_id, nature, urgent=team == "red")
        context.fleet.run(1)
        if second >= 10:
            context.held.update(+context.fleet.run_recorder.running)


@then("the one has run at most 2 slots more than the other")
def step_bounded_gain(context):
    more = (context.held["red"] - context.held["blue"]) / 50
    assert more <= 2, context.held


@when("{count:d} urgent jobs come")
def step_urgent(context, count):
    context.urgent = [f"urgent-{number}" for number in range(count)]
    for job_id in context.urgent:
        submit(context, job_id, 1.0, urgent=True)


@then("all of them have started within 1.7 s")
def step_in_time(context):
    context.fleet.run(1.7)
    late = [one for one in context.urgent if one not in context.fleet.started]
    assert not late, late


@when("a job of 500 processors and 3 small jobs are submitted")
def step_large(context):
    submit(context, "large", size=500.0)
    for number in range(3):
        submit(context, f"small-{number}")


@then('the large job is held because it "{cause}"')
def step_held(context, cause):
    assert job(context, "large").phase == JobPhase.QUEUED, job(context, "large")
    causes = [one.cause for one in context.fleet.journal.decisions_on("job/large")]
    assert any(one.startswith(cause) for one in causes), causes
    reason = hold_reason(context.fleet.log.state, job(context, "large"))
    assert reason.startswith(cause), reason


@then("the small jobs are done")
def step_small(context):
    phases = {job(context, f"small-{number}").phase for number in range(3)}
    assert phases == {JobPhase.DONE}, phases


def jobs_for(context, seconds):
    for second in range(seconds):
        for number in range(6):
            context.submitted = getattr(context, "submitted", 0) + 1
            submit(context, f"flow-{context.submitted}-{second}-{number}", 1.0)
        context.fleet.run(1)


@when("one worker is broken and jobs come for {s:d} s")
def step_broken(context, s):
    context.broken = next(iter(context.fleet.workers.values()))
    context.broken.broken = True
    jobs_for(context, s)


@then("only that worker is quarantined")
def step_only(context):
    found = set(context.fleet.jobs.workers.quarantined)
    assert found == {context.broken.name}, found


@when("the worker is repaired and jobs come for {s:d} s")
def step_repaired(context, s):
    context.broken.broken = False
    jobs_for(context, s)


@then("no worker is quarantined")
def step_none(context):
    found = context.fleet.jobs.workers.quarantined
    assert not found, found


@when("one host is on probation and {count:d} jobs come for {s:d} s")
def step_probation(context, count, s):
    context.trial = next(iter(context.fleet.log.state.hosts))
    for before, after in pairwise(("serving", "cordoned", "probation")):
        change = SetHostPhase(context.trial, HostPhase(before), HostPhase(after))
        context.fleet.must(change)
    for number in range(count):
        submit(context, f"job-{number}", 60.0)
    context.fleet.run(s)


@then("{trial:d} job runs there and {rest:d} on the other host")
def step_trials(context, trial, rest):
    state = context.fleet.log.state
    hosts = Counter(
        state.targets[one.target].host
        for one in state.jobs.values()
        if one.phase == JobPhase.RUNNING
    )
    there = hosts.pop(context.trial, 0)
    assert (there, hosts.total()) == (trial, rest), (there, hosts)


@then("no start was refused")
def step_no_refusal(context):
    refused = [
        event.outcome
        for event in context.commands
        if isinstance(event.command, StartJob) and isinstance(event.outcome, Err)
    ]
    assert not refused, (len(refused), refused[0])


@when("{count:d} jobs are queued and then cancelled")
def step_wave(context, count):
    job_ids = tuple(f"job-{number}" for number in range(count))
    for job_id in job_ids:
        submit(context, job_id, 30.0)
    context.fleet.run(5)
    for part in cancel_chunks(job_ids):
        context.fleet.must(CancelJobs("red", part))


@then("no job is queued or running")
def step_nothing_left(context):
    phases = Counter(one.phase for one in context.fleet.log.state.jobs.values())
    assert set(phases) <= {JobPhase.CANCELLED, JobPhase.DONE}, phases
    assert not +context.fleet.run_recorder.running


@then("no command cancelled more than 500 jobs")
def step_chunks(context):
    commands = [event.command for event in context.commands]
    sizes = [len(one.job_ids) for one in commands if isinstance(one, CancelJobs)]
    assert sizes and max(sizes) <= 500, sizes


@then("no host was moved")
def step_not_moved(context):
    moved = [one for one in context.commands if isinstance(one.command, MoveHost)]
    assert not moved, moved


@when("one service asks for more than it holds for {s:d} s")
def step_short(context, s):
    for second in range(s):
        for number in range(12):
            submit(context, f"job-{second}-{number}", 2.0)
        context.fleet.run(1)


@then("a host was moved to its pool from another with nothing running on it")
def step_moved(context):
    moved = [one for one in context.commands if isinstance(one.command, MoveHost)]
    assert moved, context.fleet.moves.demand_trends
    assert moved[0].command.pool == "service-0", moved
    assert moved[0].command.expected_pool != "service-0", moved


@then("the faults of seed {seed:d} break no promise")
def step_faults(context, seed):
    print(seed, run_faults(seed))
