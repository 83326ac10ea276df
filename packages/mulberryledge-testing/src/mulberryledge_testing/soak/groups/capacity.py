"""
mulberryledge_testing.soak.groups.capacity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A modelled fleet under faults: limits, fencing and at-most-once jobs hold.
"""

from collections import Counter
from dataclasses import replace
from random import Random

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.commands.work import CancelJobs
from mulberryledge_core.decisions.queues import cancel_chunks
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_testing.fleet.model import TICK_S, ModelFleet, Site
from mulberryledge_testing.fleet.truth import JobProfile
from mulberryledge_testing.fleet.worker import ModelWorker

__all__ = ["Faults", "run"]

SITE = Site(
    "small",
    ("a", "b"),
    services=2,
    workers=4,
    processors=16,
    memory_mb=32_768,
    slots=4,
    spare_hosts=1,
    lease_ms=2_000,
    flags="may_checkpoint = true\nmay_stop = true",
)
TEAMS = {"large": 4.0, "middle": 2.0, "small": 1.0}
LIMIT = 12
FAULTY_S = 60.0
SETTLE_S = 150.0
OVER = (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED, JobPhase.UNKNOWN)


class Faults:
    """Submits work and brings faults about, by one random source."""

    def __init__(self, fleet: ModelFleet, random: Random):
        self.fleet = fleet
        self.random = random
        self.numbers = 0
        self.counts: Counter[str] = Counter()
        self.rates = (
            (self.submit_some, 4.0),
            (self.lose_worker, 0.15),
            (self.cut_worker_off, 0.15),
            (self.break_worker, 0.05),
            (self.change_leader, 0.05),
            (self.cancel_wave, 0.05),
            (self.lose_zone, 0.02),
        )

    def each_tick(self) -> None:
        """Let each kind of event happen at its rate."""
        for event, per_s in self.rates:
            if self.random.random() < per_s * TICK_S:
                self.counts[event.__name__] += 1
                event()

    def submit_some(self) -> None:
        """Submit some jobs of one team; some are never to be repeated."""
        random = self.random
        team = random.choice(tuple(TEAMS))
        for _ in range(random.choice((1, 1, 2, 8))):
            self.numbers += 1
            nature = JobProfile(
                team,
                random.choice(SITE.service_names),
                run_s=random.expovariate(0.5),
                processors=random.uniform(0.2, 4.0),
                repeatable=random.random() < 0.6,
                fails=random.random() < 0.03,
            )
            declared = nature.processors * 10 ** random.uniform(-1, 1)
            if random.random() < 0.01:
                declared = 100.0
            urgent = random.random() < 0.1
            self.fleet.submit(f"job-{self.numbers}", nature, urgent, declared)

    def pick_worker(self) -> ModelWorker:
        """Return any worker."""
        return self.random.choice(list(self.fleet.workers.values()))

    def lose_worker(self) -> None:
        """Lose a worker; it comes back as a new life."""
        worker = self.pick_worker()
        if worker.up:
            self.fleet.lose(worker)
            delay_s = self.random.uniform(0.5, 5.0)
            self.fleet.clock.callLater(delay_s, self.come_back, worker)

    def come_back(self, worker: ModelWorker) -> None:
        """Announce a worker that was lost."""
        if not worker.up:
            host = self.fleet.log.state.targets[worker.name].host
            self.fleet.announce(worker, host)

    def lose_zone(self) -> None:
        """Lose all workers of one zone at once."""
        zone = self.random.choice(SITE.zones)
        state = self.fleet.log.state
        for worker in self.fleet.workers.values():
            host = state.hosts[state.targets[worker.name].host]
            if worker.up and host.availability_zone == zone:
                self.fleet.lose(worker)
                self.fleet.clock.callLater(3.0, self.come_back, worker)

    def cut_worker_off(self) -> None:
        """Partition a worker for longer or shorter than its leases."""
        worker = self.pick_worker()
        worker.connected = False
        self.fleet.clock.callLater(self.random.uniform(0.1, 8.0), self.mend, worker)

    def mend(self, worker: ModelWorker) -> None:
        """End a partition."""
        worker.connected = True

    def break_worker(self) -> None:
        """Have a worker fail all that it starts for a while."""
        worker = self.pick_worker()
        worker.broken = True
        self.fleet.clock.callLater(10.0, self.repair, worker)

    def repair(self, worker: ModelWorker) -> None:
        """End the failures of a worker."""
        worker.broken = False

    def change_leader(self) -> None:
        """Replace the leader's tasks by new ones."""
        self.fleet.jobs.step_down()
        self.fleet.start_leader_tasks()

    def cancel_wave(self) -> None:
        """Cancel most jobs of one team at once."""
        team = self.random.choice(tuple(TEAMS))
        unfinished = [
            job.job_id
            for job in self.fleet.log.state.jobs.values()
            if job.team == team and not job.ended_ms and self.random.random() < 0.8
        ]
        for part in cancel_chunks(tuple(unfinished)):
            ensureDeferred(self.fleet.log.propose(CancelJobs(team, part)))


def run(seed: int) -> str:
    """Run one modelled fleet; return what happened."""
    fleet = ModelFleet(replace(SITE), TEAMS, LIMIT)
    faults = Faults(fleet, Random(seed))
    fleet.run(FAULTY_S, faults.each_tick)
    for worker in fleet.workers.values():
        worker.broken, worker.connected = False, True
        if not worker.up:
            faults.come_back(worker)
    fleet.run(SETTLE_S)
    check_settled(fleet)
    phases = Counter(job.phase.value for job in fleet.log.state.jobs.values())
    return f"{dict(sorted(phases.items()))} after {dict(sorted(faults.counts.items()))}"


def check_settled(fleet: ModelFleet) -> None:
    """Check that all work has come to its end, and is told the truth about."""
    for job in fleet.log.state.jobs.values():
        nature = fleet.run_recorder.profiles[job.job_id]
        runs = fleet.run_recorder.starts[job.job_id]
        if job.size.processors > SITE.processors * 1.25:
            assert runs == 0, f"job {job.job_id!r} fits no host and ran"
            continue
        assert job.phase in OVER, f"job {job.job_id!r} is {job.phase}: {job}"
        assert runs <= job.attempt, f"job {job.job_id!r} ran {runs} times: {job}"
        if job.phase == JobPhase.DONE:
            assert job.job_id in fleet.ended, f"job {job.job_id!r} was never done"
        if job.phase == JobPhase.UNKNOWN:
            assert not nature.repeatable, f"job {job.job_id!r} may be repeated"
    left = sum(fleet.run_recorder.running.values())
    assert left == 0, f"{left} runs go on after everything ended"
