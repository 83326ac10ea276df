"""
mulberryledge_testing.simulation.replacements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Seeded runs in which machines are lost for good one after the other, each followed by
a successor with a new name and an empty disk, among other faults.

By hand, for many seeds: ``python -m mulberryledge_testing.simulation.replacements
SIZE FIRST LAST``, with a size of :data:`SIZES`.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from mulberryledge_core.consensus.leases import is_leading
from mulberryledge_core.consensus.members import MAX_FORMER
from mulberryledge_core.consensus.membership_policy import (
    VOTER_TIMEOUT_MS,
    JoiningDaemon,
    next_change,
)
from mulberryledge_core.consensus.node import Node
from mulberryledge_testing.simulation import runs
from mulberryledge_testing.simulation.world import VOTERS, SimulatedMember, World

__all__ = [
    "SIZES",
    "ReplacementReport",
    "ReplacementSize",
    "play_leader_losses",
    "run_seed",
    "try_leader_losses",
    "try_seed",
]

BEGIN_MS = 8_000
CATCH_UP_MS = 4_000  # catch_up_s of the platform's pages
STEP_MS = 100
CHECK_INTERVAL_MS = 10
LEADERLESS_MS = 9_000
STANDBY_BOUND_MS = 1_500
PROGRESS_MS = 1_000
FAULT_COUNT = 60
MAX_PAUSE_MS = 2_500
MAX_EXTRA_MEMBERS = 8
MAX_LOSS = 0.02
MAX_SLOW_DISK = 0.05
COMPACTION_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class ReplacementSize:
    """
    Machines of a core, and how many of them may be away at once.

    Attributes
    ----------
    leaving_counts : bool
        Whether a machine that leaves as planned counts as away for the catch-up time.
    """

    count: int
    losses: int
    leaving_counts: bool = False


SIZES = {
    "5-1": ReplacementSize(5, 1),
    "5-2": ReplacementSize(5, 2, leaving_counts=True),
    "9-2": ReplacementSize(9, 2),
}


@dataclass(frozen=True, slots=True)
class ReplacementReport:
    """
    Counts of a run.

    Attributes
    ----------
    leaderless_ms : float
        Longest time without a leader.
    useful_ms : tuple of float
        By replacement: time from its start until it was a voter or a live standby.
    """

    seed: int
    losses: int
    most_members: int
    leaderless_ms: float
    useful_ms: tuple[float, ...]

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.losses} losses, at most {self.most_members}"
            f" members, {self.leaderless_ms:.0f} ms without a leader, successors of"
            f" use after {max(self.useful_ms, default=0):.0f} ms"
        )


@dataclass(slots=True)
class Place:
    """
    A machine that the core should have, and who is in its place.

    Attributes
    ----------
    lost_ms, back_ms : float
        When it was last lost, and when it was back or its successor started; infinite
        while it is away.
    """

    name: str
    lost_ms: float = -inf
    back_ms: float = -inf

    def catches_up_until_ms(self) -> float:
        """Return until when it counts as away."""
        return self.back_ms + CATCH_UP_MS


@dataclass(slots=True)
class Newcomer:
    """A successor or another disk that isn't known to be of use yet."""

    started_ms: float
    incarnation: int


@dataclass(slots=True)
class History:
    """What the checks know of the past."""

    leader: str = ""
    term: int = 0
    leader_changed_ms: float = 0.0
    led_ms: float = 0.0
    leaderless_ms: float = 0.0
    losses: int = 0
    most_members: int = 0
    useful_ms: list[float] = field(default_factory=list)
    newcomers: dict[str, Newcomer] = field(default_factory=dict)


class ReplacementWorld(World):
    """
    Members that come and go for good.

    Attributes
    ----------
    places : list of Place
        One for each machine of the core.
    history : History
        What the checks have seen.
    """

    def __init__(self, seed: int, size: ReplacementSize):
        self.size = size
        self.history = History()
        self.number = 0
        self.next_check_ms = 0.0
        names = tuple("abcdefghi"[: size.count])
        standby = tuple(name for name in names if name not in VOTERS)
        super().__init__(seed, None, standby, names)
        self.places = [Place(name) for name in names]
        self.loss = min(self.loss, MAX_LOSS)
        self.slow_disk = min(self.slow_disk, MAX_SLOW_DISK)
        self.crash_on_sync = 0.0

    def start(self, member: SimulatedMember) -> None:
        """Start a member, unless it was lost for good."""
        if self.members.get(member.name) is not member or member.node is not None:
            return
        super().start(member)
        for place in getattr(self, "places", ()):
            if place.name == member.name:
                place.back_ms = self.time_ms

    def check(self) -> None:
        """Check leaders and leases, in long runs not at each event."""
        if self.time_ms >= self.next_check_ms:
            self.next_check_ms = self.time_ms + CHECK_INTERVAL_MS
            super().check()

    def add(self) -> SimulatedMember:
        """Start a machine with a new name and an empty disk."""
        self.number += 1
        name = f"n{self.number}"
        rate = self.random.uniform(0.98, 1.02)
        member = SimulatedMember(
            name, self.make_disk(name, name), rate, self.random.uniform(0, 1e6)
        )
        self.members[name] = member
        self.start(member)
        self.expect(member)
        return member

    def expect(self, member: SimulatedMember) -> None:
        """Expect that a member with an empty disk is of use in time."""
        self.history.newcomers[member.name] = Newcomer(self.time_ms, member.incarnation)

    def away(self) -> list[Place]:
        """Return the places that count as away."""
        return [
            place for place in self.places if self.time_ms < place.catches_up_until_ms()
        ]

    def here(self) -> list[Place]:
        """Return the places that don't count as away."""
        return [
            place
            for place in self.places
            if self.time_ms >= place.catches_up_until_ms()
        ]

    def draw_place(self) -> Place | None:
        """Draw a place that may be lost now, of the leader in two cases of five."""
        if len(self.away()) >= self.size.losses:
            return None
        leader = self.leader()
        here = self.here()
        led = [place for place in here if leader and place.name == leader.name]
        if led and self.random.random() < 0.4:
            return led[0]
        return self.random.choice(here)

    def leave(self, place: Place) -> None:
        """Lose the machine of a place for good."""
        member = self.members[place.name]
        self.crash(member)
        del self.members[place.name]
        place.lost_ms, place.back_ms = self.time_ms, inf
        self.history.losses += 1

    def succeed(self, place: Place, delay_ms: float) -> None:
        """Start a successor later."""

        def start() -> None:
            if place.back_ms == inf and place.name not in self.members:
                place.name = self.add().name
                place.back_ms = self.time_ms

        self.after(delay_ms, start)

    def pass_time(self, duration_ms: float) -> None:
        """Let time pass and check the members."""
        end = self.time_ms + duration_ms
        while self.time_ms < end:
            self.run(min(STEP_MS, end - self.time_ms))
            self.check_members()

    def leading(self) -> Node | None:
        """Return the node that leads."""
        for member in self.members.values():
            running = member.node is not None and member.paused_until <= self.time_ms
            if running and is_leading(member.node, self.now(member)):
                return member.node
        return None

    def check_members(self) -> None:
        """Check what must hold of leader and members at any time."""
        node, history = self.leading(), self.history
        if node is None:
            missed_ms = self.time_ms - history.led_ms
            history.leaderless_ms = max(history.leaderless_ms, missed_ms)
            assert missed_ms <= LEADERLESS_MS, f"no leader: {self.describe()}"
            return
        history.led_ms = self.time_ms
        if (node.name, node.term) != (history.leader, history.term):
            history.leader, history.term = node.name, node.term
            history.leader_changed_ms = self.time_ms
        self.check_kept(node)
        self.check_count(node)
        self.check_newcomers(node)
        self.check_margin(node)

    def check_kept(self, node: Node) -> None:
        """Check that who leads holds each entry that was acknowledged."""
        last = max(self.invariants.committed, default=0)
        lost = f"{node.name} leads with {node.applied} of {last}"
        assert node.log.last_index >= last, lost
        if last > node.log.start_index:
            assert node.log.term_at(last) == self.invariants.committed[last].term, lost

    def check_count(self, node: Node) -> None:
        """Check that members and former names don't grow with the replacements."""
        members = node.log.members
        self.history.most_members = max(self.history.most_members, len(members.members))
        most = self.size.count + MAX_EXTRA_MEMBERS
        assert len(members.members) <= most, f"too many members: {self.describe()}"
        assert len(members.former) <= MAX_FORMER

    def check_newcomers(self, node: Node) -> None:
        """Check that each newcomer is of use in time."""
        newcomers = self.history.newcomers
        for name, newcomer in list(newcomers.items()):
            member = self.members.get(name)
            if member is None or member.incarnation != newcomer.incarnation:
                del newcomers[name]
                continue
            if not self.is_reachable(member):
                newcomer.started_ms = self.time_ms
                continue
            since_ms = self.time_ms - newcomer.started_ms
            if self.is_useful(node, member):
                self.history.useful_ms.append(since_ms)
                del newcomers[name]
                continue
            late = self.bound_ms(newcomer.started_ms) <= self.time_ms
            assert not late, f"{name} after {since_ms:.0f} ms: {self.describe()}"

    def bound_ms(self, since_ms: float) -> float:
        """Return when what began at a time must be done, whoever leads."""
        bound_ms = since_ms + CATCH_UP_MS
        changed_ms = self.history.leader_changed_ms
        if changed_ms > since_ms - CATCH_UP_MS:
            bound_ms = max(bound_ms, changed_ms) + VOTER_TIMEOUT_MS
        return bound_ms

    def is_reachable(self, member: SimulatedMember) -> bool:
        """Return whether a member runs and is not cut off."""
        cut = any(member.name in link for link in self.blocked)
        runs_now = member.node is not None and member.paused_until <= self.time_ms
        return runs_now and not cut

    def is_useful(self, node: Node, member: SimulatedMember) -> bool:
        """Return whether a member is a voter with its disk or a live standby."""
        if node.name == member.name:
            return node.is_voter()
        known = node.log.members.find(member.name)
        if known is None:
            return False
        if known.voter:
            return known.folder == member.disk.folder
        progress = node.progress[member.name]
        recent_ms = self.now(self.members[node.name]) - STANDBY_BOUND_MS
        return (
            progress.reported_ms is not None
            and progress.reported_ms >= recent_ms
            and progress.folder == member.disk.folder
            and progress.match + 64 >= node.commit
        )

    def check_margin(self, node: Node) -> None:
        """Check that the core bears the losses that it must, once all have come."""
        if not self.is_settled():
            return
        members = node.log.members
        live = [
            voter.name
            for voter in members.voters()
            if (member := self.members.get(voter.name)) is not None
            and self.is_reachable(member)
            and member.disk.folder == voter.folder
        ]
        margin = len(live) - members.majority()
        assert margin >= self.size.losses, f"bears {margin}: {self.describe()}"

    def is_settled(self) -> bool:
        """Return whether nobody counts as away, and the leader could see so."""
        if self.blocked or self.away():
            return False
        if any(not self.is_reachable(member) for member in self.members.values()):
            return False
        return all(
            self.bound_ms(max(place.back_ms, place.lost_ms)) <= self.time_ms
            for place in self.places
            if place.lost_ms > -inf
        )

    def describe(self) -> str:
        """Return the members as the highest leader, or anyone, knows them."""
        nodes = [one.node for one in self.members.values() if one.node is not None]
        node = max(nodes, key=lambda one: (one.term, one.log.last_index))
        voters = " ".join(
            voter.name if voter.name in self.members else f"({voter.name})"
            for voter in node.log.members.voters()
        )
        learners = [one.name for one in node.log.members.members if not one.voter]
        away = [place.name for place in self.away()]
        return (
            f"at {self.time_ms:.0f} ms {node.name} knows voters {voters}, learners"
            f" {learners}; up {sorted(self.members)}; away {away}"
        )


def schedule_policy(world: ReplacementWorld) -> None:
    """Apply the leader's membership policy periodically."""
    min_voters = 2 * world.size.losses + 1

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
        change = next_change(leader.node, applicants, min_voters, world.now(leader))
        if change is not None:
            world.change(change)

    world.after(runs.MEMBERSHIP_INTERVAL_MS, act)


def lose(world: ReplacementWorld) -> None:
    """Lose a machine for good; its successor comes soon, or seldom much later."""
    place = world.draw_place()
    if place is None:
        return
    world.leave(place)
    delays_ms = (300, 1_000, 1_000, 3_000, 3_000, 12_000, 33_000)
    world.succeed(place, world.random.choice(delays_ms))


def lose_most(world: ReplacementWorld) -> None:
    """Lose as many machines for good as may be, within a moment."""
    while (place := world.draw_place()) is not None:
        world.leave(place)
        world.succeed(place, world.random.choice((300, 1_000, 3_000)))
        world.pass_time(world.random.choice((0, 20, 1_000)))


def lose_newcomer(world: ReplacementWorld) -> None:
    """Lose a successor that still catches up."""
    if len(world.away()) > world.size.losses:
        return
    for place in world.away():
        if place.back_ms < world.time_ms and place.name in world.members:
            world.leave(place)
            world.succeed(place, world.random.choice((300, 1_000, 3_000)))
            return


def lose_disk(world: ReplacementWorld) -> None:
    """Lose a disk; the machine is back under its name soon, or seldom much later."""
    place = world.draw_place()
    if place is None:
        return
    member = world.members[place.name]
    world.restart_after_ms = world.random.choice((500, 2_000, 40_000))
    place.lost_ms, place.back_ms = world.time_ms, inf
    world.wipe(member)
    world.history.losses += 1


def stop(world: ReplacementWorld) -> None:
    """Stop a machine, which is back with its disk."""
    place = world.draw_place()
    if place is None:
        return
    world.restart_after_ms = world.random.choice((50, 2_000, 5_000, 15_000))
    place.lost_ms, place.back_ms = world.time_ms, inf
    world.crash(world.members[place.name])


def freeze(world: ReplacementWorld) -> None:
    """Freeze a machine for a while."""
    place = world.draw_place()
    if place is None:
        return
    duration_ms = world.random.choice((500, 2_600, 5_000))
    world.pause(world.members[place.name], duration_ms)
    place.lost_ms, place.back_ms = world.time_ms, world.time_ms + duration_ms


def cut(world: ReplacementWorld) -> None:
    """Cut as many machines as may be away off from the others for a while."""
    if world.blocked:
        return
    cut_off = []
    while (place := world.draw_place()) is not None:
        place.lost_ms, place.back_ms = world.time_ms, inf
        cut_off.append(place)
    names = {place.name for place in cut_off}
    for one in names:
        for other in set(world.members) - names:
            world.blocked |= {(one, other), (other, one)}
    world.pass_time(world.random.choice((500, 2_600, 5_000)))
    runs.heal(world)
    for place in cut_off:
        place.back_ms = world.time_ms


def lose_power(world: ReplacementWorld) -> None:
    """Stop all machines at once; each is back with its disk within a second."""
    if world.blocked or world.away():
        return
    runs.propose(world)
    world.run(world.random.choice((1, 5, 40)))
    world.restart_after_ms = world.random.choice((1, 1_000))
    for place in world.places:
        if place.name in world.members:
            place.lost_ms, place.back_ms = world.time_ms, inf
            world.crash(world.members[place.name])
    world.pass_time(2_000)


def replace_planned(world: ReplacementWorld) -> None:
    """Start a new machine first; the old one leaves once that has caught up."""
    if world.away():
        return
    successor = world.add()
    world.pass_time(CATCH_UP_MS)
    place = world.random.choice(world.places)
    if world.random.random() < 0.4:
        place = next((p for p in world.places if p.name == world.history.leader), place)
    world.leave(place)
    place.name = successor.name
    place.back_ms = world.time_ms if world.size.leaving_counts else -inf


def resign_leader(world: ReplacementWorld) -> None:
    """Make the leader resign, unless as many machines are away as may be."""
    if len(world.away()) < world.size.losses:
        runs.resign_leader(world)


def wait(world: ReplacementWorld) -> None:
    """Wait until nobody counts as away."""
    while world.away():
        world.pass_time(STEP_MS)


FAULTS = (
    (lose, 12),
    (lose_most, 6),
    (lose_newcomer, 4),
    (lose_disk, 4),
    (stop, 2),
    (freeze, 2),
    (cut, 3),
    (lose_power, 1),
    (replace_planned, 4),
    (resign_leader, 3),
    (wait, 12),
)


def compact_some(world: ReplacementWorld) -> None:
    """Compact the logs of some members."""
    for member in list(world.members.values()):
        if world.random.random() < COMPACTION_SHARE:
            world.compact(member, keep=world.random.choice((0, 3, 100)))


def finish(world: ReplacementWorld, seed: int) -> ReplacementReport:
    """End the faults, and check members and log once more."""
    wait(world)
    world.pass_time(CATCH_UP_MS + VOTER_TIMEOUT_MS)
    world.loss = world.duplication = world.slow = world.slow_disk = 0.0
    world.pass_time(CATCH_UP_MS)
    last = max(world.invariants.committed)
    assert world.propose(), f"no leader at the end: {world.describe()}"
    world.pass_time(PROGRESS_MS)
    behind = [one.name for one in world.members.values() if one.node.applied <= last]
    assert not behind, f"{behind} behind {last} at the end: {world.describe()}"
    history = world.history
    return ReplacementReport(
        seed,
        history.losses,
        history.most_members,
        history.leaderless_ms,
        tuple(history.useful_ms),
    )


def begin(seed: int, size: ReplacementSize) -> ReplacementWorld:
    """Return a core in which all machines vote."""
    world = ReplacementWorld(seed, size)
    schedule_policy(world)
    world.run(BEGIN_MS)
    world.history.led_ms = world.time_ms
    return world


def run_seed(
    seed: int, size: ReplacementSize, fault_count: int = FAULT_COUNT
) -> ReplacementReport:
    """
    Play a random history of losses and other faults.

    Raises
    ------
    AssertionError
        If an invariant of log or membership is violated.
    """
    world = begin(seed, size)
    actions = [action for action, _ in FAULTS]
    weights = [weight for _, weight in FAULTS]
    for _ in range(fault_count):
        world.random.choices(actions, weights)[0](world)
        runs.propose(world)
        world.pass_time(world.random.uniform(0, MAX_PAUSE_MS))
        compact_some(world)
    return finish(world, seed)


def play_leader_losses(
    seed: int, size: ReplacementSize, losses: int
) -> ReplacementReport:
    """
    Lose the leader, and a random machine in its place where nobody leads, each time.

    Raises
    ------
    AssertionError
        If an invariant of log or membership is violated.
    """
    world = begin(seed, size)
    while world.history.losses < losses:
        leader = world.history.leader
        place = next((one for one in world.places if one.name == leader), None)
        place = place or world.random.choice(world.places)
        world.leave(place)
        world.succeed(place, 1_000)
        runs.propose(world)
        world.pass_time(1_000 + CATCH_UP_MS)
        compact_some(world)
    return finish(world, seed)


def try_seed(
    seed: int, size: ReplacementSize, fault_count: int = FAULT_COUNT
) -> ReplacementReport | str:
    """Run once and return the report, or what was violated."""
    return attempt(run_seed, seed, size, fault_count)


def try_leader_losses(
    seed: int, size: ReplacementSize, losses: int
) -> ReplacementReport | str:
    """Lose leader after leader; return the report, or what was violated."""
    return attempt(play_leader_losses, seed, size, losses)


def attempt(play: Callable, seed: int, *args: object) -> ReplacementReport | str:
    """Play one run and return its report, or what was violated."""
    try:
        return play(seed, *args)
    except AssertionError as error:
        return f"seed {seed}: {error}"


def main(size_name: str, first: str, last: str) -> int:
    """Play seeds of one size; return how many violated an invariant."""
    broken = 0
    for seed in range(int(first), int(last) + 1):
        outcome = try_seed(seed, SIZES[size_name])
        broken += isinstance(outcome, str)
        print(outcome, flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(min(1, main(*sys.argv[1:])))
