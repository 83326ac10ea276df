"""
mulberryledge_testing.callers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A stand-in caller that presents a team's key.
"""

from dataclasses import dataclass
from io import BytesIO

from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

__all__ = ["Caller", "Response"]


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    body: bytes
    headers: Headers


class Caller:
    """
    Sends requests to one base URL.

    Attributes
    ----------
    key : str
        Team key to present, empty for none.
    """

    def __init__(self, reactor, url: str, key: str = ""):
        self.url = url
        self.key = key
        self.pool = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = 64
        self.pool.retryAutomatically = False
        self.agent = Agent(reactor, 5.0, pool=self.pool)

    async def send(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Response:
        """Send a request; an underscore in a header's name stands for a hyphen."""
        fields = Headers()
        if self.key:
            fields.addRawHeader("Authorization", f"Bearer {self.key}")
        for name, value in headers.items():
            fields.addRawHeader(name.replace("_", "-"), value)
        producer = FileBodyProducer(BytesIO(body)) if body else None
        response = await self.agent.request(
            method.encode(), (self.url + path).encode(), fields, producer
        )
        content = await readBody(response)
        return Response(response.code, content, response.headers)

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections()
