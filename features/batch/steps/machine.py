"""Steps on the replicated state of jobs."""

from dataclasses import replace
from random import Random

from behave import given, then, when

from mulberryledge_core.batch.commands import (
    BeginWave,
    CancelJob,
    ChangeSet,
    EndIncarnation,
    EndRun,
    MarkUpkeep,
    OpenOccurrence,
    PutConfiguration,
    RecordTarget,
    RemoveJobs,
    RunEnd,
    StartRun,
    SubmitJob,
)
from mulberryledge_core.batch.configuration import (
    FleetConfiguration,
    PoolConfig,
    Queue,
    TeamConfig,
)
from mulberryledge_core.batch.machine import BatchMachine
from mulberryledge_core.batch.records import UpkeepPhase
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, Schedule, StepSpec, TaskId
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.state.tables import Context

JOB = "0123456789abcdef"
TERM = 3


def target(name, born_ms=1, host=None):
    return Target(
        name,
        born_ms,
        host or f"m-{name}",
        f"10.0.0.{ord(name[0])}:80",
        "rounds",
        "z1",
        "r1",
        ("a", "r1"),
        Size(8_000, 8_000),
    )


def configuration(attempts=3):
    queue = Queue("plans", "h", "/p/", "rounds", max_attempts=attempts)
    fleet = FleetConfiguration(
        1, (queue,), (PoolConfig("rounds"),), (TeamConfig("dispatch", ("k",)),)
    )
    return PutConfiguration(fleet, b"{}")


class Replica:
    """Applies change sets to a state machine, as the log does."""

    def __init__(self):
        self.machine = BatchMachine()
        self.index = 0

    @property
    def state(self):
        return self.machine.state

    def apply(self, *changes, term=TERM):
        self.index += 1
        planned = self.machine.decode(self.machine.encode(ChangeSet(term, changes)))
        return self.machine.apply(
            planned, Context(self.index, 1_000 + self.index, TERM)
        )


def comparable(state):
    """Return the fields of a state in a form that compares by value."""
    plain = {
        key: value
        for key, value in vars(state).items()
        if key not in ("open_steps", "team_used", "waiting")
    }
    plain["open_steps"] = {
        name: set(steps) for name, steps in state.open_steps.items() if steps
    }
    plain["team_used"] = {
        name: used for name, used in state.team_used.items() if used != type(used)()
    }
    plain["waiting"] = {name: count for name, count in state.waiting.items() if count}
    return plain


def random_history(seed):
    """Apply random changes, most of which are valid."""
    random = Random(seed)
    replica = Replica()
    replica.apply(configuration(2))
    names = "abc"
    for _ in range(120):
        replica.apply(*(random_change(random, replica, names) for _ in range(3)))
    return replica


def random_change(random, replica, names):
    state = replica.state
    jobs = list(state.jobs) or ["none"]
    incarnations = list(state.targets) or ["none"]
    kind = random.randrange(12)
    if kind == 0:
        one = target(random.choice(names), random.randint(1, 5))
        one = replace(one, draining=random.random() < 0.3)
        if random.random() < 0.3:
            host = random.choice(("", "m-a", "m-b", "m-z"))
            address = f"10.0.0.{random.choice((97, 98, 255))}:80"
            one = replace(one, host=host, address=address)
        return RecordTarget(one, random.randint(0, 3))
    if kind == 1:
        return EndIncarnation(random.choice(incarnations))
    if kind in (2, 3):
        return SubmitJob(
            f"{random.randrange(40):016x}", "plans", "dispatch", random_spec(random)
        )
    if kind == 4 and random.random() < 0.3:
        return CancelJob(random.choice(jobs))
    if kind == 5 and random.random() < 0.3:
        return RemoveJobs((random.choice(jobs),))
    if kind == 6:
        job = state.jobs.get(random.choice(jobs))
        number = job.next_occurrence if job is not None else 0
        return OpenOccurrence(random.choice(jobs), number)
    if kind == 7:
        return BeginWave(random.randint(1, 3), ("m-a", "m-b"), 20_000, 1)
    if kind == 8:
        phase = random.choice(list(UpkeepPhase))
        return MarkUpkeep(random.randint(1, 3), "m-a", phase, "a@1")
    live = [
        (key, incarnation)
        for incarnation in state.runs
        for key in state.live_runs(incarnation)
    ]
    if kind in (9, 10) and live:
        (task, run), _ = random.choice(live)
        return EndRun(*task, run, random.choice(list(RunEnd)), "c")
    for steps in state.open_steps.values():
        for step_id, step in steps.items():
            if step.idle and random.random() < 0.5:
                index = random.choice(list(step.idle))
                run = step.tasks[index].run + 1
                return StartRun(*step_id, index, run, random.choice(incarnations))
    return EndIncarnation("none")


def random_spec(random):
    steps = []
    for number in range(random.randint(1, 3)):
        after = (random.randrange(number),) if number else ()
        steps.append(
            StepSpec(
                random.randint(1, 3),
                Size(100, 100),
                after=after,
                gang=random.random() < 0.2,
                long_running=random.random() < 0.1,
                speculative=random.random() < 0.2,
            )
        )
    schedule = Schedule(0, 10, 3) if random.random() < 0.2 else None
    return JobSpec("text", tuple(steps), schedule)


@then(
    "in {count:d} random histories a restored replica has the same state and"
    " derived state"
)
def same_state(context, count):
    for seed in range(count):
        replica = random_history(seed)
        other = BatchMachine()
        other.restore(replica.machine.snapshot())
        ours, theirs = comparable(replica.state), comparable(other.state)
        for key in ours:
            assert ours[key] == theirs[key], (seed, key, ours[key], theirs[key])


@then("a change set that was planned in another term changes nothing")
def obsolete_term(context):
    replica = random_history(1)
    before = BatchMachine()
    before.restore(replica.machine.snapshot())
    outcome = replica.apply(RecordTarget(target("z")), term=TERM + 1)
    assert outcome.is_err()
    assert "z@1" not in replica.state.targets
    assert replica.state.stored == before.state.stored
    assert comparable(replica.state)["runs"] == comparable(before.state)["runs"]


def submit(context, spec, attempts):
    context.replica = Replica()
    context.replica.apply(configuration(attempts))
    context.replica.apply(RecordTarget(target("a")), RecordTarget(target("b")))
    context.replica.apply(SubmitJob(JOB, "plans", "dispatch", spec))


@given(
    "a job of two steps with two tasks each and {attempts:d} attempts, and two targets"
)
def two_steps(context, attempts):
    step = StepSpec(2, Size(100, 100))
    after = StepSpec(2, Size(100, 100), after=(0,))
    submit(context, JobSpec("text", (step, after)), attempts)


@given("a gang of three tasks with {attempts:d} attempts, and two targets")
def gang(context, attempts):
    step = StepSpec(3, Size(100, 100), gang=True)
    submit(context, JobSpec("text", (step,)), attempts)


@given("a job with three occurrences")
def occurrences(context):
    step = StepSpec(1, Size(100, 100))
    submit(context, JobSpec("text", (step,), Schedule(0, 10, 3)), 1)


def start(context, step, index, run=1, incarnation="a@1", occurrence=0):
    context.replica.apply(StartRun(JOB, occurrence, step, index, run, incarnation))


def end(context, step, index, how, run=1, occurrence=0):
    context.replica.apply(EndRun(JOB, occurrence, step, index, run, how))


def start_and_end(context, how, times):
    for run in range(1, times + 1):
        start(context, 0, 0, run)
        end(context, 0, 0, how, run)


def run_steps(context, steps):
    for step in steps:
        for index in range(2):
            start(context, step, index)
            end(context, step, index, RunEnd.DONE)


def expire_then_complete(context):
    start(context, 0, 0)
    end(context, 0, 0, RunEnd.LEASE_EXPIRED)
    end(context, 0, 0, RunEnd.DONE)


def start_and_lose(context):
    start(context, 0, 0)
    context.replica.apply(EndIncarnation("a@1"))


def start_and_cancel(context):
    start(context, 0, 0)
    context.replica.apply(CancelJob(JOB))


def announce(context, number, draining=False):
    known = replace(target("a"), draining=draining)
    context.replica.apply(RecordTarget(known, number))


def leave_then(context, next_event):
    context.replica.apply(EndIncarnation("a@1"))
    next_event()


EVENTS = {
    "target a announces as number 5 that it drains": lambda context: announce(
        context, 5, draining=True
    ),
    "it announces as number 4 that it is ready": lambda context: announce(context, 4),
    "it announces as number 6 that it is ready": lambda context: announce(context, 6),
    "it leaves and announces that it is ready": lambda context: leave_then(
        context, lambda: announce(context, 9)
    ),
    "it leaves and restarts as a later incarnation": lambda context: leave_then(
        context, lambda: context.replica.apply(RecordTarget(target("a", 2), 1))
    ),
    "nothing happens": lambda context: None,
    "task 0.0 starts": lambda context: start(context, 0, 0),
    "task 0.0 and 0.1 start and are done": lambda context: run_steps(context, (0,)),
    "all tasks start and are done": lambda context: run_steps(context, (0, 1)),
    "task 0.0 starts and fails": lambda context: start_and_end(
        context, RunEnd.FAILED, 1
    ),
    "task 0.0 starts and fails 3 times": lambda context: start_and_end(
        context, RunEnd.FAILED, 3
    ),
    "task 0.0 starts and is refused 5 times": lambda context: start_and_end(
        context, RunEnd.REFUSED, 5
    ),
    "task 0.0 starts on target a, which is lost": start_and_lose,
    "task 0.0 starts, its lease expires, and it is done": expire_then_complete,
    "task 0.0 starts on a target that is gone": lambda context: start(
        context, 0, 0, incarnation="gone@1"
    ),
    "task 0.0 starts and the job is cancelled": start_and_cancel,
    "the same job is submitted again": lambda context: context.replica.apply(
        SubmitJob(JOB, "plans", "dispatch", context.replica.state.jobs[JOB].spec)
    ),
}


@when("the gang starts and one member is done")
def gang_done(context):
    for index in range(3):
        start(context, 0, index)
    end(context, 0, 1, RunEnd.DONE)


@when("the gang starts, one member fails and the others are aborted, twice")
def gang_fails(context):
    for run in (1, 2):
        for index in range(3):
            start(context, 0, index, run)
        end(context, 0, 1, RunEnd.FAILED, run)
        end(context, 0, 0, RunEnd.GANG_ABORTED, run)
        end(context, 0, 2, RunEnd.GANG_ABORTED, run)


def run_gang(context, run, checkpoints):
    for index in range(3):
        start(context, 0, index, run)
    for index, checkpoint in enumerate(checkpoints.split()):
        saved = "" if checkpoint == "none" else checkpoint
        context.replica.apply(EndRun(JOB, 0, 0, index, run, RunEnd.GANG_ABORTED, saved))


@when("the gang starts, and its members end with checkpoints {checkpoints}")
def first_gang_run(context, checkpoints):
    run_gang(context, 1, checkpoints)


@when("it starts again, and its members end with checkpoints {checkpoints}")
def second_gang_run(context, checkpoints):
    run_gang(context, 2, checkpoints)


@when('the end of its first run is listed again with checkpoint "{checkpoint}"')
def listed_late(context, checkpoint):
    context.replica.apply(EndRun(JOB, 0, 0, 0, 1, RunEnd.GANG_ABORTED, checkpoint))


@then('all members resume from "{checkpoint}"')
@then('all members resume from ""')
def members_resume(context, checkpoint=""):
    state = context.replica.state
    found = {state.resumed_checkpoint(TaskId(JOB, 0, 0, index)) for index in range(3)}
    assert found == {checkpoint}, found


@when("task 0.0 starts on target a, which restarts as a later incarnation")
def later_incarnation(context):
    start(context, 0, 0)
    context.replica.apply(RecordTarget(target("a", born_ms=9)))


@when("an earlier incarnation of target a is announced late")
def late_announcement(context):
    context.replica.apply(RecordTarget(target("a", born_ms=1)))


@then("the later incarnation of target a is current")
def later_is_current(context):
    incarnations = [
        incarnation
        for incarnation in context.replica.state.targets
        if incarnation.startswith("a@")
    ]
    assert incarnations == ["a@9"], incarnations


@when("target a announces {what}, leaves, and a later target starts on its host")
def announce_elsewhere(context, what):
    changed = {
        "no host": {"host": ""},
        "another host": {"host": "m-z"},
        "another address": {"address": "10.0.0.255:80"},
    }
    apply = context.replica.apply
    apply(RecordTarget(replace(target("a"), **changed[what]), 1))
    apply(EndIncarnation("a@1"))
    apply(RecordTarget(replace(target("z", 9, "m-a"), address=target("a").address)))


@then("the later target is current")
def later_target_is_current(context):
    state = context.replica.state
    assert "z@9" in state.targets and "a@1" not in state.targets, state.targets
    assert state.incarnations_by_host["m-a"] == "z@9", state.incarnations_by_host


@when("two occurrences become due")
def two_due(context):
    for number in range(2):
        context.replica.apply(OpenOccurrence(JOB, number))


@then("it has two occurrences with idle tasks, and is not complete")
def two_open(context):
    job = context.replica.state.jobs[JOB]
    assert sorted(job.occurrences) == [0, 1]
    assert not job.ended


@when("all occurrences become due and all their tasks are done")
def all_due(context):
    context.replica.apply(OpenOccurrence(JOB, 2))
    for number in range(3):
        start(context, 0, 0, occurrence=number)
        end(context, 0, 0, RunEnd.DONE, occurrence=number)


@when("{events}")
def run_events(context, events):
    EVENTS[events](context)


@then("the job is {phase}")
def phase_is(context, phase):
    assert context.replica.state.jobs[JOB].phase == phase


def idle_of(context, number):
    job = context.replica.state.jobs[JOB]
    if job.ended:
        return []
    step = job.occurrences[0].steps[number]
    return [] if step.blockers else sorted(step.idle)


@then("step 0 has idle tasks {first} and step 1 {second}")
def idle_are(context, first, second):
    for number, text in ((0, first), (1, second)):
        expected = [] if text == "none" else [int(index) for index in text.split()]
        assert idle_of(context, number) == expected, (number, idle_of(context, number))


@then("target a is {expected}")
def target_state_is(context, expected):
    state = context.replica.state
    found = state.targets.get(state.incarnations_by_name.get("a"))
    phase = "gone" if found is None else "draining" if found.draining else "ready"
    assert phase == expected, phase


@then("a restored replica knows the same")
def restored_knows_same(context):
    restored = BatchMachine()
    restored.restore(context.replica.machine.snapshot())
    assert restored.state.stored == context.replica.state.stored
