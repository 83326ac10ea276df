"""Steps that apply random logs of every command."""

import dataclasses
import typing

from behave import given, then
from hypothesis import (
    HealthCheck,
    seed,
    settings,
)
from hypothesis import (
    given as with_values,
)
from hypothesis import (
    strategies as st,
)
from result import Ok

from mulberryledge_core.commands import fleet, teams
from mulberryledge_core.commands.table import COMMANDS, decode_command, encode_command
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.state import ClusterState, Context, apply, restore, snapshot

EXAMPLES = 120
LOG_LENGTH = 50
NAMES = ("a", "b")
SMALL = st.integers(0, 3)
DOCUMENT = """
[service]
name = "{name}"
team = "{team}"
pool = "{pool}"
[calls]
repeatable = {repeatable}
[queue]
open = {repeatable}
"""
DOCUMENTS = st.builds(
    DOCUMENT.format,
    name=st.sampled_from(NAMES),
    team=st.sampled_from(NAMES),
    pool=st.sampled_from(NAMES),
    repeatable=st.sampled_from(("true", "false")),
)
BY_FIELD = {
    "text": DOCUMENTS,
    "hosts": st.lists(st.sampled_from(NAMES), max_size=2).map(tuple),
    "job_ids": st.lists(st.sampled_from(NAMES), max_size=2).map(tuple),
    "upper_limit": SMALL,
    "slots": SMALL,
}
BY_TYPE = {
    str: st.sampled_from(NAMES),
    int: st.integers(-1, 3),
    float: st.sampled_from((0.0, 1.0, 2.5)),
    bytes: st.sampled_from((b"", b"x")),
    bool: st.booleans(),
}


def values_of(kind):
    """Return a strategy for a type, and so for a whole command."""
    if kind in BY_TYPE:
        return BY_TYPE[kind]
    if typing.get_origin(kind) is tuple:
        return st.lists(values_of(typing.get_args(kind)[0]), max_size=2).map(tuple)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        fields = {}
        for name, hint in hints.items():
            plain = hint in BY_TYPE or name in ("text", "hosts", "job_ids")
            named = name in BY_FIELD and plain
            fields[name] = BY_FIELD[name] if named else values_of(hint)
        return st.builds(kind, **fields)
    return st.from_type(kind)


SETUP = tuple(
    command
    for name in NAMES
    for command in (
        fleet.CreatePool(name),
        fleet.AddHost(name, name),
        teams.CreateTeam(name, upper_limit=2),
        teams.GiveKey(name, name, b"", b"x"),
        teams.ApplyDocument(
            DOCUMENT.format(name=name, team=name, pool=name, repeatable="true"), 1
        ),
        fleet.AnnounceTarget(name, name, name, "127.0.0.1", 1, slots=2, key=name),
        COMMANDS["OpenSession"](name, name),
        COMMANDS["SubmitJob"](name, name, name, b"x"),
    )
)
ANY_COMMAND = st.one_of([values_of(kind) for kind in COMMANDS.values()])
LOGS = st.lists(ANY_COMMAND, min_size=1, max_size=LOG_LENGTH)


def fit(state, command):
    """Give a command the generation, attempt and version that the state has."""
    names = {field.name for field in dataclasses.fields(command)}
    change = {}
    target = state.targets.get(getattr(command, "target", getattr(command, "name", "")))
    if "generation" in names and target is not None and command.generation != 0:
        change["generation"] = target.generation
    job = state.jobs.get(getattr(command, "job_id", ""))
    if "attempt" in names and job is not None and command.attempt != 0:
        change["attempt"] = job.attempt
    if isinstance(getattr(command, "slots", None), tuple):
        change["slots"] = tuple(
            dataclasses.replace(
                grant, generation=state.targets[grant.target].generation
            )
            for grant in command.slots
            if grant.target in state.targets
        )
    if isinstance(command, teams.ApplyDocument) and command.version > 0:
        name = command.text.partition('name = "')[2][:1]
        service = state.services.get(name)
        version = (service.version if service else 0) + command.version % 2
        change["version"] = version
    return dataclasses.replace(command, **change) if change else command


def play(state, command):
    """Apply a command after a round trip through its encoding."""
    decoded = decode_command(encode_command(command))
    assert decoded == command, (decoded, command)
    context = Context(state.applied_index + 1, state.now_ms + 7)
    return apply(state, decoded, context)


def prepared():
    """Return a state with two of everything."""
    state = ClusterState()
    for command in SETUP:
        assert isinstance(play(state, command), Ok), command
    return state


def each_log(context, check):
    """Run a check over random logs with the scenario's seed."""

    @seed(context.seed)
    @settings(
        max_examples=EXAMPLES,
        database=None,
        deadline=None,
        derandomize=False,
        suppress_health_check=list(HealthCheck),
    )
    @with_values(LOGS)
    def run(log):
        check(log)

    run()


@given("random logs of every command with seed {number:d}")
def step_logs(context, number):
    print(f"seed {number}")
    context.seed = number


@then("replay from a snapshot at any cut gives equal state and equal outcomes")
def step_replay(context):
    def check(log):
        state = prepared()
        fitted, outcomes, cuts = [], [], []
        for command in log:
            cuts.append(snapshot(state))
            fitted.append(fit(state, command))
            outcomes.append(play(state, fitted[-1]))
        for cut in {0, len(log) // 2, len(log) - 1}:
            replica = restore(cuts[cut])
            replayed = [play(replica, command) for command in fitted[cut:]]
            assert replayed == outcomes[cut:]
            assert snapshot(replica) == snapshot(state)

    each_log(context, check)


@then("a refused command leaves the state as it was")
def step_refused(context):
    def check(log):
        state = prepared()
        for command in log:
            before = restore(snapshot(state))
            outcome = play(state, fit(state, command))
            if isinstance(outcome, Ok):
                continue
            before.applied_index = state.applied_index
            before.now_ms = state.now_ms
            assert before == state, command

    each_log(context, check)


@then("tallies and indexes equal a recount after each command")
def step_recount(context):
    def check(log):
        state = prepared()
        for command in log:
            play(state, fit(state, command))
            fresh = restore(snapshot(state)).indexes
            live = state.indexes
            for name, value in vars(live).items():
                recounted = getattr(fresh, name)
                left = getattr(value, "sums", None) or getattr(value, "groups", None)
                right = getattr(recounted, "sums", None) or getattr(
                    recounted, "groups", None
                )
                assert left == right, (name, command)

    each_log(context, check)


def used(state):
    """Return the use by team and by target, summed over the rows."""
    by_team, by_target = {}, {}
    for session in state.sessions.values():
        for grant in session.permits:
            by_team[grant.team] = by_team.get(grant.team, 0) + grant.permits
        for grant in session.slots:
            by_target[grant.target] = by_target.get(grant.target, 0) + grant.slots
    for job in state.jobs.values():
        if job.phase == JobPhase.RUNNING:
            by_team[job.team] = by_team.get(job.team, 0) + 1
            by_target[job.target] = by_target.get(job.target, 0) + 1
    return by_team, by_target


@then("no team and no target is ever given more than its limit")
def step_limits(context):
    def check(log):
        state = prepared()
        for command in log:
            teams_before, targets_before = used(state)
            play(state, fit(state, command))
            teams_after, targets_after = used(state)
            for team, count in teams_after.items():
                if count > teams_before.get(team, 0):
                    assert count <= state.teams[team].upper_limit, command
            for target, count in targets_after.items():
                if count > targets_before.get(target, 0):
                    assert count <= state.targets[target].slots, command

    each_log(context, check)


@then("every host belongs to one pool that exists")
def step_pools(context):
    def check(log):
        state = prepared()
        for command in log:
            play(state, fit(state, command))
            for host in state.hosts.values():
                assert host.pool in state.pools, command

    each_log(context, check)


@then("each successful configuration command sent again changes nothing")
def step_resend(context):
    kinds = (
        fleet.CreatePool,
        fleet.AddHost,
        fleet.MoveHost,
        fleet.SetHostPhase,
        teams.CreateTeam,
        teams.SetTeamQuota,
        teams.GiveKey,
        teams.WithdrawKey,
        teams.ApplyDocument,
    )

    def check(log):
        state = prepared()
        for drawn in log:
            command = fit(state, drawn)
            first = play(state, command)
            if isinstance(first, Ok) and isinstance(command, kinds):
                before = restore(snapshot(state))
                again = play(state, command)
                assert isinstance(again, Ok), (command, again)
                before.applied_index = state.applied_index
                before.now_ms = state.now_ms
                assert before == state, command

    each_log(context, check)
