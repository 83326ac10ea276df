"""
mulberryledge_testing.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~~

TCP ports for daemons that must know them before they listen.
"""

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from functools import cache
from itertools import cycle, islice
from pathlib import Path

__all__ = ["claim_block", "free_ports"]

ADDRESS = "127.0.0.1"
FIRST_PORT = 10_000  # below the range that the kernel gives to outgoing connections
BLOCK_PORTS = 100
BLOCKS = 220
LOCK_FOLDER = "mulberryledge-ports"  # in the folder for temporary files


def free_ports(count: int) -> tuple[int, ...]:
    """
    Return ports of loopback that are free now and not given out again soon.

    Each process has a block of its own, so that test suites that run side by side
    don't take a port from one another, neither between this call and the daemon's
    start nor while a daemon is down.
    """
    found: list[int] = []
    for port in islice(candidates(), BLOCK_PORTS):
        if is_free(port):
            found.append(port)
        if len(found) == count:
            return tuple(found)
    raise AssertionError(f"fewer than {count} ports are free in this process's block")


@cache
def candidates() -> Iterator[int]:
    """Return the ports of this process, over and over."""
    return cycle(claim_block(os.getpid() % BLOCKS))


def claim_block(wanted: int) -> range:
    """
    Return a block of ports that no other process has, until this one ends.

    Parameters
    ----------
    wanted : int
        Block that is tried first, from 0.

    Raises
    ------
    RuntimeError
        If all blocks are taken.
    """
    folder = Path(tempfile.gettempdir()) / LOCK_FOLDER
    folder.mkdir(exist_ok=True)
    for step in range(BLOCKS):
        number = (wanted + step) % BLOCKS
        lock = os.open(folder / str(number), os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            continue
        first = FIRST_PORT + number * BLOCK_PORTS
        return range(first, first + BLOCK_PORTS)
    raise RuntimeError(f"all {BLOCKS} blocks of ports are taken")


def is_free(port: int) -> bool:
    """Return whether the port can be listened on."""
    with socket.socket() as one:
        try:
            one.bind((ADDRESS, port))
        except OSError:
            return False
    return True
