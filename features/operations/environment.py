"""Starts the reactor once, and a daemon for each scenario that is tagged so."""

import sys
import tempfile
from pathlib import Path

from behave import fixture, use_fixture
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)
from twisted.internet import reactor

from mulberryledge_core.keys import digest_secret
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.settings import DaemonSection, OperatorSection, Settings

sys.path.insert(0, str(Path(__file__).parent))

SALT = bytes(16)
OPERATOR_KEY = "mlk_operator_test"


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


@fixture
def running_daemon(context):
    settings = Settings(
        daemon=DaemonSection(
            "entry-1", availability_zone="nizwa", data_folder=context.folder
        ),
        operator=OperatorSection(
            "operator", SALT.hex(), digest_secret(SALT, "test").hex()
        ),
    )
    with open_daemon(reactor, settings) as daemon:
        run_coroutine(daemon.start)
        yield daemon
        run_coroutine(daemon.stop)


@fixture
def temporary_folder(context):
    with tempfile.TemporaryDirectory() as folder:
        yield folder


def before_all(context):
    use_fixture(reactor_fixture, context)


def before_scenario(context, scenario):
    context.state = ClusterState()
    context.folder = use_fixture(temporary_folder, context)
    context.operator_key = OPERATOR_KEY
    if "tls" in scenario.effective_tags:
        return
    if "daemon" in scenario.effective_tags:
        context.daemon = use_fixture(running_daemon, context)
        context.entries = context.entry = (
            f"http://127.0.0.1:{context.daemon.operators_port}"
        )
