"""Starts one reactor for the suite, and a daemon for each scenario."""

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    start_reactor,
    stop_reactor,
)
from twisted.internet import reactor

from mulberryledge_core.keys import digest_secret
from mulberryledge_daemon import open_daemon
from mulberryledge_daemon.settings import (
    DaemonSection,
    OperatorSection,
    Settings,
    TimingSection,
)

SALT = bytes(16)


@fixture
def running_reactor(context):
    thread = start_reactor()
    yield
    stop_reactor(thread)


@fixture
def running_daemon(context):
    settings = Settings(
        daemon=DaemonSection("entry-1", availability_zone="nizwa"),
        operator=OperatorSection(
            "operator", SALT.hex(), digest_secret(SALT, "test").hex()
        ),
        timing=TimingSection(target_lease_s=1.0, probation_s=0.2, stop_timeout_s=2.0),
    )
    with open_daemon(reactor, settings) as daemon:
        run_coroutine(daemon.start)
        yield daemon
        run_coroutine(daemon.stop)


def before_all(context):
    use_fixture(running_reactor, context)


def before_scenario(context, scenario):
    context.daemon = use_fixture(running_daemon, context)
