"""
mulberryledge_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~~~

Logging as JSON lines on standard error, without secrets and with bounded repeats, or
on a descriptor that is never waited for.
"""

import json
import logging
import os
import re
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TextIO

__all__ = [
    "JsonFormatter",
    "LogPosition",
    "RepeatFilter",
    "UnwaitingHandler",
    "configure_logging",
]

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
KEY_TEXT = re.compile(r"\bmlk_([a-z0-9-]+)_[A-Za-z0-9]+")
HIDDEN_KEY = r"mlk_\1_..."
REPEAT_INTERVAL_S = 10.0
REPEATS_ALLOWED = 5
MAX_TRACKED = 1_000

LogPosition = Callable[[], dict[str, int]]


class JsonFormatter(logging.Formatter):
    """
    Formats a record, with the fields given as ``extra``, as one JSON object.

    The secret part of every key is left out, and bytes are shown as their number.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_FIELDS:
                line[name] = shown(value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return KEY_TEXT.sub(HIDDEN_KEY, json.dumps(line, default=str))


def shown(value: object) -> object:
    """Return a value for the log; content of requests and answers stays out."""
    if isinstance(value, bytes | bytearray | memoryview):
        return f"{len(value)} bytes"
    return value


class RepeatFilter(logging.Filter):
    """
    Lets a message through a few times an interval, and counts the rest.

    The first record of the next interval carries the number in ``suppressed``.
    Records above WARNING always pass.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        allowed: int = REPEATS_ALLOWED,
    ):
        super().__init__()
        self.clock = clock
        self.allowed = allowed
        self.seen: OrderedDict[tuple[str, str], list[float]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        if record.levelno > logging.WARNING:
            return True
        key = (record.name, str(record.msg))
        now = self.clock()
        began, count = self.seen.get(key, (now, 0))
        if now - began >= REPEAT_INTERVAL_S:
            if count > self.allowed:
                record.suppressed = int(count - self.allowed)
            began, count = now, 0
        self.seen[key] = [began, count + 1]
        self.seen.move_to_end(key)
        if len(self.seen) > MAX_TRACKED:
            self.seen.popitem(last=False)
        return count < self.allowed


class UnwaitingHandler(logging.Handler):
    """
    Writes lines to a descriptor, and leaves out what its reader does not take.

    A line that tells how many were left out follows as soon as there is room.

    Attributes
    ----------
    rest : bytes
        The end of a line of which only the begin could be written.
    left_out : int
        Lines left out since the last one that was written.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.rest = b""
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line if there is room for it."""
        try:
            self.write(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def write(self, line: bytes) -> None:
        """Write what was left of the last line, what was left out, and a line."""
        self.rest = self.rest[self.taken(self.rest) :]
        if self.left_out and not self.rest:
            plain = {"time": round(time.time(), 3), "level": "warning"}
            plain |= {"message": "log lines left out", "count": self.left_out}
            notice = json.dumps(plain).encode() + b"\n"
            self.left_out = 0
            self.rest = notice[self.taken(notice) :]
        taken = 0 if self.rest else self.taken(line)
        if taken:
            self.rest = line[taken:]
        else:
            self.left_out += 1

    def taken(self, data: bytes) -> int:
        """Write, and return how many bytes were taken."""
        if not data:
            return 0
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0


def configure_logging(
    daemon: str,
    level: int = logging.INFO,
    position: LogPosition = dict,
    stream: TextIO | None = None,
    repeats_allowed: int = REPEATS_ALLOWED,
    descriptor: int | None = None,
) -> None:
    """
    Send all logs as JSON lines to a stream, standard error unless one is given.

    Parameters
    ----------
    position : callable
        Returns the log's term and index, which each line carries.
    repeats_allowed : int
        How often a message may be written in ten seconds.
    descriptor : int or None
        If given, goes before the stream, and is never waited for.
    """

    def add_context(record: logging.LogRecord) -> bool:
        record.daemon = daemon
        for name, value in position().items():
            setattr(record, name, value)
        return True

    handler: logging.Handler = logging.StreamHandler(stream)
    if descriptor is not None:
        handler = UnwaitingHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RepeatFilter(allowed=repeats_allowed))
    handler.addFilter(add_context)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.basicConfig(level=level, handlers=[handler], force=True)
