"""Steps on clusters of daemon processes."""

import json
import threading
import time
from pathlib import Path

import httpx
from behave import given, then, when
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.processes import running_cluster, wait_until
from mulberryledge_testing.reactor_thread import run_coroutine
from mulberryledge_testing.targets import StandInTarget
from steps_common import DOCUMENT, operate
from twisted.internet import reactor

from mulberryledge_cli.client import OperatorClient
from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam

POOL = "interior"
RACE_VERSIONS = 8
KILL_AT_VERSION = 3


@given("{voters:d} voters and {learners:d} learners run")
def step_cluster(context, voters, learners):
    running = running_cluster(Path(context.folder), voters, learners)
    context.cluster = running.__enter__()
    context.add_cleanup(running.__exit__, None, None, None)
    context.cluster.wait_ready()
    context.client = context.cluster.operator()
    context.entries = ",".join(context.client.entries)
    context.operator_key = context.client.key


@given('pool "{pool}" and team "{team}" are there')
def step_set_up(context, pool, team):
    for command in (CreatePool(pool), CreateTeam(team), AddHost("host-1", pool)):
        outcome = context.client.propose(command)
        assert outcome.is_ok() and not outcome.ok_value["waiting"], outcome


def rows(daemon, key, name="plans"):
    """Return a service as one entry has it, or None if the entry is not fresh."""
    client = OperatorClient((daemon.operators_url,), key)
    outcome = client.send_once(daemon.operators_url, "GET", "/v1/tables/services", None)
    return outcome.ok_value["rows"].get(name) if outcome.is_ok() else None


def version_on(context, daemon):
    row = rows(daemon, context.operator_key)
    return row["history"][-1]["version"] if row else 0


@then("every entry has version {version:d}")
def step_versions(context, version):
    for daemon in context.cluster.running():
        assert version_on(context, daemon) == version, daemon.name


def learner(context):
    return next(
        daemon
        for daemon in context.cluster.daemons.values()
        if daemon.data_folder is None
    )


@when("a learner is paused")
def step_pause(context):
    context.paused = learner(context)
    context.cluster.pause(context.paused.name)
    context.add_cleanup(context.cluster.resume, context.paused.name)
    others = [
        url for url in context.client.entries if url != context.paused.operators_url
    ]
    context.entries = ",".join(others)


@when("the learner is resumed")
def step_resume(context):
    context.cluster.resume(context.paused.name)


@then("it took less than {seconds:d} s")
def step_took(context, seconds):
    assert context.took_s < seconds, context.took_s


@then("it never shows version 1 as fresh, and has version 2 within {seconds:d} s")
def step_fresh(context, seconds):
    end = time.monotonic() + seconds
    versions = set()
    while 2 not in versions and time.monotonic() < end:
        versions.add(version_on(context, context.paused))
    assert 2 in versions and 1 not in versions, versions


@then("{count:d} calls with the key to the learner are refused as not run")
def step_refused(context, count):
    url = f"{context.paused.callers_url}/v1/services/plans/calls/today"
    headers = {"Authorization": f"Bearer {context.keys[0]}"}
    for _ in range(count):
        response = httpx.post(url, headers=headers, trust_env=False)
        said = response.json()
        assert said["outcome"] == "not-run", said
        assert said["code"] in ("bad-key", "not-fresh"), said


@when("the leader is killed while two operators apply 8 versions each")
def step_race(context):
    context.leader = context.cluster.leader()
    context.won = {}

    def race(operator):
        client = context.cluster.operator()
        for version in range(1, RACE_VERSIONS + 1):
            text = DOCUMENT.format(deadline=1_000 * version + operator)
            outcome = client.propose(ApplyDocument(text, version))
            while outcome.is_err() and outcome.err_value.code != "conflict":
                outcome = client.propose(ApplyDocument(text, version))
            if outcome.is_ok():
                context.won.setdefault(version, []).append(text)
            if version == KILL_AT_VERSION and operator == 0:
                context.cluster.kill(context.leader)

    operators = [threading.Thread(target=race, args=(n,)) for n in range(2)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()


@then("every number was won by one text, and every entry has the last one")
def step_won(context):
    assert sorted(context.won) == list(range(1, RACE_VERSIONS + 1)), context.won
    assert all(len(texts) == 1 for texts in context.won.values()), context.won
    for daemon in context.cluster.running():
        wait_until(
            lambda one=daemon: version_on(context, one) == RACE_VERSIONS,
            f"{daemon.name} has the last version",
        )
        history = rows(daemon, context.operator_key)["history"]
        texts = {one["version"]: one["text"] for one in history}
        assert texts == {number: won[0] for number, won in context.won.items()}


@then('"{line}" shows the killed daemon as missing')
def step_missing(context, line):
    operate(context, line)
    killed = context.cluster.daemons[context.leader]
    assert f"{killed.operators_url}" in context.shown
    assert "no-entry" in context.shown and "leader" in context.shown, context.shown


@given('a target serves "{service}"')
def step_target(context, service):
    daemon = next(iter(context.cluster.daemons.values()))
    context.caller = Caller(reactor, daemon.callers_url, context.keys[0])

    async def start():
        target = StandInTarget(reactor, "t1", "host-1", service, context.caller)
        target.listen()
        response = await target.announce()
        assert response.status == 200, response
        return target

    async def close():
        await context.target.close()

    context.target = run_coroutine(start)
    context.add_cleanup(run_coroutine, close)
    context.add_cleanup(run_coroutine, context.caller.close)


@when("{count:d} calls are sent through each entry")
def step_calls(context, count):
    headers = {"Authorization": f"Bearer {context.keys[0]}"}
    for daemon in context.cluster.running():
        url = f"{daemon.callers_url}/v1/services/plans/calls/today"
        for _ in range(count):
            response = httpx.post(url, headers=headers, trust_env=False, timeout=10)
            assert response.status_code == 200, response.text


@then('"{line}" counts {calls:d} good calls by {daemons:d} daemons')
def step_report(context, line, calls, daemons):
    operate(context, line)
    report = json.loads(context.shown)
    assert len(report["daemons"]) == daemons, report["daemons"]
    (burn,) = [one for one in report["burns"] if not one["team"]]
    longest = max(burn["windows"], key=lambda one: one["window_s"])
    counts = longest["counts"]
    assert counts["good"] == calls and sum(counts.values()) == calls, counts


@when("a voter is stopped and started again")
def step_restart(context):
    name = next(iter(context.cluster.daemons))
    assert context.cluster.stop(name) == 0
    context.cluster.start(name)
    context.cluster.wait_ready()
