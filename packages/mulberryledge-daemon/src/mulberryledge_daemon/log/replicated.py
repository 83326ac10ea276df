"""
mulberryledge_daemon.log.replicated
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log of one daemon: consensus node, storage and network.
"""

import logging
import time
from collections.abc import Callable, Iterable
from random import Random
from uuid import uuid4

from result import Err, Result
from twisted.internet.task import LoopingCall, deferLater

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.table import decode_command
from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.effects import (
    Apply,
    Persist,
    Restore,
    Rewrite,
    Send,
)
from mulberryledge_core.consensus.entries import HardState, Origin, Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leading import flush, is_idle
from mulberryledge_core.consensus.leases import (
    is_fresh,
    is_leading,
)
from mulberryledge_core.consensus.node import Node, Role
from mulberryledge_core.consensus.timing import Timing
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterMachine
from mulberryledge_daemon.http.cluster import ClusterStatus
from mulberryledge_daemon.log.channel import RequestChannel
from mulberryledge_daemon.log.cluster_joiner import ClusterJoiner
from mulberryledge_daemon.log.in_force import InForceWaiter
from mulberryledge_daemon.log.invariant_guard import exit_on_exception
from mulberryledge_daemon.log.membership import MembershipController
from mulberryledge_daemon.log.options import DEFAULT_OPTIONS, LogOptions
from mulberryledge_daemon.log.proposer import Proposer
from mulberryledge_daemon.log.reads import LinearizableReads
from mulberryledge_daemon.log.replica import Replica
from mulberryledge_daemon.log.status import cluster_status
from mulberryledge_daemon.log.storage import Storage
from mulberryledge_daemon.log.writer import Writer, WriterEvents
from mulberryledge_daemon.peers.messages import (
    Ask,
    AskReply,
    Form,
    Hello,
    MemberDirectory,
    Propose,
    ProposeReply,
)
from mulberryledge_daemon.peers.network import Network, NetworkHandlers, TlsIdentity
from mulberryledge_daemon.ports import AppliedEvent, InForceResult
from mulberryledge_daemon.settings import Settings

__all__ = ["ReplicatedLog"]

POLL_S = 0.02
TRANSFER_TIMEOUT_S = 1.0  # shorter than the shortest election timeout plus a slow sync
SNAPSHOT_ENTRIES = 5_000
CLOCK_BASE_BITS = 40
MS_PER_S = 1_000

logger = logging.getLogger(__name__)


class ReplicatedLog:
    """
    Implements the ports ReplicatedLog and LeaderChannel.

    Parameters
    ----------
    storage : Storage or None
        Data folder; None for a learner, or for a cluster of one daemon that is
        kept in memory.
    random : Random
        Source of election timeouts and of jitter.
    run : callable
        Runs a blocking function and returns a Deferred of its result.
    options : LogOptions
        State machine, membership and timing of connections.
    tls : TlsIdentity or None
        This daemon's certificate; None for connections without TLS.
    """

    def __init__(
        self,
        reactor,
        settings: Settings,
        storage: Storage | None,
        random: Random,
        run: Callable,
        options: LogOptions = DEFAULT_OPTIONS,
        tls: TlsIdentity | None = None,
    ):
        self.reactor = reactor
        self.settings = settings
        self.storage = storage
        self.name = settings.daemon.name
        self.session = uuid4().hex
        self.clock_base_ms = random.getrandbits(CLOCK_BASE_BITS)
        is_usable = storage is not None and not storage.damage
        folder = storage.identity.folder if is_usable else ""
        self.machine = options.machine or ClusterMachine()
        self.replica = Replica(self.machine, self.on_outcome)
        self.state = self.machine.state
        self.tick_s = options.tick_s
        self.node = self.make_node(folder, random, options.timing)
        self.writer = Writer(
            reactor,
            storage if is_usable else None,
            WriterEvents(
                self.transmit, self.on_synced, self.on_failed, self.on_recovered
            ),
            run,
        )
        self.cluster_joiner = ClusterJoiner(
            settings,
            self.session,
            self.node,
            storage,
            self.now,
            options.address_bootstrap,
        )
        self.membership_controller = None
        if options.min_voters:
            self.membership_controller = MembershipController(
                self.node, options.min_voters, self.propose_in_term, self.now
            )
        handlers = NetworkHandlers(
            self.cluster_joiner.make_hello,
            self.cluster_joiner.check_handshake,
            self.on_message,
            self.on_closed,
        )
        self.network = Network(
            reactor, self.name, handlers, random, tls, options.link_timing
        )
        self.proposer = Proposer(
            reactor, self.session, self.send_proposal, self.machine.encode
        )
        self.channel = RequestChannel(
            reactor,
            lambda: self.node.leader,
            self.is_leader,
            self.network.send,
            self.session,
        )
        self.in_force_waiter = InForceWaiter(reactor, self.channel, self.node, self.now)
        self.reads = LinearizableReads(
            reactor,
            self.channel,
            lambda: self.node.commit,
            lambda: self.state.applied_index,
        )
        self.directory_readers: set[str] = set()
        self.appended: set[tuple[str, int]] = set()
        self.known_leader = ("", 0)
        self.known_step_down = None
        self.flushing = False
        self.started = False
        self.loop = LoopingCall(self.tick)
        self.loop.clock = reactor
        self.handlers = {
            Hello: self.on_hello,
            Form: self.cluster_joiner.on_form,
            MemberDirectory: self.on_directory,
            Propose: self.on_propose,
            ProposeReply: lambda sender, reply: self.proposer.on_reply(reply),
            Ask: self.channel.on_ask,
            AskReply: lambda sender, reply: self.channel.on_reply(reply),
        }

    def make_node(self, folder: str, random: Random, timing: Timing) -> Node:
        """Return a consensus node restored from storage."""
        snapshot, entries, hard_state = Snapshot(), [], HardState()
        if self.storage is not None:
            snapshot = self.storage.snapshot
            entries = self.storage.entries
            hard_state = self.storage.hard_state
        self.replica.restore(snapshot.data)
        node = Node(
            name=self.name,
            folder=folder,
            log=EntryLog(snapshot, entries),
            draw_random=random.random,
            started_ms=self.now(),
            hard_state=hard_state,
            timing=timing,
        )
        if self.storage is not None:
            node.advance_commit(self.storage.commit)
        return node

    def now(self) -> int:
        """Return monotonic milliseconds, time in suspend included."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return self.clock_base_ms + nanoseconds // 1_000_000

    async def start(self) -> None:
        """
        Join the cluster, or bootstrap one alone if there are no peers.

        Committed entries on disk are applied first: this may take so long that a
        live leader would be considered lost.
        """
        self.started = True
        self.run_effects()
        steps.postpone_election(self.node, self.now())
        self.cluster_joiner.start(self.network)
        self.loop.start(self.tick_s)

    async def propose(self, command: Command) -> ApplyResult:
        """Append a command; return its outcome once this daemon has applied it."""
        return await self.proposer.propose(command)

    async def propose_in_term(self, command: Command) -> ApplyResult:
        """Append a command that this leader decides on; it fails in a later term."""
        term = self.node.term

        def is_valid() -> bool:
            return self.node.role == Role.LEADER and self.node.term == term

        return await self.proposer.propose(command, is_valid)

    def is_leader(self) -> bool:
        """Return whether this daemon leads and its quorum lease holds."""
        return is_leading(self.node, self.now())

    def is_fresh(self) -> bool:
        """Return whether this daemon's freshness lease holds."""
        return is_fresh(self.node, self.now())

    def time_ms(self) -> int:
        """Return the log time that a command proposed now would get."""
        return max(self.state.now_ms, wall_ms())

    async def wait_in_force(self, index: int, timeout_s: float) -> InForceResult:
        """Wait until the index is in force on every daemon."""
        return await self.in_force_waiter.wait(index, timeout_s)

    def previous_leader_follows(self) -> bool:
        """Return whether the previous leader has reported to this one as a follower."""
        progress = self.node.progress.get(self.node.last_leader)
        return progress is not None and progress.reported_ms is not None

    @property
    def term(self) -> int:
        """Return the term of the log."""
        return self.node.term

    async def catch_up(self, timeout_s: float) -> bool:
        """Return whether everything committed at the call is applied here in time."""
        return await self.reads.catch_up(timeout_s)

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Call the listener after each applied command."""
        self.replica.listeners.append(listener)

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Send a request to the leader."""
        return await self.channel.ask(message)

    def serve(self, kind: type, handler: Callable) -> None:
        """Register the handler that answers a kind of request while leading."""
        self.channel.serve(kind, handler)

    async def stop(self) -> None:
        """Stop gracefully."""
        if not self.started:
            return
        self.started = False
        if self.node.role == Role.LEADER:
            await self.resign()
        self.loop.stop()
        self.writer.stop()
        await self.network.stop()
        while self.writer.busy:
            await deferLater(self.reactor, POLL_S)

    async def resign(self) -> None:
        """Transfer leadership once a voter has the complete log."""
        deadline_s = self.reactor.seconds() + TRANSFER_TIMEOUT_S
        steps.resign(self.node, self.now())
        self.run_effects()
        while self.node.role == Role.LEADER and self.reactor.seconds() < deadline_s:
            await deferLater(self.reactor, POLL_S)
        if self.node.role == Role.LEADER:
            logger.warning("leadership not transferred: no voter has the complete log")
        await deferLater(self.reactor, POLL_S)

    def status(self) -> ClusterStatus:
        """Return the cluster as this daemon sees it."""
        traffic = self.network.traffic
        return cluster_status(
            self.node, self.cluster_joiner, self.storage, traffic, self.now()
        )

    def membership_gauges(self) -> dict[str, float]:
        """Return the numbers of the members; those that a leader knows only on it."""
        members = self.node.log.members
        gauges = {"members": float(len(members.members))}
        gauges["voters"] = float(len(members.voters()))
        if self.membership_controller is not None and self.is_leader():
            summary = self.membership_controller.summary()
            gauges["voters_missing"] = float(len(summary.missing))
            gauges["voters_target"] = float(summary.target)
            gauges["losses_borne"] = float(summary.losses_borne)
        return gauges

    def tick(self) -> None:
        """Run timers, resends and membership changes that are due."""
        with exit_on_exception():
            steps.tick(self.node, self.now())
            self.proposer.tick()
            self.cluster_joiner.update_dials_all()
            self.cluster_joiner.report_join()
            if self.membership_controller is not None and self.is_leader():
                self.membership_controller.tick()
            self.run_effects()

    def on_message(self, sender: str, message: object) -> None:
        """Handle a message of a peer."""
        with exit_on_exception():
            handler = self.handlers.get(type(message))
            if handler is not None:
                handler(sender, message)
            elif self.cluster_joiner.cluster:
                self.step(sender, message)

    def step(self, sender: str, message: object) -> None:
        """Process a consensus message."""
        removed_before = self.node.removed
        steps.step(self.node, sender, message, self.now())
        if self.node.removed and not removed_before:
            logger.critical("this daemon was removed", extra={"by": sender})
        self.run_effects()

    def on_synced(self, index: int, term: int) -> None:
        """Record the last entry that is on disk."""
        with exit_on_exception():
            steps.on_synced(self.node, index, term, self.now())
            self.run_effects()

    def on_failed(self) -> None:
        """Continue without storage."""
        steps.storage_failed(self.node, self.now())
        self.run_effects()

    def on_recovered(self) -> None:
        """Write the entries that storage lacks."""
        steps.storage_recovered(self.node)
        self.run_effects()

    def run_effects(self) -> None:
        """Run the node's effects in order; schedule a flush unless it is idle."""
        has_work = not is_idle(self.node)
        while effects := self.node.take_effects():
            has_work = True
            for effect in effects:
                self.run_effect(effect)
        self.check_changes()
        if has_work and not self.flushing:
            self.flushing = True
            self.reactor.callLater(0, self.flush)

    def run_effect(self, effect: object) -> None:
        """Run one effect."""
        if isinstance(effect, Send) and effect.after_sync:
            self.writer.send(effect)
        elif isinstance(effect, Send):
            self.transmit(effect)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self.appended.discard((entry.origin.session, entry.origin.sequence))
                self.replica.apply(entry)
        elif isinstance(effect, Restore):
            self.replica.restore(effect.snapshot.data)
            self.proposer.on_restored(self.replica.proposals.is_applied)
        elif isinstance(effect, Persist | Rewrite):
            self.writer.write(effect)
            if self.writer.storage is None:
                self.node.durable = self.node.log.last_index

    def flush(self) -> None:
        """Send and write the effects collected in one turn of the reactor."""
        self.flushing = False
        with exit_on_exception():
            flush(self.node, self.now())
            for effect in self.node.take_effects():
                self.run_effect(effect)
            self.writer.start_next_sync()
            self.compact()

    def compact(self) -> None:
        """Take a snapshot once there are enough applied entries."""
        node = self.node
        if node.applied - node.log.snapshot.index < SNAPSHOT_ENTRIES:
            return
        data = self.replica.snapshot() if node.folder else b""
        steps.compact(node, data)
        logger.info("snapshot taken", extra={"index": node.applied})
        self.run_effects()

    def check_changes(self) -> None:
        """React to a new leader and to changed members."""
        step_down = self.node.last_step_down
        if step_down is not self.known_step_down:
            self.known_step_down = step_down
            extra = {"term": step_down.term, "why": step_down.cause}
            extra["unheard"] = " ".join(step_down.unheard)
            extra["voters"] = step_down.voter_count
            logger.info("leadership ended", extra=extra)
        leader = (self.node.leader, self.node.term)
        if leader != self.known_leader:
            self.known_leader = leader
            self.appended.clear()
            self.channel.on_leader(self.node.leader)
            extra = {"leader": self.node.leader, "term": self.node.term}
            logger.info("leader", extra=extra)
            if self.node.leader:
                self.proposer.send_all()
            self.notify_outsiders()
        if self.node.log.members is not self.cluster_joiner.members:
            self.cluster_joiner.update_members()
            self.notify_outsiders()

    def on_hello(self, sender: str, hello: Hello) -> None:
        """Handle the handshake of a peer."""
        self.cluster_joiner.on_hello(sender, hello)
        self.directory_readers.discard(sender)
        if hello.gateway or hello.reads_directories:
            self.directory_readers.add(sender)
            self.send_directory((sender,))
        if self.membership_controller is not None and not hello.gateway:
            self.membership_controller.on_hello(hello)
            if self.node.log.members.find(sender) is None:
                extra = {"peer": sender, "leader": self.node.leader}
                extra["can_vote"] = bool(hello.folder)
                logger.info("connected daemon is no member", extra=extra)

    def on_directory(self, sender: str, message: MemberDirectory) -> None:
        """Handle what a peer tells of the members; pass it on if it is news."""
        known = self.cluster_joiner.known_directory()
        self.cluster_joiner.on_directory(sender, message)
        if self.cluster_joiner.known_directory() != known:
            self.notify_outsiders()

    def notify_outsiders(self) -> None:
        """Send the leader and the members to connected daemons that have no log."""
        members = self.node.log.members
        names = sorted(self.directory_readers)
        self.send_directory([name for name in names if members.find(name) is None])

    def send_directory(self, names: Iterable[str]) -> None:
        """Send the leader and the members to connected daemons."""
        message = self.cluster_joiner.known_directory()
        for name in names:
            self.network.send(name, message)

    def send_proposal(self, message: Propose) -> bool:
        """Send a proposal of this daemon to the leader."""
        if self.node.role == Role.LEADER:
            self.on_propose(self.name, message)
            return True
        leader = self.node.leader
        return bool(leader) and self.network.send(leader, message)

    def on_propose(self, sender: str, message: Propose) -> None:
        """Append a proposal as the leader, unless it is a duplicate."""
        origin = Origin(sender, message.session, message.sequence, message.floor)
        key = (message.session, message.sequence)
        if key in self.appended or self.replica.proposals.is_applied(origin):
            return
        outcome = self.append(message, origin)
        if isinstance(outcome, Err):
            reply = ProposeReply(message.sequence, outcome.err_value)
            if sender == self.name:
                self.reactor.callLater(0, self.proposer.on_reply, reply)
            else:
                self.network.send(sender, reply)
            return
        self.appended.add(key)
        self.run_effects()

    def append(self, message: Propose, origin: Origin) -> Result[int, Refusal]:
        """Append a proposal, if this release knows its command."""
        try:
            decode = decode_command if message.is_member_change else self.machine.decode
            command = decode(message.data)
        except ValueError as error:
            return Err(Refusal(Code.BAD_REQUEST, f"leader {self.name!r}: {error}"))
        if message.is_member_change:
            return steps.propose_change(
                self.node, command, origin, wall_ms(), self.now()
            )
        return steps.propose(self.node, message.data, origin, wall_ms(), self.now())

    def on_outcome(self, origin: Origin, outcome: ApplyResult) -> None:
        """Resolve a proposal of this daemon."""
        self.proposer.on_outcome(origin, outcome)

    def on_closed(self, peer: str) -> None:
        """Handle a lost connection."""
        self.cluster_joiner.settings_bootstrap.remove(peer)
        self.directory_readers.discard(peer)
        if self.membership_controller is not None:
            self.membership_controller.on_closed(peer)
        self.channel.on_closed(peer)

    def transmit(self, effect: Send) -> None:
        """Send a message of the node, which tolerates lost ones."""
        self.network.send(effect.to, effect.message)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000
