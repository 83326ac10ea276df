"""
mulberryledge_testing.ports
~~~~~~~~~~~~~~~~~~~~~~~~~~~

TCP ports for daemons that must know them before they listen, and other numbers that
tests which run side by side must not share.
"""

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from itertools import cycle, islice
from pathlib import Path

__all__ = ["Claim", "claim", "free_ports"]

ADDRESS = "127.0.0.1"
FIRST_PORT = 10_000  # below the range that the kernel gives to outgoing connections
BLOCK_PORTS = 100
BLOCKS = 220
LOCK_FOLDER = "mulberryledge-claims"  # in the folder for temporary files


@dataclass(frozen=True, slots=True)
class Claim:
    """
    A number that this process alone has.

    Attributes
    ----------
    lock : int
        Descriptor of the locked file.
    """

    number: int
    lock: int

    def release(self) -> None:
        """Let others have the number."""
        os.close(self.lock)


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
    return cycle(block_of(claim("ports", os.getpid(), BLOCKS)))


def block_of(claimed: Claim) -> range:
    """Return the ports of a block."""
    first = FIRST_PORT + claimed.number * BLOCK_PORTS
    return range(first, first + BLOCK_PORTS)


def claim(kind: str, wanted: int, count: int) -> Claim:
    """
    Return a number that no other process has, until it is released or this one ends.

    Parameters
    ----------
    kind : str
        What is numbered.
    wanted : int
        Number that is tried first, modulo ``count``.
    count : int
        How many there are.

    Raises
    ------
    RuntimeError
        If all are taken.
    """
    folder = Path(tempfile.gettempdir()) / LOCK_FOLDER / kind
    folder.mkdir(parents=True, exist_ok=True)
    for step in range(count):
        number = (wanted + step) % count
        lock = os.open(folder / str(number), os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            continue
        return Claim(number, lock)
    raise RuntimeError(f"all {count} {kind} are taken")


def is_free(port: int) -> bool:
    """Return whether the port can be listened on."""
    with socket.socket() as one:
        try:
            one.bind((ADDRESS, port))
        except OSError:
            return False
    return True
