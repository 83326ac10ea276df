"""
mulberryledge_testing.bench.path.children
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts the child processes of the measures and ends them.
"""

import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

__all__ = ["Child", "start_server"]

END_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Child:
    """A serving child process."""

    port: int
    key: str
    process: subprocess.Popen


@contextmanager
def start_server(kind: str, *arguments: object) -> Iterator[Child]:
    """Start a server of a kind; it ends when its standard input is closed."""
    module = "mulberryledge_testing.bench.path.servers"
    process = subprocess.Popen(
        [sys.executable, "-m", module, kind, *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        said = json.loads(process.stdout.readline())
        yield Child(said["port"], said["key"], process)
    finally:
        process.stdin.close()
        try:
            process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        process.stdout.close()
