"""Steps on targets that return on trial after an exclusion."""

from collections import defaultdict

from behave import then, when

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec

LABEL = "b"


@when("these targets shed all starts for {seconds:d} seconds")
def shed(context, seconds):
    day = context.fixture.day
    context.events = defaultdict(list)
    check_event = day.checker.on_event

    def on_event(what, target, task, run, how):
        if what != "noted":
            context.events[target.target.name].append(what)
        check_event(what, target, task, run, how)

    for process in context.labelled_targets:
        process.watch = on_event
        process.behaviour.sheds = True
        day.at(float(seconds), setattr, process.behaviour, "sheds", False)


def submit_spread(context, tasks, duration_ms, long_running):
    """Submit a job whose tasks run on different targets with the label."""
    fixture = context.fixture
    size = Size(2_000, 512)
    step = StepSpec(
        tasks,
        size,
        int(duration_ms),
        required_label=LABEL,
        max_per_target=1,
        long_running=long_running,
    )
    usual_ms, fixture.duration_ms = fixture.duration_ms, duration_ms
    fixture.submit(step)
    fixture.duration_ms = usual_ms


@when(
    'a job of {tasks:d} long-running tasks with label "b" is submitted, one for each'
    " target"
)
def submit_long_running(context, tasks):
    submit_spread(context, tasks, 0.0, long_running=True)


@when(
    'a job of {tasks:d} tasks of {seconds:d} seconds with label "b" is submitted, one'
    " for each target"
)
def submit_long(context, tasks, seconds):
    submit_spread(context, tasks, 1_000.0 * seconds, long_running=False)


@then("each of these targets runs {count:d} task")
def each_runs(context, count):
    found = [len(process.running) for process in context.labelled_targets]
    assert found == [count] * len(found), found


@then("each of these targets ran one task alone first")
def alone_first(context):
    for process in context.labelled_targets:
        events = context.events[process.target.name]
        assert events[:2] == ["start", "end"] and len(events) > 2, events
