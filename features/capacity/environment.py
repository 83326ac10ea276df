"""Starts a reactor and a daemon for the scenarios over HTTP."""

import os

from behave import fixture, use_fixture
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)
from mulberryledge_testing.targets import StandInTarget
from result import Ok
from twisted.internet import reactor

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_core.model.hosts import Resources
from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.settings import DaemonSection, Settings

DOCUMENT = """
[service]
name = "settlements"
team = "accounts"
pool = "interior"
[queue]
lease_ms = 2000
may_checkpoint = true
"""


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


@fixture
def running_daemon(context):
    with open_daemon(reactor, Settings(daemon=DaemonSection("entry-1"))) as daemon:
        run_coroutine(daemon.start)
        key = make_key(os.urandom(KEY_BYTES))
        for command in (
            CreatePool("interior"),
            AddHost("host-1", "interior", resources=Resources(8.0, 16_000)),
            CreateTeam("accounts", upper_limit=4),
            ApplyDocument(DOCUMENT, 1),
            GiveKey(key.key_id, "accounts", key.salt, key.digest),
        ):
            outcome = run_coroutine(lambda one=command: daemon.log.propose(one))
            assert isinstance(outcome, Ok), outcome
        url = f"http://127.0.0.1:{daemon.callers_port}"
        context.caller = Caller(reactor, url, key.text)
        context.target = run_coroutine(lambda: start_target(context.caller))
        yield daemon
        run_coroutine(context.caller.close)
        run_coroutine(daemon.stop)


async def start_target(caller):
    target = StandInTarget(reactor, "t1", "host-1", "settlements", caller)
    target.listen()
    response = await target.announce()
    assert response.status == 200, response
    return target


def before_all(context):
    use_fixture(reactor_fixture, context)


def before_feature(context, feature):
    if "http" in feature.tags:
        context.daemon = use_fixture(running_daemon, context)
