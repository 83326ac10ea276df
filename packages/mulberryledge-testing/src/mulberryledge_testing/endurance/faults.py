"""
mulberryledge_testing.endurance.faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Random faults: kills, freezes, partitions, planned stops, key rotation, departures.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread

from mulberryledge_core.commands.teams import WithdrawKey
from mulberryledge_core.keys import split_key
from mulberryledge_testing.endurance.gateway import Gateway, NoReply
from mulberryledge_testing.endurance.scene import REPEATABLE, TEAMS
from mulberryledge_testing.endurance.targets import WitnessedTarget
from mulberryledge_testing.relay import Relay
from mulberryledge_testing.witness import Witness

__all__ = ["Faults"]

PAUSE_BETWEEN_S = (0.3, 1.5)
DOWN_S = (0.3, 3.0)
FROZEN_S = (0.5, 5.0)
CUT_S = (1.0, 6.0)
MOST_AT_ONCE = 2
OK = 200
ROTATION_INTERVAL_S = 6.0
OVERLAP_S = 1.0
KEY_GRACE_S = 3.0
PROBES_S = 5.0
PROBE_INTERVAL_S = 0.1
LEAVE_INTERVAL_S = 4.0
LEFT_S = 5.0


class Faults:
    """Owns which daemons are hurt now."""

    def __init__(
        self,
        gateway: Gateway,
        witness: Witness,
        random: Random,
        keys: dict[str, str],
        relays: dict[str, Relay],
    ):
        self.gateway = gateway
        self.reactor = gateway.reactor
        self.cluster = gateway.cluster
        self.witness = witness
        self.random = random
        self.keys = keys
        self.relays = relays
        self.hurt: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.kinds = (self.kill, self.freeze, self.cut_off, self.stop)

    async def hurt_daemons(self, stopped: Callable[[], bool]) -> None:
        """Hurt one daemon after the other, at most two at once."""
        while not stopped():
            await deferLater(self.reactor, self.random.uniform(*PAUSE_BETWEEN_S))
            well = [name for name in self.cluster.daemons if name not in self.hurt]
            kind = self.random.choice(self.kinds)
            if kind == self.cut_off:
                well = [name for name in well if name in self.relays]
            if well and len(self.hurt) < MOST_AT_ONCE:
                name = self.random.choice(well)
                self.hurt.add(name)
                self.counts[kind.__name__] += 1
                self.begin(kind, name)

    def begin(self, kind: Callable, name: str) -> None:
        """Begin a fault without waiting for its end, so that others overlap."""
        ensureDeferred(kind(name)).addErrback(
            lambda failure: self.witness.broken.append(failure.getTraceback())
        )

    async def kill(self, name: str) -> None:
        """End a daemon with SIGKILL and start it again."""
        self.cluster.kill(name)
        await deferLater(self.reactor, self.random.uniform(*DOWN_S))
        await self.start(name)

    async def freeze(self, name: str) -> None:
        """Stop a daemon's processor time for a while."""
        self.cluster.pause(name)
        await deferLater(self.reactor, self.random.uniform(*FROZEN_S))
        self.cluster.resume(name)
        self.hurt.discard(name)

    async def cut_off(self, name: str) -> None:
        """Cut a daemon off from all others, without a word."""
        self.relays[name].set_cut(True)
        await deferLater(self.reactor, self.random.uniform(*CUT_S))
        self.relays[name].set_cut(False)
        self.hurt.discard(name)

    async def stop(self, name: str) -> None:
        """Stop a daemon as planned, which must cut off nothing."""
        daemon = self.cluster.daemons[name]
        listened = await deferToThread(daemon.get, "/livez") == OK
        code = await deferToThread(self.cluster.stop, name)
        # A process that does not listen yet may die of the signal: it serves nobody.
        whole = code == 0 or not listened
        self.witness.expect(whole, f"the planned stop of {name} ended in {code}")
        await deferLater(self.reactor, self.random.uniform(*DOWN_S))
        await self.start(name)

    async def start(self, name: str) -> None:
        """Start a daemon again."""
        self.cluster.start(name)
        self.hurt.discard(name)

    async def rotate_keys(self, stopped: Callable[[], bool]) -> None:
        """Give new keys and withdraw the old ones, and probe with the old ones."""
        while not stopped():
            await deferLater(self.reactor, ROTATION_INTERVAL_S)
            if stopped():
                return
            team = self.random.choice(TEAMS[1:]).name
            old = self.keys[team]
            self.keys[team] = await self.gateway.give_key(team)
            await deferLater(self.reactor, OVERLAP_S)
            await self.gateway.operate(WithdrawKey(split_key(old)[0]))
            self.counts["withdraw"] += 1
            await self.probe(old, self.reactor.seconds())

    async def probe(self, key: str, withdrawn_s: float) -> None:
        """Send calls with a withdrawn key through every entry in turn."""
        end = withdrawn_s + PROBES_S
        path = f"/v1/services/{REPEATABLE}/calls/probe"
        body = b'{"id": "probe", "team": "clerks"}'
        names = list(self.cluster.daemons)
        while self.reactor.seconds() < end:
            entry = self.random.choice(names)
            begun_s = self.reactor.seconds()
            try:
                response = await self.gateway.send(entry, key, "POST", path, body)
            except NoReply:
                continue
            late = begun_s - withdrawn_s
            text = f"{entry} took a key withdrawn {late:.1f} s before"
            taken = response.status == 200 and late > KEY_GRACE_S
            self.witness.expect(not taken, text)
            await deferLater(self.reactor, PROBE_INTERVAL_S)

    async def leave(
        self, targets: list[WitnessedTarget], stopped: Callable[[], bool]
    ) -> None:
        """Let one target after the other leave and come back."""
        while not stopped():
            await deferLater(self.reactor, LEAVE_INTERVAL_S)
            up = [one for one in targets if one.up and one.left_s is None]
            if not up or stopped():
                continue
            target = self.random.choice(up)
            await target.leave()
            self.counts["leave"] += 1
            await deferLater(self.reactor, LEFT_S)
            if target.left_s is not None:
                target.restart()
