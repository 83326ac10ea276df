"""Starts one reactor for the scenarios with a real daemon."""

from contextlib import ExitStack

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import start_reactor, stop_reactor


@fixture
def running_reactor(context):
    thread = start_reactor()
    yield
    stop_reactor(thread)


def before_all(context):
    use_fixture(running_reactor, context)


def before_scenario(context, scenario):
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
