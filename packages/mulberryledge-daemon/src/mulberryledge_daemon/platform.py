"""
mulberryledge_daemon.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client for the platform's host operations over HTTP.
"""

import json
import logging

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from mulberryledge_daemon.ports import RebootState

__all__ = ["HttpPlatform"]

REQUEST_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class HttpPlatform:
    """
    Implements :class:`mulberryledge_daemon.ports.Platform` over HTTP.

    ``PUT /hosts/<host>/reboots/<permit>`` requests a reboot and is idempotent; ``GET``
    on the same path returns ``{"state": ...}``.
    """

    def __init__(self, reactor, url: str):
        self.reactor = reactor
        self.url = url
        self.is_configured = bool(url)
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, REQUEST_TIMEOUT_S, pool=self.pool)

    async def reboot(self, host: str, permit_id: str) -> RebootState:
        """Request a reboot; idempotent by permit."""
        return await self.request_state(b"PUT", host, permit_id)

    async def reboot_state(self, host: str, permit_id: str) -> RebootState:
        """Return the state of a reboot."""
        return await self.request_state(b"GET", host, permit_id)

    async def request_state(
        self, method: bytes, host: str, permit_id: str
    ) -> RebootState:
        """Send one request; any failure returns ``UNREACHABLE``."""
        pending = Deferred.fromCoroutine(self.send(method, host, permit_id))
        pending.addTimeout(REQUEST_TIMEOUT_S, self.reactor)
        try:
            return await pending
        except Exception as error:
            extra = {"host": host, "why": str(error)}
            logger.warning("platform request failed", extra=extra)
            return RebootState.UNREACHABLE

    async def send(self, method: bytes, host: str, permit_id: str) -> RebootState:
        """Send one request and parse the response."""
        url = f"{self.url}/hosts/{host}/reboots/{permit_id}"
        response = await self.agent.request(method, url.encode())
        return RebootState(json.loads(await readBody(response))["state"])

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections()
