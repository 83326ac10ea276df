"""One reactor for the simulated platform; ends all programs after each scenario."""

import sys
from contextlib import ExitStack
from pathlib import Path

from mulberryledge_testing.reactor_thread import running_reactor

sys.path.insert(0, str(Path(__file__).parent))


def before_all(context):
    context.run_stack = ExitStack()
    context.run_stack.enter_context(running_reactor())


def before_scenario(context, scenario):
    context.scenario_stack = ExitStack()


def after_scenario(context, scenario):
    context.scenario_stack.close()


def after_all(context):
    context.run_stack.close()
