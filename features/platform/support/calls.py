"""Requests of callers and operators to a deployment."""

import json
import time
import urllib.error
import urllib.request

from mulberryledge_platform_testing.manifests import HOST, PREFIX, manifest
from mulberryledge_platform_testing.programs import (
    CALLERS_PORT,
    CONTROL_PORT,
    PROBE_PORT,
)

KEY = "key-of-dispatch"
POOLS = {"plans-pool": 3, "other-pool": 1}
READY_S = 12.0
POLL_S = 0.05
TIMEOUT_S = 3.0
STEP = {"count": 3, "cpu": 1000, "memory_limit_mb": 512, "estimated_ms": 100}


def call(url, method="GET", body=None, headers=()):
    """Return status and body; status 0 without a complete response."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    request = urllib.request.Request(url, data, dict(headers), method=method)
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def wait_until(seconds, check, what):
    """Return the first true result of a check; fail after the time limit."""
    deadline_s = time.monotonic() + seconds
    while True:
        found = check()
        if found:
            return found
        assert time.monotonic() < deadline_s, f"{what}: not within {seconds} s"
        time.sleep(POLL_S)


def machines(context, role):
    """Return the names of the running machines of a role."""
    return [
        name
        for name, program in context.deployment.programs.items()
        if program.role == role and program.process.poll() is None
    ]


def control_url(context, name):
    """Return the URL of a core machine for targets and operators."""
    return f"http://{context.deployment.programs[name].ip}:{CONTROL_PORT}"


def entry_url(context, name):
    """Return the URL of an entry for callers."""
    return f"http://{context.deployment.programs[name].ip}:{CALLERS_PORT}"


def send_manifest(context, version):
    """Send a manifest to each core machine in turn; return whether one accepted it."""
    for name in machines(context, "core"):
        url = control_url(context, name) + "/Configuration.Put"
        if call(url, "POST", manifest(version, tuple(POOLS), (KEY,)))[0] == 200:
            return True
    return False


def leader_of(context):
    """Return the core machine that leads: the only one that does not redirect."""

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

    return wait_until(READY_S, find, "a leader")


class NoRedirects(urllib.request.HTTPRedirectHandler):
    """Reports redirects as errors instead of following them."""

    def redirect_request(self, *arguments):
        return None


def submit(context, steps, duration_ms=100.0, long_running=False):
    """Submit a job, with retries until it is accepted."""
    context.jobs += 1
    context.job = f"{context.jobs:016x}"
    context.steps = steps
    context.targets.durations_ms[context.job] = duration_ms
    if long_running:
        context.targets.long_running.add((context.job, 0))
    body = {"task_spec": "text", "steps": steps}

    def accepted():
        for name in machines(context, "entry"):
            url = entry_url(context, name) + PREFIX + context.job
            headers = (("Host", HOST), ("X-Key", KEY), ("X-Deadline-Ms", "2000"))
            if call(url, "POST", body, headers)[0] == 200:
                return True
        return False

    wait_until(READY_S, accepted, "the job is accepted")


def state_through(context, entry):
    """Return the state of the job as an entry shows it."""
    url = entry_url(context, entry) + PREFIX + context.job
    status, body = call(url, headers=(("Host", HOST), ("X-Key", KEY)))
    return json.loads(body)["state"] if status == 200 else f"status {status}"


def wait_for_state(context, state, seconds):
    """Wait until every entry shows the job in a state."""

    def shown():
        entries = machines(context, "entry")
        return all(state_through(context, entry) == state for entry in entries)

    wait_until(seconds, shown, f"the job is {state}")


def running_tasks(context):
    """Return the number of running tasks of the job."""
    processes = context.targets.incarnations.values()
    return sum(
        task.job_id == context.job for process in processes for task in process.running
    )


def readiness_of(context, entry):
    """Return the status of an entry's readiness probe."""
    ip = context.deployment.programs[entry].ip
    return call(f"http://{ip}:{PROBE_PORT}/readiness")[0]
