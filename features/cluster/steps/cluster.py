"""Steps on clusters of real daemons."""

import shutil
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from mulberryledge_testing.processes import running_cluster, status, wait_until
from result import Ok

from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
)

TIMEOUT_S = 15.0
WRITERS = 12


@given("a cluster of {voters:d} voters and {learners:d} learners")
def step_cluster(context, voters, learners):
    manager = running_cluster(context.folder, voters, learners)
    context.cluster = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.cluster.wait_ready()


def create(context, name, *daemons):
    context.asked.add(name)
    outcome = context.cluster.operator(*daemons).propose(CreatePool(name))
    if isinstance(outcome, Ok):
        context.pools.add(name)
    return outcome


def create_surely(context, name, *daemons):
    wait_until(lambda: isinstance(create(context, name, *daemons), Ok), name, TIMEOUT_S)


def view(daemon):
    return status(f"{daemon.operators_url}/v1/cluster")


@when(
    "{count:d} pools are created through all daemons"
    " and the leader is killed after {some:d}"
)
def step_create_under_kill(context, count, some):
    cluster = context.cluster
    for number in range(count):
        if number == some:
            context.killed = cluster.leader()
            cluster.kill(context.killed)
        daemons = cluster.running()
        create(context, f"pool-{number}", daemons[number % len(daemons)].name)
    assert len(context.pools) >= count - 5, context.pools


@when("{count:d} pools are created")
def step_create_many(context, count):
    names = [f"pool-{number}" for number in range(count)]
    with ThreadPoolExecutor(WRITERS) as pool:
        list(pool.map(lambda name: create_surely(context, name), names))


@when('pool "{name}" is created')
def step_create(context, name):
    running = [one.name for one in context.cluster.running()]
    paused = getattr(context, "paused", ())
    create_surely(context, name, *(one for one in running if one not in paused))


@then("every acknowledged pool is on every daemon that runs")
def step_all_there(context):
    def missing():
        return {
            daemon.name: context.pools - set(pools(context, daemon.name))
            for daemon in context.cluster.running()
        }

    wait_until(lambda: not any(missing().values()), "acknowledged pools", TIMEOUT_S)


def pools(context, name):
    outcome = context.cluster.operator(name).fetch_rows("pools")
    return outcome.unwrap_or({})


@then("no pool is there that was never asked for")
def step_none_else(context):
    for daemon in context.cluster.running():
        assert set(pools(context, daemon.name)) <= context.asked


@when("the killed daemon starts again")
def step_start_again(context):
    context.cluster.start(context.killed)
    context.cluster.wait_ready(context.killed)


@when("a follower is killed and its data folder removed")
def step_wipe(context):
    leader = context.cluster.leader()
    voters = [one for one in context.cluster.daemons.values() if one.data_folder]
    follower = next(one for one in voters if one.name != leader)
    context.killed = follower.name
    context.old_folder = view(follower)["folder"]
    context.cluster.kill(follower.name)
    shutil.rmtree(follower.data_folder)


@then("the wiped daemon votes neither under its old name nor its new folder")
def step_no_vote(context):
    leader = context.cluster.daemons[context.cluster.leader()]
    rows = {row["member"]["name"]: row for row in view(leader)["members"]}
    row = rows[context.killed]
    assert row["member"]["folder"] == context.old_folder, row
    assert row["folder_seen"] not in ("", context.old_folder), row
    others = [one for one in context.cluster.daemons if one.startswith("v")]
    others.remove(context.killed)
    follower = next(one for one in others if one != leader.name)
    context.cluster.pause(follower)
    wait_until(lambda: not view(leader).get("leads"), "no quorum", TIMEOUT_S)
    time.sleep(2.0)
    assert not view(leader)["leads"]
    assert not view(context.cluster.daemons[context.killed])["leads"]
    context.cluster.resume(follower)
    context.cluster.leader()


@when("the wiped daemon is demoted and promoted again")
def step_repair(context):
    name = context.killed
    folder = view(context.cluster.daemons[name])["folder"]
    for command in (DemoteMember(name), PromoteMember(name, folder)):
        operator = context.cluster.operator()
        wait_until(lambda: isinstance(operator.propose(command), Ok), str(command))  # noqa: B023


@when("the leader is killed")
def step_kill_leader(context):
    context.cluster.kill(context.cluster.leader())


@when("every daemon is killed and started again")
def step_restart_all(context):
    for name in context.cluster.daemons:
        context.cluster.kill(name)
    context.cluster.start()
    context.cluster.wait_ready()


@when("the leader is paused")
def step_pause_leader(context):
    context.paused = (context.cluster.leader(),)
    context.cluster.pause(*context.paused)


@when("all voters are paused")
def step_pause_voters(context):
    context.paused = [one for one in context.cluster.daemons if one.startswith("v")]
    for name in context.paused:
        context.cluster.pause(name)


@when("the paused daemon wakes up")
@when("the paused daemons wake up")
def step_wake(context):
    for name in context.paused:
        context.cluster.resume(name)


@then('it never was ready again without pool "{name}"')
def step_not_stale(context, name):
    daemon = context.cluster.daemons[context.paused[0]]

    def ready():
        is_ready = daemon.is_ready()
        has_pool = name in pools(context, daemon.name)
        assert has_pool or not is_ready, "ready with an old state"
        return is_ready and has_pool

    wait_until(ready, "the paused daemon catches up", TIMEOUT_S)


@then("every learner stops being ready within {seconds:d} seconds")
def step_learners_stop(context, seconds):
    learners = [one for one in context.cluster.daemons.values() if not one.data_folder]
    wait_until(
        lambda: not any(one.is_ready() for one in learners), "leases end", seconds
    )


@then('daemon "{name}" stops being ready within {seconds:d} seconds')
def step_one_stops(context, name, seconds):
    daemon = context.cluster.daemons[name]
    wait_until(lambda: not daemon.is_ready(), "its lease ends", seconds)


@then("every daemon is ready again")
def step_ready(context):
    context.cluster.wait_ready()


@when('daemon "{name}" is removed')
def step_remove(context, name):
    outcome = context.cluster.operator("v1").propose(RemoveMember(name))
    assert isinstance(outcome, Ok), outcome


@when('daemon "{name}" is added again')
def step_add(context, name):
    daemon = context.cluster.daemons[name]
    command = AddMember(name, "127.0.0.1", daemon.peers_port)
    outcome = context.cluster.operator("v1").propose(command)
    assert isinstance(outcome, Ok), outcome


@then("the term stays the same for {seconds:d} seconds")
def step_term(context, seconds):
    leader = context.cluster.daemons[context.cluster.leader()]
    term = view(leader)["term"]
    time.sleep(seconds)
    assert view(leader)["term"] == term and view(leader)["leads"]


@when("the leader is stopped")
def step_stop_leader(context):
    leader = context.cluster.daemons[context.cluster.leader()]
    context.term = view(leader)["term"]
    assert context.cluster.stop(leader.name) == 0
    context.stopped = leader


@then("its log says that it stopped, and the next leader's term is one higher")
def step_handed_over(context):
    assert context.stopped.log_lines("stopped")
    leader = context.cluster.daemons[context.cluster.leader()]
    assert view(leader)["term"] == context.term + 1, view(leader)
    lines = [line["leader"] for line in leader.log_lines("leader")]
    assert lines[-3:-1] == [context.stopped.name, ""], lines


@then("every daemon that runs is ready without a pause")
def step_no_pause(context):
    for _ in range(20):
        assert all(one.is_ready() for one in context.cluster.running())
