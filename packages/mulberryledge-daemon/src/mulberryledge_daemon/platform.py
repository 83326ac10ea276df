"""
mulberryledge_daemon.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The platform's host operations over HTTP.
"""

import json
import logging

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from mulberryledge_daemon.ports import RebootState

__all__ = ["HttpPlatform"]

TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class HttpPlatform:
    """
    Implements the port Platform.

    ``PUT /hosts/<host>/reboots/<permit>`` asks for a reboot once, ``GET`` on the
    same path returns ``{"state": ...}``.
    """

    def __init__(self, reactor, url: str):
        self.reactor = reactor
        self.url = url
        self.is_set = bool(url)
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, TIMEOUT_S, pool=self.pool)

    async def reboot(self, host: str, permit_id: str) -> RebootState:
        """Ask for a reboot; the same permit again is the same reboot."""
        return await self.ask(b"PUT", host, permit_id)

    async def reboot_state(self, host: str, permit_id: str) -> RebootState:
        """Return the state of a reboot."""
        return await self.ask(b"GET", host, permit_id)

    async def ask(self, method: bytes, host: str, permit_id: str) -> RebootState:
        """Exchange one request with the platform."""
        sent = Deferred.fromCoroutine(self.exchange(method, host, permit_id))
        sent.addTimeout(TIMEOUT_S, self.reactor)
        try:
            return await sent
        except Exception as error:
            extra = {"host": host, "why": str(error)}
            logger.warning("platform does not answer", extra=extra)
            return RebootState.UNREACHABLE

    async def exchange(self, method: bytes, host: str, permit_id: str) -> RebootState:
        """Send one request and read its answer."""
        url = f"{self.url}/hosts/{host}/reboots/{permit_id}"
        response = await self.agent.request(method, url.encode())
        return RebootState(json.loads(await readBody(response))["state"])

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections()
