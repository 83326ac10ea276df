"""Small fakes and helpers that the steps share."""

import logging
import time
from contextlib import contextmanager

from cleo.testers.application_tester import ApplicationTester

from mulberryledge_cli.main import make_application
from mulberryledge_core.state import Context, apply

DOCUMENT = """[service]
name = "plans"
team = "dispatch"
pool = "interior"
[calls]
deadline_ms = {deadline}
"""


def operate(context, line, connect=True):
    """Run one command line and keep what it gave."""
    if connect:
        line += f" --entries {context.entries} --key {context.operator_key}"
    tester = ApplicationTester(make_application())
    began = time.monotonic()
    context.code = tester.execute(line)
    context.took_s = time.monotonic() - began
    context.shown = tester.io.fetch_output() + tester.io.fetch_error()
    return context.code


def run(state, command):
    """Apply a command at the next index."""
    index = state.applied_index + 1
    return apply(state, command, Context(index, index))


class LogFake:
    """A log of one state with a fixed time."""

    def __init__(self, state, now_ms):
        self.state = state
        self.now_ms = now_ms

    def time_ms(self):
        return self.now_ms

    def is_fresh(self):
        return True

    def is_leader(self):
        return True


@contextmanager
def capture_logs(logger, formatter=None, filters=()):
    """Collect the formatted lines of a logger."""
    lines = []
    handler = logging.Handler()
    handler.setFormatter(formatter or logging.Formatter())
    for one in filters:
        handler.addFilter(one)
    handler.emit = lambda record: lines.append(handler.format(record))
    logger.addHandler(handler)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
