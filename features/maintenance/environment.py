"""Starts one reactor for the scenarios with a real daemon."""

from contextlib import ExitStack

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import running_reactor


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


def before_all(context):
    use_fixture(reactor_fixture, context)


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
