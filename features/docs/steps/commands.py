"""Steps that run the commands in the docs."""

import os
import re
import shlex
import shutil
import subprocess
import sys
import time
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import get_args, get_type_hints

import httpx
from behave import given, then, when
from mulberryledge_testing.ports import free_ports
from twisted.internet.task import Clock

from mulberryledge_cli.commands import COMMANDS
from mulberryledge_core.keys import split_key
from mulberryledge_core.model.services import ServiceDocument
from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.http.health import health_routes
from mulberryledge_daemon.http.routing import STATUS_BY_CODE
from mulberryledge_daemon.settings import DaemonSection, OperatorSection, Settings

ROOT = Path.cwd()
BIN = Path(sys.executable).parent
BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.DOTALL | re.MULTILINE)
ROUTE = re.compile(r"`(GET|POST|PUT|DELETE|\*) (/[^` ]+)`")
STATUS_ROW = re.compile(r"^\| (\d{3}) \| (.*) \|$", re.MULTILINE)
PROMISE_ROW = re.compile(r"\| ([a-z]+) \| ([A-Z][^|]+) \|$", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+)\)")
NAMED = re.compile(r"\bmulberryledge ((?:[a-z][a-z-]+ ?){1,2})")
VARIABLE = re.compile(r"\$([A-Z_]+)")
TIMEOUT_S = 20.0
CALLERS, OPERATORS = "7070", "7071"


def pages():
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


class Shell:
    """Runs the lines of the docs: our own programs, variables and plain calls."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.ports = dict(
            zip((CALLERS, OPERATORS), map(str, free_ports(2)), strict=True)
        )
        self.variables = {"PATH": os.environ["PATH"], "PWD": str(folder)}
        self.started = []
        self.shown = ""

    def with_ports(self, text):
        for port, free in self.ports.items():
            text = text.replace(port, free)
        return text

    def run(self, line):
        line = self.with_ports(line)
        name, _, value = line.partition("=")
        if line.startswith("export "):
            self.variables[name.removeprefix("export ")] = self.expand(value)
        elif value.startswith("$("):
            self.variables[name] = self.output(value[2:-1])
        elif line.startswith("make setup"):
            assert BIN.exists()
        elif line.endswith(" &"):
            self.start(line.removesuffix(" &"))
        elif line.startswith("curl "):
            self.call(line)
        else:
            self.shown = self.output(line)

    def expand(self, text):
        return VARIABLE.sub(lambda found: self.variables[found[1]], text)

    def words(self, line):
        program, *rest = shlex.split(self.expand(line))
        if program == "python":
            return [sys.executable, *rest]
        assert program in ("mulberryledge", "mulberryledged"), line
        return [BIN / program, *rest]

    def environment(self):
        kept = {"HOME": str(self.folder), "LANG": "C.UTF-8"}
        return kept | self.variables

    def output(self, line):
        done = subprocess.run(
            self.words(line),
            cwd=self.folder,
            env=self.environment(),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert done.returncode == 0, (line, done.returncode, done.stdout, done.stderr)
        return done.stdout.strip()

    def start(self, line):
        log = self.folder / f"log-{len(self.started)}"
        with open(log, "wb") as file:
            running = subprocess.Popen(
                self.words(line),
                cwd=self.folder,
                env=self.environment(),
                stdout=file,
                stderr=file,
            )
        self.started.append(running)
        self.wait_for_output(log, running)

    def wait_for_output(self, log, running):
        end = time.monotonic() + TIMEOUT_S
        while not log.read_text().endswith("\n"):
            assert running.poll() is None, log.read_text()
            assert time.monotonic() < end, log.read_text()
            time.sleep(0.02)

    def call(self, line):
        words = shlex.split(self.expand(line))[1:]
        options = dict(zip(words[:-1:2], words[1:-1:2], strict=True))
        name, _, value = options.pop("-H").partition(": ")
        body = options.pop("-d").encode()
        assert not options, line
        response = httpx.post(
            words[-1], headers={name: value}, content=body, trust_env=False
        )
        assert response.is_success, (line, response.text)
        self.answer = response.text

    def end(self):
        for running in self.started[::-1]:
            running.terminate()
        for running in self.started:
            running.wait(TIMEOUT_S)


@given("a folder with the examples")
def step_folder(context):
    context.shell = Shell(context.folder)
    context.add_cleanup(context.shell.end)
    shutil.copytree(ROOT / "examples", Path(context.folder) / "examples")
    settings = Path(context.folder) / "examples" / "quickstart" / "settings.toml"
    settings.write_text(context.shell.with_ports(settings.read_text()))


@when('the commands of "{page}" are run')
def step_run(context, page):
    shell = context.shell
    if "KEY" in shell.variables:
        shell.variables["OLD_ID"] = split_key(shell.variables["KEY"])[0]
    blocks = BLOCK.findall((ROOT / page).read_text())
    lines = [line for block in blocks for line in block.splitlines() if line]
    assert len(lines) >= 2, page
    for line in lines:
        shell.run(line)


@then('"{line}" shows "{text}"')
def step_shows(context, line, text):
    shown = context.shell.output(f"mulberryledge {line}")
    assert text in shown, shown


@then('the last call was answered with "{text}"')
def step_answered(context, text):
    assert context.shell.answer == text, context.shell.answer


@then("every link in the docs leads to a file")
def step_links(context):
    for page in pages():
        for link in LINK.findall(page.read_text()):
            assert (page.parent / link).exists(), (page, link)


@then("every command in the docs has a help text with an example")
def step_commands(context):
    by_name = {command.name: command for command in COMMANDS}
    for command in COMMANDS:
        assert "Example" in command.help, command.name
    found = 0
    for page in pages():
        for words in NAMED.findall(page.read_text()):
            names = (words.strip(), words.split()[0])
            assert any(name in by_name for name in names), (page, words)
            found += 1
    assert found > 20, found


def values_of(kind, place=""):
    """Yield the dotted place of each value of a class of sections."""
    hints = get_type_hints(kind)
    for field in fields(kind):
        hint = next(iter(get_args(hints[field.name])), hints[field.name])
        if is_dataclass(hint):
            yield from values_of(hint, f"{field.name}.")
        else:
            yield place + field.name


def assert_named(page, places):
    text = (ROOT / page).read_text()
    for place in places:
        name = place.rpartition(".")[2]
        parts = [place, f"`{name}`", f"`{name.removeprefix('max_hosts_out')}`"]
        assert any(part in text for part in parts), place


@then('"{page}" names every value of a service document')
def step_document(context, page):
    assert_named(page, values_of(ServiceDocument))


@then('"{page}" names every value of the settings')
def step_settings(context, page):
    assert_named(page, values_of(Settings))


def routes_of(daemon):
    """Return method and pattern of every route."""
    health = health_routes(daemon.is_ready, bytes)
    routes = (*health, *daemon.entry.routes(), *daemon.all_operator_routes())
    return {(route.method, route.pattern) for route in routes}


@then('"{page}" names every route of the daemon and no other')
def step_routes(context, page):
    settings = Settings(DaemonSection("entry-1"), operator=OperatorSection())
    with open_daemon(Clock(), settings) as daemon:
        served = routes_of(daemon)
    text = (ROOT / page).read_text().replace("any method on `", "`* ")
    named = set(ROUTE.findall(text))
    assert named == served, named ^ served


@then('"{page}" names every code with its status')
def step_codes(context, page):
    rows = dict(STATUS_ROW.findall((ROOT / page).read_text()))
    for code, status in STATUS_BY_CODE.items():
        assert f"`{code}`" in rows[str(status)], code


@then('every scenario in "{page}" is in its suite')
def step_promises(context, page):
    rows = PROMISE_ROW.findall((ROOT / page).read_text())
    assert len(rows) > 30, len(rows)
    for suite, scenario in rows:
        features = (ROOT / "features" / suite).glob("*.feature")
        text = "\n".join(one.read_text() for one in features)
        assert f": {scenario}\n" in text, (suite, scenario)
