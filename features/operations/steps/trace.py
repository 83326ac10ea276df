"""Steps on traces of jobs, and on logs that nobody reads."""

import json
import logging
import os

from behave import given, then, when

from mulberryledge_core.trace import read_lines, trace
from mulberryledge_daemon.logs import JsonFormatter, NonBlockingHandler


def line(time_s, daemon, message, **fields):
    return {"time": time_s, "daemon": daemon, "message": message, **fields}


SUBMITTED = line(10.0, "core-1", "job submitted", job="j1", committed="yes")
ANSWERED = line(
    10.002, "entry-1", "request answered", job="j1", kind="submit", verdict="ok", ms=20
)
STARTED = line(
    10.1, "core-1", "tasks started", job="j1", targets={"i-1@5": 2}, waited_ms=100
)
ENDED = line(
    10.3, "core-1", "job ended", job="j1", phase="completed", ms=300, in_time=True
)
REFUSED = line(
    9.0, "entry-2", "request answered", job="j1", kind="submit",
    verdict="unavailable", why="no leader",
)  # fmt: skip
LATE = ENDED | {"time": 14.6, "ms": 4_601, "objective_ms": 3_899, "in_time": False}
LOST = line(
    13.0, "core-1", "run ended", job="j1", how="lapsed", target="i-1@5", after_ms=2_900
)
GONE = line(13.1, "core-1", "target is gone", target="i-1@5", why="silent")
FAILED = line(10.2, "core-1", "run ended", job="j1", how="failed", target="i-1@5")
STRANGE = line("soon", "core-1", "job ended", job="j1", phase="failed")
LISTED = line(10.05, "core-1", "scheduling begins", term=3, targets=40)
EXAMPLES = {
    "in time": [SUBMITTED, ANSWERED, STARTED, ENDED],
    "late": [SUBMITTED, ANSWERED, LISTED, STARTED | {"waited_ms": 595}, LATE],
    "lost": [
        SUBMITTED, ANSWERED, STARTED, LOST, GONE,
        LATE | {"ms": 4_800, "objective_ms": 3_900},
    ],
    "failed": [
        SUBMITTED, ANSWERED, STARTED, FAILED, FAILED | {"time": 10.4},
        ENDED | {"phase": "failed", "failed_runs": 2, "time": 10.5},
    ],
    "refused": [REFUSED],
    "resent": [REFUSED, SUBMITTED, ANSWERED, STARTED, ENDED],
    "waiting": [SUBMITTED],
    "skewed": [SUBMITTED, ANSWERED | {"time": 12.021}, STARTED, ENDED],
}  # fmt: skip


@given('the log lines of "{example}"')
def example_lines(context, example):
    if example == "torn":
        texts = [json.dumps(one) for one in EXAMPLES["in time"]]
        texts = ["started by hand", texts[0][:20], "[1, 2]", "{}", json.dumps(STRANGE)]
        context.texts = [*texts, *(json.dumps(one) for one in EXAMPLES["in time"])]
    else:
        context.texts = [f"12.5 core {json.dumps(one)}" for one in EXAMPLES[example]]


@when('"{subject}" is traced')
def traced(context, subject):
    context.found = trace(subject, read_lines(context.texts))


@then('the verdict is "{verdict}"')
def verdict_is(context, verdict):
    assert context.found.verdict == verdict, context.found


@then('the deciding line is "{message}"')
def deciding_is(context, message):
    found = context.found.deciding
    assert ("none" if found is None else found.message) == message, found


@then('the lines are in the order "{messages}"')
def in_order(context, messages):
    found = [one.message for one in context.found.lines]
    assert found == messages.split(", "), found


@then('the clock of "{daemon}" is corrected by {seconds:f} seconds')
def corrected(context, daemon, seconds):
    assert context.found.offsets_s[daemon] == seconds, context.found.offsets_s


@given("a log whose reader stands still")
def stuck_log(context):
    context.reader, writer = os.pipe()
    context.handler = NonBlockingHandler(writer)
    context.handler.setFormatter(JsonFormatter())
    context.writer = writer


@when("{count:d} lines are logged, and {more:d} more once the reader goes on")
def log_lines(context, count, more):
    context.count = count + more
    context.data = b""

    def log(number):
        record = logging.makeLogRecord({"msg": "line", "number": number, "name": "x"})
        context.handler.emit(record)

    for number in range(count):
        log(number)
    for number in range(count, count + more):
        context.data += os.read(context.reader, 1 << 20)
        log(number)
    os.close(context.writer)
    while data := os.read(context.reader, 1 << 20):
        context.data += data
    os.close(context.reader)


@then("each line that arrives is whole, and the missing ones are counted")
def whole_and_counted(context):
    lines = [json.loads(one) for one in context.data.decode().splitlines()]
    left_out = sum(one["count"] for one in lines if "count" in one)
    numbers = [one["number"] for one in lines if "number" in one]
    assert numbers == sorted(numbers)
    assert left_out > 0
    assert len(numbers) + left_out == context.count, (len(numbers), left_out)
