"""One reactor in the background for the suite."""

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import running_reactor


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


def before_all(context):
    use_fixture(reactor_fixture, context)
