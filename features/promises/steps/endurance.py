"""Steps on runs of real daemons under load and faults."""

from behave import then, when
from mulberryledge_testing.endurance.run import run
from mulberryledge_testing.failed_runs import folder_kept_on_failure
from mulberryledge_testing.reactor_thread import run_coroutine
from twisted.internet import reactor

SLACK_S = 150.0


@when(
    "three voters and four learners serve 24 callers for {seconds:d} seconds"
    " with seed {seed:d}"
)
def step_run(context, seconds, seed):
    with folder_kept_on_failure(lambda: bool(context.verdict.broken)) as folder:
        context.verdict = run_coroutine(
            lambda: run(reactor, folder, seconds, seed), seconds + SLACK_S
        )
    print(f"seed {seed}: {context.verdict.text()}")


@then("no promise is broken")
def step_unbroken(context):
    assert not context.verdict.broken, context.verdict.text()


@then("at least {calls:d} calls were answered and {jobs:d} jobs done")
def step_served(context, calls, jobs):
    verdict = context.verdict
    assert verdict.replies["answered"] >= calls, verdict.text()
    assert verdict.jobs_done >= jobs, verdict.text()


@then("at least {count:d} faults were brought about")
def step_faults(context, count):
    assert sum(context.verdict.faults.values()) >= count, context.verdict.text()


@then("a host was rebooted in a wave")
def step_rebooted(context):
    assert context.verdict.reboots >= 1, context.verdict.text()
