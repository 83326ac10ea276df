"""Steps on the deployment's programs."""

import json
import shutil
import signal
import tempfile
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from behave import given, then, when
from support.http_targets import HttpTargets
from support.programs import (
    CALLERS_PORT,
    CONTROL_PORT,
    PROBE_PORT,
    running_deployment,
)
from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

from mulberryledge_platform.settings import Address

HOST = "rounds.example"
PREFIX = "/plans/"
KEY = "key-of-dispatch"
POOLS = {"plans-pool": 3, "other-pool": 1}
READY_S = 12.0
POLL_S = 0.05
TIMEOUT_S = 3.0


def call(url, method="GET", body=None, headers=()):
    """Return status and body; status 0 without a whole answer."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, dict(headers), method=method)
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def within(seconds, check, what):
    """Wait until a check holds."""
    until = time.monotonic() + seconds
    while True:
        found = check()
        if found:
            return found
        assert time.monotonic() < until, f"{what}: not within {seconds} s"
        time.sleep(POLL_S)


def manifest(version):
    """Return a manifest with two queues."""
    return {
        "version": version,
        "routes": [
            {
                "name": "plans",
                "host": HOST,
                "path_prefix": PREFIX,
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_latency_ms": 600,
                "priority": 0,
                "service": "plans-pool",
                "max_attempts": 3,
                "stretch": 1.6,
                "public": False,
            }
        ],
        "services": [
            {"name": name, "health_path": "/health", "spare": False} for name in POOLS
        ],
        "limits": {},
        "tenants": [
            {
                "name": "dispatch",
                "api_keys": [KEY],
                "weight": 3,
                "upper_limit": {"cpu": 0, "memory_limit_mb": 0, "gpu": 0},
            }
        ],
    }


def machines(context, role):
    """Return the names of the running machines of a role."""
    return [
        name
        for name, program in context.deployment.programs.items()
        if program.role == role and program.process.poll() is None
    ]


def control_url(context, name):
    """Return where a core machine serves targets and operators."""
    return f"http://{context.deployment.programs[name].ip}:{CONTROL_PORT}"


def entry_url(context, name):
    """Return where an entry serves callers."""
    return f"http://{context.deployment.programs[name].ip}:{CALLERS_PORT}"


def send_manifest(context, version):
    """Send a manifest to each core machine in turn; return whether one took it."""
    for name in machines(context, "core"):
        url = control_url(context, name) + "/Configuration.Put"
        if call(url, "POST", manifest(version))[0] == 200:
            return True
    return False


def leader_of(context):
    """Return the core machine that leads: it alone answers by itself."""

    def find():
        for name in machines(context, "core"):
            address = context.deployment.programs[name].ip
            request = urllib.request.Request(
                f"http://{address}:{CONTROL_PORT}/wave-get/0"
            )
            opener = urllib.request.build_opener(NoRedirects())
            try:
                opener.open(request, timeout=1)
            except urllib.error.HTTPError as error:
                if error.code == 404:
                    return name
            except OSError:
                continue
        return None

    return within(READY_S, find, "a leader")


class NoRedirects(urllib.request.HTTPRedirectHandler):
    """Shows redirects instead of following them."""

    def redirect_request(self, *arguments):
        return None


@given("three core machines, two entries and targets of two pools")
def begin(context):
    folder = Path(context.scene.enter_context(tempfile.TemporaryDirectory()))
    context.deployment = context.scene.enter_context(running_deployment(folder, 3, 2))
    controls = [
        Address(program.ip, CONTROL_PORT)
        for program in context.deployment.programs.values()
        if program.role == "core"
    ]
    context.targets = blockingCallFromThread(
        reactor, HttpTargets, reactor, controls, POOLS
    )
    context.scene.callback(blockingCallFromThread, reactor, context.targets.stop_all)
    for name in machines(context, "core"):
        url = control_url(context, name) + "/Configuration.Get"
        within(READY_S, lambda url=url: call(url)[0] != 0, f"{name} serves")
    for name in machines(context, "entry"):
        ip = context.deployment.programs[name].ip
        url = f"http://{ip}:{PROBE_PORT}/readiness"
        within(READY_S, lambda url=url: call(url)[0] == 200, f"{name} is ready")
    context.jobs = 0


@when("the operator sends a manifest with version {version:d}")
def put_manifest(context, version):
    within(READY_S, lambda: send_manifest(context, version), f"version {version}")


def submit(context, steps, duration_ms=100.0, lasting=False):
    """Hand a job in, again until it is accepted."""
    context.jobs += 1
    context.job = f"{context.jobs:016x}"
    context.steps = steps
    context.targets.durations_ms[context.job] = duration_ms
    if lasting:
        context.targets.lasting.add((context.job, 0))
    body = {"task_spec": "text", "steps": steps}

    def accepted():
        for name in machines(context, "entry"):
            url = entry_url(context, name) + PREFIX + context.job
            headers = (("Host", HOST), ("X-Key", KEY), ("X-Deadline-Ms", "2000"))
            if call(url, "POST", body, headers)[0] == 200:
                return True
        return False

    within(READY_S, accepted, "the job is accepted")


STEP = {"count": 3, "cpu": 1000, "memory_limit_mb": 512, "estimated_ms": 100}


@when("a caller hands in a job of two steps with three tasks each")
def two_steps(context):
    submit(context, [STEP, STEP | {"after": [0]}])


@when("a caller hands in a job whose tasks take {seconds:d} seconds")
def long_tasks(context, seconds):
    submit(context, [STEP], 1_000.0 * seconds)


@when("a caller hands in a job whose tasks last")
def lasting_tasks(context):
    submit(context, [STEP | {"long_running": True, "may_miss": 1}], lasting=True)


def state_through(context, entry):
    """Return the state of the job as an entry shows it."""
    url = entry_url(context, entry) + PREFIX + context.job
    status, body = call(url, headers=(("Host", HOST), ("X-Key", KEY)))
    return json.loads(body)["state"] if status == 200 else f"status {status}"


@then('the job is shown as "{state}" through every entry within {seconds:d} seconds')
def shown(context, state, seconds):
    def everywhere():
        entries = machines(context, "entry")
        return all(state_through(context, entry) == state for entry in entries)

    within(seconds, everywhere, f"the job is {state}")


def events_of_job(context):
    """Return what targets saw of the job."""
    return [one for one in context.targets.events if one[2].job_id == context.job]


@then("each of its tasks was started once, in the order of the steps")
def started_once(context):
    starts = [one[2] for one in events_of_job(context) if one[0] == "start"]
    wanted = [
        (number, index)
        for number, step in enumerate(context.steps)
        for index in range(step["count"])
    ]
    assert sorted((task.step, task.index) for task in starts) == wanted, starts
    assert [task.step for task in starts] == sorted(task.step for task in starts)


@then("no task of it ran twice at once, or again after it was done")
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
    expect(context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, "", status)


@then("a job with a key that nobody holds gets {status:d}")
def strange_key(context, status):
    expect(context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, "strange", status)


@then("a job for a path that no queue has gets {status:d}")
def no_queue(context, status):
    expect(context, "/nowhere/" + "0" * 16, "POST", {"steps": [STEP]}, KEY, status)


@then("a job that cannot be read gets {status:d}")
def unreadable(context, status):
    expect(context, PREFIX + "0" * 16, "POST", b'{"steps": [', KEY, status)


@then("the state of a job that nobody handed in gets {status:d}")
def unknown_job(context, status):
    expect(context, PREFIX + "f" * 16, "GET", None, KEY, status)


def expect(context, path, method, body, key, wanted):
    """Check the status of a request through each entry."""
    if isinstance(body, dict):
        body = body | {"task_spec": "text"}
    headers = [("Host", HOST)] + ([("X-Key", key)] if key else [])
    for entry in machines(context, "entry"):
        url = entry_url(context, entry) + path
        status, _ = call(url, method, body, headers)
        assert status == wanted, (entry, status)


def versions(context):
    """Return the version that each core machine returns, None for a 5xx."""
    found = {}
    for name in machines(context, "core"):
        status, body = call(control_url(context, name) + "/Configuration.Get")
        found[name] = json.loads(body)["version"] if status == 200 else None
    return found


@then(
    "every core machine returns the manifest with version {version:d},"
    " or that it cannot tell"
)
def newest(context, version):
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
def newest_again(context, seconds, version):
    def everywhere():
        found = versions(context)
        known = {one for one in found.values() if one is not None}
        assert known <= {version}, found
        return len(found) == 3 and known == {version} and None not in found.values()

    within(seconds, everywhere, f"version {version}")


@when("a core machine that does not lead is killed, loses its disk and starts again")
def wipe_follower(context):
    leader = leader_of(context)
    name = next(one for one in machines(context, "core") if one != leader)
    context.deployment.kill(name)
    shutil.rmtree(context.deployment.programs[name].folder / "data")
    context.deployment.start(name)


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    time.sleep(seconds)


@then(
    "within {seconds:d} seconds the operator can send a manifest with version"
    " {version:d}"
)
def can_send(context, seconds, version):
    within(seconds, lambda: send_manifest(context, version), f"version {version}")


def running_tasks(context):
    """Return how many tasks of the job run."""
    lives = context.targets.lives.values()
    return sum(task.job_id == context.job for life in lives for task in life.running)


@when("the tasks of the job run")
def tasks_run(context):
    within(5, lambda: running_tasks(context) == 3, "three tasks run")


@when("the caller cancels the job")
def cancel(context):
    url = entry_url(context, machines(context, "entry")[0]) + PREFIX + context.job
    status, _ = call(url, "DELETE", headers=(("Host", HOST), ("X-Key", KEY)))
    assert status == 200, status


@then("none of its tasks runs {seconds:d} seconds later")
def none_runs(context, seconds):
    time.sleep(seconds)
    assert running_tasks(context) == 0


def readiness_of(context, entry):
    """Return the status of an entry's readiness."""
    ip = context.deployment.programs[entry].ip
    return call(f"http://{ip}:{PROBE_PORT}/readiness")[0]


@when("every core machine stands still")
def freeze_core(context):
    for name in machines(context, "core"):
        context.deployment.signal(name, signal.SIGSTOP)


@when("the core machines go on")
def thaw_core(context):
    for name in machines(context, "core"):
        context.deployment.signal(name, signal.SIGCONT)


@then("the readiness of every entry turns to {status:d} within {seconds:d} seconds")
def all_readiness(context, status, seconds):
    def all_so():
        entries = machines(context, "entry")
        return all(readiness_of(context, one) == status for one in entries)

    within(seconds, all_so, f"readiness {status}")


@then("every entry is ready again within {seconds:d} seconds")
def all_ready(context, seconds):
    all_readiness(context, 200, seconds)


@then("a job is refused with {status:d} within {seconds:d} second")
def refused_soon(context, status, seconds):
    began = time.monotonic()
    expect(context, PREFIX + "0" * 16, "POST", {"steps": [STEP]}, KEY, status)
    took = time.monotonic() - began
    assert took < seconds * len(machines(context, "entry")), took


@when("an entry is told to stop while callers keep asking through it")
def stop_entry(context):
    context.stopped = machines(context, "entry")[0]
    context.answers = []
    url = entry_url(context, context.stopped) + PREFIX
    headers = (("Host", HOST), ("X-Key", KEY))

    def ask():
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            context.answers.append(call(url, headers=headers)[0])

    context.callers = [threading.Thread(target=ask) for _ in range(4)]
    for caller in context.callers:
        caller.start()
    time.sleep(0.3)
    context.stopped_s = time.monotonic()
    context.deployment.signal(context.stopped, signal.SIGTERM)


@then("its readiness turns to 503 within {seconds:d} second")
def unready(context, seconds):
    ip = context.deployment.programs[context.stopped].ip
    url = f"http://{ip}:{PROBE_PORT}/readiness"
    within(seconds, lambda: call(url)[0] == 503, "the entry is not ready")


@then("every request that it had read is answered whole")
def answered(context):
    for caller in context.callers:
        caller.join()
    assert context.answers
    assert set(context.answers) == {200}, set(context.answers)


@then("it ends by itself with exit code {code:d} within {seconds:d} seconds")
def ended(context, code, seconds):
    process = context.deployment.programs[context.stopped].process
    assert process.wait(seconds) == code
    assert time.monotonic() - context.stopped_s < seconds
