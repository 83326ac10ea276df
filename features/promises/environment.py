"""Starts one reactor for the suite."""

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import start_reactor, stop_reactor


@fixture
def running_reactor(context):
    thread = start_reactor()
    yield
    stop_reactor(thread)


def before_all(context):
    use_fixture(running_reactor, context)
