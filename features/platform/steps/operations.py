"""Steps that diagnose failures from logs and metrics."""

import ast
import json
import re
import shlex
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from support.calls import (
    HOST,
    KEY,
    PREFIX,
    READY_S,
    STEP,
    call,
    entry_url,
    leader_of,
    machines,
    running_tasks,
    send_manifest,
    submit,
    wait_for_state,
    wait_until,
)
from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread

ROOT = Path(__file__).resolve().parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
EXAMPLE_ID, EXAMPLE_LOGS = "5c0e7a21d94b36f8", "logs/*"
METRICS_PORT = 9_464
SOURCES = (
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/batch/*.py",
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/log/cluster_joiner.py",
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/log/membership.py",
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/log/replicated.py",
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/peers/link.py",
    "packages/mulberryledge-daemon/src/mulberryledge_daemon/peers/network.py",
    "platform/src/mulberryledge_platform/*.py",
)


@given("the operator has sent a manifest with version {version:d}")
def manifest_sent(context, version):
    wait_until(READY_S, lambda: send_manifest(context, version), f"version {version}")


@when("all core machines but the leader are killed")
def kill_followers(context):
    leader = leader_of(context)
    for name in machines(context, "core"):
        if name != leader:
            context.deployment.kill(name)


@when("a caller submits a job that is refused")
def refused_job(context):
    context.job = f"{77:016x}"
    body = {"task_spec": "text", "steps": [STEP]}
    headers = (("Host", HOST), ("X-Key", KEY), ("X-Deadline-Ms", "2000"))

    def is_refused():
        url = entry_url(context, machines(context, "entry")[0]) + PREFIX + context.job
        return call(url, "POST", body, headers)[0] == 503

    wait_until(READY_S, is_refused, "a refusal")


@when("the target of one of its tasks is lost and replaced")
def target_replaced(context):
    wait_until(5, lambda: running_tasks(context) > 0, "a task runs")

    def replace():
        targets = context.targets
        for host, process in list(targets.incarnations.items()):
            if any(task.job_id == context.job for task in process.running):
                targets.remove(host)
                targets.add("m-new", process.target.pool)
                return

    blockingCallFromThread(reactor, replace)


@when("a caller submits a job that fails on every target")
def failing_job(context):
    context.targets.failing.add(f"{context.jobs + 1:016x}")
    submit(context, [STEP])


@when('the job is shown as "{state}" through every entry within {seconds:d} seconds')
def job_state_shown(context, state, seconds):
    wait_for_state(context, state, seconds)


def commands():
    """Return the commands of the page's first shell block."""
    block = re.search(r"^```sh\n(.*?)^```$", PAGE.read_text(), re.DOTALL | re.MULTILINE)
    return block.group(1).strip().splitlines()


def run_command(context, line):
    """Run a command of the page on this deployment's logs; return its output."""
    logs = " ".join(
        shlex.quote(str(program.folder / "log"))
        for program in context.deployment.programs.values()
    )
    line = line.replace(EXAMPLE_ID, context.job).replace(EXAMPLE_LOGS, logs)
    binary = shlex.quote(str(Path(sys.executable).parent / "mulberryledge"))
    line = line.replace("mulberryledge trace", f"{binary} trace")
    done = subprocess.run(
        line, shell=True, capture_output=True, text=True, timeout=20, check=False
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


@then('the commands of docs/OPERATIONS.md show "{text}"')
def commands_show(context, text):
    plain, as_json, piped = commands()
    for line in (plain, piped):
        found = run_command(context, line)
        assert text in found.splitlines()[-1], found
        assert any(row.startswith(">") for row in found.splitlines()), found
    context.trace = json.loads(run_command(context, as_json))
    assert text in context.trace["verdict"], context.trace["verdict"]


@then('the deciding log line is "{message}" with "{field}" containing "{value}"')
def deciding_line(context, message, field, value):
    line = context.trace["deciding"]
    assert line["message"] == message, line
    assert value in str(line[field]), line


def metrics_of(context, name):
    """Return the metrics of a machine as text."""
    ip = context.deployment.programs[name].ip
    status, body = call(f"http://{ip}:{METRICS_PORT}/metrics")
    assert status == 200, (name, status)
    return body.decode()


@then("one core machine reports that it leads, and counts {count:d} runs that are done")
def leader_metrics(context, count):
    pages = [metrics_of(context, name) for name in machines(context, "core")]
    leading = [page for page in pages if "mulberryledge_leads 1.0" in page]
    assert len(leading) == 1, len(leading)
    assert f'mulberryledge_run_ends_total{{how="done"}} {count}.0' in leading[0]


@then("the entries count a submitted job")
def entry_metrics(context):
    pages = [metrics_of(context, name) for name in machines(context, "entry")]
    counted = 'mulberryledge_requests_total{kind="submit",verdict="ok"}'
    assert any(counted in page for page in pages)


@when("the reader of an entry's log stalls")
def stall_reader(context):
    context.stalled_entry = context.deployment.add("entry", first=False, reader="stuck")
    url = entry_url(context, context.stalled_entry) + PREFIX + "f" * 16
    headers = (("Host", HOST), ("X-Key", KEY))
    wait_until(
        READY_S, lambda: call(url, headers=headers)[0] == 410, "the entry answers"
    )


@then("{count:d} requests through it are answered")
def all_answered(context, count):
    headers = (("Host", HOST), ("X-Key", "nobody"))
    url = entry_url(context, context.stalled_entry) + PREFIX + "f" * 16
    for number in range(count):
        status, _ = call(url, headers=headers)
        assert status == 401, (number, status)


def log_messages():
    """Yield the log messages in the sources of the programs."""
    for pattern in SOURCES:
        for path in sorted(ROOT.glob(pattern)):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                function = node.func
                if (
                    isinstance(function, ast.Attribute)
                    and isinstance(function.value, ast.Name)
                    and function.value.id == "logger"
                ):
                    assert isinstance(node.args[0], ast.Constant), ast.dump(node)
                    yield node.args[0].value


@then("docs/OPERATIONS.md names every message of the platform's programs")
def all_documented(context):
    page = PAGE.read_text()
    found = set(log_messages())
    assert len(found) > 40, found
    missing = sorted(message for message in found if f"`{message}`" not in page)
    assert not missing, missing
