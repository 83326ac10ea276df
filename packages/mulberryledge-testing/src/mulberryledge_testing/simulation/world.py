"""
mulberryledge_testing.simulation.world
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Members of one cluster over a simulated network and disks, in virtual time.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from mulberryledge_core.codec import decode, encode
from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.effects import Apply, Persist, Restore, Rewrite, Send
from mulberryledge_core.consensus.entries import Entry, HardState, Origin, Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leading import flush
from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_core.consensus.node import Node, Role
from mulberryledge_core.consensus.proposals import AppliedProposals, ProposerRecord
from mulberryledge_testing.simulation.witness import InvariantChecker, RunningMember

__all__ = ["Defects", "SimulatedDisk", "SimulatedMember", "World"]

TICK_MS = 50
MAX_CLOCK_DRIFT = 0.02
NAMES = ("a", "b", "c", "d", "e")
VOTERS = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Defects:
    """Defects planted in the simulated program, which the checks must find."""

    acknowledge_early: bool = False
    wiped_keeps_name: bool = False
    apply_doubles: bool = False


@dataclass(slots=True)
class SimulatedDisk:
    """Durable content of a disk: what a member reads after a crash."""

    folder: str
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: dict[int, Entry] = field(default_factory=dict)
    commit: int = 0

    def write_all(self, effects: Iterable[Persist | Rewrite]) -> None:
        """Store writes in order."""
        for effect in effects:
            self.write(effect)

    def write(self, effect: Persist | Rewrite) -> None:
        """Store one write."""
        self.hard_state = effect.hard_state
        if isinstance(effect, Persist):
            self.commit = max(self.commit, effect.commit)
        if isinstance(effect, Rewrite):
            self.snapshot = effect.snapshot
            self.entries = {}
        if effect.entries:
            first = effect.entries[0].index
            for index in [index for index in self.entries if index >= first]:
                del self.entries[index]
            self.entries.update((entry.index, entry) for entry in effect.entries)

    def log(self) -> EntryLog:
        """Return the log as read after a restart."""
        entries = [
            self.entries[index]
            for index in sorted(self.entries)
            if index > self.snapshot.index
        ]
        return EntryLog(self.snapshot, entries)


@dataclass(slots=True)
class SimulatedMember:
    """
    One member, with the writes and sends that wait for a sync of its disk.

    Attributes
    ----------
    rate, offset_ms : float
        Rate and offset of its clock against virtual time.
    paused_until : float
        Virtual time until which its process is suspended.
    """

    name: str
    disk: SimulatedDisk | None
    rate: float
    offset_ms: float
    node: Node | None = None
    proposals: AppliedProposals = field(default_factory=AppliedProposals)
    queue: list[Persist | Rewrite] = field(default_factory=list)
    deferred_sends: list[Send] = field(default_factory=list)
    syncing: bool = False
    full: bool = False
    incarnation: int = 0
    paused_until: float = 0.0


class World:
    """
    Owns the virtual time, the messages in flight and all members.

    Parameters
    ----------
    seed : int
        Seed of the only random generator.
    standby : tuple of str
        Members with a disk that do not vote at first.
    """

    def __init__(
        self,
        seed: int,
        defects: Defects | None = None,
        standby: tuple[str, ...] = (),
        names: tuple[str, ...] = NAMES,
    ):
        self.standby = standby
        self.random = Random(seed)
        self.defects = defects or Defects()
        self.invariants = InvariantChecker()
        self.time_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = count()
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.random.choice((0.0, 0.02, 0.2))
        self.duplication = self.random.choice((0.0, 0.05, 0.2))
        self.slow = self.random.choice((0.0, 0.05))
        self.slow_disk = self.random.choice((0.0, 0.05, 0.9))
        self.max_delay_ms = self.random.choice((100, 600))
        self.crash_on_sync = self.random.choice((0.0, 0.01))
        self.restart_after_ms = 300
        self.sequence = 0
        self.proposed: set[int] = set()
        self.genesis = Configuration(
            tuple(Member(name, folder=name * (name in VOTERS)) for name in names)
        )
        self.members = {name: self.make_member(name) for name in names}
        for member in self.members.values():
            self.start(member)

    def make_member(self, name: str) -> SimulatedMember:
        """Return a stopped member; voters and standbys have a disk."""
        disk = None
        if name in VOTERS or name in self.standby:
            disk = self.make_disk(name, name)
        rate = self.random.uniform(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT)
        return SimulatedMember(name, disk, rate, self.random.uniform(0, 1e6))

    def make_disk(self, name: str, folder: str) -> SimulatedDisk:
        """Return the disk of a member with an empty folder of this identity."""
        return SimulatedDisk(folder, snapshot=Snapshot(members=self.genesis))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heappush(
            self.events, (self.time_ms + delay_ms, next(self.event_numbers), action)
        )

    def run(self, duration_ms: float) -> None:
        """Advance virtual time, run the events due and check the invariants."""
        end = self.time_ms + duration_ms
        while self.events and self.events[0][0] <= end:
            self.time_ms, _, action = heappop(self.events)
            action()
        self.time_ms = end
        self.check()

    def now(self, member: SimulatedMember) -> int:
        """Return the time on a member's clock."""
        return int(self.time_ms * member.rate + member.offset_ms)

    def check(self) -> None:
        """Check the leaders and leases of all running members."""
        self.invariants.check(
            [
                RunningMember(member.node, self.now(member))
                for member in self.members.values()
                if member.node is not None and member.paused_until <= self.time_ms
            ]
        )

    def start(self, member: SimulatedMember) -> None:
        """Start a member from its disk."""
        if member.node is not None:
            return
        member.incarnation += 1
        member.queue, member.deferred_sends, member.syncing = [], [], False
        member.proposals = AppliedProposals()
        disk = member.disk
        log = EntryLog(Snapshot(members=self.genesis)) if disk is None else disk.log()
        if disk is not None:
            member.proposals.load(decode_proposals(log.snapshot.data))
        member.node = Node(
            name=member.name,
            folder=disk.folder if disk is not None else "",
            log=log,
            draw_random=self.random.random,
            started_ms=self.now(member),
            hard_state=disk.hard_state if disk is not None else HardState(),
        )
        if disk is not None:
            member.node.advance_commit(disk.commit)
            for effect in member.node.take_effects():
                self.execute_effect(member, effect)
        if member.full:
            steps.storage_failed(member.node, self.now(member))
        self.tick(member, member.incarnation)

    def crash(self, member: SimulatedMember) -> None:
        """Stop a member; its unsynced writes reach the disk in half of the cases."""
        if member.node is None:
            return
        member.node = None
        member.paused_until = 0.0
        if member.disk is not None and self.random.random() < 0.5:
            member.disk.write_all(member.queue)
        self.after(
            self.random.uniform(1, self.restart_after_ms), lambda: self.start(member)
        )

    def wipe(self, member: SimulatedMember) -> None:
        """Crash a member that restarts with an empty disk."""
        self.crash(member)
        folder = f"{member.name}{next(self.event_numbers)}"
        if self.defects.wiped_keeps_name:
            folder = member.disk.folder
        member.disk = self.make_disk(member.name, folder)

    def pause(self, member: SimulatedMember, duration_ms: float) -> None:
        """Suspend a member."""
        member.paused_until = self.time_ms + duration_ms

    def when_running(
        self, member: SimulatedMember, incarnation: int, action: Callable[[], None]
    ) -> None:
        """Run an action after any pause, unless the member has crashed meanwhile."""
        if member.node is None or member.incarnation != incarnation:
            return
        if member.paused_until > self.time_ms:
            delay_ms = member.paused_until - self.time_ms
            self.after(delay_ms, lambda: self.when_running(member, incarnation, action))
            return
        action()

    def tick(self, member: SimulatedMember, incarnation: int) -> None:
        """Run the periodic step of a member."""

        def run() -> None:
            steps.tick(member.node, self.now(member))
            self.execute_effects(member)
            self.after(TICK_MS, lambda: self.when_running(member, incarnation, run))

        self.after(
            self.random.uniform(0, TICK_MS),
            lambda: self.when_running(member, incarnation, run),
        )

    def execute_effects(self, member: SimulatedMember) -> None:
        """Execute a member's effects, then check the invariants."""
        flush(member.node, self.now(member))
        while effects := member.node.take_effects():
            for effect in effects:
                self.execute_effect(member, effect)
            flush(member.node, self.now(member))
        self.start_sync(member)
        self.check()

    def execute_effect(self, member: SimulatedMember, effect: object) -> None:
        """Execute one effect; sends that need a sync wait for it."""
        if isinstance(effect, Send):
            early = self.defects.acknowledge_early
            if effect.after_sync and (member.queue or member.syncing) and not early:
                member.deferred_sends.append(effect)
            else:
                self.transmit(member.name, effect)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self.apply(member, entry)
        elif isinstance(effect, Restore):
            member.proposals.load(decode_proposals(effect.snapshot.data))
        elif isinstance(effect, Persist | Rewrite):
            for entry in effect.entries:
                self.invariants.on_written(member.node, entry)
            if member.disk is not None and not member.full:
                member.queue.append(effect)

    def apply(self, member: SimulatedMember, entry: Entry) -> None:
        """Apply an entry unless its proposal was applied before."""
        self.invariants.on_applied(entry)
        fresh = member.proposals.mark_applied(entry.origin, entry.at_ms)
        if entry.origin.session and (fresh or self.defects.apply_doubles):
            self.invariants.on_executed(entry)

    def start_sync(self, member: SimulatedMember) -> None:
        """Start a sync of the queued writes."""
        if member.syncing or not member.queue:
            return
        member.syncing = True
        incarnation = member.incarnation
        slow = self.random.random() < self.slow_disk
        delay_ms = self.random.uniform(0, 80 if slow else 2)
        written, waiting = len(member.queue), member.deferred_sends
        member.deferred_sends = []

        def done() -> None:
            self.finish_sync(member, written, waiting)

        self.after(delay_ms, lambda: self.when_running(member, incarnation, done))

    def finish_sync(
        self, member: SimulatedMember, written: int, waiting: list[Send]
    ) -> None:
        """Finish a sync; the member may crash just before or just after it."""
        if self.random.random() < self.crash_on_sync:
            self.crash(member)
            return
        done, member.queue = member.queue[:written], member.queue[written:]
        member.disk.write_all(done)
        member.syncing = False
        if self.random.random() < self.crash_on_sync:
            self.crash(member)
            return
        for effect in waiting:
            self.transmit(member.name, effect)
        for effect in reversed(done):
            last = effect.snapshot if isinstance(effect, Rewrite) else None
            if effect.entries:
                last = effect.entries[-1]
            if last is not None:
                steps.on_synced(member.node, last.index, last.term, self.now(member))
                break
        if not member.queue:
            for effect in member.deferred_sends:
                self.transmit(member.name, effect)
            member.deferred_sends = []
        self.execute_effects(member)

    def transmit(self, sender: str, effect: Send) -> None:
        """Send a message over the network, which may drop, duplicate or delay it."""
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            slow = self.random.random() < self.slow
            delay_ms = self.random.uniform(0.2, self.max_delay_ms if slow else 3)
            self.after(delay_ms, lambda: self.deliver(sender, effect))

    def deliver(self, sender: str, effect: Send) -> None:
        """Deliver a message to its receiver."""
        member = self.members.get(effect.to)
        if (sender, effect.to) in self.blocked or member is None or member.node is None:
            return

        def receive() -> None:
            steps.step(member.node, sender, effect.message, self.now(member))
            self.execute_effects(member)

        self.when_running(member, member.incarnation, receive)

    def leader(self) -> SimulatedMember | None:
        """Return the running leader of the highest term."""
        leaders = [
            member
            for member in self.members.values()
            if member.node is not None
            and member.node.role == Role.LEADER
            and member.paused_until <= self.time_ms
        ]
        return max(leaders, key=lambda member: member.node.term, default=None)

    def propose(self, sequence: int | None = None) -> bool:
        """Propose a command to every member that leads, as a resending client may."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        origin = Origin("client", "session", sequence, max(1, self.sequence - 100))
        accepted = False
        for member in self.members.values():
            node = member.node
            if node is None or member.paused_until > self.time_ms:
                continue
            if node.role != Role.LEADER:
                continue
            wall_ms = int(self.time_ms + self.random.uniform(-500, 500))
            outcome = steps.propose(
                node, b"%d" % sequence, origin, max(0, wall_ms), self.now(member)
            )
            accepted = accepted or outcome.is_ok()
            self.execute_effects(member)
        return accepted

    def change(self, command: object) -> bool:
        """Propose a membership change to the leader."""
        member = self.leader()
        if member is None:
            return False
        outcome = steps.propose_change(
            member.node, command, Origin(), int(self.time_ms), self.now(member)
        )
        self.execute_effects(member)
        return outcome.is_ok()

    def compact(self, member: SimulatedMember, keep: int) -> None:
        """Compact a member's log into a snapshot."""
        if member.node is None or member.node.applied <= member.node.log.snapshot.index:
            return
        data = encode_proposals(member.proposals)
        steps.compact(member.node, data, keep)
        self.execute_effects(member)

    def fill_disk(self, member: SimulatedMember) -> None:
        """Make a disk refuse writes."""
        if member.disk is None or member.node is None or member.full:
            return
        member.full = True
        member.queue, member.deferred_sends, member.syncing = [], [], False
        steps.storage_failed(member.node, self.now(member))
        self.execute_effects(member)

    def free_disk(self, member: SimulatedMember) -> None:
        """Make a full disk accept writes again."""
        if not member.full:
            return
        member.full = False
        if member.node is not None:
            steps.storage_recovered(member.node)
            self.execute_effects(member)


def encode_proposals(proposals: AppliedProposals) -> bytes:
    """Encode the applied proposals as snapshot data."""
    return encode(proposals.records())


def decode_proposals(data: bytes) -> tuple:
    """Decode the output of :func:`encode_proposals`."""
    return decode(data, tuple[ProposerRecord, ...]) if data else ()
