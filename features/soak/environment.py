"""A folder for the logs of each run, kept if the scenario fails."""

from behave import fixture, use_fixture
from behave.model_type import Status
from mulberryledge_testing.failed_runs import folder_kept_on_failure


@fixture
def run_folder(context, scenario):
    with folder_kept_on_failure(lambda: scenario.status != Status.passed) as folder:
        yield folder


def before_scenario(context, scenario):
    context.folder = use_fixture(run_folder, context, scenario)
