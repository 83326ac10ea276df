"""Steps on lists that do not show everything."""

from dataclasses import replace

from behave import then, when
from mulberryledge_testing.batch.play import DAEMONS

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import StepSpec

SMALL = Size(50, 100)  # 1,200 fit on one target
ELECTION_S = 1.0
CUT_S = 2.0


@when("a job of {count:d} tasks that fit on one target is submitted")
def submit_small_tasks(context, count):
    fixture = context.fixture
    context.step = StepSpec(count, SMALL, int(fixture.duration_ms))
    context.reply = fixture.submit(context.step)
    fleet = fixture.day.fleet
    (context.full_target,) = [one for one in fleet.targets.values() if one.running]
    assert len(context.full_target.running) == count, len(context.full_target.running)


def pass_until_runs_end(context, margin_s):
    """Let time pass until shortly before the runs of the full target end."""
    day, target = context.fixture.day, context.full_target
    ends_ms = min(run.ends_ms for run in target.running.values())
    day.pass_time((ends_ms - target.now_ms()) / 1_000 / target.rate - margin_s)
    assert target.running and not target.number, target.number


@when("the leader is replaced while all of them end")
def replace_leader(context):
    pass_until_runs_end(context, ELECTION_S / 2)
    day = context.fixture.day
    day.log.leader = ""
    day.pass_time(ELECTION_S)
    assert not context.full_target.running, len(context.full_target.running)
    day.log.elect(DAEMONS[1])


@when("their target is cut off while all of them end")
def cut_off_target(context):
    pass_until_runs_end(context, CUT_S / 2)
    day, host = context.fixture.day, context.full_target.target.host
    day.fleet.faults.cut.add(host)
    day.pass_time(CUT_S)
    day.fleet.faults.cut.discard(host)


@when("the cloud's lists lack the host of one of its tasks and are {state}")
def shorten_lists(context, state):
    fleet = context.fixture.day.fleet
    host = next(host for host, process in fleet.targets.items() if process.running)
    context.unlisted_host = host
    list_hosts = fleet.cloud.list_hosts

    async def list_fewer():
        view = await list_hosts()
        rows = tuple(row for row in view.hosts if row.host != host)
        return replace(view, hosts=rows, truncated=state == "incomplete")

    fleet.cloud.list_hosts = list_fewer


@when("that host is cut off for {seconds:d} seconds")
def cut_off_host(context, seconds):
    day = context.fixture.day
    day.fleet.faults.cut.add(context.unlisted_host)
    day.pass_time(seconds)
    day.fleet.faults.cut.discard(context.unlisted_host)
    day.pass_time(1)


@then("tasks were started again: {again}")
def started_again(context, again):
    starts = context.fixture.day.checker.starts
    assert (starts > context.step.count) == (again == "yes"), starts
