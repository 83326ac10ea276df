"""
mulberryledge_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~~~

JSON-lines logging to standard error or, without blocking, to a file descriptor. Key
secrets are redacted and repeated messages are rate-limited.
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
    "NonBlockingHandler",
    "RepeatFilter",
    "configure_logging",
]

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}
KEY_PATTERN = re.compile(r"\bmlk_([a-z0-9-]+)_[A-Za-z0-9]+")
REDACTED_KEY = r"mlk_\1_..."
REPEAT_INTERVAL_S = 10.0
MAX_REPEATS = 5
MAX_TRACKED_MESSAGES = 1_000

LogPosition = Callable[[], dict[str, int]]


class JsonFormatter(logging.Formatter):
    """
    Formats a record and its ``extra`` fields as one JSON object.

    The secret part of every key is redacted, and bytes are replaced by their length.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_ATTRIBUTES:
                line[name] = loggable(value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return KEY_PATTERN.sub(REDACTED_KEY, json.dumps(line, default=str))


def loggable(value: object) -> object:
    """Return a loggable value; the content of requests and answers is omitted."""
    if isinstance(value, bytes | bytearray | memoryview):
        return f"{len(value)} bytes"
    return value


class RepeatFilter(logging.Filter):
    """
    Limits how often a message is logged per interval and counts suppressed records.

    The first record of the next interval carries the count in ``suppressed``.
    Records above WARNING are never suppressed.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        max_repeats: int = MAX_REPEATS,
    ):
        super().__init__()
        self.clock = clock
        self.max_repeats = max_repeats
        self.interval_counts: OrderedDict[tuple[str, str], list[float]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        if record.levelno > logging.WARNING:
            return True
        key = (record.name, str(record.msg))
        now_s = self.clock()
        start_s, count = self.interval_counts.get(key, (now_s, 0))
        if now_s - start_s >= REPEAT_INTERVAL_S:
            if count > self.max_repeats:
                record.suppressed = int(count - self.max_repeats)
            start_s, count = now_s, 0
        self.interval_counts[key] = [start_s, count + 1]
        self.interval_counts.move_to_end(key)
        if len(self.interval_counts) > MAX_TRACKED_MESSAGES:
            self.interval_counts.popitem(last=False)
        return count < self.max_repeats


class NonBlockingHandler(logging.Handler):
    """
    Writes lines to a file descriptor without blocking; drops lines if it is full.

    The number of dropped lines is logged before the next line that can be written.

    Attributes
    ----------
    unwritten : bytes
        Remainder of a partially written line.
    dropped_lines : int
        Lines dropped since the last notice.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if the descriptor accepts no data."""
        try:
            self.write(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def write(self, line: bytes) -> None:
        """Write the pending remainder, the notice of dropped lines, then the line."""
        self.unwritten = self.unwritten[self.write_available(self.unwritten) :]
        if self.dropped_lines and not self.unwritten:
            fields = {"time": round(time.time(), 3), "level": "warning"}
            fields |= {"message": "log lines left out", "count": self.dropped_lines}
            notice = json.dumps(fields).encode() + b"\n"
            self.dropped_lines = 0
            self.unwritten = notice[self.write_available(notice) :]
        written = 0 if self.unwritten else self.write_available(line)
        if written:
            self.unwritten = line[written:]
        else:
            self.dropped_lines += 1

    def write_available(self, data: bytes) -> int:
        """Write without blocking; return the number of bytes written."""
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
    max_repeats: int = MAX_REPEATS,
    descriptor: int | None = None,
) -> None:
    """
    Send all logs as JSON lines to a stream, by default standard error.

    Parameters
    ----------
    position : callable
        Returns the term and the index of the replicated log, added to each line.
    max_repeats : int
        Records of the same message per ``REPEAT_INTERVAL_S``.
    descriptor : int or None
        Used instead of the stream if given; writes never block.
    """

    def add_context(record: logging.LogRecord) -> bool:
        record.daemon = daemon
        for field, value in position().items():
            setattr(record, field, value)
        return True

    handler: logging.Handler = logging.StreamHandler(stream)
    if descriptor is not None:
        handler = NonBlockingHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RepeatFilter(max_repeats=max_repeats))
    handler.addFilter(add_context)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.basicConfig(level=level, handlers=[handler], force=True)
