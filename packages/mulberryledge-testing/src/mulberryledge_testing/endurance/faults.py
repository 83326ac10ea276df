"""
mulberryledge_testing.endurance.faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Injects faults at random: kills, freezes, partitions, planned stops, key rotation and
departures of targets.
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
MAX_AT_ONCE = 2
OK = 200
ROTATION_INTERVAL_S = 6.0
OVERLAP_S = 1.0
KEY_GRACE_S = 3.0
PROBES_S = 5.0
PROBE_INTERVAL_S = 0.1
LEAVE_INTERVAL_S = 4.0
AWAY_S = 5.0


class Faults:
    """Owns the set of daemons that have a fault now."""

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
        self.faulty: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.kinds = (self.kill, self.freeze, self.cut_off, self.stop)

    async def inject_faults(self, stopped: Callable[[], bool]) -> None:
        """Inject faults into random daemons, at most two at once."""
        while not stopped():
            await deferLater(self.reactor, self.random.uniform(*PAUSE_BETWEEN_S))
            healthy = [name for name in self.cluster.daemons if name not in self.faulty]
            kind = self.random.choice(self.kinds)
            if kind == self.cut_off:
                healthy = [name for name in healthy if name in self.relays]
            if healthy and len(self.faulty) < MAX_AT_ONCE:
                name = self.random.choice(healthy)
                self.faulty.add(name)
                self.counts[kind.__name__] += 1
                self.run_in_background(kind, name)

    def run_in_background(self, kind: Callable, name: str) -> None:
        """Start a fault without waiting for its end, so that faults overlap."""
        ensureDeferred(kind(name)).addErrback(
            lambda failure: self.witness.broken.append(failure.getTraceback())
        )

    async def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL, and restart it after a delay."""
        self.cluster.kill(name)
        await deferLater(self.reactor, self.random.uniform(*DOWN_S))
        await self.start(name)

    async def freeze(self, name: str) -> None:
        """Suspend a daemon's process for some seconds."""
        self.cluster.pause(name)
        await deferLater(self.reactor, self.random.uniform(*FROZEN_S))
        self.cluster.resume(name)
        self.faulty.discard(name)

    async def cut_off(self, name: str) -> None:
        """Disconnect a daemon from all others without closing connections."""
        self.relays[name].set_cut(True)
        await deferLater(self.reactor, self.random.uniform(*CUT_S))
        self.relays[name].set_cut(False)
        self.faulty.discard(name)

    async def stop(self, name: str) -> None:
        """Stop a daemon as planned, which must interrupt no request."""
        daemon = self.cluster.daemons[name]
        listened = await deferToThread(daemon.get, "/livez") == OK
        code = await deferToThread(self.cluster.stop, name)
        # The signal may kill a process that does not listen yet: it has no requests.
        clean = code == 0 or not listened
        self.witness.expect(clean, f"the planned stop of {name} ended in {code}")
        await deferLater(self.reactor, self.random.uniform(*DOWN_S))
        await self.start(name)

    async def start(self, name: str) -> None:
        """Restart a daemon."""
        self.cluster.start(name)
        self.faulty.discard(name)

    async def rotate_keys(self, stopped: Callable[[], bool]) -> None:
        """Rotate keys, and check that withdrawn ones are refused."""
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
        """Send calls with a withdrawn key through random entries."""
        end = withdrawn_s + PROBES_S
        path = f"/v1/services/{REPEATABLE}/calls/probe"
        body = b'{"id": "probe", "team": "clerks"}'
        names = list(self.cluster.daemons)
        while self.reactor.seconds() < end:
            entry = self.random.choice(names)
            sent_s = self.reactor.seconds()
            try:
                response = await self.gateway.send(entry, key, "POST", path, body)
            except NoReply:
                continue
            late_s = sent_s - withdrawn_s
            text = f"{entry} accepted a key withdrawn {late_s:.1f} s before"
            accepted = response.status == 200 and late_s > KEY_GRACE_S
            self.witness.expect(not accepted, text)
            await deferLater(self.reactor, PROBE_INTERVAL_S)

    async def leave(
        self, targets: list[WitnessedTarget], stopped: Callable[[], bool]
    ) -> None:
        """Let random targets leave, and restart them after a delay."""
        while not stopped():
            await deferLater(self.reactor, LEAVE_INTERVAL_S)
            up = [one for one in targets if one.up and one.leave_confirmed_s is None]
            if not up or stopped():
                continue
            target = self.random.choice(up)
            await target.leave()
            self.counts["leave"] += 1
            await deferLater(self.reactor, AWAY_S)
            if target.leave_confirmed_s is not None:
                target.restart()
