"""Starts one reactor for the suite, and real daemons for each scenario."""

import tempfile
from pathlib import Path

from behave import fixture, use_fixture
from mulberryledge_testing.processes import running_cluster
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)
from mulberryledge_testing.scripted import ScriptedTarget
from twisted.internet import reactor


@fixture
def reactor_fixture(context):
    with running_reactor():
        yield


@fixture
def running_daemons(context):
    async def open_target():
        return ScriptedTarget(reactor)

    context.target = run_coroutine(open_target)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder), voters=3, learners=2) as cluster,
    ):
        context.cluster = cluster
        cluster.wait_ready()
        yield
    run_coroutine(context.target.close)


def before_all(context):
    use_fixture(reactor_fixture, context)


def before_scenario(context, scenario):
    use_fixture(running_daemons, context)
