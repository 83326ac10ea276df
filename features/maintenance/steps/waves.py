"""Steps on waves and permits over a fleet in memory."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from mulberryledge_testing.upkeep.chaos import Chaos
from mulberryledge_testing.upkeep.checks import check_world
from mulberryledge_testing.upkeep.fleets import Fleet
from mulberryledge_testing.upkeep.world import World
from result import Err

from mulberryledge_core.commands.fleet import (
    DropTarget,
    MoveHost,
    RemoveHost,
)
from mulberryledge_core.commands.maintenance import (
    HoldHost,
    HoldService,
    SetWavePhase,
    StartWave,
)
from mulberryledge_core.decisions.waves import plan_wave
from mulberryledge_core.model.maintenance import (
    OPEN_STEPS,
    LongJobs,
    MaintenanceStep,
    Wave,
    WavePhase,
)
from mulberryledge_daemon.ports import RebootState

SECOND_MS = 1_000
MINUTE_MS = 60_000
HOUR_MS = 3_600_000
LIMIT_MS = 6 * HOUR_MS
FLEET = Fleet("feature", ("a", "b", "c"), 2, 3, 6, 3)


@given("a fleet of 2 pools with 3 services on 6 hosts each")
def step_fleet(context):
    make_world(context, FLEET)


@given("every other host of pool 1 serves a service of pool 0")
def step_shared(context):
    make_world(context, replace(FLEET, shared=True))


def make_world(context, fleet):
    context.world = World(fleet, seed=7)
    context.names = []


def pass_time(context, ms, step_ms=2 * SECOND_MS):
    world = context.world
    end_ms = world.clock.now_ms + ms
    while world.clock.now_ms < end_ms:
        world.step(step_ms)
        check_world(world)


def pass_until(context, condition, limit_ms=LIMIT_MS):
    world = context.world
    end_ms = world.clock.now_ms + limit_ms
    while not condition():
        assert world.clock.now_ms < end_ms, "it does not come about"
        pass_time(context, 2 * SECOND_MS)


def wave(context):
    return context.world.wave(context.names[0])


def permits(context, name=None):
    name = name or context.names[0]
    return [one for one in context.world.state.permits.values() if one.wave == name]


def canary(context):
    return permits(context)[0]


def is_at(context, step):
    return bool(permits(context)) and canary(context).step == step


def host_of(context, name):
    return context.world.state.hosts[name]


def steps_of(context, name=None):
    return Counter(permit.step for permit in permits(context, name))


@when("a wave over pool {pool:d} starts")
def step_start(context, pool):
    context.names.append(context.world.start_wave(pool))


@when('a wave over pool {pool:d} with long jobs "{policy}" starts')
def step_start_long(context, pool, policy):
    hosts = tuple(h.name for h in context.world.state.hosts.values())
    hosts = tuple(name for name in hosts if name.startswith(f"host-{pool}-"))
    command = StartWave("wave-0", f"pool-{pool}", hosts, long_jobs=LongJobs(policy))
    context.world.must(command)
    context.names.append("wave-0")


@when("another wave over pool {pool:d} starts")
def step_start_other(context, pool):
    context.names.append(context.world.start_wave(pool, "other"))


@given("pool {pool:d} is quiet from minute {start:d} to {end:d}")
def step_quiet(context, pool, start, end):
    pools = context.world.state.pools
    name = f"pool-{pool}"
    pools[name] = replace(pools[name], quiet_start_min=start, quiet_end_min=end)


@when("a wave over pool {pool:d} starts at minute {now:d}")
def step_start_at(context, pool, now):
    context.world.clock.advance(now * MINUTE_MS)
    step_start(context, pool)


@when("{minutes:d} minutes go by")
@when("{minutes:d} minute goes by")
def step_minutes(context, minutes):
    pass_time(context, minutes * MINUTE_MS)


@when("{hours:d} hours go by")
def step_hours(context, hours):
    pass_time(context, hours * HOUR_MS)


@then("the wave still runs")
def step_still_running(context):
    assert wave(context).phase == WavePhase.RUNNING, wave(context)


@then("{count:d} hosts are done")
def step_count_done(context, count):
    assert steps_of(context)[MaintenanceStep.DONE] == count, steps_of(context)


@when("{days:d} days go by")
def step_days(context, days):
    pass_time(context, days * 24 * HOUR_MS, step_ms=HOUR_MS)


@when("drains take {minutes:d} minutes")
def step_drains(context, minutes):
    context.world.with_times(drain_ms=(minutes * MINUTE_MS,) * 2)


@when("its canary reboots")
def step_rebooting(context):
    pass_until(context, lambda: context.world.platform.carried_out)


@when("its canary never comes back")
def step_never(context):
    context.world.hanging_reboots.update(context.world.services)
    step_rebooting(context)
    context.world.hanging_reboots.clear()


@when("its canary comes back slowly")
def step_slowly(context):
    context.world.with_times(reboot_ms=(400 * SECOND_MS,) * 2)
    step_rebooting(context)
    context.world.with_times(reboot_ms=(120 * SECOND_MS,) * 2)


@when("its canary is on probation")
def step_probation(context):
    pass_until(context, lambda: is_at(context, MaintenanceStep.PROBATION))


@when("its canary is lost again on probation")
def step_lost_again(context):
    step_probation(context)
    target = context.world.state.targets[f"{canary(context).host}-t"]
    context.world.return_slot(canary(context).host)
    context.world.must(DropTarget(target.name, target.generation, lost=True))


@when("its canary is done, proved and lost again")
def step_relapse(context):
    pass_until(context, lambda: is_at(context, MaintenanceStep.DONE))
    context.world.fail(canary(context).host)
    pass_time(context, MINUTE_MS)


@when("its canary is failed by the platform")
def step_platform_fails(context):
    context.world.hanging_reboots.update(context.world.services)
    step_rebooting(context)
    permit_id = canary(context).permit_id
    context.world.platform.states[permit_id] = RebootState.FAILED
    context.world.hanging_reboots.clear()


@when("an operator {action} the wave")
def step_operator(context, action):
    phase = {
        "pauses": WavePhase.PAUSED,
        "resumes": WavePhase.RUNNING,
        "abandons": WavePhase.ABANDONED,
    }[action]
    now = wave(context)
    context.sent = SetWavePhase(now.name, now.phase, phase, "", now.revision)
    if action == "pauses":
        context.pause = context.sent
    context.world.must(context.sent)


@when("the pause is sent again")
def step_resend(context):
    context.outcome = context.world.propose(context.pause)


@then('the resend is refused with "{code}" and the wave runs')
def step_resend_refused(context, code):
    assert isinstance(context.outcome, Err), context.outcome
    assert context.outcome.err_value.code == code, context.outcome
    assert wave(context).phase == WavePhase.RUNNING


@when('an operator holds {kind} "{name}" for "{reason}"')
def step_hold(context, kind, name, reason):
    command = {"host": HoldHost, "service": HoldService}[kind]
    context.world.must(command(name, reason))


@when('zone "{zone}" is lost for {minutes:d} minutes')
def step_zone(context, zone, minutes):
    context.lost = [
        host.name
        for host in context.world.state.hosts.values()
        if host.availability_zone == zone and host.pool != "office"
    ]
    for name in context.lost:
        context.world.fail(name, minutes * MINUTE_MS)


@when('host "{name}" moves to pool {pool:d}')
def step_move(context, name, pool):
    host = host_of(context, name)
    assert not host.upkeep.permit, host
    context.world.must(MoveHost(name, host.pool, f"pool-{pool}"))


@when('host "{name}" fails and is removed')
def step_remove(context, name):
    context.world.fail(name)
    pass_time(context, 3 * MINUTE_MS)
    context.world.must(RemoveHost(name))


@when("there is no platform")
def step_no_platform(context):
    context.world.platform.is_configured = False


@when('host "{host}" is lost for {minutes:d} minutes')
def step_lose(context, host, minutes):
    context.world.fail(host, minutes * MINUTE_MS)


@then("each cause of a wait is told in the same words")
def step_same_words(context):
    told = [one for one in context.world.decisions if one.kind == "hold"]
    assert len(told) > 20, told
    assert len({one.cause for one in told}) < 10, {one.cause for one in told}


@when("the wave ends")
def step_end(context):
    pass_until(context, lambda: wave(context).phase == WavePhase.DONE)


@then("the wave has {count:d} host out at first")
def step_first(context, count):
    pass_until(context, lambda: wave(context).open)
    assert wave(context).open == count, wave(context)


@then("its next hosts go out only once the canary is done")
def step_canary_first(context):
    pass_until(context, lambda: len(permits(context)) > 1)
    assert canary(context).step == MaintenanceStep.DONE, canary(context)
    assert 1 < wave(context).open <= 4, wave(context)


@then("the wave ends with all {count:d} hosts done and none cut off")
def step_all_done(context, count):
    step_end(context)
    assert steps_of(context) == {MaintenanceStep.DONE: count}, steps_of(context)
    assert context.world.cut_off == 0


@then('the wave stops and names its canary and "{reason}"')
def step_stops(context, reason):
    pass_until(context, lambda: wave(context).phase != WavePhase.RUNNING)
    now = wave(context)
    assert now.phase == WavePhase.STOPPED, now
    assert canary(context).host in now.reason, now.reason
    assert reason in now.reason, now.reason
    said = [one for one in context.world.decisions if one.kind == "pause"]
    assert any(reason in one.cause for one in said), said


@then("it goes no further in an hour")
def step_no_further(context):
    before = len(permits(context))
    pass_time(context, HOUR_MS, step_ms=10 * SECOND_MS)
    assert len(permits(context)) == before, permits(context)
    assert wave(context).phase == WavePhase.STOPPED


@then('its canary is "{phase}" and counts as out')
def step_counts_as_out(context, phase):
    host = host_of(context, canary(context).host)
    assert host.phase == phase, host
    assert [one.cause for one in host.upkeep.absences] == ["lost"], host


@then("the wave has taken {some} out")
def step_taken(context, some):
    assert bool(permits(context)) == (some == "hosts"), permits(context)


@then("both waves end and no service ever had more than 1 host out")
def step_both_end(context):
    # check_world() compares each permit with the truth after each step
    for name in context.names:
        pass_until(context, lambda one=name: context.world.wave(one).phase == "done")
        assert set(steps_of(context, name)) == {MaintenanceStep.DONE}


@then("both waves end and no host was rebooted by both at once")
def step_no_double(context):
    # check_world() asserts one open permit a host after each step
    step_both_end(context)
    assert len(context.world.platform.carried_out) == 36


@then("no host goes out while the zone is lost")
def step_none_out(context):
    pass_time(context, MINUTE_MS)
    before = len(permits(context))
    pass_time(context, 25 * MINUTE_MS)
    assert len(permits(context)) == before, permits(context)


@then("no host is out after {minutes:d} minutes")
def step_none_open(context, minutes):
    pass_time(context, minutes * MINUTE_MS)
    assert wave(context).open == 0, wave(context)
    assert wave(context).phase == WavePhase.PAUSED


@then("no host is out and none was rebooted")
def step_given_back(context):
    assert wave(context).open == 0
    assert not context.world.platform.carried_out
    assert not any(one.upkeep.absences for one in context.world.state.hosts.values())


@then('{count:d} hosts are done and {name} is named as held for "{reason}"')
def step_held(context, count, name, reason):
    assert steps_of(context) == {MaintenanceStep.DONE: count}, steps_of(context)
    causes = [one.cause for one in context.world.decisions if one.kind == "hold"]
    assert any(name in one and reason in one for one in causes), causes[-3:]


@then("no wave and no permit is kept")
def step_forgotten(context):
    state = context.world.state
    assert not state.waves, state.waves
    assert not state.permits, state.permits


@then(
    "the plan of pool {pool:d} has {rounds:d} rounds of {least:d} at least"
    ' because of "{field}"'
)
def step_plan(context, pool, rounds, least, field):
    state = context.world.state
    hosts = tuple(h.name for h in state.hosts.values() if h.pool == f"pool-{pool}")
    plan = plan_wave(state, Wave("plan", f"pool-{pool}", hosts), state.now_ms)
    assert len(plan.rounds) == rounds, plan
    assert sorted(name for one in plan.rounds for name in one) == sorted(hosts)
    assert plan.min_rounds.rounds == least, plan.min_rounds
    assert field in plan.min_rounds.cause, plan.min_rounds
    context.plan = plan


@then('the plan says "{word}"')
def step_plan_says(context, word):
    assert word in context.plan.cause, context.plan.cause


@given("random actions with seed {seed:d}")
def step_chaos(context, seed):
    print(f"seed {seed}")
    context.chaos = Chaos(seed)


@then("every check holds after each step and the waves end once all is healed")
def step_run_chaos(context):
    print(context.chaos.run(steps=1_500))
    permits = context.chaos.world.state.permits.values()
    assert not any(permit.step in OPEN_STEPS for permit in permits)
    assert len(context.chaos.done) > 10, context.chaos.done
