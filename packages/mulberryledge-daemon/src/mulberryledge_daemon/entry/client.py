"""
mulberryledge_daemon.entry.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Dispatch of calls to targets over pooled HTTP connections.
"""

from io import BytesIO

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectError
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    PartialDownloadError,
    ResponseFailed,
    ResponseNeverReceived,
    readBody,
)
from twisted.web.http_headers import Headers

from mulberryledge_core.model.jobs import Answer
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.ports import CallOutcome, CallRequest

__all__ = ["AgentClient"]

CONNECT_TIMEOUT_S = 2.0
FAILURES = (
    CancelledError,
    TimeoutError,
    ResponseFailed,
    ResponseNeverReceived,
    PartialDownloadError,
    OSError,
)


class AgentClient:
    """Implements the port TargetClient on the stock Twisted agent."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.agent = Agent(reactor, CONNECT_TIMEOUT_S, pool=self.pool)

    async def call(self, target: Target, request: CallRequest) -> CallOutcome:
        """Dispatch one call and read its whole answer."""
        sent = Deferred.fromCoroutine(self.exchange(target, request))
        sent.addTimeout(max(0.0, request.timeout_s), self.reactor)
        try:
            return await sent
        except ConnectError as error:
            return CallOutcome(RunOutcome.NOT_RUN, problem=f"no connection: {error}")
        except FAILURES as error:
            problem = f"no whole answer: {type(error).__name__}"
            return CallOutcome(RunOutcome.UNKNOWN, problem=problem)

    async def exchange(self, target: Target, request: CallRequest) -> CallOutcome:
        """Send the request and read the answer."""
        headers = Headers({"X-Request-Id": [request.request_id]})
        for header in request.headers:
            headers.addRawHeader(header.name, header.value)
        url = f"http://{target.address}:{target.port}{request.path}"
        body = FileBodyProducer(BytesIO(request.body)) if request.body else None
        response = await self.agent.request(
            request.method.encode(), url.encode(), headers, body
        )
        content = await readBody(response)
        echoed = response.headers.getRawHeaders("X-Request-Id", [None])[0]
        if echoed is None and request.answer_id_required:
            return CallOutcome(RunOutcome.RAN, problem="the answer carries no id")
        if echoed is not None and echoed != request.request_id:
            return CallOutcome(RunOutcome.UNKNOWN, problem="answer to another request")
        kind = response.headers.getRawHeaders("Content-Type", ["text/plain"])[0]
        return CallOutcome(RunOutcome.RAN, Answer(response.code, kind, content))

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections()
