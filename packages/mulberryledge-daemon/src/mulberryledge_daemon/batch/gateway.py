"""
mulberryledge_daemon.batch.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards callers' requests to the leader. A gateway holds no durable state: it returns
what a leader answered.

A request that may have reached a leader is resent to the next one with the same
identifier while the caller waits, also if that leader could not tell its outcome. A
request that reached none is refused. A leader that refuses a resent request can't speak
for an earlier send: keys, queues and load change.
"""

import logging
import math
from dataclasses import replace
from random import Random
from uuid import uuid4

from result import Ok
from twisted.internet.task import deferLater

from mulberryledge_core.batch.requests import (
    CallReply,
    CancelAsk,
    SubmitAsk,
    Verdict,
)
from mulberryledge_core.consensus.members import Configuration
from mulberryledge_daemon.log.channel import RequestChannel
from mulberryledge_daemon.peers.link import LinkTiming
from mulberryledge_daemon.peers.messages import AskReply, Hello, MemberDirectory
from mulberryledge_daemon.peers.network import Network, NetworkHandlers, PeerAddress

__all__ = ["Gateway"]

RETRY_S = 0.05  # between two attempts; a few round trips
LEADER_WAIT_S = 0.25  # how long a request waits for a leader before it is refused
ATTEMPT_S = 1.5  # silence of a leader after which a request is resent
ANSWER_MARGIN_S = 0.1  # reserved from the caller's time-out for returning the answer
LEADERLESS_READY_S = 2.0  # an election takes less; after it the gateway is not ready

# Refusals that depend on the time of the request, not only on its contents.
CHANGEABLE_REFUSALS = (Verdict.BAD_KEY, Verdict.NO_QUEUE, Verdict.REFUSED)

# Replies of a leader after which the next one may decide the request.
RESENT_VERDICTS = (Verdict.UNAVAILABLE, Verdict.UNKNOWN)

logger = logging.getLogger(__name__)


class Gateway:
    """
    Owns the connections to the members and the latest report on the leader.

    Attributes
    ----------
    directory : MemberDirectory
        Leader and members by the newest message of a voter.
    leader_reached_s : float
        When the leader was last seen to be reachable.
    last_request : int
        Number of the last request that has an effect.
    end_s : float
        When each request must have been answered, however long its caller waits.
    """

    def __init__(
        self,
        reactor,
        name: str,
        seeds: tuple[PeerAddress, ...],
        timing: LinkTiming,
        random: Random,
    ):
        self.reactor = reactor
        self.name = name
        self.seeds = seeds
        self.random = random
        self.session = uuid4().hex
        self.directory = MemberDirectory(0, "", Configuration())
        self.leader_reached_s = -LEADERLESS_READY_S
        self.last_request = 0
        self.end_s = math.inf
        handlers = NetworkHandlers(
            self.handshake, lambda hello: "", self.on_message, self.on_closed
        )
        self.network = Network(reactor, name, handlers, random, timing=timing)
        self.channel = RequestChannel(
            reactor,
            lambda: self.directory.leader,
            lambda: False,
            self.network.send,
            self.session,
        )

    def start(self) -> None:
        """Connect to the seeds."""
        self.network.start_link_checks()
        self.follow_members()

    def answer_until(self, end_s: float) -> None:
        """Answer each request by a given time, as the process ends after it."""
        self.end_s = end_s

    async def stop(self) -> None:
        """Close the connections."""
        await self.network.stop()

    def set_seeds(self, seeds: tuple[PeerAddress, ...]) -> None:
        """Replace the addresses at which the cluster is looked for."""
        self.seeds = seeds
        self.follow_members()

    def handshake(self) -> Hello:
        """Return the message that opens a connection."""
        return Hello(self.name, "", 1, "", self.session, gateway=True)

    def follow_members(self) -> None:
        """Maintain connections to the known members and the seeds."""
        peers = {seed.name: seed for seed in self.seeds}
        for member in self.directory.members.members:
            peers[member.name] = PeerAddress(member.name, member.address, member.port)
        self.network.set_peers(tuple(peers.values()))

    def on_message(self, sender: str, message: object) -> None:
        """Handle a message of a voter."""
        if isinstance(message, AskReply):
            self.channel.on_reply(message)
        elif isinstance(message, MemberDirectory):
            self.on_directory(sender, message)

    def on_directory(self, sender: str, message: MemberDirectory) -> None:
        """Store who leads, unless the voter knows less."""
        known = self.directory
        if message.rank() < known.rank():
            return
        self.directory = message
        if message.leader != known.leader:
            extra = {"leader": message.leader, "term": message.term, "from": sender}
            logger.info("leader", extra=extra)
            self.channel.on_leader(message.leader)
        if message.members != known.members:
            self.follow_members()

    def on_closed(self, peer: str) -> None:
        """Handle a lost connection."""
        logger.info("connection lost", extra={"peer": peer})
        self.channel.on_closed(peer)

    def reaches_leader(self) -> bool:
        """Return whether there is a connection to the leader."""
        return self.directory.leader in self.network.links

    def is_ready(self) -> bool:
        """Return whether callers should use this gateway rather than another one."""
        now_s = self.reactor.seconds()
        if self.reaches_leader():
            self.leader_reached_s = now_s
        return (
            bool(self.network.links)
            and now_s - self.leader_reached_s < LEADERLESS_READY_S
        )

    async def forward(self, message: object, timeout_s: float) -> CallReply:
        """
        Forward a request to the leader.

        Parameters
        ----------
        timeout_s : float
            How long the caller waits.
        """
        started_s = self.reactor.seconds()
        deadline_s = started_s + timeout_s - ANSWER_MARGIN_S
        has_effect = isinstance(message, SubmitAsk | CancelAsk)
        if has_effect:
            self.last_request += 1
            request_id = f"{self.session}-{self.last_request}"
            message = replace(message, request_id=request_id)
        unsure = False
        while True:
            now_s = self.reactor.seconds()
            remaining_s = min(deadline_s, self.end_s) - now_s
            if remaining_s <= 0 or (not unsure and now_s - started_s > LEADER_WAIT_S):
                return reply_without_leader(unsure)
            outcome = await self.channel.ask(message, min(remaining_s, ATTEMPT_S))
            if isinstance(outcome, Ok):
                reply = outcome.ok_value
                if reply.verdict not in RESENT_VERDICTS:
                    earlier_effect = unsure and has_effect
                    return reply_for_all_sends(reply) if earlier_effect else reply
                unsure = unsure or reply.verdict == Verdict.UNKNOWN
            else:
                unsure = unsure or outcome.err_value.unsure
            await deferLater(self.reactor, RETRY_S)


def reply_for_all_sends(reply: CallReply) -> CallReply:
    """
    Return the reply to a request that was sent more than once.

    Parameters
    ----------
    reply : CallReply
        The leader's reply to the last send; an earlier one may have taken effect.
    """
    if reply.verdict not in CHANGEABLE_REFUSALS:
        return reply
    reason = f"an earlier send may have taken effect, the last one: {reply.verdict}"
    return replace(reply, verdict=Verdict.UNKNOWN, reason=reason)


def reply_without_leader(unsure: bool) -> CallReply:
    """Return the reply to a request that no leader has answered."""
    if unsure:
        return CallReply(Verdict.UNKNOWN, reason="the leader was lost")
    return CallReply(
        Verdict.UNAVAILABLE, retry_after_ms=1_000, reason="no leader within reach"
    )
