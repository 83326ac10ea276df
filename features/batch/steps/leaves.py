"""Steps on targets that leave."""

from dataclasses import replace

from behave import when

MARGIN_S = 0.1


def drain(day, process):
    """Let a target announce that it drains."""
    process.target = replace(process.target, draining=True)
    day.leader.record_target(process.target, int(process.now_ms()))
    day.pass_time(MARGIN_S)


STARTS = {
    "of an earlier process": lambda target: target.started_ms - 1,
    "of the present process": lambda target: target.started_ms,
}


def targets_with_runs(context):
    targets = context.fixture.day.fleet.targets
    return [(host, process) for host, process in targets.items() if process.running]


@when("a leave {what} arrives from each target")
def late_leave(context, what):
    day = context.fixture.day
    # The processes of this fleet run on, as those do that a late message is not of.
    for _, process in targets_with_runs(context):
        if what.endswith("drains"):
            drain(day, process)
        started_ms = STARTS.get(what, lambda target: 0)(process.target)
        day.leader.record_leave(process.target.name, started_ms)
    day.pass_time(MARGIN_S)


@when("the targets with runs end after a leave that does not tell their start")
def silent_leave(context):
    day = context.fixture.day
    for host, process in targets_with_runs(context):
        day.fleet.end_target(host)
        day.leader.record_leave(process.target.name)
