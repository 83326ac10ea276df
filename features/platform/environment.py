"""One reactor for the simulated platform, and cleanup of all programs."""

import sys
from contextlib import ExitStack
from pathlib import Path

from mulberryledge_testing.reactor_thread import running_reactor

sys.path.insert(0, str(Path(__file__).parent))


def before_all(context):
    context.stack = ExitStack()
    context.stack.enter_context(running_reactor())


def before_scenario(context, scenario):
    context.scene = ExitStack()


def after_scenario(context, scenario):
    context.scene.close()


def after_all(context):
    context.stack.close()
