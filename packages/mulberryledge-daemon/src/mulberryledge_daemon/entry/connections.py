"""
mulberryledge_daemon.entry.connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP/1.1 connection to a target, with one call on it at a time.
"""

from collections.abc import Callable
from typing import BinaryIO

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from mulberryledge_core.model.jobs import Answer
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.ports import CallOutcome, CallRequest

__all__ = ["TargetConnection", "request_head"]

HELD_ANSWER_BYTES = 256 * 1_024
MAX_HEADER_BYTES = 64 * 1_024
BODY_PART_BYTES = 64 * 1_024
NO_ANSWER = "the connection ended before the answer was whole"


class TargetConnection(Protocol):
    """
    Owns one connection and the call that is on it.

    Attributes
    ----------
    used_at : float
        When the last call on the connection ended, in seconds of the clock.
    reusable : bool
        Whether another call may be sent on the connection.
    """

    def __init__(self, target: Target, on_lost: Callable[["TargetConnection"], None]):
        self.target = target
        self.on_lost = on_lost
        self.used_at = 0.0
        self.reusable = True
        self.request: CallRequest | None = None
        self.done: Deferred | None = None

    def call(self, request: CallRequest) -> Deferred:
        """
        Send a request.

        Returns
        -------
        Deferred of CallOutcome
        """
        assert self.done is None, "one call at a time"
        self.request = request
        self.done = done = Deferred()
        self.parser = HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = self.header_bytes = 0
        self.length: int | None = None
        self.content_type = "text/plain"
        self.answer_id: str | None = None
        self.has_end = False
        self.headed = self.whole = self.streaming = False
        self.problem = ""
        head = request_head(self.target, request)
        if isinstance(request.body, bytes):
            self.transport.write(head + request.body)
        else:
            self.transport.write(head)
            body = BodyProducer(request.body, request.length, self.transport)
            self.transport.registerProducer(body, False)
        return done

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        if self.done is None or self.whole:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self.problem = self.problem or f"not an HTTP/1.1 answer: {error}"
        if self.problem:
            self.fail(self.problem)
        elif self.whole:
            self.finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the headers that count, and bound them all."""
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            self.problem = f"the answer's headers are over {MAX_HEADER_BYTES} bytes"
        name = name.lower()
        if name == b"content-type":
            self.content_type = value.decode("latin-1")
        elif name == b"x-request-id":
            self.answer_id = value.decode("latin-1")
        elif name == b"content-length" and value.isdigit():
            self.length = int(value)
            self.has_end = True
        elif name == b"transfer-encoding" and value.lower().endswith(b"chunked"):
            self.has_end = True

    def on_headers_complete(self) -> None:
        """Check whose answer this is, and that its end can be told."""
        self.headed = True
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        if self.request.method == "HEAD":
            self.whole = True
            self.reusable = False
        if not self.has_end and status not in (204, 304):
            self.problem = "the answer has neither a length nor an end mark"
        if not self.parser.should_keep_alive():
            self.reusable = False
        wanted = self.request.request_id
        if self.answer_id is None:
            if self.request.answer_id_required:
                self.problem = "the answer carries no X-Request-Id"
        elif self.answer_id != wanted:
            self.problem = "the answer is to another request"

    def on_body(self, data: bytes) -> None:
        """Hold or pass on the next part of the body."""
        if self.problem:
            return
        self.size += len(data)
        if self.streaming:
            self.request.sink.write(data)
            return
        self.parts.append(data)
        if self.size > HELD_ANSWER_BYTES:
            self.begin_stream()

    def begin_stream(self) -> None:
        """Hand an answer that is too large to be held to the sink."""
        if self.request.sink is None:
            self.problem = f"the answer is over {HELD_ANSWER_BYTES} bytes"
            return
        self.streaming = True
        head, self.parts = self.answer(), []
        self.request.sink.begin(head, self.length, self.transport)

    def on_message_complete(self) -> None:
        """Note the end of the answer; anything that follows spoils it."""
        if 100 <= self.parser.get_status_code() < 200:
            self.headed = self.has_end = False
            return
        self.whole = True

    def on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self.whole:
            self.problem = "bytes follow the answer"

    def answer(self) -> Answer:
        """Return what is held of the answer."""
        status = self.parser.get_status_code()
        return Answer(status, self.content_type, b"".join(self.parts))

    def finish(self) -> None:
        """Report the whole answer."""
        if self.streaming:
            self.request.sink.end()
        outcome = CallOutcome(
            RunOutcome.RAN, self.answer(), streamed=self.streaming, over=True
        )
        self.settle(outcome)

    def fail(self, problem: str, over: bool = False) -> None:
        """Report that there is no whole answer, and drop the connection."""
        if self.done is not None:
            if self.streaming:
                self.request.sink.abort()
            over = over or self.headed
            outcome = CallOutcome(
                RunOutcome.UNKNOWN, None, problem, self.streaming, over
            )
            self.reusable = False
            self.settle(outcome)
        self.abort()

    def settle(self, outcome: CallOutcome) -> None:
        """Take the call off the connection and report its outcome."""
        done, self.done, self.request = self.done, None, None
        done.callback(outcome)

    def abort(self) -> None:
        """Drop the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: D102
        self.reusable = False
        if self.done is not None:
            self.fail(f"{NO_ANSWER}: {reason.type.__name__}")
        self.on_lost(self)


@implementer(IPullProducer)
class BodyProducer:
    """Writes a body from a file as fast as the target reads it."""

    def __init__(self, file: BinaryIO, length: int, transport):
        self.file = file
        self.left = length
        self.transport = transport

    def resumeProducing(self) -> None:
        """Write the next part; without the rest the request must not look whole."""
        part = b""
        if not self.file.closed:
            part = self.file.read(min(BODY_PART_BYTES, self.left))
        self.left -= len(part)
        if part:
            self.transport.write(part)
        if not self.left:
            self.transport.unregisterProducer()
        elif not part:
            self.transport.unregisterProducer()
            self.transport.abortConnection()

    def stopProducing(self) -> None:
        """Stop: the connection is gone."""
        self.left = 0


def request_head(target: Target, request: CallRequest) -> bytes:
    """Return the request line and headers."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {target.address}:{target.port}",
        f"X-Request-Id: {request.request_id}",
        f"X-Deadline-Ms: {max(1, int(request.timeout_s * 1_000))}",
    ]
    lines.extend(f"{header.name}: {header.value}" for header in request.headers)
    if request.length or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {request.length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
