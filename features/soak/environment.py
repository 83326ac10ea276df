"""
One reactor for the targets on loopback, which end with each scenario, and a folder for
the logs of each run, kept if the scenario fails.
"""

from contextlib import ExitStack

from behave import fixture, use_fixture
from behave.model_type import Status
from mulberryledge_testing.failed_runs import folder_kept_on_failure
from mulberryledge_testing.reactor_thread import running_reactor


@fixture
def run_folder(context, scenario):
    with folder_kept_on_failure(lambda: scenario.status != Status.passed) as folder:
        yield folder


def before_all(context):
    context.run_stack = ExitStack()
    context.run_stack.enter_context(running_reactor())


def before_scenario(context, scenario):
    context.folder = use_fixture(run_folder, context, scenario)
    context.scenario_stack = ExitStack()


def after_scenario(context, scenario):
    context.scenario_stack.close()


def after_all(context):
    context.run_stack.close()
