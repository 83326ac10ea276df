"""Steps on the recovery from one data folder."""

import shutil
import subprocess
import sys
from pathlib import Path

from behave import then, when
from mulberryledge_testing.processes import status, wait_until
from result import Ok

from mulberryledge_core.commands.members import AddMember, PromoteMember

TIMEOUT_S = 15.0


@when("every daemon is killed")
def step_kill_all(context):
    for name in context.cluster.daemons:
        context.cluster.kill(name)


def recover(context, name, *options):
    binary = Path(sys.executable).with_name("mulberryledged")
    settings = context.cluster.daemons[name].settings_path
    return subprocess.run(
        [binary, "recover", settings, *options], capture_output=True, check=True
    )


def files(context):
    folder = context.cluster.daemons["v1"].data_folder
    return {path.name: path.read_bytes() for path in folder.iterdir()}


@when('daemon "{name}" is recovered without consent')
def step_dry(context, name):
    context.before = files(context)
    recover(context, name)


@then("its data folder is unchanged")
def step_unchanged(context):
    assert files(context) == context.before


@when('daemon "{name}" is recovered')
def step_recover(context, name):
    done = recover(context, name, "--yes")
    assert b'"generation": 2' in done.stdout, done


@when('only daemon "{name}" starts')
def step_start_only(context, name):
    context.cluster.start(name)
    context.cluster.wait_ready(name)


@when('daemon "{name}" starts with its old folder')
def step_start_old(context, name):
    context.cluster.start(name)


@then('daemon "{name}" is refused for its generation')
def step_refused(context, name):
    daemon = context.cluster.daemons[name]

    def refused():
        lines = daemon.log_lines("peer refused")
        return any("generation" in line["why"] for line in lines)

    wait_until(refused, "refused for its generation", TIMEOUT_S)
    assert not daemon.is_ready()
    context.cluster.kill(name)


@when('daemon "{name}" starts with an empty folder and is made a voter')
def step_join(context, name):
    cluster = context.cluster
    daemon = cluster.daemons[name]
    shutil.rmtree(daemon.data_folder)
    cluster.start(name)
    operator = cluster.operator("v1")
    added = operator.propose(AddMember(name, "127.0.0.1", daemon.peers_port))
    assert isinstance(added, Ok), added
    cluster.wait_ready(name)
    folder = status(f"{daemon.operators_url}/v1/cluster")["folder"]
    promote = PromoteMember(name, folder)
    wait_until(lambda: isinstance(operator.propose(promote), Ok), "promoted")


@then('daemon "{name}" counts {count:d} voters of generation {generation:d}')
def step_voters(context, name, count, generation):
    url = context.cluster.daemons[name].operators_url
    seen = status(f"{url}/v1/cluster")
    voters = [row for row in seen["members"] if row["member"]["folder"]]
    assert (len(voters), seen["generation"]) == (count, generation), seen
