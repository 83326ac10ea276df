"""
mulberryledge_testing.endurance.load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Generates load: repeatable calls, calls that run at most once, and jobs.
"""

import json
from collections.abc import Callable
from itertools import count
from random import Random

from twisted.internet.task import deferLater

from mulberryledge_testing.callers import Response
from mulberryledge_testing.endurance.gateway import Gateway, NoReply
from mulberryledge_testing.endurance.scene import ONCE, QUEUE, REPEATABLE, TEAMS
from mulberryledge_testing.endurance.targets import expected_answer
from mulberryledge_testing.witness import ANSWERED, LOST, Told, Witness

__all__ = ["Load"]

PAUSE_S = 0.01
RESEND_DELAY_S = 0.3
RESENDS = 3
ONCE_SHARE = 0.3
JOB_SHARE = 0.1
RESULT_TRIES = 40


class Load:
    """Owns the load of an endurance run."""

    def __init__(
        self, gateway: Gateway, witness: Witness, random: Random, keys: dict[str, str]
    ):
        self.gateway = gateway
        self.witness = witness
        self.random = random
        self.keys = keys
        self.numbers = count(1)
        self.jobs_done = 0

    async def send_requests(self, stopped: Callable[[], bool]) -> None:
        """Send requests one after another until the run stops."""
        while not stopped():
            team = self.random.choice(TEAMS).name
            kind_draw = self.random.random()
            if kind_draw < JOB_SHARE:
                await self.job(team, stopped)
            elif kind_draw < JOB_SHARE + ONCE_SHARE:
                await self.call_once(team)
            else:
                await self.call(team)
            await deferLater(self.gateway.reactor, PAUSE_S * self.random.random())

    def new_request(self, team: str) -> tuple[str, bytes]:
        """Return the identifier and the body of a new request."""
        request_id = f"r{next(self.numbers)}"
        return request_id, json.dumps({"id": request_id, "team": team}).encode()

    async def call(self, team: str) -> None:
        """Send a repeatable call."""
        request_id, body = self.new_request(team)
        await self.exchange(team, REPEATABLE, request_id, body)

    async def call_once(self, team: str) -> None:
        """Send a call that must run at most once, with retries while unanswered."""
        request_id, body = self.new_request(team)
        self.witness.once.add(request_id)
        for _ in range(1 + RESENDS):
            reply = await self.exchange(
                team, ONCE, request_id, body, Idempotency_Key=request_id
            )
            if reply is not None and reply.outcome == ANSWERED:
                return
            await deferLater(self.gateway.reactor, RESEND_DELAY_S)

    async def exchange(
        self, team: str, service: str, request_id: str, body: bytes, **fields: str
    ) -> Told | None:
        """Send a call through any entry; None if it was not sent."""
        path = f"/v1/services/{service}/calls/today"
        entry = self.gateway.any_entry()
        try:
            response = await self.gateway.send(
                entry, self.keys[team], "POST", path, body, **fields
            )
        except NoReply as error:
            if not error.sent:
                return None
            reply = Told(LOST)
        else:
            reply = reply_of(response)
        self.witness.tell(request_id, reply, expected_answer(body))
        return reply

    async def job(self, team: str, stopped: Callable[[], bool]) -> None:
        """Submit a job, with retries until it is acknowledged, and fetch its result."""
        request_id, body = self.new_request(team)
        repeatable = self.random.random() < 0.5
        if not repeatable:
            self.witness.once.add(request_id)
        fields = {
            "Idempotency_Key": request_id,
            "X_Repeatable": str(repeatable).lower(),
        }
        path = f"/v1/queues/{QUEUE}/jobs"
        response = None
        while response is None or response.status == 503:
            if stopped():
                return
            response = await self.ask(team, "POST", path, body, **fields)
        if response.status != 202:
            return
        job_id = json.loads(response.body)["job_id"]
        await self.fetch(team, job_id, request_id, body, stopped)

    async def fetch(
        self,
        team: str,
        job_id: str,
        request_id: str,
        body: bytes,
        stopped: Callable[[], bool],
    ) -> None:
        """Poll for the result of an acknowledged job."""
        path = f"/v1/jobs/{job_id}/result?wait_s=1"
        for _ in range(RESULT_TRIES):
            response = await self.ask(team, "GET", path)
            if response is not None and response.status == 200:
                reply = Told(ANSWERED, response.body)
                self.witness.tell(request_id, reply, expected_answer(body))
                self.jobs_done += 1
                return
            if response is not None:
                found = response.status != 404
                text = f"job {job_id} was acknowledged but is not found"
                self.witness.expect(found, text)
            if response is not None and response.status == 202:
                phase = json.loads(response.body)["phase"]
                if phase == "unknown":
                    return
            if stopped():
                return

    async def ask(
        self, team: str, method: str, path: str, body: bytes = b"", **fields: str
    ) -> Response | None:
        """Send a request through any entry; None without a reply."""
        entry = self.gateway.any_entry()
        try:
            return await self.gateway.send(
                entry, self.keys[team], method, path, body, **fields
            )
        except NoReply:
            await deferLater(self.gateway.reactor, RESEND_DELAY_S)
            return None


def reply_of(response: Response) -> Told:
    """Return the outcome that a response reports."""
    if response.status == 200:
        return Told(ANSWERED, response.body)
    return Told(json.loads(response.body)["outcome"])
