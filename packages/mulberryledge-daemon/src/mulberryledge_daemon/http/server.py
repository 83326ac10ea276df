"""
mulberryledge_daemon.http.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP server with limits on connections, body sizes and receive times.
"""

from io import BytesIO

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_daemon.http.routing import refusal_reply

__all__ = ["BoundedRequest", "BoundedSite", "make_site"]

MAX_BODY_BYTES = 64 * 1_024 * 1_024
MAX_CONNECTIONS = 4_096
IDLE_TIMEOUT_S = 60
HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 120.0
SWEEP_INTERVAL_S = 2.0
FIRST_REQUEST_S = 0.5  # from a connection to its first request: a resent packet


class BoundedRequest(Request):
    """A request with a limit on the size of its body."""

    received_bytes = 0
    refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: D102
        super().gotLength(length)
        if length is not None and length > MAX_BODY_BYTES:
            self.refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: D102
        self.received_bytes += len(data)
        if self.refused:
            return
        if self.received_bytes > MAX_BODY_BYTES:
            self.refuse_body()
            return
        super().handleContentChunk(data)

    def process(self) -> None:  # noqa: D102
        self.channel.last_path = self.path
        super().process()

    def refuse_body(self) -> None:
        """Reply at once and close the connection without reading the rest."""
        self.refused = True
        text = f"body: exceeds {MAX_BODY_BYTES} bytes"
        has_key = self.getHeader("Idempotency-Key")
        run = RunOutcome.UNKNOWN if has_key else RunOutcome.NOT_RUN
        refusal = Refusal(Code.TOO_LARGE, text)
        self.transport.write(closing_reply("413 Content Too Large", refusal, run))
        self.transport.loseConnection()


class BoundedChannel(HTTPChannel):
    """
    A connection that is registered with its site.

    Attributes
    ----------
    receive_start_s : float or None
        When the connection was made or the present request began to arrive, on the
        reactor's clock; None between requests.
    last_path : bytes
        Path of the latest request, empty before the first one.
    """

    receive_start_s: float | None = None
    in_body = False
    last_path = b""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.site.open.add(self)
        self.site.accepted += 1
        self.receive_start_s = self.site.reactor.seconds()

    def connectionLost(self, reason) -> None:
        self.site.open.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        if self.receive_start_s is None and not self.requests:
            self.receive_start_s = self.site.reactor.seconds()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        self.in_body = True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        self.in_body = False
        self.receive_start_s = None
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        text = f"headers: a line exceeds {self.MAX_LENGTH} bytes"
        self.transport.write(
            closing_reply(
                "431 Request Header Fields Too Large", Refusal(Code.TOO_LARGE, text)
            )
        )
        self.transport.loseConnection()

    def has_buffered_data(self) -> bool:
        """Return whether data arrived behind the request that is being answered."""
        return bool(self._dataBuffer)

    def unsent_bytes(self) -> int:
        """Return how many bytes of replies have not left this process."""
        transport = self.transport
        buffered = len(transport.dataBuffer) - transport.offset
        return buffered + transport._tempDataLen

    def is_idle(self, now_s: float) -> bool:
        """Return whether no request is in progress, and none is about to arrive."""
        if self.requests:
            return False
        start_s = self.receive_start_s
        return start_s is None or now_s - start_s > FIRST_REQUEST_S

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the receive time-out of a request has been exceeded."""
        if self.receive_start_s is None:
            return False
        timeout_s = BODY_TIMEOUT_S if self.in_body else HEAD_TIMEOUT_S
        return now_s - self.receive_start_s > timeout_s


class BoundedSite(Site):
    """
    A site with a limit on the number of connections.

    Attributes
    ----------
    open : set of BoundedChannel
        Open connections.
    accepted : int
        Number of connections that were ever open.
    """

    def __init__(self, resource: Resource, clock: IReactorTime):
        super().__init__(
            resource,
            BoundedRequest,
            timeout=IDLE_TIMEOUT_S,
            parsePOSTFormSubmission=False,
        )
        self.protocol = BoundedChannel
        self.clock = clock
        self.open: set[BoundedChannel] = set()
        self.accepted = 0
        self.sweeper = LoopingCall(self.sweep)
        self.sweeper.clock = clock

    def startFactory(self) -> None:  # noqa: D102
        super().startFactory()
        self.sweeper.start(SWEEP_INTERVAL_S, now=False)

    def stopFactory(self) -> None:  # noqa: D102
        self.sweeper.stop()
        super().stopFactory()

    def buildProtocol(self, address):  # noqa: D102
        if len(self.open) >= MAX_CONNECTIONS:
            return None
        return super().buildProtocol(address)

    def getContentFile(self, length: int | None) -> BytesIO:
        """Return where a body is kept: never on a disk, which a machine may lack."""
        return BytesIO()

    def sweep(self) -> None:
        """Abort connections whose requests have exceeded the receive time-out."""
        now_s = self.clock.seconds()
        for channel in list(self.open):
            if channel.is_overdue(now_s):
                channel.transport.abortConnection()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        now_s = self.clock.seconds()
        for channel in list(self.open):
            if channel.is_idle(now_s):
                channel.loseConnection()

    def log(self, request: Request) -> None:
        """Suppress the access log."""


def closing_reply(
    status: str, refusal: Refusal, run: RunOutcome = RunOutcome.NOT_RUN
) -> bytes:
    """Return a raw HTTP refusal that announces the end of the connection."""
    body = refusal_reply(refusal, run).body
    head = (
        f"HTTP/1.1 {status}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def make_site(resource: Resource, clock: IReactorTime) -> BoundedSite:
    """Return a site that serves a resource."""
    return BoundedSite(resource, clock)
