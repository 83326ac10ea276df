"""Steps on the folders of runs that succeed or fail."""

from behave import then, when
from mulberryledge_testing.failed_runs import folder_kept_on_failure


@when("a run writes a log and {outcome}")
def step_run(context, outcome):
    broken = outcome == "breaks a promise"
    try:
        with folder_kept_on_failure(lambda: broken, context.folder) as context.run:
            (context.run / "log").write_text("line")
            if outcome == "ends with an error":
                raise RuntimeError(outcome)
    except RuntimeError as error:
        assert str(error) == outcome


@then("its folder is kept")
def step_kept(context):
    assert (context.run / "log").read_text() == "line"


@then("its folder is removed")
def step_removed(context):
    assert not context.run.exists()
