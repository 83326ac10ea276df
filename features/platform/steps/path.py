"""Steps on the programs of a deployment."""

import json
import shutil
import signal
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when
from support.calls import (
    HOST,
    KEY,
    POOLS,
    PREFIX,
    READY_S,
    STEP,
    call,
    control_url,
    entry_url,
    leader_of,
    machines,
    readiness_of,
    running_tasks,
    send_manifest,
    submit,
    wait_for_state,
    wait_until,
)
from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

from mulberryledge_platform.settings import Address
from mulberryledge_platform_testing.http_targets import HttpTargets
from mulberryledge_platform_testing.programs import (
    CONTROL_PORT,
    PROBE_PORT,
    running_deployment,
)


@given("three core machines, two entries and targets of two pools")
def start_deployment(context):
    folder = Path(context.scenario_stack.enter_context(tempfile.TemporaryDirectory()))
    context.deployment = context.scenario_stack.enter_context(
        running_deployment(folder, 3, 2)
    )
    controls = [
        Address(program.ip, CONTROL_PORT)
        for program in context.deployment.programs.values()
        if program.role == "core"
    ]
    context.targets = blockingCallFromThread(
        reactor, HttpTargets, reactor, controls, POOLS
    )
    context.scenario_stack.callback(
        blockingCallFromThread, reactor, context.targets.stop_all
    )
    for name in machines(context, "core"):
        url = control_url(context, name) + "/Configuration.Get"
        wait_until(READY_S, lambda url=url: call(url)[0] != 0, f"{name} serves")
    for name in machines(context, "entry"):
        ip = context.deployment.programs[name].ip
        url = f"http://{ip}:{PROBE_PORT}/readiness"
        wait_until(READY_S, lambda url=url: call(url)[0] == 200, f"{name} is ready")
    context.jobs = 0


@when("the operator sends a manifest with version {version:d}")
def put_manifest(context, version):
    wait_until(READY_S, lambda: send_manifest(context, version), f"version {version}")


@when("a caller submits a job of two steps with three tasks each")
def two_steps(context):
    submit(context, [STEP, STEP | {"after": [0]}])


@when("a caller submits a job whose tasks take {seconds:d} seconds")
def long_tasks(context, seconds):
    submit(context, [STEP], 1_000.0 * seconds)


@when("a caller submits a job of long-running tasks")
def long_running_tasks(context):
    submit(context, [STEP | {"long_running": True, "may_miss": 1}], long_running=True)


@then('the job is shown as "{state}" through every entry within {seconds:d} seconds')
def shown(context, state, seconds):
    wait_for_state(context, state, seconds)


def events_of_job(context):
    """Return the events of the job on the targets."""
    return [event for event in context.targets.events if event[2].job_id == context.job]


@then("each of its tasks was started once, in the order of the steps")
def started_once(context):
    starts = [event[2] for event in events_of_job(context) if event[0] == "start"]
    expected = [
        (number, index)
        for number, step in enumerate(context.steps)
        for index in range(step["count"])
    ]
    assert sorted((task.step, task.index) for task in starts) == expected, starts
    assert [task.step for task in starts] == sorted(task.step for task in starts)


@then("no task of it ran twice concurrently, or again after completion")
def never_twice(context):
    live, done = {}, set()
    for what, _, task, run, how in events_of_job(context):
        if what == "start":
            assert task not in live, f"{task} runs as {live[task]} and as {run}"
            assert task not in done, f"{task} starts again after it was done"
            live[task] = run
        elif what == "end":
            live.pop(task, None)
            if how == "done":
                done.add(task)
    assert len(done) == sum(step["count"] for step in context.steps), done


@when("the leader is killed")
def kill_leader(context):
    context.deployment.kill(leader_of(context))


@then("a job without a key gets {status:d}")
def no_key(context, status):
    check_status(context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, "", status)


@then("a job with an unknown key gets {status:d}")
def unknown_key(context, status):
    check_status(
        context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, "strange", status
    )


@then("a job for a path without a queue gets {status:d}")
def no_queue(context, status):
    check_status(
        context, "/nowhere/" + "0" * 16, "POST", {"steps": [STEP]}, KEY, status
    )


@then("a job that cannot be decoded gets {status:d}")
def undecodable(context, status):
    check_status(context, PREFIX + "0" * 16, "POST", b'{"steps": [', KEY, status)


@then("the state of a job that was never submitted gets {status:d}")
def unknown_job(context, status):
    check_status(context, PREFIX + "f" * 16, "GET", None, KEY, status)


def check_status(context, path, method, body, key, expected):
    """Check the status of a request through each entry."""
    if isinstance(body, dict):
        body = body | {"task_spec": "text"}
    headers = [("Host", HOST)] + ([("X-Key", key)] if key else [])
    for entry in machines(context, "entry"):
        url = entry_url(context, entry) + path
        status, _ = call(url, method, body, headers)
        assert status == expected, (entry, status)


def versions(context):
    """Return the version that each core machine returns, None unless status 200."""
    found = {}
    for name in machines(context, "core"):
        status, body = call(control_url(context, name) + "/Configuration.Get")
        found[name] = json.loads(body)["version"] if status == 200 else None
    return found


@then("every core machine returns the manifest with version {version:d}, or an error")
def newest_or_error(context, version):
    found = versions(context)
    assert set(found.values()) <= {version, None}, found
    assert version in found.values(), found


@when("every core machine is killed and started again")
def restart_core(context):
    names = machines(context, "core")
    for name in names:
        context.deployment.kill(name)
    for name in names:
        context.deployment.start(name)


@then(
    "within {seconds:d} seconds every core machine returns the manifest with version"
    " {version:d}"
)
def newest_everywhere(context, seconds, version):
    def everywhere():
        found = versions(context)
        known = {one for one in found.values() if one is not None}
        assert known <= {version}, found
        return len(found) == 3 and known == {version} and None not in found.values()

    wait_until(seconds, everywhere, f"version {version}")


@when("a core machine that does not lead is killed, loses its disk and starts again")
def wipe_follower(context):
    leader = leader_of(context)
    name = next(other for other in machines(context, "core") if other != leader)
    context.deployment.kill(name)
    shutil.rmtree(context.deployment.programs[name].folder / "data")
    context.deployment.start(name)


@when("the {seconds:d} seconds pass in which it may catch up")
def pass_time(context, seconds):
    time.sleep(seconds)


@then(
    "within {seconds:d} seconds the operator can send a manifest with version"
    " {version:d}"
)
def can_send(context, seconds, version):
    wait_until(seconds, lambda: send_manifest(context, version), f"version {version}")


@when("the tasks of the job run")
def tasks_run(context):
    wait_until(5, lambda: running_tasks(context) == 3, "three tasks run")


@when("the caller cancels the job")
def cancel_job(context):
    url = entry_url(context, machines(context, "entry")[0]) + PREFIX + context.job
    status, _ = call(url, "DELETE", headers=(("Host", HOST), ("X-Key", KEY)))
    assert status == 200, status


@then("none of its tasks is running {seconds:d} seconds later")
def none_runs(context, seconds):
    time.sleep(seconds)
    assert running_tasks(context) == 0


@when("every core machine is suspended")
def suspend_core(context):
    for name in machines(context, "core"):
        context.deployment.signal(name, signal.SIGSTOP)


@when("the core machines resume")
def resume_core(context):
    for name in machines(context, "core"):
        context.deployment.signal(name, signal.SIGCONT)


@then("the readiness of every entry turns to {status:d} within {seconds:d} seconds")
def all_readiness(context, status, seconds):
    def all_match():
        entries = machines(context, "entry")
        return all(readiness_of(context, entry) == status for entry in entries)

    wait_until(seconds, all_match, f"readiness {status}")


@then("every entry is ready again within {seconds:d} seconds")
def all_ready(context, seconds):
    all_readiness(context, 200, seconds)


@then("a job is refused with {status:d} within {seconds:d} second")
def refused_soon(context, status, seconds):
    started_s = time.monotonic()
    check_status(context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, KEY, status)
    elapsed_s = time.monotonic() - started_s
    assert elapsed_s < seconds * len(machines(context, "entry")), elapsed_s


@when("an entry is stopped while callers keep sending requests to it")
def stop_entry(context):
    context.stopped_entry = machines(context, "entry")[0]
    context.statuses = []
    url = entry_url(context, context.stopped_entry) + PREFIX
    headers = (("Host", HOST), ("X-Key", KEY))

    def send_requests():
        deadline_s = time.monotonic() + 2.0
        while time.monotonic() < deadline_s:
            context.statuses.append(call(url, headers=headers)[0])

    context.callers = [threading.Thread(target=send_requests) for _ in range(4)]
    for caller in context.callers:
        caller.start()
    time.sleep(0.3)
    context.stop_sent_s = time.monotonic()
    context.deployment.signal(context.stopped_entry, signal.SIGTERM)


@then("its readiness turns to 503 within {seconds:d} second")
def unready(context, seconds):
    ip = context.deployment.programs[context.stopped_entry].ip
    url = f"http://{ip}:{PROBE_PORT}/readiness"
    wait_until(seconds, lambda: call(url)[0] == 503, "the entry is not ready")


@then("every request that it had read is answered completely")
def answered(context):
    for caller in context.callers:
        caller.join()
    assert context.statuses
    assert set(context.statuses) == {200}, set(context.statuses)


@then("it exits with code {code:d} within {seconds:d} seconds")
def exited(context, code, seconds):
    process = context.deployment.programs[context.stopped_entry].process
    assert process.wait(seconds) == code
    assert time.monotonic() - context.stop_sent_s < seconds


def nested(depth):
    """Return a JSON text of lists in each other."""
    return "[" * depth + "]" * depth


ODD_FIELDS = (
    {"machine": None},
    {"machine": "m-elsewhere"},
    {"service": "nowhere"},
    {"service": "unnamed", "born": 2_000_000_000_000},
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:1"},
    {"zone": 7},
    {"state": "resting"},
    {"sequence": 10**400},
    {"clock_ms": -(10**30)},
    {"born": "1"},
    {"capacity": {"cpu": -1}},
    {"labels": "a"},
)
ODD_TEXTS = (
    nested(100_000),
    f'{{"labels": {nested(600)}}}',
    '{"service": "plans-pool", "sequence": 1e400}',
    "",
)


def odd_reports(report):
    """Return the bodies of odd reports of a target, given a sound one."""
    later = report | {"sequence": report["sequence"] + 1_000}
    changed = [
        {name: value for name, value in (later | fields).items() if value is not None}
        for fields in ODD_FIELDS
    ]
    texts = [*ODD_TEXTS, *(json.dumps(report) for report in changed)]
    return [text.encode() for text in texts]


@when("another writer sends odd status reports of every target")
def send_odd_reports(context):
    url = control_url(context, leader_of(context)) + "/Instances.Heartbeat/"
    context.odd_statuses = {}
    for incarnation in list(context.targets.incarnations.values()):
        report = context.targets.report_of(incarnation, 1_000)
        for body in odd_reports(report):
            status, _ = call(url + incarnation.target.name, "POST", body)
            context.odd_statuses[body[:300]] = status


@then("each of them is refused")
def odd_refused(context):
    assert len(context.odd_statuses) > len(ODD_FIELDS), context.odd_statuses
    accepted = {
        body: status for body, status in context.odd_statuses.items() if status != 400
    }
    assert not accepted, accepted


@when("each target leaves and another one starts on its host")
def replace_targets(context):
    for host, incarnation in list(context.targets.incarnations.items()):
        target = incarnation.target
        blockingCallFromThread(reactor, context.targets.remove, host)
        for name in machines(context, "core"):
            call(f"{control_url(context, name)}/Instances.Leave/{target.name}", "POST")
        blockingCallFromThread(reactor, context.targets.add, host, target.pool)


@then("no program has ended by itself")
def none_ended(context):
    codes = {
        name: program.process.poll()
        for name, program in context.deployment.programs.items()
    }
    assert not any(code is not None for code in codes.values()), codes
