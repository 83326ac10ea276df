"""
mulberryledge_testing.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A stand-in platform that reboots hosts.
"""

import json
from collections import Counter
from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

__all__ = ["StandInPlatform"]

REBOOT_S = 0.2


class StandInPlatform(Resource):
    """
    Counts reboots by permit; the same permit again is the same reboot.

    Attributes
    ----------
    reboots : dict of str to str
        State by permit.
    requests : Counter of str
        Requests by permit, resends counted in.
    on_reboot : callable
        Called with the host when it goes down; the stand-in brings it up later.
    lose_answer : callable
        Returns whether the next answer is lost: the connection closes without it.
    """

    isLeaf = True

    def __init__(self, reactor, on_reboot: Callable[[str], None]):
        super().__init__()
        self.reactor = reactor
        self.on_reboot = on_reboot
        self.reboots: dict[str, str] = {}
        self.requests: Counter[str] = Counter()
        self.lose_answer: Callable[[], bool] = lambda: False
        self.port = reactor.listenTCP(0, Site(self), interface="127.0.0.1")

    async def close(self) -> None:
        """Stop listening."""
        await self.port.stopListening()

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self.port.getHost().port}"

    def render(self, request) -> bytes | int:
        """Start a reboot or tell its state."""
        _, _, host, _, permit = request.path.decode().split("/")
        self.requests[permit] += 1
        if request.method == b"PUT" and permit not in self.reboots:
            self.reboots[permit] = "rebooting"
            self.on_reboot(host)
            self.reactor.callLater(REBOOT_S, self.reboots.__setitem__, permit, "up")
        if self.lose_answer():
            request.transport.abortConnection()
            return NOT_DONE_YET
        state = self.reboots.get(permit, "pending")
        request.setHeader("Content-Type", "application/json")
        return json.dumps({"state": state}).encode()
