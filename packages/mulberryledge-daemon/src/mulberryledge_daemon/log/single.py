"""
mulberryledge_daemon.log.single
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A log of one daemon: each command is synced to one file before it is applied.
"""

import os
import struct
import time
import zlib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import BinaryIO
from uuid import uuid4

from result import Err, Result

from mulberryledge_core.codec import decode_command, encode_command
from mulberryledge_core.commands import Command
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_daemon.ports import AppliedEvent, InForce

__all__ = ["SingleLog", "open_single_log"]

FRAME = struct.Struct(">IIQ")  # length, checksum, time in milliseconds
FILE_NAME = "single.log"


class SingleLog:
    """Implements the ports ReplicatedLog and LeaderChannel for one daemon."""

    def __init__(self, file: BinaryIO | None):
        self.state = ClusterState()
        self.session = uuid4().hex
        self.opened_s = time.monotonic()
        self.file = file
        self.listeners: list[Callable[[AppliedEvent], None]] = []
        self.handlers: dict[type, Callable] = {}

    async def propose(self, command: Command) -> ApplyResult:
        """Sync, apply and announce a command."""
        now_ms = self.time_ms()
        if self.file is not None:
            append(self.file, encode_command(command), now_ms)
        return self.apply(command, now_ms)

    def apply(self, command: Command, now_ms: int) -> ApplyResult:
        """Apply a command that is on disk."""
        context = Context(self.state.applied_index + 1, now_ms)
        outcome = apply(self.state, command, context)
        event = AppliedEvent(context.index, command, outcome)
        for listener in self.listeners:
            listener(event)
        return outcome

    def is_leader(self) -> bool:
        """Return True: there is no other daemon."""
        return True

    def is_fresh(self) -> bool:
        """Return True: there is no other daemon."""
        return True

    def lease_ended_s(self, session: str) -> float:
        """Return zero for this life; other lives ended when the file was opened."""
        return 0.0 if session == self.session else time.monotonic() - self.opened_s

    def time_ms(self) -> int:
        """Return wall-clock time, never below an earlier log time."""
        return max(self.state.now_ms, time.time_ns() // 1_000_000)

    async def in_force(self, index: int, timeout_s: float) -> InForce:
        """Return at once: what is applied is in force."""
        return InForce(index)

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Call the listener after each applied command."""
        self.listeners.append(listener)

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Hand a request to this daemon's own leader tasks."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Err(Refusal(Code.NO_LEADER, f"nobody serves {message!r}"))
        return await handler(message)

    def serve(self, kind: type, handler: Callable[[object], Awaitable]) -> None:
        """Register the handler of a kind of request."""
        self.handlers[kind] = handler

    async def stop(self) -> None:
        """Do nothing: each command is synced already."""


@contextmanager
def open_single_log(folder: str) -> Iterator[SingleLog]:
    """
    Open the log in a data folder, or in memory if the folder is empty.

    A torn record at the end of the file is cut off.
    """
    if not folder:
        yield SingleLog(None)
        return
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    with open(path / FILE_NAME, "a+b") as file:
        log = SingleLog(file)
        file.seek(0)
        for data, now_ms in records(file):
            log.apply(decode_command(data), now_ms)
        yield log


def append(file: BinaryIO, data: bytes, now_ms: int) -> None:
    """Append one record and sync it."""
    file.write(FRAME.pack(len(data), zlib.crc32(data), now_ms) + data)
    file.flush()
    os.fdatasync(file.fileno())


def records(file: BinaryIO) -> Iterator[tuple[bytes, int]]:
    """Yield whole records, then cut off what is left."""
    end = 0
    while True:
        head = file.read(FRAME.size)
        if len(head) < FRAME.size:
            break
        length, checksum, now_ms = FRAME.unpack(head)
        data = file.read(length)
        if len(data) < length or zlib.crc32(data) != checksum:
            break
        end = file.tell()
        yield data, now_ms
    file.truncate(end)
