"""Steps on programs while the time of day jumps."""

import time
from contextlib import contextmanager
from types import SimpleNamespace
from unittest.mock import MagicMock, patch

from behave import given, then, when
from twisted.internet.epollreactor import EPollReactor

from mulberryledge_platform import running

TIMER_S = 1.0
MAX_RUN_S = 4.0


class JumpingProgram:
    """A program that sets a timer, on a reactor whose time of day then jumps."""

    def __init__(self, jump_s):
        self.offset_s = 0.0
        self.jump_s = jump_s
        self.fired_after_s = None
        self.reactor = EPollReactor()
        self.reactor.seconds = lambda: time.time() + self.offset_s

    def start(self):
        started_s = time.monotonic()
        self.reactor.callLater(TIMER_S, self.fire, started_s)
        self.reactor.callInThread(self.end, started_s)
        self.offset_s = self.jump_s

    def fire(self, started_s):
        self.fired_after_s = time.monotonic() - started_s

    def end(self, started_s):
        """Stop the reactor once the timer has fired, or is overdue."""
        while self.fired_after_s is None and time.monotonic() < started_s + MAX_RUN_S:
            time.sleep(0.05)
        self.reactor.callFromThread(self.reactor.stop)

    @contextmanager
    def open(self, reactor, settings, listener):
        yield self


@given(
    "a program with a timer of 1 second, at whose start the time of day jumps by"
    " {seconds:d} seconds"
)
def jumping_program(context, seconds):
    context.jumping = JumpingProgram(seconds)


@when("the program runs")
def run_program(context):
    program = context.jumping
    module = SimpleNamespace(open_jumping=program.open)
    with (
        patch.object(running, "reactor", program.reactor),
        patch.object(running, "ROLES", {"jumping": ("", "open_jumping")}),
        patch.object(running, "import_module", lambda name: module),
        patch.object(running, "configure_logging", MagicMock()),
        patch.object(running, "signal", MagicMock()),
        patch.object(running, "LoopingCall", MagicMock()),
    ):
        running.run_role("jumping", SimpleNamespace(name="entry-1"), None)


@then("the timer has fired after {least:g} to {most:g} seconds")
def timer_fired(context, least, most):
    after_s = context.jumping.fired_after_s
    assert after_s is not None and least <= after_s <= most, after_s
