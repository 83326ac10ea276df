"""
mulberryledge_testing.bench.capacity.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

On-off demand of teams and of queues, with sizes declared up to ten times off.
"""

from collections import Counter
from random import Random

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.commands.work import CancelJobs
from mulberryledge_core.decisions.queues import cancel_chunks
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_testing.fleet.model import TICK_S, ModelFleet
from mulberryledge_testing.fleet.truth import JobProfile

__all__ = ["TEAMS", "FullDemand", "TurnsDemand"]

TEAMS = {
    "cream": 5.0,
    "butter": 4.0,
    "curd": 2.0,
    "whey": 1.0,
    "ghee": 1.0,
    "kefir": 1.0,
}
CORES = {
    "cream": 4.0,
    "butter": 10.0,
    "curd": 4.0,
    "whey": 2.0,
    "ghee": 4.0,
    "kefir": 1.0,
}
ALWAYS_ON = ("cream", "whey")
SETTLEMENT_TEAM = "curd"
BACKLOG = 12
URGENT_PER_S = 1.5
BURST_S = 6.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05


class Demand:
    """Submits jobs of random size by one random source."""

    def __init__(self, fleet: ModelFleet, random: Random):
        self.fleet = fleet
        self.random = random
        self.number = 0
        self.urgent: list[str] = []
        self.scale = fleet.site.processors / 64

    def submit(self, team: str, service: str, run_s: float, urgent: bool = False):
        """Submit a job whose declared size is up to ten times off."""
        self.number += 1
        job_id = f"job-{self.number}"
        cores = CORES[team] * self.scale * self.random.uniform(0.7, 1.3)
        declared = min(
            self.fleet.site.processors, cores * 10 ** self.random.uniform(-1, 1)
        )
        nature = JobProfile(team, service, run_s, cores)
        self.fleet.submit(job_id, nature, urgent, declared)
        if urgent:
            self.urgent.append(job_id)

    def run_s(self) -> float:
        """Return a run time: most are short, in seconds."""
        return min(12.0, 0.3 + self.random.expovariate(1 / 2.0))

    def submit_urgent(self) -> None:
        """Submit urgent jobs of the small teams at a steady rate."""
        if self.random.random() < URGENT_PER_S * TICK_S:
            team = self.random.choice(("ghee", "kefir", "whey"))
            service = self.random.choice(self.fleet.site.service_names)
            self.submit(team, service, 0.5, urgent=True)


class FullDemand(Demand):
    """
    Teams ask for more than the fleet holds, some of them on and off.

    Attributes
    ----------
    on : dict of str to bool
        Whether a team has demand now.
    """

    def __init__(self, fleet: ModelFleet, random: Random):
        super().__init__(fleet, random)
        self.on = dict.fromkeys(TEAMS, True)
        self.change_s = {team: random.uniform(0, 20) for team in TEAMS}

    def each_tick(self) -> None:
        """Switch teams on and off, and keep the backlog of those that are on."""
        now = self.fleet.clock.seconds()
        for team in TEAMS:
            if team not in ALWAYS_ON and now >= self.change_s[team]:
                self.on[team] = not self.on[team]
                self.change_s[team] = now + self.random.uniform(10, 30)
                if not self.on[team]:
                    self.withdraw(team)
        waiting: Counter[tuple[str, str]] = Counter()
        for queued in self.fleet.log.state.indexes.queued_by_service.groups.values():
            waiting.update((job.service, job.team) for job in queued.values())
        for service in self.fleet.site.service_names:
            for team in TEAMS:
                if self.on[team] and waiting[service, team] < BACKLOG:
                    for _ in range(BACKLOG):
                        settles = team == SETTLEMENT_TEAM and self.random.random() < 0.1
                        self.submit(team, service, 30.0 if settles else self.run_s())
        self.submit_urgent()

    def withdraw(self, team: str) -> None:
        """Cancel what a team has queued: a wave of cancellations."""
        queued = tuple(
            job.job_id
            for job in self.fleet.log.state.jobs.values()
            if job.team == team and job.phase == JobPhase.QUEUED and not job.urgent
        )
        for part in cancel_chunks(queued):
            ensureDeferred(self.fleet.log.propose(CancelJobs(team, part)))


class TurnsDemand(Demand):
    """
    Queues ask in turns for five times their mean, then for a twentieth of it.

    Attributes
    ----------
    load : float
        Mean demand as a part of the slots of a pool.
    """

    def __init__(self, fleet: ModelFleet, random: Random, load: float = 0.5):
        super().__init__(fleet, random)
        site = fleet.site
        self.rate = load * site.workers * site.slots / 2.3  # jobs per second, mean
        self.burst_until = dict.fromkeys(site.service_names, 0.0)
        self.next_burst = {name: random.uniform(0, 25) for name in site.service_names}
        self.lost = False

    def each_tick(self) -> None:
        """Submit at each queue's present rate; lose a zone once."""
        now = self.fleet.clock.seconds()
        for service in self.fleet.site.service_names:
            if now >= self.next_burst[service]:
                self.burst_until[service] = now + BURST_S
                self.next_burst[service] = now + BURST_S / 0.192
            bursting = now < self.burst_until[service]
            factor = BURST_FACTOR if bursting else QUIET_FACTOR
            expected = self.rate * factor * TICK_S
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                team = self.random.choices(tuple(TEAMS), tuple(TEAMS.values()))[0]
                self.submit(team, service, self.run_s())
        self.submit_urgent()
        if now > 40 and not self.lost:
            self.lost = True
            self.lose_zone()

    def lose_zone(self) -> None:
        """Lose one availability zone for ten seconds."""
        state = self.fleet.log.state
        zone = self.fleet.site.zones[0]
        for worker in self.fleet.workers.values():
            host = state.hosts[state.targets[worker.name].host]
            if host.availability_zone == zone and worker.up:
                self.fleet.lose(worker)
                self.fleet.clock.callLater(10.0, self.fleet.announce, worker, host.name)
