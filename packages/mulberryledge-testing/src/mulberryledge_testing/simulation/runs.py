"""
mulberryledge_testing.simulation.runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Seeded runs: faults at random moments, then calm, in which the cluster must work.
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
    "run_kept_seed",
    "run_seed",
    "try_kept_seed",
    "try_seed",
]

STEPS = 60
STEP_MAX_MS = 250
CALM_MS = 9_000
KEEP_MS = 200
STANDBY = ("d",)


@dataclass(frozen=True, slots=True)
class Focus:
    """
    One kind of fault to try mostly.

    Attributes
    ----------
    slow_disk, slow : float
        Part of the syncs, and of the messages, that take long.
    """

    fault: Callable[[World], None]
    slow_disk: float = 0.0
    slow: float = 0.0


@dataclass(frozen=True, slots=True)
class RunReport:
    """What a run came to: terms, committed entries, executed proposals."""

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


def pick(world: World) -> SimulatedMember:
    """Return any member."""
    return world.random.choice(list(world.members.values()))


def crash(world: World) -> None:
    """Crash a member."""
    world.restart_after_ms = world.random.choice((50, 500, 3_000))
    world.crash(pick(world))


def lose_power(world: World) -> None:
    """Crash all members at once, most often while they write."""
    propose(world)
    world.run(world.random.choice((1, 2, 5, 40)))
    world.restart_after_ms = world.random.choice((1, 500))
    for member in world.members.values():
        world.crash(member)


def hand_over(world: World) -> None:
    """Have the leader resign, as in a planned stop."""
    leader = world.leader()
    if leader is not None:
        resign(leader.node, world.now(leader))
        world.carry_out(leader)


def cut_pair(world: World) -> None:
    """Cut the connection between two members."""
    one, other = world.random.sample(list(world.members), 2)
    world.blocked |= {(one, other), (other, one)}


def cut_from_leader(world: World) -> None:
    """Cut one voter from the leader only, for long and while nothing is proposed."""
    leader = world.leader()
    if leader is not None:
        heal(world)
        world.run(300)
        other = world.random.choice([name for name in VOTERS if name != leader.name])
        world.blocked |= {(leader.name, other), (other, leader.name)}
        world.run(2_000)


def isolate_leader(world: World) -> None:
    """Cut the leader from all others until they have elected another one."""
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


def wipe(world: World) -> None:
    """Lose a disk, if a majority of every quorum in use keeps its own."""
    member = pick(world)
    if member.disk is not None and may_lose(world, member):
        world.wipe(member)


def lost_voters(world: World) -> list[str]:
    """Return the leader's voters that have lost their disk."""
    return [
        voter.name
        for voter in world.leader().node.log.members.voters()
        if world.members[voter.name].disk.folder != voter.folder
    ]


def may_lose(world: World, member: SimulatedMember) -> bool:
    """Return whether the voters without this member's disk still are a majority."""
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
    """Give a member no processor time for up to five seconds."""
    world.pause(pick(world), world.random.choice((100, 1_000, 5_000)))


def split(world: World) -> None:
    """Cut the network in two."""
    names = list(world.members)
    side = set(world.random.sample(names, world.random.randint(1, 2)))
    for one, other in combinations(names, 2):
        if (one in side) != (other in side):
            world.blocked |= {(one, other), (other, one)}


def cut_one_way(world: World) -> None:
    """Cut one or more directions between two members."""
    for _ in range(world.random.randint(1, 4)):
        one, other = world.random.sample(list(world.members), 2)
        world.blocked.add((one, other))


def heal(world: World) -> None:
    """Join the network again."""
    world.blocked.clear()


def propose(world: World) -> None:
    """Propose a few new commands."""
    for _ in range(world.random.randint(1, 4)):
        world.propose()


def resend(world: World) -> None:
    """Propose a command again."""
    if world.sequence:
        oldest = max(1, world.sequence - 99)
        world.propose(world.random.randint(oldest, world.sequence))


def change_members(world: World) -> None:
    """Add, remove, promote or demote a member."""
    leader = world.leader()
    if leader is None:
        return
    lost = lost_voters(world)
    if lost:
        world.change(DemoteMember(lost[0]))
        return
    member = pick(world)
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
    """Take a snapshot on a member."""
    world.compact(pick(world), keep=world.random.choice((0, 3)))


def fill(world: World) -> None:
    """Fill a disk."""
    world.fill_disk(pick(world))


def free(world: World) -> None:
    """Make room on a disk."""
    world.free_disk(pick(world))


def keep_members(world: World) -> None:
    """Let the leader make the change of members that it would make by itself."""
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


def keep_on(world: World) -> None:
    """Keep the members, again and again."""

    def act() -> None:
        keep_members(world)
        world.after(KEEP_MS, act)

    world.after(KEEP_MS, act)


FAULTS = (
    (propose, 30),
    (resend, 10),
    (crash, 6),
    (lose_power, 3),
    (cut_pair, 4),
    (hand_over, 3),
    (cut_from_leader, 1),
    (isolate_leader, 1),
    (pause, 4),
    (split, 5),
    (cut_one_way, 4),
    (heal, 8),
    (change_members, 8),
    (compact, 6),
    (wipe, 2),
    (fill, 2),
    (free, 4),
)


KEPT_FAULTS = tuple(one for one in FAULTS if one[0] is not change_members)


def calm(world: World) -> None:
    """End every fault and check that the cluster works."""
    heal(world)
    world.loss = world.doubling = world.slow = 0.0
    world.slow_disk = world.crash_on_write = 0.0
    for member in world.members.values():
        world.free_disk(member)
    world.run(CALM_MS)
    before = len(world.witness.committed)
    assert world.propose(), "no leader after the faults ended"
    world.run(500)
    assert len(world.witness.committed) > before, "no progress after the faults ended"
    voters = world.leader().node.log.members
    for member in world.members.values():
        if voters.find(member.name) is not None:
            applied = member.node.applied
            assert applied == world.leader().node.applied, f"{member.name} is behind"


def try_seed(
    seed: int, defects: Defects | None = None, focus: Focus | None = None
) -> RunReport | str:
    """Run once and return the report, or which promise was broken."""
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
        If a promise of the log is broken.
    """
    world = World(seed, defects)
    faults = FAULTS
    if focus is not None:
        faults = ((propose, 2), (heal, 1), (focus.fault, 3))
        world.slow_disk, world.slow, world.slowest_ms = focus.slow_disk, focus.slow, 600
    return play_out(world, faults, seed)


def play_out(
    world: World, faults: Sequence[tuple[Callable, int]], seed: int
) -> RunReport:
    """Let faults of these kinds and weights come, then end them, and report."""
    world.run(world.random.choice((0, 1_600)))
    actions = [action for action, _ in faults]
    weights = [weight for _, weight in faults]
    for _ in range(STEPS):
        action = world.random.choices(actions, weights)[0]
        action(world)
        world.run(world.random.uniform(0, STEP_MAX_MS))
    calm(world)
    witness = world.witness
    return RunReport(
        seed,
        len(witness.leaders),
        len(witness.committed),
        len(witness.copies),
        witness.in_force,
    )


def try_kept_seed(seed: int) -> RunReport | str:
    """Run once with a leader that keeps the members by itself."""
    try:
        return run_kept_seed(seed)
    except AssertionError as error:
        return f"seed {seed}: {error}"


def run_kept_seed(seed: int) -> RunReport:
    """
    Run once with a standby beside the voters, and wiped disks more often.

    Raises
    ------
    AssertionError
        If a promise of the log is broken, or voters are missing in the end.
    """
    world = World(seed, standby=STANDBY)
    keep_on(world)
    report = play_out(world, (*KEPT_FAULTS, (wipe, 4)), seed)
    members = world.leader().node.log.members
    assert len(members.voters()) == len(VOTERS), f"{len(members.voters())} voters"
    assert not lost_voters(world), f"voters without their disk: {lost_voters(world)}"
    return report
