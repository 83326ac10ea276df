"""One reactor for the targets on loopback; ends them after each scenario."""

from contextlib import ExitStack

from mulberryledge_testing.reactor_thread import running_reactor


def before_all(context):
    context.run_stack = ExitStack()
    context.run_stack.enter_context(running_reactor())


def before_scenario(context, scenario):
    context.scenario_stack = ExitStack()


def after_scenario(context, scenario):
    context.scenario_stack.close()


def after_all(context):
    context.run_stack.close()
