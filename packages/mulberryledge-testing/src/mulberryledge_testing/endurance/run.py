"""
mulberryledge_testing.endurance.run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Endurance run: a cluster and its fleet under load and faults, and the verdict.
"""

import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread

from mulberryledge_core.commands.maintenance import StartWave
from mulberryledge_testing.endurance.faults import Faults
from mulberryledge_testing.endurance.gateway import Gateway, NoReply
from mulberryledge_testing.endurance.load import Load
from mulberryledge_testing.endurance.scene import (
    HOSTS,
    ONCE,
    POOL,
    QUEUE,
    REPEATABLE,
    TEAMS,
    setup,
)
from mulberryledge_testing.endurance.targets import WitnessedTarget
from mulberryledge_testing.platform import StandInPlatform
from mulberryledge_testing.processes import Cluster
from mulberryledge_testing.relay import Relay
from mulberryledge_testing.witness import Witness

__all__ = ["Verdict", "run"]

VOTERS = ("v1", "v2", "v3")
LEARNERS = ("e1", "e2", "e3", "z1")
RELAYED = ("v3", "z1")  # daemons that the others dial, so a relay can cut them off
WORKERS = 24
REBOOT_S = 0.6
SETTLE_S = 30.0
COMPARE_INTERVAL_S = 0.5
COMPARED_TABLES = ("pools", "hosts", "teams", "keys", "services", "waves")
SETTINGS = """
[platform]
url = "{url}"

[timing]
target_lease_s = 5.0
probation_s = 1.0
"""


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    Result of a run.

    Attributes
    ----------
    broken : tuple of str
        Violated invariants.
    replies, faults : Counter
        Replies by outcome, and faults by kind.
    jobs_done, reboots : int
        Number of jobs whose result was fetched, and of reboots of hosts.
    """

    broken: tuple[str, ...]
    replies: Counter
    faults: Counter
    jobs_done: int
    reboots: int

    def text(self) -> str:
        """Return the verdict as one line."""
        return (
            f"replies {dict(self.replies)}, faults {dict(self.faults)}, jobs done"
            f" {self.jobs_done}, reboots {self.reboots}, broken {list(self.broken)}"
        )


class Run:
    """Owns all components of one run."""

    def __init__(self, reactor, folder: Path, seed: int):
        self.reactor = reactor
        self.random = Random(seed)
        self.witness = Witness(limits={team.name: team.upper_limit for team in TEAMS})
        self.platform = StandInPlatform(reactor, self.on_reboot)
        self.rebooting: set[str] = set()
        self.reboots = 0
        self.cluster = Cluster(folder, extra=SETTINGS.format(url=self.platform.url))
        for name in (*VOTERS, *LEARNERS):
            self.cluster.add(name, voter=name in VOTERS)
        self.relays = {
            name: Relay(reactor, self.cluster.daemons[name].peers_port)
            for name in RELAYED
        }
        for name, relay in self.relays.items():
            self.cluster.daemons[name].dialled_port = relay.port
        for name in self.cluster.daemons:
            self.cluster.write_settings(name)
        self.gateway = Gateway(reactor, self.cluster, self.random)
        self.keys: dict[str, str] = {}
        self.targets: list[WitnessedTarget] = []
        self.stopping = False

    async def prepare(self) -> None:
        """Start the daemons, and create hosts, teams, services and targets."""
        self.cluster.start()
        await deferToThread(self.cluster.wait_ready)
        for command in setup():
            await self.gateway.operate(command)
        for team in TEAMS:
            self.keys[team.name] = await self.gateway.give_key(team.name)
        owner_key = self.keys[TEAMS[0].name]
        for host in HOSTS:
            for service in (REPEATABLE, ONCE, QUEUE):
                target = WitnessedTarget(
                    self.gateway,
                    self.witness,
                    self.random,
                    owner_key,
                    f"{host}-{service}",
                    host,
                    service,
                )
                await target.announce()
                self.targets.append(target)

    async def execute(self, seconds: float) -> Verdict:
        """Run load and faults, wait until all faults have ended, and check."""
        load = Load(self.gateway, self.witness, self.random, self.keys)
        faults = Faults(self.gateway, self.witness, self.random, self.keys, self.relays)
        tasks = [load.send_requests(self.is_stopping) for _ in range(WORKERS)]
        tasks += [target.keep_announced(self.is_stopping) for target in self.targets]
        tasks += [
            target.take_jobs(self.is_stopping)
            for target in self.targets
            if target.service == QUEUE
        ]
        tasks += [
            faults.inject_faults(self.is_stopping),
            faults.rotate_keys(self.is_stopping),
            faults.leave(
                [one for one in self.targets if one.service == REPEATABLE],
                self.is_stopping,
            ),
            self.maintain(),
        ]
        running = [ensureDeferred(task) for task in tasks]
        await deferLater(self.reactor, seconds)
        self.stopping = True
        await gatherResults(running)
        await self.wait_healthy(faults)
        await self.compare_tables()
        self.witness.check()
        return Verdict(
            tuple(self.witness.broken),
            self.witness.summary(),
            faults.counts,
            load.jobs_done,
            self.reboots,
        )

    def is_stopping(self) -> bool:
        """Return whether load and faults must end."""
        return self.stopping

    async def maintain(self) -> None:
        """Start a maintenance wave over all hosts of the pool."""
        await self.gateway.operate(StartWave("monday", POOL, HOSTS, ignore_quiet=True))

    def on_reboot(self, host: str) -> None:
        """Take a host down; it must be the only one, and its targets without runs."""
        self.reboots += 1
        self.rebooting.add(host)
        out = sorted(self.rebooting)
        self.witness.expect(len(out) <= 1, f"hosts {out} reboot at once")
        for target in self.targets:
            if target.host == host:
                text = f"{target.name} was rebooted with {target.running} runs"
                self.witness.expect(target.running == 0, text)
                target.up = False
        self.reactor.callLater(REBOOT_S, self.restore_host, host)

    def restore_host(self, host: str) -> None:
        """Restart a host's targets."""
        self.rebooting.discard(host)
        for target in self.targets:
            if target.host == host:
                target.restart()

    async def wait_healthy(self, faults: Faults) -> None:
        """Wait until no daemon has a fault and all are ready."""
        end = self.reactor.seconds() + SETTLE_S
        while faults.faulty and self.reactor.seconds() < end:
            await deferLater(self.reactor, 0.1)
        self.witness.expect(not faults.faulty, f"{faults.faulty} still have faults")
        await deferToThread(self.cluster.wait_ready, timeout_s=SETTLE_S)

    async def compare_tables(self) -> None:
        """Check that the tables of all daemons become equal."""
        end = self.reactor.seconds() + SETTLE_S
        while self.reactor.seconds() < end:
            states = [await self.tables(name) for name in self.gateway.operators]
            if all(state == states[0] for state in states):
                return
            await deferLater(self.reactor, COMPARE_INTERVAL_S)
        for name, state in zip(self.gateway.operators, states, strict=True):
            for table, rows in state.items():
                text = f"{table} differ on {name}"
                self.witness.expect(rows == states[0][table], text)

    async def tables(self, name: str) -> dict[str, object]:
        """Return the tables of one daemon."""
        found = {}
        for table in COMPARED_TABLES:
            caller = self.gateway.operators[name]
            try:
                sent = caller.send("GET", f"/v1/tables/{table}")
                response = await self.gateway.wait_for(sent)
            except NoReply:
                found[table] = f"{name} does not answer"
                continue
            found[table] = json.loads(response.body).get("rows", "not fresh")
        return found

    async def close(self) -> None:
        """End the processes and close all ports."""
        self.cluster.close()
        await self.gateway.close()
        for target in self.targets:
            await target.port.stopListening()
        for relay in self.relays.values():
            await relay.close()
        await self.platform.close()


@asynccontextmanager
async def running(reactor, folder: Path, seed: int) -> AsyncIterator[Run]:
    """Prepare a run, and release its processes and ports at the end."""
    one = Run(reactor, folder, seed)
    try:
        await one.prepare()
        yield one
    finally:
        await one.close()


async def run(reactor, folder: Path, seconds: float, seed: int) -> Verdict:
    """Run load and faults for a duration, and return the verdict."""
    async with running(reactor, folder, seed) as one:
        return await one.execute(seconds)
