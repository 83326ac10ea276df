"""
mulberryledge_testing.endurance.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in targets that tell the witness of each run.
"""

import json
from base64 import b64decode
from random import Random
from uuid import uuid4

from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from mulberryledge_testing.callers import Response
from mulberryledge_testing.endurance.gateway import Gateway, NoReply
from mulberryledge_testing.witness import Witness

__all__ = ["WitnessedTarget", "whole_answer"]

RUN_MIN_S = 0.002
RUN_MAX_S = 0.08
RENEW_INTERVAL_S = 1.0
TAKE_WAIT_S = 1.0
LEAVE_GRACE_S = 3.0
REPEAT = 40


def whole_answer(body: bytes) -> bytes:
    """Return the one right answer to a request body."""
    return b"answer:" + body * REPEAT


class WitnessedTarget(Resource):
    """
    A target that runs calls or jobs for random times.

    Attributes
    ----------
    up : bool
        Whether the target's process is up.
    left_s : float or None
        When an entry confirmed that the target leaves, on the reactor's clock.
    running : int
        Runs under way.
    """

    isLeaf = True

    def __init__(
        self,
        gateway: Gateway,
        witness: Witness,
        random: Random,
        key: str,
        name: str,
        host: str,
        service: str,
    ):
        super().__init__()
        self.gateway = gateway
        self.reactor = gateway.reactor
        self.witness = witness
        self.random = random
        self.key = key
        self.name = name
        self.host = host
        self.service = service
        self.instance = uuid4().hex
        self.up = True
        self.announced = False
        self.left_s: float | None = None
        self.running = 0
        self.port = self.reactor.listenTCP(0, Site(self), interface="127.0.0.1")

    def render(self, request):
        """Run a call and answer it."""
        body = request.content.read()
        self.begin(body)
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        later = deferLater(self.reactor, self.run_s())
        later.addCallback(lambda _: self.answer(request, body))
        return NOT_DONE_YET

    def answer(self, request, body: bytes) -> None:
        """End a run and write its answer."""
        self.end(body)
        if request._disconnected:
            return
        content = whole_answer(body)
        request.setHeader("X-Request-Id", request.getHeader("X-Request-Id"))
        request.setHeader("Content-Length", str(len(content)))
        request.write(content)
        request.finish()

    def run_s(self) -> float:
        """Return a random run time in seconds."""
        return self.random.uniform(RUN_MIN_S, RUN_MAX_S)

    def begin(self, body: bytes) -> None:
        """Tell the witness of the start of a run."""
        said = json.loads(body)
        self.running += 1
        self.witness.begin(said["id"], said["team"])
        self.witness.expect(self.up, f"{self.name} got work while its host reboots")
        if self.left_s is not None:
            late = self.reactor.seconds() - self.left_s
            text = f"{self.name} got new work {late:.1f} s after it said it leaves"
            self.witness.expect(late < LEAVE_GRACE_S, text)

    def end(self, body: bytes) -> None:
        """Tell the witness of the end of a run."""
        self.running -= 1
        self.witness.end(json.loads(body)["team"])

    async def send(self, method: str, path: str, body: bytes = b"") -> Response | None:
        """Send a request through any entry; None without a reply."""
        entry = self.gateway.any_entry()
        try:
            return await self.gateway.send(entry, self.key, method, path, body)
        except NoReply:
            return None

    async def keep_announced(self, stopped) -> None:
        """Announce this target and renew its lease until the run stops."""
        while not stopped():
            if self.up and self.left_s is None:
                await self.renew()
            await deferLater(self.reactor, RENEW_INTERVAL_S)

    async def renew(self) -> None:
        """Renew the lease, or announce this target where it is not known."""
        if self.announced:
            response = await self.send("POST", f"/v1/targets/{self.name}/lease")
            if response is None or response.status != 404:
                return
        await self.announce()

    async def announce(self) -> None:
        """Announce this life of the target."""
        said = {
            "host": self.host,
            "service": self.service,
            "address": "127.0.0.1",
            "port": self.port.getHost().port,
            "instance": self.instance,
        }
        path = f"/v1/targets/{self.name}"
        response = await self.send("PUT", path, json.dumps(said).encode())
        self.announced = response is not None and response.status == 200

    async def take_jobs(self, stopped) -> None:
        """Take and run jobs until the run stops."""
        path = f"/v1/queues/{self.service}/take?target={self.name}&wait_s={TAKE_WAIT_S}"
        while not stopped():
            ready = self.up and self.announced and self.left_s is None
            response = await self.send("POST", path) if ready else None
            if response is not None and response.status == 200:
                await self.run_job(json.loads(response.body))
            else:
                await deferLater(self.reactor, RUN_MAX_S)

    async def run_job(self, taken: dict) -> None:
        """Run one job and end it, resending until an entry answers."""
        body = b64decode(taken["body"])
        self.begin(body)
        await deferLater(self.reactor, self.run_s())
        self.end(body)
        path = f"/v1/jobs/{taken['job_id']}/attempts/{taken['attempt']}/done"
        for _ in range(10):
            response = await self.send("POST", path, whole_answer(body))
            if response is not None and response.status != 503:
                return
            await deferLater(self.reactor, RUN_MAX_S)

    async def leave(self) -> None:
        """Say that this target leaves, until an entry confirms it."""
        path = f"/v1/targets/{self.name}/leaving"
        while self.left_s is None and self.up:
            response = await self.send("POST", path)
            if response is not None and response.status in (200, 404):
                self.left_s = self.reactor.seconds()
            else:
                await deferLater(self.reactor, RUN_MAX_S)

    def restart(self) -> None:
        """Begin a new life."""
        self.instance = uuid4().hex
        self.left_s = None
        self.announced = False
        self.up = True
