"""
mulberryledge_testing.endurance.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends requests of callers, targets and operators through any entry.
"""

import json
import os
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mulberryledge_core.codec import to_plain
from mulberryledge_core.commands.teams import GiveKey
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_testing.callers import Caller, Response
from mulberryledge_testing.processes import OPERATOR_KEY, Cluster

__all__ = ["Gateway", "NoReply"]

SEND_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.2
OPERATOR_TIMEOUT_S = 40.0


class NoReply(Exception):
    """
    No reply within the time-out, or no connection.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached the entry.
    """

    def __init__(self, sent: bool):
        super().__init__()
        self.sent = sent


class Gateway:
    """Owns the connections from the test driver to all daemons."""

    def __init__(self, reactor, cluster: Cluster, random: Random):
        self.reactor = reactor
        self.cluster = cluster
        self.random = random
        self.callers = {
            name: Caller(reactor, one.callers_url)
            for name, one in cluster.daemons.items()
        }
        self.operators = {
            name: Caller(reactor, one.operators_url, OPERATOR_KEY)
            for name, one in cluster.daemons.items()
        }

    def any_entry(self) -> str:
        """Return a random daemon with a running process, any daemon if none runs."""
        names = [one.name for one in self.cluster.running()]
        return self.random.choice(names or list(self.callers))

    async def send(
        self, entry: str, key: str, method: str, path: str, body: bytes = b"", **fields
    ) -> Response:
        """
        Send one request through one entry.

        Raises
        ------
        NoReply
            If the entry is down, closes the connection or does not answer in time.
        """
        caller = self.callers[entry]
        if key:
            fields["Authorization"] = f"Bearer {key}"
        return await self.wait_for(caller.send(method, path, body, **fields))

    async def wait_for(self, sending) -> Response:
        """Return a reply, or raise NoReply after the time-out."""
        sent = Deferred.fromCoroutine(sending)
        sent.addTimeout(SEND_TIMEOUT_S, self.reactor)
        try:
            return await sent
        except Exception as error:
            refused = type(error).__name__ in ("ConnectionRefusedError", "TCPTimedOut")
            raise NoReply(sent=not refused) from error

    async def operate(self, command: object) -> dict:
        """Send an operator's command, with retries until it is in force."""
        path = f"/v1/commands/{type(command).__name__}"
        body = json.dumps(to_plain(command)).encode()
        end = self.reactor.seconds() + OPERATOR_TIMEOUT_S
        while self.reactor.seconds() < end:
            caller = self.operators[self.any_entry()]
            try:
                response = await self.wait_for(caller.send("POST", path, body))
            except NoReply:
                response = None
            if response is not None and response.status == 200:
                return json.loads(response.body)
            if response is not None and response.status not in (500, 503, 504):
                raise AssertionError(f"{command}: {response.body!r}")
            await deferLater(self.reactor, RETRY_DELAY_S)
        raise AssertionError(f"{command}: not in force within {OPERATOR_TIMEOUT_S} s")

    async def give_key(self, team: str) -> str:
        """Create a key for a team, and return its text."""
        key = make_key(os.urandom(KEY_BYTES))
        await self.operate(GiveKey(key.key_id, team, key.salt, key.digest))
        return key.text

    async def close(self) -> None:
        """Close idle connections."""
        for caller in (*self.callers.values(), *self.operators.values()):
            await caller.close()
