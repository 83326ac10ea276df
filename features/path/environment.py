"""Starts one reactor for the suite, and one daemon or more for each scenario."""

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)
from mulberryledge_testing.views import LogView, SharedLog
from twisted.internet import reactor

from mulberryledge_core.keys import digest_secret
from mulberryledge_daemon.daemon import Daemon
from mulberryledge_daemon.settings import (
    DaemonSection,
    OperatorSection,
    Settings,
    TimingSection,
)

SALT = bytes(16)
ENTRIES_TAG = "entries."


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


def settings_of(name, zone):
    return Settings(
        daemon=DaemonSection(name, availability_zone=zone),
        operator=OperatorSection(
            "operator", SALT.hex(), digest_secret(SALT, "test").hex()
        ),
        timing=TimingSection(
            target_lease_s=30.0, tick_s=0.05, probation_s=0.2, stop_timeout_s=2.0
        ),
    )


@fixture
def running_daemons(context, count):
    """Daemons entry-1 and so on on one log; the first one leads."""
    log = SharedLog()
    context.views, context.daemons = {}, {}
    for number in range(1, count + 1):
        name = f"entry-{number}"
        view = LogView(log, f"life-{number}", leads=number == 1)
        daemon = Daemon(reactor, settings_of(name, f"z{number - 1}"), view)
        context.views[name], context.daemons[name] = view, daemon
        run_coroutine(daemon.start)
    yield
    for daemon in context.daemons.values():
        if not daemon.stopping:
            run_coroutine(daemon.stop)


def before_all(context):
    use_fixture(reactor_fixture, context)


def before_scenario(context, scenario):
    counts = [tag for tag in scenario.effective_tags if tag.startswith(ENTRIES_TAG)]
    count = int(counts[0].removeprefix(ENTRIES_TAG)) if counts else 1
    use_fixture(running_daemons, context, count)
    context.daemon = context.daemons["entry-1"]


def after_scenario(context, scenario):
    for begun in getattr(context, "begun", ()):
        begun.addErrback(lambda failure: None)
