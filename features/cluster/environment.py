"""A folder and a cluster of child processes for each scenario."""

import tempfile
from pathlib import Path

from behave import fixture, use_fixture


@fixture
def scratch_folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def before_scenario(context, scenario):
    context.folder = use_fixture(scratch_folder, context)
    context.pools = set()
    context.asked = set()
