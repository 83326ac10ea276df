"""
mulberryledge_testing.upkeep.world
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts that serve, drain, reboot, fail and return, driven by the leader's own tasks.
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
    Durations in milliseconds; a pair holds the bounds of a random draw.

    Attributes
    ----------
    drain_ms, reboot_ms : tuple of int
        Time until the last call of a drained host ends, and duration of a reboot.
    lease_ms : int
        Silence after which a target's lease expires.
    """

    drain_ms: tuple[int, int] = (5_000, 60_000)
    reboot_ms: tuple[int, int] = (120_000, 240_000)
    lease_ms: int = 10_000
    probation_ms: int = 30_000


@dataclass(slots=True)
class Leader:
    """The leader's maintenance and repair tasks on one daemon."""

    log: FakeLog
    maintenance: Maintenance
    repair: Repair


class World:
    """
    A fleet in memory, with the real condition of its hosts beside the cluster state.

    Attributes
    ----------
    down_since : dict of str to int
        Start of the downtime by host that is really down, in milliseconds.
    cut_off : int
        Slots in use on hosts at the start of planned reboots.
    budget_violations : list of str
        Permits granted while too many hosts of a service were really out.
    host_out_ms, most_out : int
        Total time out of all hosts, in milliseconds, and maximum of hosts out at
        once.
    """

    def __init__(self, fleet: Fleet, seed: int, times: Times = Times()):
        self.fleet = fleet
        self.times = times
        self.random = Random(seed)
        self.clock = FakeClock(START_MS)
        self.cluster = FakeCluster(self.clock)
        self.state = self.cluster.state
        self.platform = FakePlatform(self.start_reboot)
        self.decisions: list[Decision] = []
        self.down_since: dict[str, int] = {}
        self.hanging_reboots: set[str] = set()
        self.incarnations: Counter[str] = Counter()
        self.services: dict[str, str] = {}
        self.reporting = set(ENTRIES)
        self.cut_off = 0
        self.budget_violations: list[str] = []
        self.host_out_ms = 0
        self.most_out = 0
        self.moves = 0
        self.started_drains: set[str] = set()
        self.preempt_job: PreemptJob = never_preempt
        self.released_hosts: set[str] = set()
        self.hosts_in_move: set[str] = set()
        self.announced_services: dict[str, str] = {}
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
        """Return the service number of a host, spreading services over the zones."""
        zones, services = len(self.fleet.zones), self.fleet.services
        if gcd(zones, services) == 1:
            return number % services
        return number // zones % services

    def elect(self, session: str, policy: RepairPolicy | None = None) -> Leader:
        """Create the tasks of a new leader."""
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
        """Apply a command and assert that it is accepted."""
        outcome = self.cluster.apply(command)
        assert isinstance(outcome, Ok), (command, outcome)

    def propose(self, command: object) -> ApplyResult:
        """Apply a command, as an operator would."""
        return self.cluster.apply(command)

    def start_wave(self, pool: int, name: str = "", hosts: tuple = ()) -> str:
        """Start a wave over a pool, or over some of its hosts, and return its name."""
        name = name or f"wave-{pool}"
        hosts = hosts or tuple(
            host.name
            for host in self.state.hosts.values()
            if host.pool == f"pool-{pool}"
        )
        self.must(StartWave(name, f"pool-{pool}", hosts))
        return name

    def step(self, step_ms: int) -> None:
        """Advance the time, then run the tasks of the leader once."""
        self.clock.advance(step_ms)
        for entry in sorted(self.reporting):
            self.leader.repair.record_contacts(entry, ())
        self.tick(self.leader)
        self.start_drains()
        out = sum(bool(host.upkeep.absences) for host in self.state.hosts.values())
        self.host_out_ms += out * step_ms
        self.most_out = max(self.most_out, out)

    def tick(self, leader: Leader) -> None:
        """Run the tasks of a daemon once if it considers itself the leader."""
        if leader.log.leading:
            run_now(leader.repair.tick())
            run_now(leader.maintenance.tick())

    def run_until_done(self, step_ms: int, limit_ms: int, *names: str) -> int:
        """Run until the waves are done or the limit is reached; return the duration."""
        start_ms = self.clock.now_ms
        while self.clock.now_ms - start_ms < limit_ms:
            if all(self.wave(name).phase == WavePhase.DONE for name in names):
                break
            self.step(step_ms)
        return self.clock.now_ms - start_ms

    def wave(self, name: str) -> Wave:
        """Return a wave."""
        return self.state.waves[name]

    def draw_ms(self, pair: tuple[int, int]) -> int:
        """Draw a duration between two bounds."""
        return self.random.randint(*pair)

    def announce(self, host: str) -> None:
        """Announce the host's target in a new incarnation."""
        if host in self.down_since or host not in self.state.hosts:
            return
        service = self.services[host]
        self.incarnations[host] += 1
        self.released_hosts.discard(host)
        command = AnnounceTarget(
            f"{host}-t",
            host,
            service,
            "127.0.0.1",
            1,
            key="key",
            instance=f"{self.incarnations[host]}",
        )
        self.must(command)
        self.announced_services[host] = service
        self.lend_slot(host)

    def grant(self, host: str) -> SlotGrant | None:
        """Return one slot of the host's target."""
        target = self.state.targets.get(f"{host}-t")
        if target is None:
            return None
        return SlotGrant(target.name, target.generation, 1)

    def lend_slot(self, host: str) -> None:
        """Lend one slot to an entry if the target accepts work and has none on loan."""
        grant = self.grant(host)
        if grant is None or slots_in_use(self.state, grant.target):
            return
        if self.state.target_accepts_work(grant.target):
            self.must(Lend(self.session(host), (grant,)))

    def return_slot(self, host: str) -> None:
        """End the call on a host and return its slot."""
        self.started_drains.discard(host)
        if host not in self.services:
            return
        session = self.session(host)
        for grant in self.state.sessions[session].slots:
            if grant.target == f"{host}-t":
                self.must(ReturnLoan(session, (grant,)))

    def session(self, host: str) -> str:
        """Return the session that holds the loan of a host's slot."""
        return f"{ENTRIES[0]}.{self.services[host]}"

    def start_drains(self) -> None:
        """Schedule the end of the calls on hosts that started to drain."""
        for permit in self.leader.maintenance.open_permits():
            host = permit.host
            if (
                permit.step == MaintenanceStep.DRAINING
                and host not in self.started_drains
            ):
                self.started_drains.add(host)
                drain_ms = self.draw_ms(self.times.drain_ms)
                self.clock.later(drain_ms, lambda one=host: self.return_slot(one))

    def start_reboot(self, host: str, permit_id: str) -> None:
        """Take a host down and schedule its return, unless its reboots hang."""
        self.cut_off += slots_in_use(self.state, f"{host}-t")
        self.go_down(host)
        if host in self.hanging_reboots:
            return

        def come_up() -> None:
            self.platform.states[permit_id] = RebootState.UP
            self.come_back(host)

        self.clock.later(self.draw_ms(self.times.reboot_ms), come_up)

    def fail(self, host: str, back_ms: int | None = None) -> None:
        """Fail a host; without ``back_ms`` it returns only after a reboot."""
        if host in self.down_since:
            return
        self.go_down(host)
        if back_ms is not None:
            self.clock.later(back_ms, lambda: self.come_back(host))

    def go_down(self, host: str) -> None:
        """Take a host down; its target's lease expires later."""
        self.down_since[host] = self.clock.now_ms
        incarnation = self.incarnations[host]
        self.clock.later(self.times.lease_ms, lambda: self.expire(host, incarnation))

    def expire(self, host: str, incarnation: int) -> None:
        """Drop the target of a host that is still down."""
        target = self.state.targets.get(f"{host}-t")
        if (
            target is not None
            and host in self.down_since
            and self.incarnations[host] == incarnation
        ):
            self.return_slot(host)
            self.must(DropTarget(target.name, target.generation, lost=True))
            if host in self.hosts_in_move:
                self.released_hosts.add(host)

    def come_back(self, host: str) -> None:
        """Bring a host up and announce its target."""
        if host in self.down_since:
            del self.down_since[host]
            if host in self.services:
                self.return_slot(host)
                self.announce(host)

    def on_applied(self, event: AppliedEvent) -> None:
        """Check each granted permit against the hosts that are really out."""
        command = event.command
        if isinstance(command, GrantPermit) and isinstance(event.outcome, Ok):
            if event.outcome.ok_value.detail == "present":
                return
            is_released = command.host in self.released_hosts
            service = None if is_released else self.announced_services.get(command.host)
            if service is not None and self.count_really_out(service) > self.fleet.out:
                self.budget_violations.append(command.permit_id)
        if isinstance(event.outcome, Ok):
            self.update_targets(command)

    def update_targets(self, command: object) -> None:
        """Change the targets as the fleet's owner would after a command."""
        if isinstance(command, ReplaceHost):
            self.moves += 1
            service = self.services[command.host]
            self.clock.later(SET_UP_MS, lambda: self.set_up_spare(command, service))
        elif isinstance(command, ReleaseHost):
            self.released_hosts.add(command.host)
        elif isinstance(command, MoveHost):
            self.moves += 1
            target = self.state.targets.get(f"{command.name}-t")
            if target is None or target.phase != TargetPhase.SERVING:
                self.released_hosts.add(command.name)
            self.hosts_in_move.add(command.name)
            self.clock.later(SET_UP_MS, lambda: self.relocate(command.name))

    def set_up_spare(self, command: ReplaceHost, service: str) -> None:
        """Announce a target of the lost host's service on its spare."""
        self.services[command.spare] = service
        self.announce(command.spare)

    def relocate(self, name: str) -> None:
        """Replace a moved host's target by one of a service of its new pool."""
        host = self.state.hosts.get(name)
        target = self.state.targets.get(f"{name}-t")
        if host is None:
            return
        if name in self.down_since or host.upkeep.permit:
            self.clock.later(SET_UP_MS, lambda: self.relocate(name))
            return
        self.hosts_in_move.discard(name)
        number = self.service_number(int(name.rpartition("-")[2]))
        service = service_of(int(host.pool.rpartition("-")[2]), number)
        if target is None or self.services[name] == service:
            return
        self.must(LeaveTarget(target.name, target.generation))
        self.return_slot(name)
        self.must(DropTarget(target.name, target.generation))
        self.services[name] = service
        self.announce(name)

    def count_really_out(self, service: str) -> int:
        """Count hosts out of a service; downtime within the lease does not count."""
        known_ms = self.clock.now_ms - self.times.lease_ms
        return sum(
            self.announced_services.get(host.name) == service
            and host.name not in self.released_hosts
            and (
                host.phase != HostPhase.SERVING
                or self.down_since.get(host.name, self.clock.now_ms) < known_ms
            )
            for host in self.state.hosts.values()
        )

    def take_over(self, session: str) -> Leader:
        """Elect another leader; return the former one, which has not noticed yet."""
        old = self.leader
        self.leader = self.elect(session)
        return old

    def with_times(self, **changes: object) -> None:
        """Replace some of the hosts' durations."""
        self.times = replace(self.times, **changes)
