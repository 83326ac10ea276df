"""
mulberryledge_testing.endurance.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated targets that report each run to the witness.
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

__all__ = ["WitnessedTarget", "expected_answer"]

RUN_MIN_S = 0.002
RUN_MAX_S = 0.08
RENEW_INTERVAL_S = 1.0
TAKE_WAIT_S = 1.0
LEAVE_GRACE_S = 3.0
REPEAT = 40


def expected_answer(body: bytes) -> bytes:
    """Return the only correct answer to a request body."""
    return b"answer:" + body * REPEAT


class WitnessedTarget(Resource):
    """
    A target that runs calls or jobs for random times.

    Attributes
    ----------
    up : bool
        Whether the target's process is up.
    leave_confirmed_s : float or None
        Time of the confirmed departure on the reactor's clock, None while it serves.
    running : int
        Number of runs in progress.
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
        self.leave_confirmed_s: float | None = None
        self.running = 0
        self.port = self.reactor.listenTCP(0, Site(self), interface="127.0.0.1")

    def render(self, request):
        """Run a call for a random time, and answer it."""
        body = request.content.read()
        self.start_run(body)
        closed = request.notifyFinish()
        closed.addErrback(lambda _: None)
        delayed = deferLater(self.reactor, self.run_s())
        delayed.addCallback(lambda _: self.answer(request, body))
        return NOT_DONE_YET

    def answer(self, request, body: bytes) -> None:
        """End a run and write its answer."""
        self.end_run(body)
        if request._disconnected:
            return
        content = expected_answer(body)
        request.setHeader("X-Request-Id", request.getHeader("X-Request-Id"))
        request.setHeader("Content-Length", str(len(content)))
        request.write(content)
        request.finish()

    def run_s(self) -> float:
        """Return a random run time in seconds."""
        return self.random.uniform(RUN_MIN_S, RUN_MAX_S)

    def start_run(self, body: bytes) -> None:
        """Report the start of a run to the witness."""
        call = json.loads(body)
        self.running += 1
        self.witness.begin(call["id"], call["team"])
        self.witness.expect(self.up, f"{self.name} got work while its host reboots")
        if self.leave_confirmed_s is not None:
            late_s = self.reactor.seconds() - self.leave_confirmed_s
            text = f"{self.name} got new work {late_s:.1f} s after its departure"
            self.witness.expect(late_s < LEAVE_GRACE_S, text)

    def end_run(self, body: bytes) -> None:
        """Report the end of a run to the witness."""
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
        """Renew the lease periodically until the run stops."""
        while not stopped():
            if self.up and self.leave_confirmed_s is None:
                await self.renew()
            await deferLater(self.reactor, RENEW_INTERVAL_S)

    async def renew(self) -> None:
        """Renew the lease; announce the target if it is unknown."""
        if self.announced:
            response = await self.send("POST", f"/v1/targets/{self.name}/lease")
            if response is None or response.status != 404:
                return
        await self.announce()

    async def announce(self) -> None:
        """Announce this incarnation of the target."""
        announcement = {
            "host": self.host,
            "service": self.service,
            "address": "127.0.0.1",
            "port": self.port.getHost().port,
            "instance": self.instance,
        }
        path = f"/v1/targets/{self.name}"
        response = await self.send("PUT", path, json.dumps(announcement).encode())
        self.announced = response is not None and response.status == 200

    async def take_jobs(self, stopped) -> None:
        """Take and run jobs until the run stops."""
        path = f"/v1/queues/{self.service}/take?target={self.name}&wait_s={TAKE_WAIT_S}"
        while not stopped():
            ready = self.up and self.announced and self.leave_confirmed_s is None
            response = await self.send("POST", path) if ready else None
            if response is not None and response.status == 200:
                await self.run_job(json.loads(response.body))
            else:
                await deferLater(self.reactor, RUN_MAX_S)

    async def run_job(self, taken: dict) -> None:
        """Run one job, and report its end until an entry answers."""
        body = b64decode(taken["body"])
        self.start_run(body)
        await deferLater(self.reactor, self.run_s())
        self.end_run(body)
        path = f"/v1/jobs/{taken['job_id']}/attempts/{taken['attempt']}/done"
        for _ in range(10):
            response = await self.send("POST", path, expected_answer(body))
            if response is not None and response.status != 503:
                return
            await deferLater(self.reactor, RUN_MAX_S)

    async def leave(self) -> None:
        """Report the departure of this target until an entry confirms it."""
        path = f"/v1/targets/{self.name}/leaving"
        while self.leave_confirmed_s is None and self.up:
            response = await self.send("POST", path)
            if response is not None and response.status in (200, 404):
                self.leave_confirmed_s = self.reactor.seconds()
            else:
                await deferLater(self.reactor, RUN_MAX_S)

    def restart(self) -> None:
        """Start a new incarnation."""
        self.instance = uuid4().hex
        self.leave_confirmed_s = None
        self.announced = False
        self.up = True
