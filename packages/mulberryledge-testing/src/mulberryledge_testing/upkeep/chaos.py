"""
mulberryledge_testing.upkeep.chaos
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Random runs of a fleet in memory, with failures, operators and changes of leader.
"""

from collections.abc import Callable
from random import Random

from result import Ok

from mulberryledge_core.commands.fleet import (
    AddHost,
    MoveHost,
    RemoveHost,
    SetHostPhase,
)
from mulberryledge_core.commands.maintenance import (
    GrantPermit,
    HoldHost,
    HoldService,
    ReleaseHost,
    SetWavePhase,
)
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import WavePhase
from mulberryledge_testing.upkeep.checks import check_snapshot, check_world
from mulberryledge_testing.upkeep.fleets import Fleet
from mulberryledge_testing.upkeep.world import Leader, World

__all__ = ["SMALL", "Chaos"]

SMALL = Fleet("small", ("a", "b", "c"), 2, 3, 6, 3, shared=True)
STEP_MS = 2_000
MINUTE_MS = 60_000
STEPS = 2_400
ACTION_SHARE = 0.02
ENDED_PHASES = (WavePhase.DONE, WavePhase.ABANDONED)


class Chaos:
    """One random run, determined by its seed."""

    def __init__(self, seed: int, fleet: Fleet = SMALL):
        self.random = Random(seed)
        self.world = World(fleet, seed)
        self.former_leaders: list[Leader] = []
        self.leaders = 1
        self.waves = 0
        self.done: list[str] = []
        self.removed: list[Host] = []
        self.actions: tuple[Callable[[], None], ...] = (
            self.fail_host,
            self.fail_host,
            self.lose_host_for_good,
            self.lose_rack,
            self.lose_zone,
            self.start_wave,
            self.start_wave,
            self.change_wave,
            self.change_wave,
            self.hold,
            self.move,
            self.remove,
            self.cordon,
            self.lose_leader,
            self.resend_stale_permit,
            self.lose_answers,
            self.silence_entry,
            self.lose_rebooting_host,
        )

    def run(self, steps: int = STEPS) -> str:
        """Run all steps, end every failure and check that the waves end."""
        for pool in (0, 1):
            self.world.start_wave(pool)
        for number in range(steps):
            if self.random.random() < ACTION_SHARE:
                self.act()
            self.step()
            if number % 100 == 0:
                check_snapshot(self.world)
        self.heal()
        permits = len(self.world.state.permits)
        return f"{len(self.done)} actions, {permits} permits, no budget broken"

    def step(self) -> None:
        """Advance the time; former leaders run their tasks, too."""
        self.world.step(STEP_MS)
        for leader in self.former_leaders:
            self.world.tick(leader)
        check_world(self.world)

    def act(self) -> None:
        """Run one random action."""
        action = self.random.choice(self.actions)
        self.done.append(action.__name__)
        action()

    def any_host(self) -> Host:
        """Return a random host outside the spare pool."""
        return self.random.choice(
            [host for host in self.world.state.hosts.values() if host.pool != "office"]
        )

    def back_ms(self) -> int:
        """Draw the time until a failed host returns."""
        return self.random.randint(1_000, 20 * MINUTE_MS)

    def fail_host(self) -> None:
        """Fail a host that returns by itself."""
        self.world.fail(self.any_host().name, self.back_ms())

    def lose_host_for_good(self) -> None:
        """Fail a host that returns only after a reboot."""
        self.world.fail(self.any_host().name)

    def lose_rack(self) -> None:
        """Fail a whole rack."""
        host = self.any_host()
        self.lose(lambda one: one.rack == host.rack, host.availability_zone)

    def lose_zone(self) -> None:
        """Fail a whole availability zone."""
        self.lose(lambda one: True, self.any_host().availability_zone)

    def lose(self, matches: Callable[[Host], bool], zone: str) -> None:
        """Fail the matching hosts of one availability zone; all return at once."""
        back_ms = self.back_ms()
        for host in list(self.world.state.hosts.values()):
            if host.availability_zone == zone and matches(host):
                self.world.fail(host.name, back_ms)

    def start_wave(self) -> None:
        """Start a further wave, which may overlap with others."""
        self.waves += 1
        pool = self.random.randrange(self.world.fleet.pools)
        hosts = [
            host.name
            for host in self.world.state.hosts.values()
            if host.pool == f"pool-{pool}"
        ]
        chosen = self.random.sample(hosts, min(len(hosts), 6))
        if chosen:
            self.world.start_wave(pool, f"extra-{self.waves}", tuple(chosen))

    def change_wave(self) -> None:
        """Pause, resume or abandon a wave; the command is sent twice."""
        wave = self.random.choice(list(self.world.state.waves.values()))
        phase = self.random.choice(
            (
                WavePhase.PAUSED,
                WavePhase.RUNNING,
                WavePhase.RUNNING,
                WavePhase.ABANDONED,
            )
        )
        command = SetWavePhase(wave.name, wave.phase, phase, "", wave.revision)
        self.world.propose(command)
        self.world.propose(command)

    def hold(self) -> None:
        """Hold a host and a service, or end the holds."""
        host = self.any_host()
        reason = "" if host.upkeep.hold else "audit"
        self.world.propose(HoldHost(host.name, reason))
        service = self.random.choice(list(self.world.state.services.values()))
        self.world.propose(HoldService(service.name, "" if service.hold else "audit"))

    def move(self) -> None:
        """Move a host to the other pool; the command is sent twice."""
        host = self.any_host()
        other = "pool-1" if host.pool == "pool-0" else "pool-0"
        self.world.propose(MoveHost(host.name, host.pool, other))
        self.world.propose(MoveHost(host.name, host.pool, other))

    def remove(self) -> None:
        """Try to remove a lost host."""
        lost = [
            host
            for host in self.world.state.hosts.values()
            if host.phase == HostPhase.LOST
        ]
        if lost:
            host = self.random.choice(lost)
            if isinstance(self.world.propose(RemoveHost(host.name)), Ok):
                self.removed.append(host)

    def cordon(self) -> None:
        """Cordon a host, or uncordon it."""
        host = self.any_host()
        phase = HostPhase.CORDONED
        if host.phase == HostPhase.CORDONED:
            phase = HostPhase.SERVING
        self.world.propose(SetHostPhase(host.name, host.phase, phase))

    def lose_leader(self) -> None:
        """Elect another leader; the former one still considers itself the leader."""
        self.leaders += 1
        old = self.world.take_over(f"leader-{self.leaders}")
        old.log.connected = self.random.random() < 0.5
        self.former_leaders.append(old)

        def step_down() -> None:
            old.log.leading = False
            self.former_leaders.remove(old)

        self.world.clock.later(self.random.randint(1_000, 30_000), step_down)

    def resend_stale_permit(self) -> None:
        """Propose a permit with an outdated epoch, which must be refused."""
        for wave in self.world.state.waves.values():
            host = self.random.choice(wave.hosts)
            if wave.epoch:
                command = GrantPermit("stale", wave.name, host, wave.epoch - 1)
                self.world.propose(command)
        assert "stale" not in self.world.state.permits

    def lose_answers(self) -> None:
        """Set the share of lost requests to the platform, or of its lost answers."""
        share = self.random.choice((0.0, 0.5, 1.0))
        lose = self.random.choice(("lose_request", "lose_answer"))
        setattr(self.world.platform, lose, lambda: self.random.random() < share)

    def silence_entry(self) -> None:
        """Disconnect an entry from the leader, or reconnect it."""
        entry = self.random.choice(("entry-1", "entry-2", "entry-3"))
        self.world.reporting ^= {entry}

    def lose_rebooting_host(self) -> None:
        """Make all further reboots of a host hang."""
        self.world.hanging_reboots.add(self.any_host().name)

    def heal(self) -> None:
        """End all failures and holds, and finish the waves as operators would."""
        world = self.world
        world.hanging_reboots.clear()
        world.platform.lose_request = lambda: False
        world.platform.lose_answer = lambda: False
        world.reporting = {"entry-1", "entry-2", "entry-3"}
        for host in list(world.down_since):
            world.come_back(host)
        for host in self.removed:
            zone = host.availability_zone
            world.must(AddHost(host.name, host.pool, host.region, zone, host.rack))
            world.announce(host.name)
        for host in list(world.state.hosts.values()):
            world.propose(HoldHost(host.name, ""))
            cordoned = HostPhase.CORDONED
            world.propose(SetHostPhase(host.name, cordoned, HostPhase.SERVING))
        for service in list(world.state.services):
            world.propose(HoldService(service, ""))
        for _ in range(40):
            self.resume_waves()
            self.settle_hosts()
            for _ in range(300):
                self.step()
            if all(wave.phase in ENDED_PHASES for wave in world.state.waves.values()):
                return
        unfinished = [
            w for w in world.state.waves.values() if w.phase not in ENDED_PHASES
        ]
        raise AssertionError(f"waves never end: {unfinished}")

    def settle_hosts(self) -> None:
        """Move hosts to their first pool; release them from services they don't run."""
        state = self.world.state
        for host in list(state.hosts.values()):
            home = f"pool-{host.name.split('-')[1]}"
            if host.name.startswith("host-") and host.pool != home:
                self.world.propose(MoveHost(host.name, host.pool, home))
            targets = state.indexes.targets_by_host.rows(host.name)
            runs = {target.service for target in targets}
            for absence in host.upkeep.absences:
                if absence.service not in runs:
                    self.world.propose(ReleaseHost(host.name, absence.service))

    def resume_waves(self) -> None:
        """Resume each paused or stopped wave."""
        for wave in list(self.world.state.waves.values()):
            if wave.phase in (WavePhase.PAUSED, WavePhase.STOPPED):
                command = SetWavePhase(wave.name, wave.phase, WavePhase.RUNNING)
                self.world.propose(command)
