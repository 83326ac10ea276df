"""Steps on the repair over a fleet in memory."""

from behave import given, then, when
from mulberryledge_testing.upkeep.fakes import run_now
from waves import MINUTE_MS, SECOND_MS, host_of, pass_time, pass_until

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.decisions.calendar import (
    CYCLE_DAYS,
    ROTATION_DAYS,
    due_hosts,
    overdue_hosts,
)
from mulberryledge_core.decisions.loss_grouping import get_grouping_by_name
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_core.state.absences import DAY_MS
from mulberryledge_core.state.budgets import service_hosts
from mulberryledge_daemon.leader.calendar import Calendar


def phases(context, names):
    return [host_of(context, name).phase for name in names]


def probation(context):
    hosts = context.world.state.hosts.values()
    return sum(host.phase == HostPhase.PROBATION for host in hosts)


def said(context, word):
    return [one for one in context.world.decisions if word in one.cause]


@when('only entry "{entry}" reports')
@when('only entries "{entry}" report')
def step_only(context, entry):
    context.world.reporting = {entry}
    pass_time(context, 30 * SECOND_MS)


@when('host "{host}" was last heard by "{entry}"')
def step_heard(context, host, entry):
    target = context.world.state.targets[f"{host}-t"]
    context.world.leader.repair.record_contacts(entry, (target,))


@when('host "{host}" fails')
@when('host "{host}" fails for good')
def step_fail(context, host):
    context.world.hanging_reboots.add(host)
    context.world.fail(host)
    context.lost = [host]


@when("requests to the platform are lost")
def step_lose_requests(context):
    context.world.platform.lose_request = lambda: True


@when("requests to the platform arrive")
def step_requests_arrive(context):
    context.world.platform.lose_request = lambda: False


@when('the rack of "{name}" is lost for {minutes:d} minutes')
def step_rack(context, name, minutes):
    rack = host_of(context, name)
    context.lost = [
        host.name
        for host in context.world.state.hosts.values()
        if (host.availability_zone, host.rack) == (rack.availability_zone, rack.rack)
    ]
    for host in context.lost:
        context.world.fail(host, minutes * MINUTE_MS)


@when("the zone is back")
def step_zone_back(context):
    pass_time(context, 9 * MINUTE_MS)
    for name in list(context.world.down_since):
        context.world.come_back(name)


@when('host "{host}" fails and comes back {count:d} times')
def step_flap(context, host, count):
    context.held_ms = []
    for _ in range(count):
        context.world.fail(host)
        pass_until(context, lambda: host_of(context, host).phase == HostPhase.LOST)
        context.world.come_back(host)
        back_ms = context.world.clock.now_ms
        pass_until(context, lambda: host_of(context, host).phase == HostPhase.PROBATION)
        context.held_ms.append(context.world.clock.now_ms - back_ms)
        pass_until(context, lambda: not host_of(context, host).upkeep.absences)


@then('no host is "{phase}" and the repair says "{word}"')
def step_none(context, phase, word):
    assert phase not in phases(context, context.world.state.hosts)
    assert said(context, word)


@then('host "{host}" becomes "{phase}" within {minutes:d} minutes')
def step_becomes(context, host, phase, minutes):
    limit_ms = minutes * MINUTE_MS
    pass_until(context, lambda: host_of(context, host).phase == phase, limit_ms)


@then('host "{host}" is rebooted once within {minutes:d} minutes')
def step_rebooted(context, host, minutes):
    context.world.hanging_reboots.discard(host)
    carried_out = context.world.platform.carried_out
    pass_until(context, lambda: carried_out, minutes * MINUTE_MS)
    pass_time(context, MINUTE_MS)
    assert [one.split(".")[1] for one in carried_out] == [host], carried_out


@then('host "{host}" serves and is proved within {minutes:d} minutes')
def step_proved(context, host, minutes):
    def proved():
        now = host_of(context, host)
        return now.phase == HostPhase.SERVING and not now.upkeep.absences

    pass_until(context, proved, minutes * MINUTE_MS)


@then(
    "{count:d} spare host serves in its place and {members:d} hosts count"
    " for its service"
)
def step_replaced(context, count, members):
    world = context.world
    moved = [
        host
        for host in world.state.hosts.values()
        if host.name.startswith("spare") and host.upkeep.services
    ]
    assert len(moved) == count, moved
    lost = context.lost[0]
    assert moved[0].upkeep.services == (world.services[lost],), moved
    assert len(service_hosts(world.state, world.services[lost])) == members
    assert host_of(context, lost).upkeep.services == ()


@then('the repair names one "{domain}" and reboots none of its hosts')
def step_one_event(context, domain):
    causes = [one.cause for one in said(context, "cordon: ")]
    named = {one.removeprefix("cordon: ").partition(",")[0] for one in causes}
    assert len(named) == 1, named
    assert named.pop().split()[0] == domain, causes
    assert set(phases(context, context.lost)) == {HostPhase.LOST}
    assert not context.world.platform.carried_out


@then("at most {count:d} spare hosts were moved")
def step_moves(context, count):
    assert context.world.moves <= count, context.world.moves


@then("at most {count:d} host is on probation at any time")
def step_no_stampede(context, count):
    context.most = 0

    def all_serve():
        context.most = max(context.most, probation(context))
        return set(phases(context, context.lost)) == {HostPhase.SERVING}

    begin_ms = context.world.clock.now_ms
    pass_until(context, all_serve)
    context.took_ms = context.world.clock.now_ms - begin_ms
    assert 0 < context.most <= count, context.most


@then("all hosts serve within {minutes:d} minutes")
def step_all_serve(context, minutes):
    assert context.took_ms <= minutes * MINUTE_MS, context.took_ms


@then("each time after the second it is held out for longer")
def step_longer(context):
    held = context.held_ms
    assert held[0] < held[-1], held
    assert held[1:] == sorted(set(held[1:])), held


@then('by "{way}" losing {lost} gives {events}')
def step_grouping(context, way, lost, events):
    hosts = context.world.state.hosts
    chosen = {
        "one host": lambda host: host.name == "host-0-0",
        "hosts of two racks": lambda host: host.name in ("host-0-0", "host-1-1"),
        "a rack": lambda host: (host.availability_zone, host.rack) == ("a", "rack-0-0"),
        "a zone": lambda host: host.availability_zone == "a",
    }[lost]
    found = get_grouping_by_name(way)(filter(chosen, hosts.values()), hosts)
    count, domain = events.split()
    assert [event.domain for event in found] == [domain] * int(count), found


@given("{pools:d} pools with {hosts:d} hosts each")
def step_pools(context, pools, hosts):
    context.state = ClusterState()
    for pool in range(pools):
        put(context, CreatePool(f"pool-{pool}"))
        for host in range(hosts):
            put(context, AddHost(f"host-{pool}-{host}", f"pool-{pool}"))
    context.first_day = 20_000


def put(context, command):
    state = context.state
    apply(state, command, Context(state.applied_index + 1, 1))


def maintain_due(context, day, late=()):
    """Maintain all that is due on a day but the late hosts; return their pools."""
    now_ms = day * DAY_MS
    pools = set()
    for pool in context.state.pools.values():
        for host in due_hosts(context.state, pool, now_ms):
            if host.name in late:
                continue
            pools.add(pool.name)
            hosts = context.state.hosts
            hosts[host.name] = type(host)(host.name, host.pool, maintained_ms=now_ms)
    return pools


@then(
    "in {days:d} days each pool's hosts fall due once, on at most {most:d} pool a day"
)
def step_turns(context, days, most):
    start = context.first_day + ROTATION_DAYS
    for day in range(context.first_day, start):
        maintain_due(context, day)
    done = []
    for day in range(start, start + days):
        pools = maintain_due(context, day)
        assert len(pools) <= most, (day, pools)
        done.extend(pools)
        assert not overdue_hosts(context.state, day * DAY_MS), day
    assert sorted(done) == sorted(context.state.pools), done


@when('the turn of pool {pool:d} passes without host "{host}"')
def step_missed(context, pool, host):
    day = context.first_day
    while day < context.first_day + 3 * ROTATION_DAYS:
        before = context.state.hosts[host].maintained_ms // DAY_MS
        if maintain_due(context, day, late=(host,)) == {f"pool-{pool}"} and before:
            break
        if day == context.first_day:
            maintain_due(context, day)
        day += 1
    context.day = day


@then('host "{host}" stays due, and is done before it is overdue')
def step_due_again(context, host):
    for day in range(context.day, context.day + CYCLE_DAYS - ROTATION_DAYS):
        now_ms = day * DAY_MS
        pool = context.state.pools[context.state.hosts[host].pool]
        assert host in {one.name for one in due_hosts(context.state, pool, now_ms)}
        assert not overdue_hosts(context.state, now_ms), day


@when("the calendar is {setting} and the leader looks twice")
def step_calendar(context, setting):
    world = context.world
    calendar = Calendar(world.leader.log, setting == "on", world.decisions.append)
    for _ in range(2):
        run_now(calendar.tick())
        world.clock.advance(2 * MINUTE_MS)


@then("{count:d} waves have started")
def step_started(context, count):
    assert len(context.world.state.waves) == count, context.world.state.waves
