"""
mulberryledge_testing.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A stand-in target: answers calls over HTTP and takes jobs.
"""

import json
from base64 import b64decode
from collections.abc import Callable
from uuid import uuid4

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from mulberryledge_testing.callers import Caller, Response

__all__ = ["StandInTarget"]


class StandInTarget(Resource):
    """
    A target that echoes each call's body after a delay.

    Attributes
    ----------
    delay_s : float
        Time that each call takes.
    calls : list of str
        Request identifiers of the calls received.
    running, most_running : int
        Calls running now, and the highest number seen at once.
    """

    isLeaf = True

    def __init__(self, reactor, name: str, host: str, service: str, caller: Caller):
        super().__init__()
        self.reactor = reactor
        self.name = name
        self.host = host
        self.service = service
        self.caller = caller
        self.delay_s = 0.0
        self.calls: list[str] = []
        self.running = 0
        self.most_running = 0
        self.instance = uuid4().hex
        self.port = None
        self.answer: Callable[[bytes], bytes] = lambda body: b"echo:" + body

    def listen(self, port: int = 0) -> None:
        """Serve calls on loopback."""
        self.port = self.reactor.listenTCP(port, Site(self), interface="127.0.0.1")

    def render(self, request):
        """Answer a call after the delay."""
        request_id = request.getHeader("X-Request-Id")
        self.calls.append(request_id)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        body = request.content.read()
        finished = request.notifyFinish()
        finished.addErrback(lambda failure: failure.trap(ConnectionDone, Exception))
        finished.addBoth(self.count_out)
        if not self.delay_s:
            self.reply(request, request_id, body)
        else:
            later = deferLater(self.reactor, self.delay_s)
            later.addCallback(lambda _: self.reply(request, request_id, body))
        return NOT_DONE_YET

    def count_out(self, _) -> None:
        """Count one call as ended."""
        self.running -= 1

    def reply(self, request, request_id: str, body: bytes) -> None:
        """Write the answer."""
        if request._disconnected:
            return
        content = self.answer(body)
        request.setHeader("X-Request-Id", request_id)
        request.setHeader("Content-Type", "text/plain")
        request.setHeader("Content-Length", str(len(content)))
        request.write(content)
        request.finish()

    async def announce(self) -> Response:
        """Announce this target."""
        body = {
            "host": self.host,
            "service": self.service,
            "address": "127.0.0.1",
            "port": self.port.getHost().port if self.port else 0,
            "instance": self.instance,
        }
        return await self.caller.send(
            "PUT", f"/v1/targets/{self.name}", json.dumps(body).encode()
        )

    async def renew(self) -> Response:
        """Renew the lease."""
        return await self.caller.send("POST", f"/v1/targets/{self.name}/lease")

    async def leave(self) -> Response:
        """Say that this target leaves."""
        return await self.caller.send("POST", f"/v1/targets/{self.name}/leaving")

    async def take(self, wait_s: float) -> dict | None:
        """Take a job of the service's queue."""
        path = f"/v1/queues/{self.service}/take?target={self.name}&wait_s={wait_s}"
        response = await self.caller.send("POST", path)
        if response.status != 200:
            return None
        taken = json.loads(response.body)
        return taken | {"body": b64decode(taken["body"])}

    async def end(self, taken: dict, ending: str, result: bytes = b"") -> Response:
        """End a taken job."""
        path = f"/v1/jobs/{taken['job_id']}/attempts/{taken['attempt']}/{ending}"
        return await self.caller.send("POST", path, result)

    def close(self) -> Deferred:
        """Stop listening."""
        return self.port.stopListening()
