"""Steps on hosts that are emptied for their upkeep while jobs wait."""

from behave import then, when

from mulberryledge_core.batch.commands import BeginWave

WAVE = 1
WAVE_MS = 6_000  # so short that both hosts are emptied at once


@when("the upkeep of the hosts of these targets is requested")
def request_upkeep(context):
    day = context.fixture.day
    hosts = tuple(one.target.host for one in context.labelled_targets)
    day.fleet.cloud.waves[WAVE] = set(hosts)
    day.leader.cycles.submit(BeginWave(WAVE, hosts, WAVE_MS, len(hosts)))


@then("no new task may start on these targets")
def targets_closed(context):
    leader = context.fixture.day.leader
    for process in context.labelled_targets:
        assert leader.is_cordoned(process.target.host), process.target


@then("the upkeep of these hosts is done")
def wave_complete(context):
    wave = context.fixture.day.leader.state.waves[WAVE]
    assert wave.completed, wave
