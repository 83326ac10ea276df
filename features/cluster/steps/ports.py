"""Steps on the ports of daemons in tests."""

import json
import subprocess
import sys

from behave import then, when

# The process holds its ports until its standard input is closed.
ASKS = """
import json, os, sys
os.getpid = lambda: 220
from mulberryledge_testing.ports import free_ports
print(json.dumps(free_ports({count})), flush=True)
sys.stdin.read()
"""
WAIT_S = 20


@when("two processes that would choose the same ports ask for {count:d} each")
def step_ask(context, count):
    command = [sys.executable, "-c", ASKS.format(count=count)]
    processes = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(2)
    ]
    context.ports = [json.loads(one.stdout.readline()) for one in processes]
    for one in processes:
        one.communicate(timeout=WAIT_S)


@then("no port is given to both")
def step_disjoint(context):
    first, second = context.ports
    assert first and second and not set(first) & set(second), context.ports
