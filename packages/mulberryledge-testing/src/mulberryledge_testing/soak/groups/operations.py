"""
mulberryledge_testing.soak.groups.operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Operators who race, withdraw, remove and resend at any later time.
"""

from collections import Counter
from random import Random

from result import Ok

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_core.commands.teams import (
    ApplyDocument,
    CreateTeam,
    GiveKey,
    RemoveService,
    RemoveTeam,
    WithdrawKey,
)
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state import ClusterState, Context, apply, restore, snapshot

__all__ = ["run"]

STEPS = 400
RESEND_SHARE = 0.4
RESTART_SHARE = 0.02
NAMES = ("a", "b")
DOCUMENT = """[service]
name = "{name}"
team = "{name}"
pool = "interior"
[calls]
deadline_ms = {deadline}
"""


class Operators:
    """Owns the state and what must stay true of it."""

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.state = ClusterState()
        self.sent: list[Command] = []
        self.texts: dict[tuple[str, int], str] = {}
        self.versions: Counter[str] = Counter()
        self.withdrawn: set[str] = set()
        self.accepted: Counter[str] = Counter()
        self.keys_made = 0
        self.propose(CreatePool("interior"))

    def step(self) -> None:
        """Send a new command or, late, an old one; restart now and then."""
        if self.sent and self.random.random() < RESEND_SHARE:
            command = self.random.choice(self.sent)
        else:
            command = self.make()
            self.sent.append(command)
        outcome = self.propose(command)
        if self.random.random() < RESTART_SHARE:
            self.state = restore(snapshot(self.state))
        if isinstance(outcome, Ok):
            self.accepted[type(command).__name__] += 1
            self.note(command)
        self.check()

    def make(self) -> Command:
        """Return a command that an operator may think of now."""
        name = self.random.choice(NAMES)
        service = self.state.services.get(name)
        version = service.version if service is not None else 0
        key_ids = [*self.state.keys, "no-such-key"]
        choices = (
            lambda: CreateTeam(name),
            lambda: RemoveTeam(name),
            self.new_key,
            lambda: WithdrawKey(self.random.choice(key_ids)),
            lambda: RemoveService(name),
            lambda: self.document(name, version + self.random.randint(0, 2)),
            lambda: self.document(name, self.versions[name] + 1),
        )
        return self.random.choice(choices)()

    def new_key(self) -> GiveKey:
        """Return a command that gives a key with a new identifier."""
        self.keys_made += 1
        team = self.random.choice(NAMES)
        return GiveKey(f"key-{self.keys_made}", team, b"salt", b"digest")

    def document(self, name: str, version: int) -> ApplyDocument:
        """Return a command with one of a few texts."""
        deadline = self.random.choice((1_000, 2_000, 3_000))
        return ApplyDocument(DOCUMENT.format(name=name, deadline=deadline), version)

    def propose(self, command: Command) -> ApplyResult:
        """Apply a command at the next index."""
        index = self.state.applied_index + 1
        return apply(self.state, command, Context(index, index))

    def note(self, command: Command) -> None:
        """Remember what an accepted command has settled."""
        if isinstance(command, WithdrawKey):
            self.withdrawn.add(command.key_id)
        if isinstance(command, ApplyDocument):
            name = command.text.split('"')[1]
            won = self.texts.setdefault((name, command.version), command.text)
            assert won == command.text, f"two texts won {name} {command.version}"

    def check(self) -> None:
        """Check that nothing went back."""
        alive = self.withdrawn & self.state.keys.keys()
        assert not alive, f"withdrawn keys work again: {alive}"
        for name, service in self.state.services.items():
            latest = self.versions[name]
            assert service.version >= latest, f"{name} went back from {latest}"
            assert service.text == self.texts[name, service.version], name
            self.versions[name] = service.version
        for key in self.state.keys.values():
            assert key.team in self.state.teams, f"{key.key_id} has no team"


def run(seed: int) -> str:
    """Run one seed and return what was accepted."""
    operators = Operators(seed)
    for _ in range(STEPS):
        operators.step()
    counts = sorted(operators.accepted.items())
    return ", ".join(f"{count} {name}" for name, count in counts)
