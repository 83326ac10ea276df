"""
mulberryledge_testing.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A stand-in platform that reboots hosts.
"""

import json
from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import Site

__all__ = ["StandInPlatform"]

REBOOT_S = 0.2


class StandInPlatform(Resource):
    """
    Counts reboots by permit; the same permit again is the same reboot.

    Attributes
    ----------
    reboots : dict of str to str
        State by permit.
    on_reboot : callable
        Called with the host when it goes down; the stand-in brings it up later.
    """

    isLeaf = True

    def __init__(self, reactor, on_reboot: Callable[[str], None]):
        super().__init__()
        self.reactor = reactor
        self.on_reboot = on_reboot
        self.reboots: dict[str, str] = {}
        self.port = reactor.listenTCP(0, Site(self), interface="127.0.0.1")

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self.port.getHost().port}"

    def render(self, request) -> bytes:
        """Start a reboot or tell its state."""
        _, _, host, _, permit = request.path.decode().split("/")
        if request.method == b"PUT" and permit not in self.reboots:
            self.reboots[permit] = "rebooting"
            self.on_reboot(host)
            self.reactor.callLater(REBOOT_S, self.reboots.__setitem__, permit, "up")
        state = self.reboots.get(permit, "pending")
        request.setHeader("Content-Type", "application/json")
        return json.dumps({"state": state}).encode()
