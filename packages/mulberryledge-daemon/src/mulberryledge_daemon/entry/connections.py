"""
mulberryledge_daemon.entry.connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP/1.1 connection to a target, carrying one call at a time.
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
from mulberryledge_daemon.ports import CallRequest, DispatchOutcome

__all__ = ["TargetConnection", "request_head"]

MAX_BUFFERED_ANSWER_BYTES = 256 * 1_024
MAX_HEADER_BYTES = 64 * 1_024
BODY_CHUNK_BYTES = 64 * 1_024
INCOMPLETE_ANSWER = "the connection ended before the answer was whole"


class TargetConnection(Protocol):
    """
    One connection and the call in progress on it.

    Attributes
    ----------
    last_used_s : float
        When the last call on the connection ended, on the reactor's clock.
    reusable : bool
        Whether another call may be sent on the connection.
    """

    def __init__(self, target: Target, on_lost: Callable[["TargetConnection"], None]):
        self.target = target
        self.on_lost = on_lost
        self.last_used_s = 0.0
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
        self.chunks: list[bytes] = []
        self.received_bytes = self.header_bytes = 0
        self.length: int | None = None
        self.content_type = "text/plain"
        self.answer_id: str | None = None
        self.is_delimited = False
        self.head_received = self.complete = self.streaming = False
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
        if self.done is None or self.complete:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self.problem = self.problem or f"not an HTTP/1.1 answer: {error}"
        if self.problem:
            self.fail(self.problem)
        elif self.complete:
            self.finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the relevant headers and limit the size of all of them."""
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            self.problem = f"the answer's headers exceed {MAX_HEADER_BYTES} bytes"
        name = name.lower()
        if name == b"content-type":
            self.content_type = value.decode("latin-1")
        elif name == b"x-request-id":
            self.answer_id = value.decode("latin-1")
        elif name == b"content-length" and value.isdigit():
            self.length = int(value)
            self.is_delimited = True
        elif name == b"transfer-encoding" and value.lower().endswith(b"chunked"):
            self.is_delimited = True

    def on_headers_complete(self) -> None:
        """Check the request id of the answer and that its body is delimited."""
        self.head_received = True
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        if self.request.method == "HEAD":
            self.complete = True
            self.reusable = False
        if not self.is_delimited and status not in (204, 304):
            self.problem = "the answer has no Content-Length and is not chunked"
        if not self.parser.should_keep_alive():
            self.reusable = False
        expected_id = self.request.request_id
        if self.answer_id is None:
            if self.request.answer_id_required:
                self.problem = "the answer has no X-Request-Id header"
        elif self.answer_id != expected_id:
            self.problem = "the answer has the X-Request-Id of another request"

    def on_body(self, data: bytes) -> None:
        """Buffer the next chunk of the body, or write it to the sink."""
        if self.problem:
            return
        self.received_bytes += len(data)
        if self.streaming:
            self.request.sink.write(data)
            return
        self.chunks.append(data)
        if self.received_bytes > MAX_BUFFERED_ANSWER_BYTES:
            self.start_streaming()

    def start_streaming(self) -> None:
        """Forward an answer that is too large to be buffered to the sink."""
        if self.request.sink is None:
            self.problem = f"the answer exceeds {MAX_BUFFERED_ANSWER_BYTES} bytes"
            return
        self.streaming = True
        head, self.chunks = self.answer(), []
        self.request.sink.start(head, self.length, self.transport)

    def on_message_complete(self) -> None:
        """Mark the answer as complete unless it is informational (1xx)."""
        if 100 <= self.parser.get_status_code() < 200:
            self.head_received = self.is_delimited = False
            return
        self.complete = True

    def on_message_begin(self) -> None:
        """Reject a second answer to the same request."""
        if self.complete:
            self.problem = "unexpected data after the answer"

    def answer(self) -> Answer:
        """Return the answer with the buffered part of its body."""
        status = self.parser.get_status_code()
        return Answer(status, self.content_type, b"".join(self.chunks))

    def finish(self) -> None:
        """Report the complete answer."""
        if self.streaming:
            self.request.sink.end()
        outcome = DispatchOutcome(
            RunOutcome.RAN,
            self.answer(),
            sink_started=self.streaming,
            target_finished=True,
        )
        self.settle(outcome)

    def fail(self, problem: str, over: bool = False) -> None:
        """Report that there is no complete answer, and abort the connection."""
        if self.done is not None:
            if self.streaming:
                self.request.sink.abort()
            over = over or self.head_received
            outcome = DispatchOutcome(
                RunOutcome.UNKNOWN, None, problem, self.streaming, over
            )
            self.reusable = False
            self.settle(outcome)
        self.abort()

    def settle(self, outcome: DispatchOutcome) -> None:
        """Detach the call from the connection and report its outcome."""
        done, self.done, self.request = self.done, None, None
        done.callback(outcome)

    def abort(self) -> None:
        """Abort the connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: D102
        self.reusable = False
        if self.done is not None:
            self.fail(f"{INCOMPLETE_ANSWER}: {reason.type.__name__}")
        self.on_lost(self)


@implementer(IPullProducer)
class BodyProducer:
    """Streams a body from a file, with back pressure from the target."""

    def __init__(self, file: BinaryIO, length: int, transport):
        self.file = file
        self.remaining_bytes = length
        self.transport = transport

    def resumeProducing(self) -> None:
        """Write the next chunk; abort the connection if the file is truncated."""
        chunk = b""
        if not self.file.closed:
            chunk = self.file.read(min(BODY_CHUNK_BYTES, self.remaining_bytes))
        self.remaining_bytes -= len(chunk)
        if chunk:
            self.transport.write(chunk)
        if not self.remaining_bytes:
            self.transport.unregisterProducer()
        elif not chunk:
            self.transport.unregisterProducer()
            self.transport.abortConnection()

    def stopProducing(self) -> None:
        """Stop after the connection was lost."""
        self.remaining_bytes = 0


def request_head(target: Target, request: CallRequest) -> bytes:
    """Return the encoded request line and headers."""
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
