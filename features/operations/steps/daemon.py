"""Steps on settings, logs, metrics and a running daemon process."""

import json
import logging
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import httpx
from behave import given, then, when
from mulberryledge_testing.reactor_thread import run_coroutine
from steps_common import capture_logs

from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam
from mulberryledge_core.keys import digest_secret, make_key, split_key
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.http.operators import operator_routes
from mulberryledge_daemon.http.reports import report_routes
from mulberryledge_daemon.logs import JsonFormatter, RepeatFilter
from mulberryledge_daemon.observations import CallObservation
from mulberryledge_daemon.settings import load_settings

SECRET_KEY = "mlk_0095227ab60f_3fec00b87a18722e06542c7273e55cd81457d1a5c491ea42"
PROCESS_TIMEOUT_S = 20.0
BODY = b"plan for van 7"
GOOD_SETTINGS = {
    "daemon": {"name": '"entry-1"'},
    "listen": {"operators_port": "7071"},
    "timing": {"target_lease_s": "10.0"},
    "operator": {
        "key_id": '"operator"',
        "salt": f'"{bytes(16).hex()}"',
        "digest": f'"{digest_secret(bytes(16), "test").hex()}"',
    },
}


def settings_text(changes):
    sections = {name: dict(fields) for name, fields in GOOD_SETTINGS.items()}
    for place, value in changes.items():
        section, _, field = place.partition(".")
        sections.setdefault(section, {})[field] = value
    lines = []
    for name, fields in sections.items():
        lines += [f"[{name}]", *(f"{key} = {value}" for key, value in fields.items())]
    return "\n".join(lines) + "\n"


def check_settings(context, text):
    path = Path(context.folder) / "settings.toml"
    path.write_text(text)
    context.loaded = load_settings(path)


@when('settings with {value} at "{place}" are checked')
def step_check(context, value, place):
    check_settings(context, settings_text({}))
    assert context.loaded.is_ok(), context.loaded
    check_settings(context, settings_text({place: value}))


@then('the settings fault at "{place}" says "{problem}"')
def step_fault(context, place, problem):
    faults = context.loaded.err_value.faults
    found = [fault.problem for fault in faults if fault.place == place]
    assert any(problem in one for one in found), faults


@when("settings are checked with faults in three sections")
def step_faults(context):
    changes = {
        "daemon.name": '"A B"',
        "listen.callers_port": "1.5",
        "timing.tick_s": "-1",
        "unheard.of": "1",
    }
    check_settings(context, settings_text(changes))


@then('there are settings faults at "{places}"')
def step_places(context, places):
    found = {fault.place for fault in context.loaded.err_value.faults}
    assert found == set(places.split(", ")), found


@when("an operators' key is made")
def step_make_key(context):
    command = [Path(sys.executable).parent / "mulberryledged", "make-key"]
    context.made = subprocess.run(command, capture_output=True, text=True).stdout


@then("its text matches the section for the settings")
def step_made(context):
    (key,) = [word for word in context.made.split() if word.startswith("mlk_")]
    section = tomllib.loads(context.made)["operator"]
    key_id, secret = split_key(key)
    salt = bytes.fromhex(section["salt"])
    assert section["key_id"] == key_id
    assert section["digest"] == digest_secret(salt, secret).hex()


@when("a record with a key, a body and a failure is logged")
def step_log(context):
    logger = logging.getLogger("test.secrets")

    def position(record):
        record.daemon, record.term, record.index = "entry-1", 4, 17
        return True

    with capture_logs(logger, JsonFormatter(), (position,)) as context.lines:
        try:
            raise ValueError(f"bad header {SECRET_KEY}")
        except ValueError:
            extra = {"body": b"van 7", "why": [SECRET_KEY]}
            logger.exception("call with %s failed", SECRET_KEY, extra=extra)


@then("the line is JSON with daemon, term and index")
def step_line(context):
    (line,) = context.lines
    fields = json.loads(line)
    found = (fields["daemon"], fields["term"], fields["index"])
    assert found == ("entry-1", 4, 17), fields


@then("the line holds neither the secret nor the body")
def step_secret(context):
    (line,) = context.lines
    assert split_key(SECRET_KEY)[1] not in line, line
    assert "van 7" not in line and "5 bytes" in line, line


@when(
    "the same {level} is logged {count:d} times within a second"
    " and once {later:d} seconds later"
)
def step_repeat(context, level, count, later):
    now = [100.0]
    logger = logging.getLogger("test.repeats")
    repeats = RepeatFilter(lambda: now[0])
    with capture_logs(logger, JsonFormatter(), (repeats,)) as context.lines:
        for _ in range(count):
            getattr(logger, level)("loan not returned")
        now[0] += later
        getattr(logger, level)("loan not returned")


@then("{count:d} lines are written and the last says that {held:d} were suppressed")
def step_suppressed(context, count, held):
    assert len(context.lines) == count, context.lines
    assert json.loads(context.lines[-1])["suppressed"] == held


@then("{count:d} lines are written")
def step_lines(context, count):
    assert len(context.lines) == count, len(context.lines)


@given('service "{name}" with a success share of {share}')
def step_service(context, name, share):
    text = (
        f'[service]\nname="{name}"\nteam="dispatch"\npool="interior"\n'
        f"[calls]\n[objective]\nsuccess_share={share}\n"
    )
    for command in (
        CreatePool("interior"),
        CreateTeam("dispatch"),
        ApplyDocument(text, 1),
    ):
        outcome = run_coroutine(lambda one=command: context.daemon.log.propose(one))
        assert outcome.is_ok(), outcome


@when("{count:d} calls by made-up teams to made-up services are observed")
def step_made_up(context, count):
    for number in range(count):
        context.daemon.accounting.observe(
            CallObservation(
                f"service-{number}",
                f"team-{number}",
                RunOutcome.NOT_RUN,
                f"code-{number}",
                404,
                0.01,
            )
        )


@then("the metrics have 1 service label and 1 team label more than the state")
def step_labels(context):
    text = context.daemon.accounting.metrics.text().decode()
    calls = [line for line in text.splitlines() if line.startswith("mulberryledge_")]
    assert not any("service-" in line or "team-" in line for line in calls)
    assert not any("code-" in line for line in calls)
    assert any('service="(other)"' in line for line in calls), calls


@then("the metrics name the applied index and the freshness")
def step_gauges(context):
    text = context.daemon.accounting.metrics.text().decode()
    index = float(context.daemon.log.state.applied_index)
    assert f"mulberryledge_applied_index {index}" in text, text
    assert "mulberryledge_fresh 1.0" in text


@when("the daemon begins to stop")
def step_stopping(context):
    context.daemon.stopping = True


@then('"{one}" answers {a:d}, "{two}" answers {b:d} and "{three}" answers {c:d}')
def step_health(context, one, a, two, b, three, c):
    base = f"http://127.0.0.1:{context.daemon.callers_port}"
    for path, status in ((one, a), (two, b), (three, c)):
        assert httpx.get(base + path, trust_env=False).status_code == status, path


@then("no operators' route answers without the key")
def step_guarded(context):
    daemon = context.daemon
    routes = (
        *operator_routes(daemon.operators),
        *report_routes(daemon.reports, daemon.operators),
    )
    assert len(routes) >= 7
    for route in routes:
        path = route.pattern.replace("{", "").replace("}", "")
        response = httpx.request(route.method, context.entry + path, trust_env=False)
        assert response.status_code == 401, (path, response.status_code)


class Process:
    """A daemon process whose log goes to a file."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.settings = self.folder / "settings.toml"
        self.log = self.folder / "log"
        self.running = None

    def start(self, text):
        self.settings.write_text(text)
        command = [Path(sys.executable).parent / "mulberryledged", "run", self.settings]
        with open(self.log, "wb") as log:
            self.running = subprocess.Popen(command, stderr=log)
        self.started = self.wait_for("started")

    def lines(self):
        whole = self.log.read_text().rpartition("\n")[0]
        return whole.splitlines()

    def wait_for(self, message):
        """Return the fields of the last line with a message, once there is one."""
        end = time.monotonic() + PROCESS_TIMEOUT_S
        while time.monotonic() < end:
            found = [json.loads(line) for line in self.lines()]
            found = [one for one in found if one["message"] == message]
            if found:
                return found[-1]
            time.sleep(0.02)
        raise AssertionError(f"{message!r} is not in the log: {self.log.read_text()}")

    def hang_up(self, text):
        self.settings.write_text(text)
        self.running.send_signal(signal.SIGHUP)

    def end(self):
        if self.running.poll() is None:
            self.running.kill()
        self.running.wait()


@given("a daemon process with a settings file")
def step_process(context):
    context.process = Process(context.folder)
    changes = {"listen.operators_port": "0", "daemon.data_folder": '"data"'}
    data = Path(context.folder) / "data"
    changes["daemon.data_folder"] = f'"{data}"'
    context.changes = changes
    context.process.start(settings_text(changes))
    context.add_cleanup(context.process.end)


@when("a key is given and a call is sent with it")
def step_call(context):
    started = context.process.started
    context.team_key = make_key(bytes(range(46)))
    base = f"http://127.0.0.1:{started['callers_port']}"
    response = httpx.post(
        base + "/v1/services/plans/calls/today",
        headers={"Authorization": f"Bearer {context.team_key.text}"},
        content=BODY,
        trust_env=False,
    )
    assert response.status_code == 401, response


@when('the settings change "{one}" and "{two}" and a hangup is sent')
def step_hang_up(context, one, two):
    context.changes |= {one: '"http://127.0.0.1:9"', two: "7999"}
    context.process.hang_up(settings_text(context.changes))


@then('the log says that "{one}" is applied and "{two}" needs a restart')
def step_reloaded(context, one, two):
    fields = context.process.wait_for("settings reloaded")
    assert (fields["applied"], fields["needs_restart"]) == ([one], [two]), fields


@when("the settings get a fault and a hangup is sent")
def step_fault_reload(context):
    context.process.hang_up(settings_text({"timing.tick_s": "0"}))


@then("the log says that the settings are not reloaded, with the place")
def step_not_reloaded(context):
    fields = context.process.wait_for("settings not reloaded")
    assert "timing.tick_s" in fields["why"], fields


@when("the daemon process is told to stop")
def step_stop(context):
    context.process.running.send_signal(signal.SIGTERM)
    context.process.running.wait(PROCESS_TIMEOUT_S)


@then("it exits with {code:d}")
def step_exit(context, code):
    assert context.process.running.returncode == code


@then("every line of its log is JSON, and no line holds a key or a body")
def step_whole_log(context):
    lines = context.process.log.read_text().splitlines()
    assert len(lines) >= 4
    for line in lines:
        fields = json.loads(line)
        assert fields["daemon"] == "entry-1" and "index" in fields, line
        assert split_key(context.team_key.text)[1] not in line, line
        assert BODY.decode() not in line, line
