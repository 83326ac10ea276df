"""Gives each scenario a folder, and ends what it started."""

import tempfile

from behave import fixture, use_fixture


@fixture
def temporary_folder(context):
    with tempfile.TemporaryDirectory() as folder:
        yield folder


def before_scenario(context, scenario):
    context.folder = use_fixture(temporary_folder, context)
