"""
mulberryledge_testing.upkeep.world
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts that serve, drain, reboot, fail and come back, under the leader's own tasks.
"""

from collections import Counter
from dataclasses import dataclass, replace
from math import gcd
from random import Random

from result import Ok

from mulberryledge_core.commands.fleet import (
    AnnounceTarget,
    DropTarget,
    LeaveTarget,
    MoveHost,
)
from mulberryledge_core.commands.maintenance import (
    GrantPermit,
    ReleaseHost,
    ReplaceHost,
    StartWave,
)
from mulberryledge_core.commands.work import Lend, OpenSession, ReturnLoan
from mulberryledge_core.decisions.repair import RepairPolicy
from mulberryledge_core.model.decisions import Decision
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.maintenance import MaintenanceStep, Wave, WavePhase
from mulberryledge_core.model.sessions import SlotGrant
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.drains import PreemptJob, never_preempt
from mulberryledge_daemon.leader.maintenance import Maintenance, MaintenancePolicy
from mulberryledge_daemon.leader.repair import Repair
from mulberryledge_daemon.ports import AppliedEvent, RebootState
from mulberryledge_testing.upkeep.fakes import (
    FakeClock,
    FakeCluster,
    FakeLog,
    FakePlatform,
    run_now,
)
from mulberryledge_testing.upkeep.fleets import Fleet, fleet_commands, service_of

__all__ = ["Leader", "Times", "World"]

START_MS = 20_000 * 86_400_000
SET_UP_MS = 60_000
ENTRIES = ("entry-1", "entry-2", "entry-3")


@dataclass(frozen=True, slots=True)
class Times:
    """
    Times of the hosts, in milliseconds; each is drawn between a pair.

    Attributes
    ----------
    drain_ms, reboot_ms : tuple of int
        Time until the last call of a drained host ends, and time of a reboot.
    lease_ms : int
        Silence after which a target's lease has run out.
    """

    drain_ms: tuple[int, int] = (5_000, 60_000)
    reboot_ms: tuple[int, int] = (120_000, 240_000)
    lease_ms: int = 10_000
    probation_ms: int = 30_000


@dataclass(slots=True)
class Leader:
    """The leader's tasks on one daemon."""

    log: FakeLog
    maintenance: Maintenance
    repair: Repair


class World:
    """
    A fleet in memory.

    Attributes
    ----------
    down_since : dict of str to int
        Hosts that are really down, with the time since when.
    cut_off : int
        Slots that were in use when the host beneath them was rebooted by plan.
    broken : list of str
        Permits granted while, in truth, too many hosts of a service were out.
    host_out_ms, most_out : int
        Host milliseconds spent out, and most hosts out at once.
    """

    def __init__(self, fleet: Fleet, seed: int, times: Times = Times()):
        self.fleet = fleet
        self.times = times
        self.random = Random(seed)
        self.clock = FakeClock(START_MS)
        self.cluster = FakeCluster(self.clock)
        self.state = self.cluster.state
        self.platform = FakePlatform(self.begin_reboot)
        self.decisions: list[Decision] = []
        self.down_since: dict[str, int] = {}
        self.never_back: set[str] = set()
        self.lives: Counter[str] = Counter()
        self.services: dict[str, str] = {}
        self.reporting = set(ENTRIES)
        self.cut_off = 0
        self.broken: list[str] = []
        self.host_out_ms = 0
        self.most_out = 0
        self.moves = 0
        self.drains: set[str] = set()
        self.preempt_job: PreemptJob = never_preempt
        self.released: set[str] = set()
        self.moving: set[str] = set()
        self.served: dict[str, str] = {}
        self.leader = self.elect("leader-1")
        self.cluster.listeners.append(self.on_applied)
        self.set_up()

    def set_up(self) -> None:
        """Create the fleet and announce a target on each host of a pool."""
        for command in fleet_commands(self.fleet):
            self.must(command)
        for entry in ENTRIES:
            self.must(OpenSession(entry, entry))
        for service in self.state.services:
            self.must(OpenSession(ENTRIES[0], f"{ENTRIES[0]}.{service}"))
        for pool in range(self.fleet.pools):
            for number in range(self.fleet.services * self.fleet.hosts):
                host = f"host-{pool}-{number}"
                owner = 0 if self.fleet.shared and number % 2 else pool
                service = service_of(owner, self.service_number(number))
                self.services[host] = service
                self.announce(host)

    def service_number(self, number: int) -> int:
        """Return the service of a host, so that each is spread over the zones."""
        zones, services = len(self.fleet.zones), self.fleet.services
        if gcd(zones, services) == 1:
            return number % services
        return number // zones % services

    def elect(self, session: str, policy: RepairPolicy | None = None) -> Leader:
        """Return the tasks of a new leader."""
        log = FakeLog(self.cluster, session)
        probation_ms = self.times.probation_ms
        maintenance = Maintenance(
            log,
            self.platform,
            MaintenancePolicy(probation_ms=probation_ms),
            session,
            self.decisions.append,
            lambda job, is_long: self.preempt_job(job, is_long),
        )
        if policy is None:
            policy = RepairPolicy(probation_ms=probation_ms)
        lease_s = self.times.lease_ms / 1_000
        repair = Repair(
            self.clock, log, self.platform, policy, lease_s, self.decisions.append
        )
        return Leader(log, maintenance, repair)

    def must(self, command: object) -> None:
        """Apply a command that may not be refused."""
        outcome = self.cluster.apply(command)
        assert isinstance(outcome, Ok), (command, outcome)

    def propose(self, command: object) -> ApplyResult:
        """Apply a command, as an operator would."""
        return self.cluster.apply(command)

    def start_wave(self, pool: int, name: str = "", hosts: tuple = ()) -> str:
        """Start a wave over a pool."""
        name = name or f"wave-{pool}"
        hosts = hosts or tuple(
            host.name
            for host in self.state.hosts.values()
            if host.pool == f"pool-{pool}"
        )
        self.must(StartWave(name, f"pool-{pool}", hosts))
        return name

    def step(self, step_ms: int) -> None:
        """Let time pass, then run the tasks of the leader once."""
        self.clock.advance(step_ms)
        for entry in sorted(self.reporting):
            self.leader.repair.record_contacts(entry, ())
        self.tick(self.leader)
        self.start_drains()
        out = sum(bool(host.upkeep.absences) for host in self.state.hosts.values())
        self.host_out_ms += out * step_ms
        self.most_out = max(self.most_out, out)

    def tick(self, leader: Leader) -> None:
        """Run the tasks of one daemon that believes that it leads."""
        if leader.log.leading:
            run_now(leader.repair.tick())
            run_now(leader.maintenance.tick())

    def run_until_done(self, step_ms: int, limit_ms: int, *names: str) -> int:
        """Run until the waves are over; return the milliseconds that it took."""
        begin_ms = self.clock.now_ms
        while self.clock.now_ms - begin_ms < limit_ms:
            if all(self.wave(name).phase == WavePhase.DONE for name in names):
                break
            self.step(step_ms)
        return self.clock.now_ms - begin_ms

    def wave(self, name: str) -> Wave:
        """Return a wave."""
        return self.state.waves[name]

    def draw(self, pair: tuple[int, int]) -> int:
        """Draw a time."""
        return self.random.randint(*pair)

    def announce(self, host: str) -> None:
        """Announce the host's target in a new life."""
        if host in self.down_since or host not in self.state.hosts:
            return
        service = self.services[host]
        self.lives[host] += 1
        self.released.discard(host)
        command = AnnounceTarget(
            f"{host}-t",
            host,
            service,
            "127.0.0.1",
            1,
            key="key",
            instance=f"{self.lives[host]}",
        )
        self.must(command)
        self.served[host] = service
        self.lend(host)

    def grant(self, host: str) -> SlotGrant | None:
        """Return one slot of the host's target."""
        target = self.state.targets.get(f"{host}-t")
        if target is None:
            return None
        return SlotGrant(target.name, target.generation, 1)

    def lend(self, host: str) -> None:
        """Lend one slot to an entry, if the target takes work and has none lent."""
        grant = self.grant(host)
        if grant is None or slots_in_use(self.state, grant.target):
            return
        if self.state.target_accepts_work(grant.target):
            self.must(Lend(self.session(host), (grant,)))

    def return_slot(self, host: str) -> None:
        """End the call of a host."""
        self.drains.discard(host)
        if host not in self.services:
            return
        session = self.session(host)
        for grant in self.state.sessions[session].slots:
            if grant.target == f"{host}-t":
                self.must(ReturnLoan(session, (grant,)))

    def session(self, host: str) -> str:
        """Return the session that lends the slot of a host."""
        return f"{ENTRIES[0]}.{self.services[host]}"

    def start_drains(self) -> None:
        """Have the calls of hosts that take no new work end after a while."""
        for permit in self.leader.maintenance.open_permits():
            host = permit.host
            if permit.step == MaintenanceStep.DRAINING and host not in self.drains:
                self.drains.add(host)
                drain_ms = self.draw(self.times.drain_ms)
                self.clock.later(drain_ms, lambda one=host: self.return_slot(one))

    def begin_reboot(self, host: str, permit_id: str) -> None:
        """Take a host down, and bring it back after its reboot."""
        self.cut_off += slots_in_use(self.state, f"{host}-t")
        self.go_down(host)
        if host in self.never_back:
            return

        def come_up() -> None:
            self.platform.states[permit_id] = RebootState.UP
            self.come_back(host)

        self.clock.later(self.draw(self.times.reboot_ms), come_up)

    def fail(self, host: str, back_ms: int | None = None) -> None:
        """Have a host fail, and come back by itself after a while if it does."""
        if host in self.down_since:
            return
        self.go_down(host)
        if back_ms is not None:
            self.clock.later(back_ms, lambda: self.come_back(host))

    def go_down(self, host: str) -> None:
        """Take a host down; its lease runs out later."""
        self.down_since[host] = self.clock.now_ms
        life = self.lives[host]
        self.clock.later(self.times.lease_ms, lambda: self.expire(host, life))

    def expire(self, host: str, life: int) -> None:
        """Drop the target of a host that is still down."""
        target = self.state.targets.get(f"{host}-t")
        if target is not None and host in self.down_since and self.lives[host] == life:
            self.return_slot(host)
            self.must(DropTarget(target.name, target.generation, lost=True))
            if host in self.moving:
                self.released.add(host)

    def come_back(self, host: str) -> None:
        """Bring a host up; its target announces itself."""
        if host in self.down_since:
            del self.down_since[host]
            if host in self.services:
                self.return_slot(host)
                self.announce(host)

    def on_applied(self, event: AppliedEvent) -> None:
        """Check each permit against the truth."""
        command = event.command
        if isinstance(command, GrantPermit) and isinstance(event.outcome, Ok):
            if event.outcome.ok_value.detail == "present":
                return
            gone = command.host in self.released
            service = None if gone else self.served.get(command.host)
            if service is not None and self.truly_out(service) > self.fleet.out:
                self.broken.append(command.permit_id)
        if isinstance(event.outcome, Ok):
            self.follow(command)

    def follow(self, command: object) -> None:
        """Do with the targets what the fleet's owner would do after a command."""
        if isinstance(command, ReplaceHost):
            self.moves += 1
            service = self.services[command.host]
            self.clock.later(SET_UP_MS, lambda: self.set_up_spare(command, service))
        elif isinstance(command, ReleaseHost):
            self.released.add(command.host)
        elif isinstance(command, MoveHost):
            self.moves += 1
            target = self.state.targets.get(f"{command.name}-t")
            if target is None or target.phase != TargetPhase.SERVING:
                self.released.add(command.name)
            self.moving.add(command.name)
            self.clock.later(SET_UP_MS, lambda: self.relocate(command.name))

    def set_up_spare(self, command: ReplaceHost, service: str) -> None:
        """Have a spare host serve what the lost one did."""
        self.services[command.spare] = service
        self.announce(command.spare)

    def relocate(self, name: str) -> None:
        """Have a moved host leave its old service and serve one of its new pool."""
        host = self.state.hosts.get(name)
        target = self.state.targets.get(f"{name}-t")
        if host is None:
            return
        if name in self.down_since or host.upkeep.permit:
            self.clock.later(SET_UP_MS, lambda: self.relocate(name))
            return
        self.moving.discard(name)
        number = self.service_number(int(name.rpartition("-")[2]))
        service = service_of(int(host.pool.rpartition("-")[2]), number)
        if target is None or self.services[name] == service:
            return
        self.must(LeaveTarget(target.name, target.generation))
        self.return_slot(name)
        self.must(DropTarget(target.name, target.generation))
        self.services[name] = service
        self.announce(name)

    def truly_out(self, service: str) -> int:
        """Return how many hosts of a service are out; a fresh silence is not known."""
        known_ms = self.clock.now_ms - self.times.lease_ms
        return sum(
            self.served.get(host.name) == service
            and host.name not in self.released
            and (
                host.phase != HostPhase.SERVING
                or self.down_since.get(host.name, self.clock.now_ms) < known_ms
            )
            for host in self.state.hosts.values()
        )

    def take_over(self, session: str) -> Leader:
        """Elect another leader; return the old one, which does not know yet."""
        old = self.leader
        self.leader = self.elect(session)
        return old

    def with_times(self, **changes: object) -> None:
        """Change the times of the hosts."""
        self.times = replace(self.times, **changes)
