"""
mulberryledge_testing.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~~

TCP ports for daemons that must know them before they listen.
"""

import os
import socket
from itertools import cycle, islice

__all__ = ["free_ports"]

ADDRESS = "127.0.0.1"
FIRST_PORT = 10_000  # below the range that the kernel gives to outgoing connections
BLOCK_PORTS = 100
BLOCKS = 220


def free_ports(count: int) -> tuple[int, ...]:
    """
    Return ports of loopback that are free now and not given out again soon.

    Each process has a block of its own, so that test suites that run side by side
    don't take a port from one another between this call and the daemon's start.
    """
    found: list[int] = []
    for port in islice(CANDIDATES, BLOCK_PORTS):
        if is_free(port):
            found.append(port)
        if len(found) == count:
            return tuple(found)
    raise AssertionError(f"fewer than {count} ports are free in {block()}")


def block() -> range:
    """Return the ports of this process."""
    first = FIRST_PORT + os.getpid() % BLOCKS * BLOCK_PORTS
    return range(first, first + BLOCK_PORTS)


def is_free(port: int) -> bool:
    """Return whether the port can be listened on."""
    with socket.socket() as one:
        try:
            one.bind((ADDRESS, port))
        except OSError:
            return False
    return True


CANDIDATES = cycle(block())
