"""Steps that run the operators' command line against a daemon."""

import json
import os
import socket
import threading
from pathlib import Path

from behave import given, then, when
from mulberryledge_testing.reactor_thread import run_coroutine
from steps_common import DOCUMENT, operate

from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_core.commands.teams import CreateTeam, GiveKey
from mulberryledge_core.commands.work import CancelJobs, SubmitJob
from mulberryledge_core.keys import digest_secret, secret_matches, split_key
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_daemon.ports import InForceResult


def serve_once_more(context, answer):
    """Serve raw TCP on loopback; return the URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)

    def run():
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            with client:
                answer(client)

    threading.Thread(target=run, daemon=True).start()
    return f"http://127.0.0.1:{listener.getsockname()[1]}"


def read_request(client):
    data = b""
    while b"\r\n\r\n" not in data:
        data += client.recv(65_536)
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"content-length":
            while len(body) < int(value):
                body += client.recv(65_536)
    return head + b"\r\n\r\n" + body


def lose_answer(context):
    """Return an entry that passes requests on and drops the answers."""
    port = context.daemon.operators_port

    def answer(client):
        with socket.create_connection(("127.0.0.1", port)) as onward:
            onward.sendall(read_request(client))
            onward.recv(65_536)

    return serve_once_more(context, answer)


def closed_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"http://127.0.0.1:{listener.getsockname()[1]}"


@given('team "{team}" with pool "{pool}" is set up')
def step_set_up(context, team, pool):
    run_coroutine(lambda: context.daemon.log.propose(CreatePool(pool)))
    run_coroutine(lambda: context.daemon.log.propose(CreateTeam(team)))


@when("the operator runs")
def step_run_table(context):
    for row in context.table:
        code = operate(context, row["command"])
        assert code == int(row["exit"]), (row["command"], code, context.shown)
        assert row["shows"] in context.shown, (row["command"], context.shown)


@when('the operator runs "{line}"')
def step_run(context, line):
    operate(context, line)


@then("the exit code is {code:d}")
def step_code(context, code):
    assert context.code == code, (context.code, context.shown)


@then('it shows "{text}"')
def step_shows(context, text):
    assert text in context.shown, context.shown


def apply_document(context, deadline, suffix):
    path = Path(context.folder) / f"plans-{deadline}.toml"
    path.write_text(DOCUMENT.format(deadline=deadline))
    operate(context, f"service apply {path}{suffix}")


@given("a document with deadline {deadline:d} is applied with number {number:d}")
@when("a document with deadline {deadline:d} is applied with number {number:d}")
def step_apply_number(context, deadline, number):
    apply_document(context, deadline, f" --number {number}")


@when("a document with deadline {deadline:d} is applied without a number")
def step_apply_plain(context, deadline):
    apply_document(context, deadline, "")


@given('the operator gives team "{team}" a key')
@when('the operator gives team "{team}" a key')
def step_give(context, team):
    operate(context, f"key give {team}")
    keys = getattr(context, "keys", [])
    context.keys = [*keys, context.shown.strip().splitlines()[-1]]


@then('"{line}" names both keys and no secret')
def step_names(context, line):
    operate(context, line)
    for key in context.keys:
        key_id, secret = split_key(key)
        assert key_id in context.shown and secret not in context.shown


@when("the operator withdraws the first key")
def step_withdraw(context):
    operate(context, f"key withdraw {split_key(context.keys[0])[0]}")


@when("the first key is given again by a late resend")
def step_late(context):
    key_id, secret = split_key(context.keys[0])
    command = GiveKey(key_id, "dispatch", b"s", digest_secret(b"s", secret))
    context.outcome = run_coroutine(lambda: context.daemon.log.propose(command))


@then('the late resend is refused as "{code}"')
def step_late_refused(context, code):
    assert context.outcome.err_value.code == code, context.outcome


@given("the entries are one that is down, one that loses answers, and the daemon")
def step_entries(context):
    urls = (closed_port(), lose_answer(context), context.entry)
    context.entries = ",".join(urls)


@given("the entries are one that loses answers, and one that refuses the key")
def step_refused_key(context):
    body = b'{"code": "bad-key", "message": "the key is wrong"}'
    head = b"HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: %d\r\n"

    def refuse(client):
        read_request(client)
        client.sendall(head % len(body) + b"\r\n" + body)

    urls = (lose_answer(context), serve_once_more(context, refuse))
    context.entries = ",".join(urls)


@then("there is no team")
def step_no_team(context):
    assert not context.daemon.log.state.teams, context.daemon.log.state.teams


@given("the entries are only one that is down")
def step_down(context):
    context.entries = closed_port()


@given('the entry is something that answers "{text}"')
def step_other(context, text):
    body = text.encode()
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"

    def answer(client):
        read_request(client)
        client.sendall(head % len(body) + body)

    context.entries = serve_once_more(context, answer)


@then("the shown key is in force and is the only one")
def step_only_key(context):
    key_id, secret = split_key(context.keys[0])
    stored = context.daemon.log.state.keys
    assert list(stored) == [key_id], stored
    assert secret_matches(stored[key_id], secret)


@given('daemon "{name}" does not confirm')
def step_unconfirmed(context, name):
    async def in_force(index, timeout_s):
        return InForceResult(index, (name,))

    context.daemon.log.wait_in_force = in_force


@given('the operator\'s key is "{key}"')
def step_key(context, key):
    context.operator_key = key


@given("a client settings file")
def step_settings(context):
    text = f'entries = ["{context.entry}"]\nkey = "{context.operator_key}"\n'
    context.client_settings = Path(context.folder) / "client.toml"
    context.client_settings.write_text(text)


@given('a client settings file with "{line}"')
def step_settings_line(context, line):
    context.client_settings = Path(context.folder) / "client.toml"
    context.client_settings.write_text(line + "\n")


@when('the operator runs "{line}" with that file only')
def step_run_file(context, line):
    for name in ("MULBERRYLEDGE_ENTRIES", "MULBERRYLEDGE_KEY"):
        os.environ.pop(name, None)
    operate(context, f"{line} --settings {context.client_settings}", connect=False)


@then('it shows JSON with "{names}"')
def step_json(context, names):
    assert set(names.split(", ")) <= set(json.loads(context.shown)), context.shown


@given('the daemon decided to pause "{subject}" because "{cause}"')
def step_decided(context, subject, cause):
    decision = Decision(1_000, DecisionKind.PAUSE, subject, cause)
    context.daemon.journal.record(decision)


@given("a document with deadline {deadline:d} and a queue is applied with number 1")
def step_queue(context, deadline):
    path = Path(context.folder) / "queue.toml"
    path.write_text(DOCUMENT.format(deadline=deadline) + "[queue]\n")
    assert operate(context, f"service apply {path}") == 0, context.shown


@given('{count:d} jobs are queued by team "{team}", of which one is cancelled')
def step_jobs(context, count, team):
    jobs = [SubmitJob(f"job-{n}", "plans", team, b"secret plan") for n in range(count)]
    for command in (*jobs, CancelJobs(team, ("job-0",))):
        outcome = run_coroutine(lambda one=command: context.daemon.log.propose(one))
        assert outcome.is_ok(), outcome


@then('it shows {count:d} lines with "{text}" and none with "{other}"')
def step_lines(context, count, text, other):
    lines = [line for line in context.shown.splitlines() if text in line]
    assert len(lines) == count and other not in context.shown, context.shown


@then('it does not show "{text}"')
def step_hidden(context, text):
    assert text not in context.shown, context.shown
