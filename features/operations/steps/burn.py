"""Steps on the service-level counts."""

import logging
import os
from pathlib import Path
from unittest import mock

from behave import given, then, when
from steps_common import LogFake, capture_logs, run

from mulberryledge_core.burn import Burn, burn_rate, sum_reports
from mulberryledge_core.commands.fleet import SetHostPhase
from mulberryledge_core.commands.teams import ApplyDocument
from mulberryledge_core.model.burn import (
    BurnReport,
    Counts,
    Series,
    ServiceObjective,
    WindowCounts,
)
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.accounting import Accounting
from mulberryledge_daemon.burn.causes import classify_call
from mulberryledge_daemon.burn.recorder import BurnRecorder
from mulberryledge_daemon.observations import CallObservation

START_MS = 1_780_000_020_000
MINUTE_MS = 60_000
DAY_S = 86_400
OBJECTIVE = ServiceObjective("plans", "dispatch", 0.9, 28)
DOCUMENT = """
[service]
name = "plans"
team = "dispatch"
pool = "interior"
[calls]
[objective]
success_share = {share}
latency_ms = {latency}
"""


def seen(run_outcome="ran", code="ok", seconds=0.01, team="dispatch"):
    status = 200 if code == "ok" else 503
    outcome = RunOutcome(run_outcome)
    return CallObservation("plans", team, outcome, code, status, seconds)


def recorder(context):
    return BurnRecorder("entry-1", context.state, START_MS)


@given('service "plans" in the state with a success share of {share} and {latency} ms')
def step_service(context, share, latency):
    command = ApplyDocument(DOCUMENT.format(share=share, latency=latency), 1)
    assert run(context.state, command).is_ok()


@given('host "{host}" is "{phase}"')
def step_phase(context, host, phase):
    expected = context.state.hosts[host].phase
    command = SetHostPhase(host, expected, type(expected)(phase))
    assert run(context.state, command).is_ok()


@when('a call with "{outcome}" and "{code}" is observed after {seconds:g} s')
def step_observe(context, outcome, code, seconds):
    context.cause = classify_call(context.state, seen(outcome, code, seconds))


@then('it counts as "{cause}"')
def step_cause(context, cause):
    assert (context.cause or "nothing") == cause, context.cause


@when("{good:d} good and {refused:d} refused calls are observed in the last minute")
def step_calls(context, good, refused):
    burn = recorder(context)
    for _ in range(good):
        burn.observe(seen(), START_MS)
    for _ in range(refused):
        burn.observe(seen("not-run", "overloaded"), START_MS)
    context.fleet = sum_reports([burn.report(START_MS)])


@then("the burn over 5 minutes is {rate:g} and half of the budget is left")
def step_rate(context, rate):
    (burn,) = context.fleet.services
    assert abs(burn.rate(300) - rate) < 1e-9, burn
    assert abs(burn.budget_left - 0.5) < 1e-9, burn


def counts_with(rate):
    bad = round(rate * 10)
    counts = Counts(good=1_000 - bad, loss=bad)
    assert abs(burn_rate(counts, 0.99) - rate) < 1e-9
    return counts


@when("a burn of {long:g} over 1 hour and {short:g} over 5 minutes is seen")
def step_windows(context, long, short):
    objective = ServiceObjective("plans", "dispatch", 0.99, 28)
    windows = (
        WindowCounts(300, counts_with(short)),
        WindowCounts(3_600, counts_with(long)),
    )
    series = (Series("plans", "dispatch", windows),)
    report = BurnReport("entry-1", 0, START_MS, (objective,), series)
    context.fleet = sum_reports([report])


@then('the alert is "{word}"')
@then('the alert is ""')
def step_alert(context, word=""):
    (burn,) = context.fleet.services
    assert isinstance(burn, Burn) and burn.alert == word, burn.alert


@when("two daemons report {good:d} good and {lost:d} lost each, one of them twice")
def step_daemons(context, good, lost):
    windows = (WindowCounts(28 * DAY_S, Counts(good=good, loss=lost)),)
    series = (Series("plans", "dispatch", windows),)
    reports = [
        BurnReport(name, 0, START_MS, (OBJECTIVE,), series)
        for name in ("entry-1", "entry-2", "entry-1")
    ]
    context.fleet = sum_reports(reports)


@then("the fleet has {good:d} good and {lost:d} lost calls")
def step_fleet(context, good, lost):
    (burn,) = context.fleet.services
    counts = burn.windows[28 * DAY_S]
    assert (counts.good, counts.loss) == (good, lost), counts


@when("1 call is observed each minute for {days:d} days")
def step_days(context, days):
    context.burn = recorder(context)
    for minute in range(days * 1_440):
        context.now_ms = START_MS + minute * MINUTE_MS
        context.burn.observe(seen(), context.now_ms)
        if minute % 30 == 0:
            context.burn.downsample(context.now_ms)


@then("all {calls:d} calls are in at most {most:d} buckets")
def step_buckets(context, calls, most):
    context.burn.downsample(context.now_ms)
    (buckets,) = context.burn.series.values()
    assert sum(map(sum, buckets.values())) == calls
    assert len(buckets) <= most, len(buckets)


@then("the calls of the last 5 minutes and of the one under way are {calls:d}")
def step_last(context, calls):
    report = context.burn.report(context.now_ms)
    (window,) = (one for one in report.series[0].windows if one.window_s == 300)
    assert window.counts.total == calls, window


@when("calls of {count:d} teams are observed")
def step_teams(context, count):
    context.burn = recorder(context)
    for number in range(count):
        context.burn.observe(seen(team=f"team-{number}"), START_MS)


@then("all {calls:d} calls are in at most {most:d} series")
def step_series(context, calls, most):
    report = context.burn.report(START_MS)
    total = sum(series.windows[0].counts.total for series in report.series)
    assert total == calls and len(report.series) <= most, len(report.series)


def open_accounting(context):
    log = LogFake(context.state, START_MS)
    return Accounting(log, "entry-1", context.folder)


@given("counts in a data folder")
def step_counts(context):
    accounting = open_accounting(context)
    for code in ("ok", "ok", "overloaded"):
        accounting.observe(seen("ran" if code == "ok" else "not-run", code))
    accounting.save()
    context.before = accounting.burn.report(START_MS)


@when("the daemon's accounting is opened again")
def step_reopen(context):
    with capture_logs(logging.getLogger("mulberryledge_daemon")) as context.lines:
        context.accounting = open_accounting(context)


@then("the counts are the same")
def step_same(context):
    after = context.accounting.burn.report(START_MS)
    assert after == context.before, (after, context.before)
    assert after.series[0].windows[0].counts == Counts(good=2, refused=1)


@when('a further call is saved and the write fails at "{step}"')
def step_fail(context, step):
    accounting = open_accounting(context)
    accounting.observe(seen())
    failing = mock.Mock(side_effect=OSError(28, "No space left on device"))
    with mock.patch.object(os, step, failing):
        accounting.save()
    assert failing.called and accounting.burn.has_unsaved_counts


@when("a byte of the file is changed")
def step_damage(context):
    path = Path(context.folder) / "burn.cbor"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)


@then('there are no counts, the file is kept as "{name}" and an error is logged')
def step_aside(context, name):
    assert context.accounting.burn.report(START_MS).series == ()
    assert (Path(context.folder) / name).exists()
    assert any("damaged" in line for line in context.lines), context.lines
