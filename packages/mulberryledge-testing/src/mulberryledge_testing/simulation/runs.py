"""
mulberryledge_testing.simulation.runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Seeded runs: random faults, then a fault-free period in which the log must progress.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import combinations

from mulberryledge_core.commands.members import (
    AddMember,
    DemoteMember,
    PromoteMember,
    RemoveMember,
)
from mulberryledge_core.consensus.membership_policy import JoiningDaemon, next_change
from mulberryledge_core.consensus.steps import resign
from mulberryledge_testing.simulation.world import (
    VOTERS,
    Defects,
    SimulatedMember,
    World,
)

__all__ = [
    "FAULTS",
    "Focus",
    "RunReport",
    "calm",
    "run_automatic_membership_seed",
    "run_seed",
    "try_automatic_membership_seed",
    "try_seed",
]

FAULT_COUNT = 60
MAX_FAULT_INTERVAL_MS = 250
RECOVERY_MS = 9_000
MEMBERSHIP_INTERVAL_MS = 200
STANDBY = ("d",)


@dataclass(frozen=True, slots=True)
class Focus:
    """
    A kind of fault that dominates a run.

    Attributes
    ----------
    slow_disk, slow : float
        Shares of the syncs and of the messages that are slow, from 0 to 1.
    """

    fault: Callable[[World], None]
    slow_disk: float = 0.0
    slow: float = 0.0


@dataclass(frozen=True, slots=True)
class RunReport:
    """Counts of a run; ``in_force`` is the highest index in force on all daemons."""

    seed: int
    terms: int
    committed: int
    executed: int
    in_force: int

    def __str__(self) -> str:
        return (
            f"{self.terms} terms, {self.committed} entries committed,"
            f" {self.executed} proposals applied, {self.in_force} in force"
        )


def random_member(world: World) -> SimulatedMember:
    """Draw a member, running or not."""
    return world.random.choice(list(world.members.values()))


def crash(world: World) -> None:
    """Crash a member and draw the limit of its downtime."""
    world.restart_after_ms = world.random.choice((50, 500, 3_000))
    world.crash(random_member(world))


def crash_all_members(world: World) -> None:
    """Crash all members at once, usually during their writes."""
    propose(world)
    world.run(world.random.choice((1, 2, 5, 40)))
    world.restart_after_ms = world.random.choice((1, 500))
    for member in world.members.values():
        world.crash(member)


def resign_leader(world: World) -> None:
    """Make the leader resign, as in a planned stop."""
    leader = world.leader()
    if leader is not None:
        resign(leader.node, world.now(leader))
        world.execute_effects(leader)


def cut_pair(world: World) -> None:
    """Cut the connection between two members."""
    one, other = world.random.sample(list(world.members), 2)
    world.blocked |= {(one, other), (other, one)}


def cut_from_leader(world: World) -> None:
    """Cut one voter off from the leader alone for 2 s without proposals."""
    leader = world.leader()
    if leader is not None:
        heal(world)
        world.run(300)
        other = world.random.choice([name for name in VOTERS if name != leader.name])
        world.blocked |= {(leader.name, other), (other, leader.name)}
        world.run(2_000)


def isolate_leader(world: World) -> None:
    """Cut the leader off from all others until they have elected another one."""
    leader = world.leader()
    if leader is None:
        return
    heal(world)
    propose(world)
    world.run(world.random.choice((2, 100)))
    for other in world.members:
        world.blocked |= {(leader.name, other), (other, leader.name)}
    for _ in range(8):
        world.run(250)
        propose(world)


def wipe_disk(world: World) -> None:
    """Wipe a disk if every configuration in use keeps a majority without it."""
    member = random_member(world)
    if member.disk is not None and can_lose_disk(world, member):
        world.wipe(member)


def voters_without_disk(world: World) -> list[str]:
    """Return the names of voters whose disk is no longer the one they joined with."""
    return [
        voter.name
        for voter in world.leader().node.log.members.voters()
        if world.members[voter.name].disk.folder != voter.folder
    ]


def can_lose_disk(world: World, member: SimulatedMember) -> bool:
    """Return whether every configuration keeps a majority without this disk."""
    folders = {
        one.name: one.disk.folder
        for one in world.members.values()
        if one.disk is not None and one is not member
    }
    configurations = [world.genesis]
    for one in world.members.values():
        if one.node is not None:
            configurations.append(one.node.log.members)
        if one.disk is not None:
            configurations.append(one.disk.log().members)
    return all(
        sum(folders.get(voter.name) == voter.folder for voter in each.voters())
        >= each.majority()
        for each in configurations
    )


def pause(world: World) -> None:
    """Suspend a member for up to 5 s."""
    world.pause(random_member(world), world.random.choice((100, 1_000, 5_000)))


def partition_network(world: World) -> None:
    """Partition the network in two."""
    names = list(world.members)
    side = set(world.random.sample(names, world.random.randint(1, 2)))
    for one, other in combinations(names, 2):
        if (one in side) != (other in side):
            world.blocked |= {(one, other), (other, one)}


def cut_one_way(world: World) -> None:
    """Block one to four links in one direction each."""
    for _ in range(world.random.randint(1, 4)):
        one, other = world.random.sample(list(world.members), 2)
        world.blocked.add((one, other))


def heal(world: World) -> None:
    """Unblock all links."""
    world.blocked.clear()


def propose(world: World) -> None:
    """Propose a few new commands."""
    for _ in range(world.random.randint(1, 4)):
        world.propose()


def resend(world: World) -> None:
    """Propose one of the last 100 commands again."""
    if world.sequence:
        oldest = max(1, world.sequence - 99)
        world.propose(world.random.randint(oldest, world.sequence))


def change_members(world: World) -> None:
    """Add, remove, promote or demote a member."""
    leader = world.leader()
    if leader is None:
        return
    lost = voters_without_disk(world)
    if lost:
        world.change(DemoteMember(lost[0]))
        return
    member = random_member(world)
    known = leader.node.log.members.find(member.name)
    if known is None:
        world.change(AddMember(member.name, "", 0))
    elif known.voter and world.random.random() < 0.5:
        world.change(DemoteMember(member.name))
    elif member.disk is not None and not known.voter:
        progress = leader.node.progress.get(member.name)
        if progress is not None and progress.folder == member.disk.folder:
            world.change(PromoteMember(member.name, progress.folder))
    elif world.random.random() < 0.3:
        world.change(RemoveMember(member.name))


def compact(world: World) -> None:
    """Compact a member's log into a snapshot."""
    world.compact(random_member(world), keep=world.random.choice((0, 3)))


def fill_disk(world: World) -> None:
    """Make the disk of a member refuse writes."""
    world.fill_disk(random_member(world))


def free_disk(world: World) -> None:
    """Make the disk of a member accept writes again."""
    world.free_disk(random_member(world))


def apply_membership_policy(world: World) -> None:
    """Propose the change that the leader's membership policy asks for, if any."""
    leader = world.leader()
    if leader is None:
        return
    applicants = [
        JoiningDaemon(one.name, "", 0, "", one.disk.folder)
        for one in world.members.values()
        if one.node is not None and one.disk is not None
        if (leader.name, one.name) not in world.blocked
    ]
    now = world.now(leader)
    change = next_change(leader.node, applicants, len(VOTERS), now)
    if change is not None:
        world.change(change)


def schedule_membership_policy(world: World) -> None:
    """Apply the membership policy periodically."""

    def act() -> None:
        apply_membership_policy(world)
        world.after(MEMBERSHIP_INTERVAL_MS, act)

    world.after(MEMBERSHIP_INTERVAL_MS, act)


FAULTS = (
    (propose, 30),
    (resend, 10),
    (crash, 6),
    (crash_all_members, 3),
    (cut_pair, 4),
    (resign_leader, 3),
    (cut_from_leader, 1),
    (isolate_leader, 1),
    (pause, 4),
    (partition_network, 5),
    (cut_one_way, 4),
    (heal, 8),
    (change_members, 8),
    (compact, 6),
    (wipe_disk, 2),
    (fill_disk, 2),
    (free_disk, 4),
)


AUTOMATIC_MEMBERSHIP_FAULTS = tuple(
    one for one in FAULTS if one[0] is not change_members
)


def calm(world: World) -> None:
    """End every fault; check that the log progresses and all members catch up."""
    heal(world)
    world.loss = world.duplication = world.slow = 0.0
    world.slow_disk = world.crash_on_sync = 0.0
    for member in world.members.values():
        world.free_disk(member)
    world.run(RECOVERY_MS)
    before = len(world.invariants.committed)
    assert world.propose(), "no leader after the faults ended"
    world.run(500)
    assert len(world.invariants.committed) > before, (
        "no progress after the faults ended"
    )
    voters = world.leader().node.log.members
    for member in world.members.values():
        if voters.find(member.name) is not None:
            applied = member.node.applied
            assert applied == world.leader().node.applied, f"{member.name} is behind"


def try_seed(
    seed: int, defects: Defects | None = None, focus: Focus | None = None
) -> RunReport | str:
    """Run once and return the report, or the invariant that was violated."""
    try:
        return run_seed(seed, defects, focus)
    except AssertionError as error:
        return f"seed {seed}: {error}"


def run_seed(
    seed: int, defects: Defects | None = None, focus: Focus | None = None
) -> RunReport:
    """
    Run once, with faults of all kinds or, with a focus, mostly of one.

    Raises
    ------
    AssertionError
        If an invariant of the log is violated.
    """
    world = World(seed, defects)
    faults = FAULTS
    if focus is not None:
        faults = ((propose, 2), (heal, 1), (focus.fault, 3))
        world.slow_disk, world.slow, world.max_delay_ms = (
            focus.slow_disk,
            focus.slow,
            600,
        )
    return run_faults(world, faults, seed)


def run_faults(
    world: World, faults: Sequence[tuple[Callable, int]], seed: int
) -> RunReport:
    """Inject faults drawn by weight, then end them, and report."""
    world.run(world.random.choice((0, 1_600)))
    actions = [action for action, _ in faults]
    weights = [weight for _, weight in faults]
    for _ in range(FAULT_COUNT):
        action = world.random.choices(actions, weights)[0]
        action(world)
        world.run(world.random.uniform(0, MAX_FAULT_INTERVAL_MS))
    calm(world)
    invariants = world.invariants
    return RunReport(
        seed,
        len(invariants.leaders),
        len(invariants.committed),
        len(invariants.executed),
        invariants.in_force,
    )


def try_automatic_membership_seed(seed: int) -> RunReport | str:
    """Like :func:`try_seed`, with members changed by the leader's own policy."""
    try:
        return run_automatic_membership_seed(seed)
    except AssertionError as error:
        return f"seed {seed}: {error}"


def run_automatic_membership_seed(seed: int) -> RunReport:
    """
    Run once with automatic membership, a standby member and more wiped disks.

    Raises
    ------
    AssertionError
        If an invariant of the log is violated, or voters are missing at the end.
    """
    world = World(seed, standby=STANDBY)
    schedule_membership_policy(world)
    report = run_faults(world, (*AUTOMATIC_MEMBERSHIP_FAULTS, (wipe_disk, 4)), seed)
    members = world.leader().node.log.members
    assert len(members.voters()) == len(VOTERS), f"{len(members.voters())} voters"
    assert not voters_without_disk(world), (
        f"voters without their disk: {voters_without_disk(world)}"
    )
    return report
