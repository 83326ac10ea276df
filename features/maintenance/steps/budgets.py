"""Steps on outage counts and budgets, one command at a time."""

from behave import given, then, when
from mulberryledge_testing.upkeep.fakes import FakeClock, FakeCluster
from mulberryledge_testing.upkeep.fleets import LARGE, fleet_commands
from result import Err, Ok

from mulberryledge_core.commands.fleet import (
    AddHost,
    AnnounceTarget,
    CreatePool,
    DropTarget,
    LeaveTarget,
    MoveHost,
    RemoveHost,
    SetHostPhase,
)
from mulberryledge_core.commands.maintenance import (
    GrantPermit,
    ProveHost,
    ReleaseHost,
    StartWave,
)
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.state import restore, snapshot
from mulberryledge_core.state.budgets import OutageCounts, service_hosts

START_MS = 20_000 * 86_400_000
MINUTE_MS = 60_000
DOCUMENT = """
[service]
name = "routes"
team = "team"
pool = "interior"
[calls]
[availability]
max_hosts_out = {out}
max_hosts_out_per_zone = {zone}
max_hosts_out_per_rack = {rack}
min_hosts_serving = {serving}
outage_minutes = {minutes}
"""


def must(context, command):
    outcome = context.cluster.apply(command)
    assert isinstance(outcome, Ok), (command, outcome)
    return outcome.ok_value


def announce(context, number):
    context.incarnations[number] = context.incarnations.get(number, 0) + 1
    incarnation = str(context.incarnations[number])
    target = AnnounceTarget(
        f"t{number}",
        f"host-{number}",
        "routes",
        "127.0.0.1",
        1,
        key="key",
        instance=incarnation,
    )
    must(context, target)


@given('{count:d} hosts of one service with budget "{budget}"')
def step_hosts(context, count, budget):
    context.cluster = FakeCluster(FakeClock(START_MS))
    context.incarnations = {}
    fields = {"minutes": 0} | dict(pair.split("=") for pair in budget.split())
    for command in (
        CreateTeam("team"),
        GiveKey("key", "team", b"", b""),
        CreatePool("interior"),
        CreatePool("other"),
        ApplyDocument(DOCUMENT.format(**fields), 1),
    ):
        must(context, command)
    for number in range(count):
        zone = f"zone-{number % 3}"
        must(context, AddHost(f"host-{number}", "interior", "r", zone, "rack"))
        announce(context, number)
    names = tuple(f"host-{number}" for number in range(count))
    must(context, StartWave("wave", "interior", names))


@when("hosts {numbers} are lost")
def step_lose(context, numbers):
    for number in numbers.split(","):
        target = context.cluster.state.targets[f"t{number}"]
        must(context, DropTarget(target.name, target.generation, lost=True))
    if "outage_minutes = 20" in context.cluster.state.services["routes"].text:
        step_pass(context, 16)


@when("{minutes:d} minutes pass")
def step_pass(context, minutes):
    context.cluster.clock.advance(minutes * MINUTE_MS)
    must(context, CreatePool("other"))


@when("the target of host {number:d} is forgotten")
def step_forget(context, number):
    target = context.cluster.state.targets[f"t{number}"]
    must(context, DropTarget(target.name, target.generation))


@when("the target of host {number:d} leaves")
def step_leave(context, number):
    target = context.cluster.state.targets[f"t{number}"]
    must(context, LeaveTarget(target.name, target.generation))
    must(context, DropTarget(target.name, target.generation))


@when("host {number:d} announces itself again")
def step_announce(context, number):
    announce(context, number)


@when("the state is restored from a snapshot")
def step_restore(context):
    context.cluster.state = restore(snapshot(context.cluster.state))


@when("host {number:d} is proved")
def step_prove(context, number):
    must(context, ProveHost(f"host-{number}", "routes", 0))


@when("an operator moves host {number:d}")
def step_move(context, number):
    must(context, MoveHost(f"host-{number}", "interior", "other"))


@when("an operator releases host {number:d}")
def step_release(context, number):
    must(context, ReleaseHost(f"host-{number}", "routes"))


def grant(context, number):
    host = f"host-{number}"
    permit_id = context.cluster.state.waves["wave"].permit_id(host)
    return context.cluster.apply(GrantPermit(permit_id, "wave", host))


def refused(outcome, code):
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.code == code, outcome
    return outcome.err_value.message


@then('a permit for host {number:d} is refused with "{code}" naming "{field}"')
def step_refused(context, number, code, field):
    message = refused(grant(context, number), code)
    assert f" {field} is " in message, message


@then("a permit for host {number:d} is given")
def step_given(context, number):
    outcome = grant(context, number)
    assert isinstance(outcome, Ok), outcome


@then('cordoning host {number:d} is refused with "{code}"')
def step_cordon(context, number, code):
    phase = context.cluster.state.hosts[f"host-{number}"].phase
    command = SetHostPhase(f"host-{number}", phase, HostPhase.CORDONED)
    refused(context.cluster.apply(command), code)


@then('a planner\'s move of host {number:d} is refused with "{code}"')
def step_planned_move(context, number, code):
    command = MoveHost(f"host-{number}", "interior", "other", within_budgets=True)
    refused(context.cluster.apply(command), code)


@then('removing host {number:d} is refused with "{code}"')
def step_remove(context, number, code):
    refused(context.cluster.apply(RemoveHost(f"host-{number}")), code)


@then("{count:d} hosts count as out")
@then("{count:d} host counts as out")
def step_out(context, count):
    found = OutageCounts(context.cluster.state).counts["routes"].out_count
    assert found == count, found


@then("{count:d} hosts count for the service")
def step_members(context, count):
    found = service_hosts(context.cluster.state, "routes")
    assert len(found) == count, found


@given("the fleet of the size to design for")
def step_large(context):
    context.cluster = FakeCluster(FakeClock(START_MS))
    for command in fleet_commands(LARGE):
        must(context, command)


@then("counting one service visits each host once")
def step_visits(context):
    state = context.cluster.state
    visits = []

    class Hosts(dict):
        def values(self):
            visits.append(len(self))
            return super().values()

    state.hosts = Hosts(state.hosts)
    OutageCounts(state, ["service-0-0"])
    assert visits == [1_000], visits
