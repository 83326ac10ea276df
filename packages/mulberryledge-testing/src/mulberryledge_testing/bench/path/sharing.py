"""
mulberryledge_testing.bench.path.sharing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ways of sharing a pool's slots over 8 entries under on-off demand, in virtual time.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_testing.virtual import HOP_S, VirtualFleet

__all__ = ["POLICIES", "Sharing", "share_slots"]

ENTRIES = 8
TARGETS = 8
SLOTS = 8
RUN_S = 0.1  # mean run time of a call
DEADLINE_S = 2.0
ON_S = 4.0
OFF_S = 4.0
CYCLES = 1
MEAN_LOAD = 0.3  # of the pool's capacity; five times as much while demand is on
ON_FACTOR = 5.0
OFF_FACTOR = 0.05
REFUSAL_WAIT_S = 0.02
DOCUMENT = """
[service]
name = "plans"
team = "a"
pool = "interior"
[calls]
deadline_ms = 2000
"""


@dataclass(slots=True)
class Sharing:
    """
    What a policy gave.

    Attributes
    ----------
    offered, answered : int
        Calls sent, and answered within the deadline.
    messages : int
        Dispatches, refusals by targets and forwards between entries.
    waits_s : list of float
        Time to each answer beyond its run, in seconds.
    log_bytes : int
        Size of the log entries that the policy wrote.
    seconds : float
        Length of the run.
    """

    offered: int = 0
    answered: int = 0
    messages: int = 0
    waits_s: list[float] = field(default_factory=list)
    log_bytes: int = 0
    seconds: float = CYCLES * (ON_S + OFF_S)


class Bench:
    """One run of a policy."""

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.found = Sharing()
        limits = {"a": TARGETS * SLOTS}
        self.fleet = VirtualFleet(ENTRIES, self.behave, limits, seed)
        self.clock = self.fleet.clock
        self.busy = Counter()
        self.queues: list[deque[Deferred]] = [deque() for _ in range(TARGETS)]

    def behave(self, request) -> tuple[float, RunOutcome]:
        """Return how long a call runs; all of them end well."""
        return self.random.expovariate(1 / RUN_S), RunOutcome.RAN

    def run(self, send: Callable) -> Sharing:
        """Run the demand through a policy."""
        for command in setup():
            self.fleet.spawn(self.fleet.log.propose(command))
        for entry in self.fleet.entries:
            self.fleet.spawn(entry.start())
        self.fleet.advance(1.0)
        before = self.fleet.log.bytes
        self.begin_s = self.clock.seconds()
        self.next_call(send)
        self.fleet.advance(self.found.seconds + DEADLINE_S)
        self.found.log_bytes = self.fleet.log.bytes - before
        return self.found

    def next_call(self, send: Callable) -> None:
        """Send a call and plan the next one."""
        at_s = self.clock.seconds() - self.begin_s
        if at_s >= self.found.seconds:
            return
        on = at_s % (ON_S + OFF_S) < ON_S
        mean = MEAN_LOAD * TARGETS * SLOTS / RUN_S
        rate = mean * (ON_FACTOR if on else OFF_FACTOR)
        wait_s = self.random.expovariate(rate)
        self.clock.callLater(wait_s, self.next_call, send)
        self.found.offered += 1
        self.fleet.spawn(self.count(send))

    async def count(self, send: Callable) -> None:
        """Send one call and count its answer."""
        began_s = self.clock.seconds()
        run_s = await send(self, self.random.randrange(ENTRIES))
        if run_s is not None:
            self.found.answered += 1
            self.found.waits_s.append(self.clock.seconds() - began_s - run_s)

    async def run_on(self, target: int) -> float:
        """Run a call on a target's slot, and free the slot."""
        run_s = self.random.expovariate(1 / RUN_S)
        await deferLater(self.clock, HOP_S + run_s)
        self.busy[target] -= 1
        if self.queues[target]:
            self.busy[target] += 1
            self.queues[target].popleft().callback(True)
        return run_s


async def lend(bench: Bench, entry: int) -> float | None:
    """Slots lent to entries by demand: the daemons' own tasks."""
    key = bench.fleet.log.state.keys["k"]
    began_s = bench.clock.seconds()
    number = bench.found.offered
    tries = bench.fleet.targets.tries
    outcome = await bench.fleet.call(
        bench.fleet.entries[entry], key, "plans", f"r{number}", False
    )
    bench.found.messages += bench.fleet.targets.tries > tries
    if not isinstance(outcome, Ok):
        return None
    return min(RUN_S, bench.clock.seconds() - began_s)


async def refuse(bench: Bench, entry: int) -> float | None:
    """Each entry on its own; a full target refuses, and the entry tries another."""
    deadline_s = bench.clock.seconds() + DEADLINE_S
    while bench.clock.seconds() < deadline_s:
        target = bench.random.randrange(TARGETS)
        bench.found.messages += 1
        await deferLater(bench.clock, HOP_S)
        if bench.busy[target] < SLOTS:
            bench.busy[target] += 1
            return await bench.run_on(target)
        bench.found.messages += 1
        await deferLater(bench.clock, HOP_S + REFUSAL_WAIT_S * bench.random.random())
    return None


async def home(bench: Bench, entry: int) -> float | None:
    """One home entry for each target, to which the others forward; it queues."""
    target = bench.random.randrange(TARGETS)
    bench.found.messages += 1 if target == entry else 3
    if target != entry:
        await deferLater(bench.clock, HOP_S)
    if bench.busy[target] < SLOTS:
        bench.busy[target] += 1
        return await bench.run_on(target)
    turn = Deferred()
    bench.queues[target].append(turn)
    timer = bench.clock.callLater(DEADLINE_S, give_up, bench.queues[target], turn)
    if not await turn:
        return None
    timer.cancel()
    return await bench.run_on(target)


def give_up(queue: deque, turn: Deferred) -> None:
    """Let a call go that has waited to its deadline."""
    queue.remove(turn)
    turn.callback(False)


POLICIES = {"lend": lend, "refuse": refuse, "home": home}


def setup():
    """Yield the commands that set the pool up."""
    yield CreatePool("interior")
    yield CreateTeam("a", upper_limit=TARGETS * SLOTS)
    yield GiveKey("k", "a", b"", b"")
    yield ApplyDocument(DOCUMENT, 1)
    for number in range(TARGETS):
        host = f"h{number}"
        yield AddHost(host, "interior", availability_zone=f"z{number % 4}")
        yield AnnounceTarget(
            f"t{number}", host, "plans", "127.0.0.1", 1, slots=SLOTS, key="k"
        )


def share_slots(policy: str, seed: int = 1) -> Sharing:
    """Run the on-off demand through a policy."""
    return Bench(seed).run(POLICIES[policy])
