"""
mulberryledge_testing.soak.groups.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls over several entries that are cut off, lose proposals and lose targets.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

from result import Err, Ok

from mulberryledge_core.commands.fleet import (
    AddHost,
    AnnounceTarget,
    CreatePool,
    LeaveTarget,
)
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.commands.work import (
    Reserve,
    ReturnLoan,
    SettleReservation,
)
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_testing.views import APPLIED, NOT_APPLIED
from mulberryledge_testing.virtual import VirtualEntry, VirtualFleet

__all__ = ["Storm", "run"]

ENTRIES = 5
TARGETS = 4
SLOTS = 4
LIMITS = {"a": 10, "b": 6, "c": 3}
SERVICES = {"orders": True, "payouts": False}
DEADLINE_S = 2.0
RUN_S = 30.0
SETTLE_S = 20.0
RATE = 60.0  # calls a second, on average
FRESHNESS_S = 0.5
LOSSES = (Reserve, ReturnLoan, SettleReservation)
DOCUMENT = """
[service]
name = "{name}"
team = "a"
pool = "interior"
[calls]
repeatable = {repeatable}
deadline_ms = 2000
"""


class Storm:
    """
    One randomised run.

    Attributes
    ----------
    told : Counter of str
        What callers were told.
    """

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.fleet = VirtualFleet(ENTRIES, self.behave, LIMITS, seed)
        self.clock = self.fleet.clock
        self.told: Counter[str] = Counter()
        self.open_calls = 0
        self.numbers = 0
        self.keys = {team: TeamKey(f"k-{team}", team, b"", b"") for team in LIMITS}

    def behave(self, request) -> tuple[float, RunOutcome]:
        """Return how a target runs a call."""
        run_s = self.random.expovariate(1 / 0.03)
        if self.random.random() < 0.01:
            run_s = 10.0
        kind = self.random.random()
        if kind < 0.03:
            return run_s, RunOutcome.UNKNOWN
        if kind < 0.05:
            return run_s, RunOutcome.NOT_RUN
        return run_s, RunOutcome.RAN

    def setup(self) -> Iterator[object]:
        """Yield the commands that set the fleet up."""
        yield CreatePool("interior")
        for team, limit in LIMITS.items():
            yield CreateTeam(team, upper_limit=limit)
            yield GiveKey(f"k-{team}", team, b"", b"")
        for name, repeatable in SERVICES.items():
            text = DOCUMENT.format(name=name, repeatable=str(repeatable).lower())
            yield ApplyDocument(text, 1)
            for number in range(TARGETS):
                host = f"{name}-h{number}"
                yield AddHost(host, "interior", availability_zone=f"z{number}")
                yield self.announcement(name, number, "first")

    def announcement(self, service: str, number: int, instance: str) -> AnnounceTarget:
        """Return the announcement of a target."""
        return AnnounceTarget(
            f"{service}-t{number}",
            f"{service}-h{number}",
            service,
            "127.0.0.1",
            1,
            slots=SLOTS,
            key="k-a",
            instance=instance,
        )

    def run(self) -> None:
        """Run calls and faults, then check that everything has settled."""
        for command in self.setup():
            self.fleet.spawn(self.propose(command))
        for entry in self.fleet.entries:
            self.fleet.spawn(entry.start())
        self.clock.callLater(0.5, self.next_call)
        self.clock.callLater(1.0, self.next_fault)
        self.end_s = self.clock.seconds() + RUN_S
        self.fleet.advance(RUN_S + SETTLE_S)
        assert self.open_calls == 0, f"{self.open_calls} calls have no outcome"
        for entry in self.fleet.entries:
            assert entry.loans.count_in_use() == 0, f"{entry.name} holds claims"
            assert entry.reservations.unsettled_count == 0, (
                f"{entry.name} has not settled"
            )

    async def propose(self, command) -> None:
        """Propose a command that must be applied."""
        outcome = await self.fleet.log.propose(command)
        assert isinstance(outcome, Ok), outcome

    def over(self) -> bool:
        """Return whether calls and faults have ended."""
        return self.clock.seconds() > self.end_s

    def next_call(self) -> None:
        """Send a call and plan the next one; demand is on for 3 s of each 6 s."""
        if self.over():
            return
        on = self.clock.seconds() % 6 < 3
        rate = RATE * (1.9 if on else 0.1)
        self.clock.callLater(self.random.expovariate(rate), self.next_call)
        self.numbers += 1
        service = self.random.choice(list(SERVICES))
        team = self.random.choice(list(LIMITS))
        request_id = f"{service}-{self.numbers}"
        self.fleet.spawn(self.call(service, self.keys[team], request_id))

    async def call(self, service: str, key: TeamKey, request_id: str) -> None:
        """Send a call; send one that must not repeat again until its fate is told."""
        key = self.fleet.log.state.keys[key.key_id]
        once = not SERVICES[service]
        self.open_calls += 1
        sends = 3 if once else 1
        for number in range(sends):
            entry = self.random.choice(self.fleet.entries)
            name = request_id if once else f"{request_id}-{number}"
            outcome = await self.send(entry, key, service, name, once)
            if isinstance(outcome, Ok) and self.random.random() < 0.9:
                break
        self.open_calls -= 1

    async def send(
        self, entry: VirtualEntry, key: TeamKey, service: str, name: str, once: bool
    ):
        """Send a call once and check what its caller is told."""
        began_s = self.clock.seconds()
        outcome = await self.fleet.call(entry, key, service, name, once)
        took_s = self.clock.seconds() - began_s
        runs = self.fleet.targets.runs[name]
        assert took_s < DEADLINE_S + 0.1, f"{name} took {took_s} s"
        assert not (once and runs > 1), f"{name} ran {runs} times"
        if isinstance(outcome, Err):
            failure = outcome.err_value
            self.told[failure.run] += 1
            told_not_run = failure.run == RunOutcome.NOT_RUN
            assert not (told_not_run and runs), f"{name} ran: {failure}"
        else:
            self.told["answered"] += 1
            assert outcome.ok_value.answer.body == name.encode(), name
        return outcome

    def next_fault(self) -> None:
        """Bring about a fault and plan the next one."""
        if self.over():
            self.heal()
            return
        self.clock.callLater(self.random.uniform(0.2, 2.0), self.next_fault)
        self.random.choice(
            (self.cut_off, self.lose_proposals, self.restart_target, self.leave_target)
        )()

    def heal(self) -> None:
        """End all faults."""
        for entry in self.fleet.entries:
            entry.view.lose.clear()
            self.reconnect(entry)

    def cut_off(self) -> None:
        """Cut an entry other than the leader off for a while."""
        entry = self.random.choice(self.fleet.entries[1:])
        entry.view.reachable = False
        self.clock.callLater(FRESHNESS_S, self.lose_freshness, entry)
        lengths_s = (0.3, 3.0, 12.0, 20.0)
        self.clock.callLater(self.random.choice(lengths_s), self.reconnect, entry)

    def lose_freshness(self, entry: VirtualEntry) -> None:
        """End the freshness lease of an entry that is cut off."""
        if not entry.view.reachable:
            entry.view.fresh = False

    def reconnect(self, entry: VirtualEntry) -> None:
        """Let an entry reach the others again."""
        entry.view.reachable = entry.view.fresh = True

    def lose_proposals(self) -> None:
        """Lose the outcomes of the next proposals of one kind."""
        entry = self.random.choice(self.fleet.entries)
        fates = [self.random.choice((APPLIED, NOT_APPLIED)) for _ in range(3)]
        entry.view.lose[self.random.choice(LOSSES)] = fates

    def restart_target(self) -> None:
        """Announce a target as a new process."""
        service = self.random.choice(list(SERVICES))
        number = self.random.randrange(TARGETS)
        instance = f"{self.random.random()}"
        self.fleet.spawn(self.propose(self.announcement(service, number, instance)))

    def leave_target(self) -> None:
        """Have a target leave and come back as a new process."""
        service = self.random.choice(list(SERVICES))
        name = f"{service}-t{self.random.randrange(TARGETS)}"
        target = self.fleet.log.state.targets[name]
        self.fleet.spawn(self.propose(LeaveTarget(name, target.generation)))
        self.clock.callLater(2.0, self.restart_target)


def run(seed: int) -> str:
    """Run a storm; return what was told."""
    storm = Storm(seed)
    storm.run()
    told = ", ".join(f"{word} {count}" for word, count in sorted(storm.told.items()))
    tries = storm.fleet.targets.tries
    return f"{storm.numbers} calls, {tries} tries; {told}"
