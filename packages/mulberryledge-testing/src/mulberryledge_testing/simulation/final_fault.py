"""
mulberryledge_testing.simulation.final_fault
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Seeded runs that end with a fault of all members right after an acknowledgement: all
stop, as many disks as may be are lost, and what was acknowledged must be there.
"""

import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

from twisted.internet.defer import Deferred, maybeDeferred

from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.effects import Persist, Rewrite, Send
from mulberryledge_core.consensus.entries import Entry, Origin
from mulberryledge_core.consensus.leases import is_leading
from mulberryledge_core.consensus.membership_policy import JoiningDaemon, next_change
from mulberryledge_core.consensus.timing import Bounds
from mulberryledge_daemon.log.writer import Writer, WriterEvents, write_all
from mulberryledge_testing.simulation import runs
from mulberryledge_testing.simulation.power import FolderDisk
from mulberryledge_testing.simulation.world import (
    VOTERS,
    Defects,
    SimulatedMember,
    World,
)

__all__ = ["FIVE", "NINE", "FinalFaultReport", "Size", "run_seed", "try_seed"]

BEGIN_MS = 8_000
CATCH_UP_MS = 7_000  # catch_up_s and the second in which a member is back
RECOVERY_MS = 15_000
MS_PER_S = 1_000
STALL_MS = (100, 800)
FAULT_COUNT = 16
BOUNDS = Bounds(batch_bytes=150, in_flight_bytes=600)  # snapshots go in chunks
MAX_SEQUENCE = 100  # up to there the world's proposals all keep their own record


@dataclass(frozen=True, slots=True)
class Size:
    """
    Members with a disk, and how many disks may be lost at once.

    Attributes
    ----------
    reserve : tuple of str
        Members that may be added during a run.
    """

    names: tuple[str, ...]
    losses: int
    reserve: tuple[str, ...] = ()


NINE = Size(tuple("abcdefghi"), 2, tuple("jklm"))
FIVE = Size(tuple("abcde"), 1, tuple("fg"))


@dataclass(frozen=True, slots=True)
class FinalFaultReport:
    """Counts of a run; ``recovered_ms`` is from the final fault to a new leader."""

    seed: int
    fault: str
    acknowledged: int
    snapshots: int
    recovered_ms: float


class PowerWorld(World):
    """
    Members with data folders in files; records what was acknowledged.

    Attributes
    ----------
    acknowledged : dict of int to str
        Member that applied a sequence first, which is when its caller may be told.
    losses_left : int
        Disks that may still be lost.
    has_power : bool
        Whether a crash is that of the process alone.
    in_flight : dict of str to tuple
        By member: the writes of the sync in progress.
    stalled : set of str
        Members whose disk takes long for each sync.
    """

    def __init__(
        self, seed: int, path: Path, size: Size, defects: Defects | None = None
    ):
        self.path = path
        self.size = size
        self.acknowledged: dict[int, str] = {}
        self.losses_left = size.losses
        self.has_power = True
        self.snapshots = 0
        self.removed: set[str] = set()
        self.folders: list[FolderDisk] = []
        self.reserve = list(size.reserve)
        self.writers: dict[str, Writer] = {}
        self.in_flight: dict[str, tuple[Persist | Rewrite, ...]] = {}
        self.stalled: set[str] = set()
        self.failure: AssertionError | None = None
        standby = (*(one for one in size.names if one not in VOTERS), *size.reserve)
        super().__init__(seed, defects, standby, size.names)
        self.loss = min(self.loss, 0.02)

    def make_disk(self, name: str, folder: str) -> FolderDisk:
        """Return a disk in files."""
        path = self.path / str(len(self.folders))
        disk = FolderDisk(path, name, folder, self.random, self.genesis)
        self.folders.append(disk)
        return disk

    def start(self, member: SimulatedMember) -> None:
        """Start a member from what its folder holds, unless it was removed."""
        if member.node is None and member.name not in self.removed:
            member.disk.open()
            self.snapshots += member.disk.storage.snapshot.index > 0
            super().start(member)
            member.node.bounds = BOUNDS
            self.writers[member.name] = self.make_writer(member)

    def make_writer(self, member: SimulatedMember) -> Writer:
        """Return the daemon's own writer, which writes in the world's time."""
        incarnation = member.incarnation

        def later(delay_s: float, action: Callable[[], None]) -> None:
            self.after(
                delay_s * MS_PER_S,
                lambda: self.when_running(member, incarnation, action),
            )

        def run(function: Callable, *args: object) -> Deferred:
            done = Deferred()

            def finish() -> None:
                if self.random.random() < self.crash_on_sync:
                    self.crash(member)
                    return
                self.in_flight.pop(member.name, None)
                written = maybeDeferred(function, *args)
                if self.random.random() < self.crash_on_sync:
                    written.addErrback(lambda _: None)
                    self.crash(member)
                    return
                written.chainDeferred(done)

            if function is write_all:
                self.in_flight[member.name] = args[1]
            slow = self.random.random() < self.slow_disk
            delay_ms = self.random.uniform(0, 80 if slow else 2)
            if member.name in self.stalled:
                delay_ms = self.random.uniform(*STALL_MS)
            later(delay_ms / MS_PER_S, finish)
            return done

        def on_synced(index: int, term: int) -> None:
            steps.on_synced(member.node, index, term, self.now(member))
            self.execute_effects(member)

        def on_failed() -> None:
            steps.storage_failed(member.node, self.now(member))
            self.execute_effects(member)

        def on_recovered() -> None:
            steps.storage_recovered(member.node)
            self.execute_effects(member)

        events = WriterEvents(
            lambda effect: self.transmit(member.name, effect),
            self.keeping_failure(on_synced),
            self.keeping_failure(on_failed),
            self.keeping_failure(on_recovered),
        )
        clock = SimpleNamespace(callLater=later)
        return Writer(clock, member.disk.storage, events, run)

    def keeping_failure(self, action: Callable) -> Callable:
        """Keep a broken invariant for :meth:`run`: a writer would end the process."""

        def act(*args: object) -> None:
            try:
                action(*args)
            except AssertionError as error:
                self.failure = self.failure or error

        return act

    def run(self, duration_ms: float) -> None:
        """Advance virtual time; raise what was violated during a write's callbacks."""
        super().run(duration_ms)
        if self.failure is not None:
            raise self.failure

    def execute_effect(self, member: SimulatedMember, effect: object) -> None:
        """Execute one effect, with the daemon's own writer."""
        if isinstance(effect, Send):
            early = self.defects.acknowledge_early
            if effect.after_sync and not early:
                self.writers[member.name].send(effect)
            else:
                self.transmit(member.name, effect)
        elif isinstance(effect, Persist | Rewrite):
            for entry in effect.entries:
                self.invariants.on_written(member.node, entry)
            self.writers[member.name].write(effect)
        else:
            super().execute_effect(member, effect)

    def start_sync(self, member: SimulatedMember) -> None:
        """Start a sync of the queued writes."""
        self.writers[member.name].start_next_sync()

    def fill_disk(self, member: SimulatedMember) -> None:
        """Make a disk refuse writes."""
        member.disk.disk.full = True

    def free_disk(self, member: SimulatedMember) -> None:
        """Make a full or stalled disk accept writes again."""
        member.disk.disk.full = False
        self.stalled.discard(member.name)

    def crash(self, member: SimulatedMember) -> None:
        """Stop a member during what it writes."""
        if member.node is None:
            return
        member.node = None
        member.paused_until = 0.0
        self.writers[member.name].stop()
        written = self.in_flight.pop(member.name, ())
        member.disk.stop(written, keeps_cache=self.has_power)
        delay_ms = self.random.uniform(1, self.restart_after_ms)
        self.after(delay_ms, lambda: self.start(member))

    def apply(self, member: SimulatedMember, entry: Entry) -> None:
        """Apply an entry; the first member that does may acknowledge it."""
        super().apply(member, entry)
        if entry.origin.session:
            self.acknowledged.setdefault(entry.origin.sequence, member.name)

    def missing(self, member: SimulatedMember) -> list[int]:
        """Return what was acknowledged and a member does not hold."""
        return [
            sequence
            for sequence in self.acknowledged
            if not member.proposals.is_applied(Origin("", "session", sequence))
        ]

    def leading(self) -> list[SimulatedMember]:
        """Return the members that may answer reads."""
        return [
            member
            for member in self.members.values()
            if member.node is not None
            and member.paused_until <= self.time_ms
            and is_leading(member.node, self.now(member))
        ]

    def check(self) -> None:
        """Check also that who may answer reads holds all that was acknowledged."""
        super().check()
        for member in self.leading():
            missing = self.missing(member)
            assert not missing, f"{member.name} leads without {missing}"

    def run_until(self, condition: Callable[[], bool], limit_ms: float) -> bool:
        """Run in small steps; return whether the condition was met in time."""
        end = self.time_ms + limit_ms
        while not condition() and self.time_ms < end:
            if self.events:
                self.run(max(0.0, self.events[0][0] - self.time_ms))
        return condition()

    def close(self) -> None:
        """Close the files."""
        for folder in self.folders:
            folder.close()


def schedule_policy(world: PowerWorld) -> None:
    """Apply the leader's membership policy periodically."""

    def act() -> None:
        world.after(runs.MEMBERSHIP_INTERVAL_MS, act)
        leader = world.leader()
        if leader is None:
            return
        applicants = [
            JoiningDaemon(one.name, "", 0, "", one.disk.folder)
            for one in world.members.values()
            if one.node is not None and (leader.name, one.name) not in world.blocked
        ]
        min_voters = 2 * world.size.losses + 1
        change = next_change(leader.node, applicants, min_voters, world.now(leader))
        if change is not None:
            world.change(change)

    world.after(runs.MEMBERSHIP_INTERVAL_MS, act)


def propose(world: PowerWorld) -> None:
    """Propose a few commands."""
    if world.sequence < MAX_SEQUENCE - 10:
        runs.propose(world)


def stop_some(world: PowerWorld) -> None:
    """Stop as many members as may be lost, with or without their power."""
    world.has_power = world.random.random() < 0.5
    world.restart_after_ms = world.random.choice((50, 500, 3_000))
    for member in world.random.sample(list(world.members.values()), world.size.losses):
        world.crash(member)


def stop_all(world: PowerWorld) -> None:
    """Stop all members at once."""
    propose(world)
    world.run(world.random.choice((1, 2, 5, 40)))
    world.has_power = world.random.random() < 0.5
    world.restart_after_ms = world.random.choice((1, 500))
    for member in world.members.values():
        world.crash(member)


def lose_disk(world: PowerWorld) -> None:
    """Lose a disk, which counts with those that the final fault takes."""
    if world.losses_left:
        world.losses_left -= 1
        world.restart_after_ms = 1_000
        world.wipe(world.random.choice(list(world.members.values())))


def lose_disks_and_catch_up(world: PowerWorld) -> None:
    """Lose as many disks as may be; calm until these count no more, and vote again."""
    runs.heal(world)
    crash_on_sync, world.crash_on_sync = world.crash_on_sync, 0.0
    for member in world.members.values():
        world.free_disk(member)
    world.run(CATCH_UP_MS)
    world.restart_after_ms = 1_000
    for member in world.random.sample(list(world.members.values()), world.losses_left):
        world.wipe(member)
    for _ in range(4):
        propose(world)
        world.run(CATCH_UP_MS / 4)
    world.losses_left = world.size.losses
    leader = world.leader()
    assert leader is not None, "no leader after disks were lost"
    replaced = [
        voter.name
        for voter in leader.node.log.members.voters()
        if voter.name in world.members
        and world.members[voter.name].disk.folder != voter.folder
    ]
    assert not replaced, f"{replaced} do not vote again after {CATCH_UP_MS} ms"
    world.crash_on_sync = crash_on_sync


def stall_disk(world: PowerWorld) -> None:
    """Stall the leader's disk, or another one."""
    member = world.leader() or runs.random_member(world)
    if world.random.random() < 0.3:
        member = runs.random_member(world)
    if len(world.stalled) < world.size.losses:
        world.stalled.add(member.name)


def add_members(world: PowerWorld) -> None:
    """Add members with an empty disk."""
    count = world.random.randint(1, 3)
    added, world.reserve = world.reserve[:count], world.reserve[count:]
    for name in added:
        world.members[name] = world.make_member(name)
        world.start(world.members[name])


def replace_member(world: PowerWorld) -> None:
    """Remove a member for good; a new one has the time to take its place."""
    if not world.reserve:
        return
    runs.heal(world)
    world.run(CATCH_UP_MS)
    removed = world.random.choice(list(world.members.values()))
    world.crash(removed)
    del world.members[removed.name]
    world.removed.add(removed.name)
    name = world.reserve.pop(0)
    world.members[name] = world.make_member(name)
    world.start(world.members[name])
    for _ in range(4):
        propose(world)
        world.run(CATCH_UP_MS / 4)


def cut_some(world: PowerWorld) -> None:
    """Cut as many members as may be lost off from the others."""
    cut = world.random.sample(list(world.members), world.size.losses)
    for one in cut:
        for other in world.members:
            world.blocked |= {(one, other), (other, one)}
    propose(world)
    world.run(world.random.choice((300, 3_500)))


def split(world: PowerWorld) -> None:
    """Split the members into two halves."""
    names = list(world.members)
    world.random.shuffle(names)
    half = len(names) // 2
    for one in names[:half]:
        for other in names[half:]:
            world.blocked |= {(one, other), (other, one)}
    propose(world)
    world.run(world.random.choice((300, 3_500)))


FAULTS = (
    (propose, 30),
    (stop_some, 8),
    (stop_all, 3),
    (lose_disk, 2),
    (lose_disks_and_catch_up, 3),
    (add_members, 2),
    (replace_member, 2),
    (cut_some, 5),
    (split, 3),
    (runs.pause, 4),
    (runs.resign_leader, 3),
    (runs.heal, 16),
    (runs.compact, 12),
    (runs.fill_disk, 2),
    (stall_disk, 5),
    (runs.free_disk, 6),
)


def durable_members(world: PowerWorld) -> list[SimulatedMember]:
    """Return the members that are known to hold the leader's last entry on disk."""
    leader = world.leader()
    if leader is None:
        return []
    node = leader.node
    names = [
        name
        for name, progress in node.progress.items()
        if progress.durable >= node.log.last_index and name in world.members
    ]
    if node.durable >= node.log.last_index:
        names.append(leader.name)
    return [world.members[name] for name in names]


def final_fault(world: PowerWorld) -> str:
    """Stop all members right after an acknowledgement; return what was done."""
    lost: list[SimulatedMember] = []
    world.propose()
    known = len(world.acknowledged)
    world.run_until(lambda: len(world.acknowledged) > known, 5_000)
    holders = durable_members(world)
    kind = world.random.choice(("disks", "disks", "disks", "power", "kill"))
    world.has_power = kind == "kill"
    world.restart_after_ms = world.random.choice((1, 1_000))
    if kind == "disks":
        pool = holders if len(holders) >= world.losses_left else world.members.values()
        lost = world.random.sample(list(pool), world.losses_left)
    for member in world.members.values():
        world.crash(member)
    for member in lost:
        world.wipe(member)
    return f"{kind} {' '.join(member.name for member in lost)}".strip()


def run_seed(
    seed: int, size: Size = NINE, defects: Defects | None = None
) -> FinalFaultReport:
    """
    Play faults, then the final one; look for all that was acknowledged.

    Raises
    ------
    AssertionError
        If something acknowledged is missing, or no leader is there in time.
    """
    with tempfile.TemporaryDirectory() as scratch:
        world = PowerWorld(seed, Path(scratch), size, defects)
        try:
            return play(world, seed)
        finally:
            world.close()


def play(world: PowerWorld, seed: int) -> FinalFaultReport:
    """Play one run."""
    schedule_policy(world)
    world.run(BEGIN_MS)
    actions = [action for action, _ in FAULTS]
    weights = [weight for _, weight in FAULTS]
    for _ in range(FAULT_COUNT):
        world.random.choices(actions, weights)[0](world)
        world.run(world.random.uniform(0, runs.MAX_FAULT_INTERVAL_MS))
    fault = final_fault(world)
    began_ms = world.time_ms
    runs.heal(world)
    for member in world.members.values():
        world.free_disk(member)
    world.loss = world.duplication = world.slow = 0.0
    world.slow_disk = world.crash_on_sync = 0.0
    came_back = world.run_until(lambda: bool(world.leading()), RECOVERY_MS)
    assert came_back, f"no leader within {RECOVERY_MS} ms after: {fault}"
    recovered_ms = world.time_ms - began_ms
    world.check()
    runs.calm(world)
    for member in world.members.values():
        missing = world.missing(member)
        assert not missing, f"{member.name} lacks {missing} after: {fault}"
    return FinalFaultReport(
        seed, fault, len(world.acknowledged), world.snapshots, recovered_ms
    )


def try_seed(
    seed: int, size: Size = NINE, defects: Defects | None = None
) -> FinalFaultReport | str:
    """Run once and return the report, or what was violated."""
    try:
        return run_seed(seed, size, defects)
    except AssertionError as error:
        return f"seed {seed}: {error}"
