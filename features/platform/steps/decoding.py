"""Steps on the decoding of input from the platform."""

import copy
import json
import math
import socket
import tomllib

from behave import then, when
from hypothesis import given as given_any
from hypothesis import settings, strategies
from result import Err, Ok
from twisted.internet.defer import ensureDeferred, succeed

from mulberryledge_core.batch.commands import (
    ChangeSet,
    EndRun,
    PutConfiguration,
    RecordTarget,
    SubmitJob,
    encode_change_set,
)
from mulberryledge_core.batch.configuration import AdviceCost
from mulberryledge_core.batch.specs import StepId, TaskId, spec_problem
from mulberryledge_daemon.batch.clocks import TargetClock
from mulberryledge_daemon.batch.ports import HostsView
from mulberryledge_platform.advisor import HttpAdvisor
from mulberryledge_platform.announcements import decode_announcement
from mulberryledge_platform.cloud import HttpCloud
from mulberryledge_platform.fields import DECODE_ERRORS
from mulberryledge_platform.http_client import HttpResponse, RequestFailure
from mulberryledge_platform.jobs import decode_job, decode_task, encode_task
from mulberryledge_platform.manifest import decode_manifest
from mulberryledge_platform.settings import Address, CloudSettings, decode_settings
from mulberryledge_platform.targets import decode_view
from mulberryledge_platform.waves import decode_wave
from mulberryledge_platform_testing.programs import SETTINGS

ROUTE = {
    "name": "plans",
    "host": "rounds.example",
    "path_prefix": "/plans/",
    "kind": "unsafe",
    "timeout_ms": 3000,
    "target_latency_ms": 600,
    "priority": 0,
    "service": "rounds",
    "max_attempts": 3,
    "stretch": 1.6,
    "public": False,
}
HOST = {
    "machine": "m-1",
    "pool": "rounds",
    "state": "up",
    "zone": "nizwa",
    "labels": ["a", "r1-3"],
    "capacity": {"cpu": 64000, "memory_limit_mb": 131072, "gpu": 0},
    "id": "i-1",
}
LIMIT = {"cpu": 9000, "memory_limit_mb": 0, "gpu": 0}
MANIFEST = {
    "version": 7,
    "routes": [ROUTE, ROUTE | {"name": "stock", "path_prefix": "/stock/"}],
    "services": [{"name": "rounds"}, {"name": "office", "spare": True}],
    "limits": {},
    "tenants": [
        {"name": "dispatch", "api_keys": ["key-1"], "weight": 2, "upper_limit": LIMIT},
        {"name": "depots", "api_keys": ["key-2"], "weight": 1},
    ],
}
REPORT = {
    "service": "rounds",
    "address": "10.128.0.9:8080",
    "zone": "nizwa",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "memory_limit_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "machine": "m-1",
    "born": 1786604924020,
    "clock_ms": 482113,
    "sequence": 4,
}
JOB = {
    "task_spec": "(text)",
    "steps": [
        {
            "count": 4,
            "cpu": 500,
            "memory_limit_mb": 256,
            "estimated_ms": 900,
            "data_rack": "r1-3",
        },
        {"count": 20, "cpu": 2000, "after": [0], "checkpointing": True},
    ],
}


def decode_checked_job(data):
    """Decode a job as the entry does, and validate it as the leader does."""
    decoded = decode_job(data)
    if isinstance(decoded, Ok):
        problem = spec_problem(decoded.ok_value)
        return decoded if problem is None else Err(problem)
    return decoded


def decode_list(data):
    """Decode the lists of a target, as the client of targets does."""
    try:
        return Ok(decode_view(HttpResponse(200, data).json()))
    except DECODE_ERRORS as error:
        return Err(str(error))


def decode_cloud_page(data):
    """Read a page of the cloud's list of hosts, as the client of the cloud does."""
    client = FixedResponseClient(HttpResponse(200, data))
    cloud = HttpCloud(
        client, CloudSettings(Address("10.0.0.1", 80), 1.0, 1.0), "core", lambda: True
    )
    views = []
    ensureDeferred(cloud.list_hosts()).addCallback(views.append)
    (view,) = views
    if not isinstance(view, HostsView):
        return Err(str(view))
    return Ok({(row.host, row.pool, row.target, row.rack): row for row in view.hosts})


def decode_grants(data):
    """Read the answer of the advisor, as its client does."""
    advisor = HttpAdvisor(
        FixedResponseClient(HttpResponse(200, data)), Address("10.0.0.1", 80)
    )
    step = StepId("5c0e7a21d94b36f8", 0, 1)
    grants = []
    asked = ensureDeferred(advisor.advise(step, ("i-1",), AdviceCost(60, 5, 2_000)))
    asked.addCallback(grants.append)
    return Err("unknown") if grants[0] is None else Ok(grants[0])


WAVE = {"wave": 1, "machines": ["m-1", "m-2"], "duration_s": 20, "upper_limit": 1}
LISTS = {
    "clock_ms": 482113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
EXAMPLES = {
    "manifest": (MANIFEST, decode_manifest),
    "status report": (REPORT, lambda data: decode_announcement("i-1", data)),
    "job": (JOB, decode_checked_job),
    "wave": (WAVE, decode_wave),
    "list of runs": (LISTS, decode_list),
    "list of hosts": ({"machines": [HOST], "next_page_token": None}, decode_cloud_page),
    "list of tickets": ({"good": [["i-1", "t1"]]}, decode_grants),
}
STORED_AS = {
    "manifest": lambda value: PutConfiguration(value, b""),
    "status report": lambda value: RecordTarget(value.target),
    "job": lambda value: SubmitJob("5c0e7a21d94b36f8", "plans", "dispatch", value),
    "wave": lambda value: value,
    "list of runs": lambda value: EndRun(
        *value.ended[0].task, 1, value.ended[0].how, value.ended[0].checkpoint
    ),
    "list of hosts": None,
    "list of tickets": None,
}


def encode_changed(plain, change):
    """Return the JSON text of an example after a change."""
    plain = copy.deepcopy(plain)
    if change == "half of its text":
        text = json.dumps(plain)
        return text[: len(text) // 2].encode()
    path, _, rest = change.partition('" ')
    *parents, last = path.strip('"').split(".")
    node = plain
    for key in parents:
        node = node[int(key) if key.isdigit() else key]
    last = int(last) if last.isdigit() else last
    if rest == "left out":
        del node[last]
    else:
        node[last] = json.loads(rest.removeprefix("set to "))
    return json.dumps(plain).encode()


@when("the example {what} is decoded with {change}")
def decode_changed(context, what, change):
    plain, decode = EXAMPLES[what]
    context.decoded = decode(encode_changed(plain, change))


@when("the example {what} is decoded")
def decode_example(context, what):
    plain, decode = EXAMPLES[what]
    context.decoded = decode(json.dumps(plain).encode())


@then("it is refused")
def refused(context):
    assert isinstance(context.decoded, Err), context.decoded


@then("it is accepted")
def accepted(context):
    assert isinstance(context.decoded, Ok), context.decoded


@then('the reason has "{first}", "{second}" and "{third}"')
def reason_has(context, first, second, third):
    reason = context.decoded.err_value
    assert all(part in reason for part in (first, second, third)), reason


def nested_list(depth):
    """Return empty lists in each other."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(strategies.characters(exclude_categories=())),
    strategies.sampled_from([10**400, -(10**400), 2**53 + 1, "\ud800", "²", {}]),
    strategies.sampled_from([nested_list(depth) for depth in (4, 300, 600)]),
    strategies.sampled_from(["10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "a:80"]),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=5,
)


def paths_of(value, path=()):
    """Return the paths of all parts of a JSON value."""
    children = []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    found = [path] if path else []
    for key, child in children:
        found += paths_of(child, (*path, key))
    return found


def check_orders(view):
    """Compare the fields of a list that the leader computes with."""
    assert view.born_ms is None or view.born_ms >= 0
    for run in view.running:
        assert run.percent < math.inf and (run.measurement or 0) < math.inf, run


def check_report(report):
    """Use a report as the leader does: read its clock, connect to its address."""
    assert 0 <= report.sequence <= 2**53, report
    clock = TargetClock()
    clock.observe(report.clock_ms or 0, 1)
    assert clock.certainly_passed(clock.estimate(2) + 1_000) > 0
    ip, _, port = report.target.address.rpartition(":")
    assert socket.inet_aton(ip) and 0 < int(port) < 2**16, report


def check_decoded(what, data):
    """Decode a text: it is refused with a reason, or can be stored in the log."""
    decoded = EXAMPLES[what][1](data)
    if isinstance(decoded, Err):
        assert decoded.err_value
        return
    value = decoded.ok_value
    if what == "list of runs":
        check_orders(value)
        if not value.ended:
            return
    if STORED_AS[what] is None:
        return
    if what == "status report":
        check_report(value)
    encode_change_set(ChangeSet(1, (STORED_AS[what](value),)))


@then("{count:d} random changes of the example {what} are accepted or refused")
def check_changes(context, count, what):
    plain = EXAMPLES[what][0]

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given_any(strategies.sampled_from(paths_of(plain)), VALUES)
    def check(path, value):
        changed = copy.deepcopy(plain)
        node = changed
        for key in path[:-1]:
            node = node[key]
        node[path[-1]] = value
        check_decoded(what, json.dumps(changed).encode())

    check()


@then("{count:d} random texts are accepted or refused as a {what}")
def check_texts(context, count, what):
    deep = b"[" * 100_000 + b"]" * 100_000
    texts = strategies.one_of(
        strategies.binary(),
        strategies.sampled_from(
            [deep, b'{"task_spec":' + deep + b"}", b'"\xed\xa0\x80"']
        ),
        VALUES.map(lambda value: json.dumps(value).encode()),
    )

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given_any(texts)
    def check(data):
        check_decoded(what, data)

    check()


@then('queue "{name}" serves "{host}" under "{prefix}" from pool "{pool}"')
def queue_is(context, name, host, prefix, pool):
    configuration = context.decoded.ok_value
    queue = configuration.find_queue(host, prefix + "0123456789abcdef")
    assert (queue.name, queue.pool) == (name, pool), queue


@then('team "{team}" holds key "{key}" and may run {cpu:d} millicores')
def team_is(context, team, key, cpu):
    configuration = context.decoded.ok_value
    assert configuration.team_of_key(key) == team
    assert configuration.teams_by_name[team].upper_limit.cpu_millis == cpu


@then('pool "{name}" is spare')
def pool_is_spare(context, name):
    assert context.decoded.ok_value.pools_by_name[name].spare


@then(
    'it is target "{name}" of pool "{pool}" on host "{host}" in rack "{rack}", {state}'
)
def target_is(context, name, pool, host, rack, state):
    target = context.decoded.ok_value.target
    found = (target.name, target.pool, target.host, target.rack, target.draining)
    assert found == (name, pool, host, rack, state == "draining"), found


@then(
    "step {number:d} has {count:d} tasks of {cpu:d} millicores and"
    ' {memory:d} MB near rack "{rack}"'
)
def step_is(context, number, count, cpu, memory, rack):
    step = context.decoded.ok_value.steps[number]
    found = (step.count, step.size.cpu_millis, step.size.memory_mb, step.data_rack)
    assert found == (count, cpu, memory, rack), found


@then("step {number:d} comes after step {before:d} and saves checkpoints")
def step_after(context, number, before):
    step = context.decoded.ok_value.steps[number]
    assert step.after == (before,)
    assert step.checkpointing


@when("the example settings are read without {name}")
def read_settings(context, name):
    values = dict.fromkeys(
        ("name", "role", "ip", "peers", "peers_end", "folder", "listen", "status_s"),
        "1",
    )
    text = SETTINGS.format(**(values | {"listen": "", "seeds": "", "first": "true"}))
    plain = tomllib.loads(text)
    del plain[name]
    try:
        decode_settings(plain)
        context.error = None
    except KeyError as error:
        context.error = str(error)


@then("the error names {name}")
def error_names(context, name):
    assert context.error == repr(name), context.error


@then("{count:d} names of tasks decode to the task that they encode")
def round_trip(context, count):
    numbers = strategies.integers(0, 10_000)
    identifiers = strategies.integers(0, 2**64 - 1).map(lambda number: f"{number:016x}")

    @settings(max_examples=count, derandomize=True, deadline=None)
    @given_any(strategies.builds(TaskId, identifiers, numbers, numbers, numbers))
    def check(task):
        assert decode_task(encode_task(task)) == task

    check()


class FixedResponseClient:
    """HTTP client that returns one fixed response and records the request."""

    def __init__(self, response):
        self.response = response
        self.request_sent = None

    def request(self, address, request):
        self.request_sent = request
        return succeed(self.response)


@when("the advisor answers {status:d} with {body}")
def advisor_answers(context, status, body):
    response = (
        HttpResponse(status, body.encode()) if status else RequestFailure(True, body)
    )
    client = FixedResponseClient(response)
    advisor = HttpAdvisor(client, Address("10.0.0.1", 80))
    step = StepId("5c0e7a21d94b36f8", 0, 1)
    pending = advisor.advise(step, ("i-1", "i-2"), AdviceCost(60, 5, 2_000))
    context.grants = []
    ensureDeferred(pending).addCallback(context.grants.append)
    sent = json.loads(client.request_sent.body)
    assert sent == {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1", "i-2"]}, sent


@then("the tickets are {tickets}")
def tickets_are(context, tickets):
    (found,) = context.grants
    names = "unknown" if found is None else " ".join(grant.target for grant in found)
    assert (names or "none") == tickets, found


@when('the cloud lists host "m-1", and "m-2" with {change}')
def cloud_lists(context, change):
    plain = {
        "machines": [
            HOST,
            json.loads(encode_changed(HOST | {"machine": "m-2"}, change)),
        ]
    }
    client = FixedResponseClient(HttpResponse(200, json.dumps(plain).encode()))
    cloud = HttpCloud(
        client, CloudSettings(Address("10.0.0.1", 80), 1.0, 1.0), "core", lambda: True
    )
    context.views = []
    ensureDeferred(cloud.list_hosts()).addCallback(context.views.append)


@then("the hosts read are {hosts}, and {undecoded:d} rows are skipped")
def hosts_are(context, hosts, undecoded):
    (view,) = context.views
    found = ", ".join(f"{host.host} {host.state}" for host in view.hosts)
    assert (found, view.undecoded) == (hosts, undecoded), view


@when("a target lists {count:d} ends")
def target_lists_ends(context, count):
    rows = [
        [number, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
        for number in range(1, count + 1)
    ]
    context.decoded = decode_list(json.dumps(LISTS | {"ended": rows}).encode())


@then("the view is {completeness}")
def view_is(context, completeness):
    view = context.decoded.ok_value
    assert view.ends_complete == (completeness == "complete"), len(view.ended)


class PagedClient:
    """HTTP client that returns a list of hosts with one host on each page."""

    def __init__(self, pages):
        self.pages = pages

    def request(self, address, request):
        number = int(request.path.rpartition("=")[2]) if "=" in request.path else 1
        page = {"machines": [HOST | {"machine": f"m-{number}"}]}
        if number < self.pages:
            page["next_page_token"] = str(number + 1)
        return succeed(HttpResponse(200, json.dumps(page).encode()))


@when("the cloud lists its hosts on {pages:d} pages")
def cloud_lists_pages(context, pages):
    cloud = HttpCloud(
        PagedClient(pages),
        CloudSettings(Address("10.0.0.1", 80), 1.0, 1.0),
        "core",
        lambda: True,
    )
    context.views = []
    ensureDeferred(cloud.list_hosts()).addCallback(context.views.append)


@then("the list of hosts is {completeness}")
def list_of_hosts_is(context, completeness):
    (view,) = context.views
    assert view.truncated == (completeness == "incomplete"), len(view.hosts)
