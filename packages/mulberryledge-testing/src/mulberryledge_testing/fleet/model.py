"""
mulberryledge_testing.fleet.model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A simulated fleet: hosts, workers, teams and the leader's capacity tasks.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import (
    AddHost,
    AnnounceTarget,
    CreatePool,
    DropTarget,
)
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.commands.work import SubmitJob
from mulberryledge_core.decisions.pools import Weights
from mulberryledge_core.messages import UsageReport
from mulberryledge_core.model.hosts import Resources
from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.leader.moves import PoolHostMover
from mulberryledge_daemon.leader.planner import ReclaimPlanner
from mulberryledge_daemon.leader.retention import Retention
from mulberryledge_daemon.leader.usage import ResourceUsage
from mulberryledge_testing.fleet.clock import ModelClock
from mulberryledge_testing.fleet.log import ModelLog
from mulberryledge_testing.fleet.truth import JobProfile, RunRecorder
from mulberryledge_testing.fleet.worker import ModelWorker

__all__ = ["ModelFleet", "Site"]

TICK_S = 0.1
USAGE_INTERVAL_S = 5.0
OWNER = "owner"
DOCUMENT = """
[service]
name = "{name}"
team = "owner"
pool = "{name}"
[queue]
open = true
lease_ms = {lease_ms}
max_queued = 100000
{flags}
[availability]
min_hosts_serving = {least}
"""


@dataclass(frozen=True, slots=True)
class Site:
    """
    Size of a user's fleet.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    services : int
        Number of services; each has a pool of its own.
    workers : int
        Workers of each service.
    processors, memory_mb : int
        Size of a worker's host.
    weights : Weights
        Weights of the user for the choices between pools.
    """

    name: str
    zones: tuple[str, ...]
    services: int
    workers: int
    processors: int
    memory_mb: int
    weights: Weights = Weights()
    slots: int = 8
    rack_hosts: int = 4
    spare_hosts: int = 2
    lease_ms: int = 5_000
    flags: str = "may_checkpoint = true"

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of the services, which are also those of their pools."""
        return tuple(f"service-{number}" for number in range(self.services))


class ModelFleet:
    """
    Owns the clock, the log, the workers and the leader's tasks.

    Attributes
    ----------
    submitted, started, ended : dict of str to float
        Times of submission, first start and end by job, in seconds.
    """

    def __init__(self, site: Site, teams: dict[str, float], limit: int = 10_000):
        self.site = site
        self.clock = ModelClock()
        self.clock.advance(1.0)
        self.log = ModelLog(self.clock)
        self.run_recorder = RunRecorder()
        self.workers: dict[str, ModelWorker] = {}
        self.submitted: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.faults: list[str] = []
        self.next_usage_s = USAGE_INTERVAL_S
        self.start_leader_tasks()
        self.create_fleet(teams, limit)

    def start_leader_tasks(self) -> None:
        """Start the tasks of a new leader, which has only the replicated state."""
        self.log.listeners.clear()
        self.journal = DecisionJournal()
        self.usage = ResourceUsage(self.clock, self.log, self.log)
        self.jobs = JobDispatcher(
            self.clock, self.log, self.log, self.journal, self.usage
        )
        self.planner = ReclaimPlanner(self.clock, self.log, self.jobs, self.usage)
        weights = self.site.weights
        self.moves = PoolHostMover(self.clock, self.log, self.jobs, weights)
        self.retention = Retention(self.clock, self.log)

    def propose(self, command: Command) -> object:
        """Apply a command at once."""
        results: list = []
        done = ensureDeferred(self.log.propose(command))
        done.addCallback(results.append)
        return results[0]

    def must(self, command: Command) -> None:
        """Apply a command and assert that it is accepted."""
        outcome = self.propose(command)
        assert isinstance(outcome, Ok), outcome

    def create_fleet(self, teams: dict[str, float], limit: int) -> None:
        """Create pools, hosts, teams, services and workers."""
        site = self.site
        self.must(CreateTeam(OWNER, 1.0, 0))
        self.must(GiveKey("k", OWNER, b"", b""))
        for name, share in teams.items():
            self.must(CreateTeam(name, share, limit))
            self.run_recorder.limits[name] = limit
        for service in site.service_names:
            self.must(CreatePool(service))
            text = DOCUMENT.format(
                name=service,
                lease_ms=site.lease_ms,
                flags=site.flags,
                least=site.workers // 2,
            )
            self.must(ApplyDocument(text, 1))
            for number in range(site.workers):
                self.add_worker(service, service, number)
        if site.spare_hosts:
            self.must(CreatePool("office", spare=True))
        for number in range(site.spare_hosts):
            for service in site.service_names:
                self.add_worker("office", service, number)

    def add_worker(self, pool: str, service: str, number: int) -> None:
        """Add a host if it is new, and a worker of a service on it."""
        site = self.site
        host = f"{pool}-{number}"
        if host not in self.log.state.hosts:
            zone = site.zones[number % len(site.zones)]
            rack = f"{zone}-{number // len(site.zones) // site.rack_hosts}"
            size = Resources(float(site.processors), site.memory_mb)
            self.must(AddHost(host, pool, "here", zone, rack, size))
        name = f"{service}-on-{host}"
        shared = pool not in site.service_names
        slots = math.ceil(site.slots / site.services) if shared else site.slots
        worker = ModelWorker(
            self.clock, self.log, self.run_recorder, name, service, slots, "k"
        )
        worker.host = host
        worker.host_processors = float(site.processors)
        worker.on_start = self.on_start
        worker.on_done = self.on_done
        self.workers[name] = worker
        self.announce(worker, host)

    def announce(self, worker: ModelWorker, host: str) -> None:
        """Announce a worker in a new incarnation."""
        instance = f"{worker.name}-{self.log.state.applied_index}"
        self.must(
            AnnounceTarget(
                worker.name,
                host,
                worker.service,
                "127.0.0.1",
                0,
                slots=worker.slots,
                key=worker.key,
                instance=instance,
            )
        )
        worker.generation = self.log.state.targets[worker.name].generation
        worker.up = worker.connected = True
        worker.request_pending = False
        worker.take()

    def lose(self, worker: ModelWorker) -> None:
        """Kill a worker and drop its target as if its lease had expired."""
        worker.kill()
        self.propose(DropTarget(worker.name, worker.generation, lost=True))

    def submit(
        self,
        job_id: str,
        nature: JobProfile,
        urgent: bool = False,
        declared: float = 1.0,
    ) -> object:
        """Submit a job of a declared size in processors."""
        self.run_recorder.profiles[job_id] = nature
        self.submitted[job_id] = self.clock.seconds()
        command = SubmitJob(
            job_id,
            nature.service,
            nature.team,
            b"",
            urgent=urgent,
            repeatable=nature.repeatable,
            size=Resources(declared, 256),
        )
        return self.propose(command)

    def on_start(self, job_id: str) -> None:
        """Record the first start of a job."""
        self.started.setdefault(job_id, self.clock.seconds())

    def on_done(self, job_id: str, ran_s: float) -> None:
        """Record the end of a job."""
        self.ended[job_id] = self.clock.seconds()

    def run(self, seconds: float, each_tick: Callable[[], None] | None = None) -> None:
        """Advance the time in ticks."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end - 1e-9:
            if each_tick is not None:
                each_tick()
            self.tick()
            self.clock.advance(TICK_S)

    def tick(self) -> None:
        """Run the leader's periodic tasks; report usage every ``USAGE_INTERVAL_S``."""
        if self.log.leading:
            for task in (self.jobs, self.planner, self.moves, self.retention):
                done = ensureDeferred(task.tick())
                done.addErrback(self.on_task_failure)
        if self.clock.seconds() >= self.next_usage_s:
            self.next_usage_s += USAGE_INTERVAL_S
            up = [one for one in self.workers.values() if one.up and one.connected]
            reports = tuple(worker.usage() for worker in up if worker.runs)
            ensureDeferred(self.log.ask(UsageReport("entry-1", reports)))
        for worker in self.workers.values():
            worker.take()
        assert not self.faults, self.faults[0]

    def on_task_failure(self, failure) -> None:
        """Record the failure of a task."""
        self.faults.append(failure.getTraceback())
