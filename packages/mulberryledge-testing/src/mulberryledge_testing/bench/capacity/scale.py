"""
mulberryledge_testing.bench.capacity.scale
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Time and memory of one plan, and of one start, at parts of the size to design for.
"""

import time
import tracemalloc
from dataclasses import dataclass
from statistics import median

from mulberryledge_core.documents import parse_document
from mulberryledge_core.model.hosts import Host, Pool, Resources
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.model.services import Service, ServiceVersion
from mulberryledge_core.model.targets import Target
from mulberryledge_core.model.teams import Team, TeamKey
from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.leader.planner import ReclaimPlanner
from mulberryledge_daemon.leader.usage import ResourceUsage
from mulberryledge_testing.fleet.clock import ModelClock
from mulberryledge_testing.fleet.log import ModelLog
from mulberryledge_testing.fleet.model import DOCUMENT, OWNER

__all__ = ["PlanFigures", "measure_plan"]

WORKERS = 1_000
ACCELERATORS = 1_500
POOLS = 21
TEAMS = 250
ZONES = 7
SLOTS = 8
QUEUED = 5_000
REPEATS = 7
DECLARED = Resources(1.0, 256)


@dataclass(frozen=True, slots=True)
class PlanFigures:
    """
    Cost of one plan.

    Attributes
    ----------
    plan_ms : float
        Time of a plan after one more job, in milliseconds.
    choose_ms : float
        Time to choose one match, in milliseconds.
    memory_mb : float
        Memory of the leader's capacity tasks beyond the state, in megabytes.
    """

    plan_ms: float
    choose_ms: float
    memory_mb: float


def measure_plan(part: float) -> PlanFigures:
    """Measure on a full fleet of a part of the whole size."""
    log = ModelLog(ModelClock())
    fill(log, part)
    tracemalloc.start()
    usage = ResourceUsage(log.clock, log, log)
    jobs = JobDispatcher(log.clock, log, log, DecisionJournal(), usage)
    planner = ReclaimPlanner(log.clock, log, jobs, usage)
    index = jobs.current_index()
    planner.plan(index)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    plan_times, choose_times = [], []
    free_one_slot(log, jobs)
    waiting = ["target-0"]
    for number in range(REPEATS):
        add_job(log, jobs, f"delta-{number}")
        plan_times.append(timed(lambda: planner.plan(index)))
        jobs.matching.start_cycle(["service-0"])
        choose_times.append(
            timed(lambda: jobs.matching.choose(index, "service-0", waiting))
        )
    return PlanFigures(median(plan_times), median(choose_times), memory_mb)


def timed(run) -> float:
    """Return the time that a call takes, in milliseconds."""
    begin = time.perf_counter()
    run()
    return (time.perf_counter() - begin) * 1_000


def add_job(log: ModelLog, jobs: JobDispatcher, job_id: str) -> None:
    """Queue one more job."""
    log.state.jobs[job_id] = Job(job_id, "service-0", "team-0", b"", size=DECLARED)
    jobs.current_index().refresh(job_id)


def free_one_slot(log: ModelLog, jobs: JobDispatcher) -> None:
    """End one job, so that a slot comes free."""
    del log.state.jobs["running-0-0"]
    jobs.current_index().refresh("running-0-0")


def fill(log: ModelLog, part: float) -> None:
    """Fill the state with a full fleet and its queues."""
    state = log.state
    teams = max(1, int(TEAMS * part))
    workers = int(WORKERS * part)
    pools = max(1, int(POOLS * part))
    state.teams[OWNER] = Team(OWNER, 1.0, 0)
    state.keys["k"] = TeamKey("k", OWNER, b"", b"")
    for number in range(teams):
        name = f"team-{number}"
        state.teams[name] = Team(name, 1.0 + number % 5, 10_000)
    for number in range(pools):
        name = f"service-{number}"
        text = DOCUMENT.format(
            name=name, lease_ms=5_000, flags="may_checkpoint = true", least=1
        )
        state.pools[name] = Pool(name)
        document = parse_document(text).ok_value
        state.services[name] = Service(name, document, (ServiceVersion(1, text, 1, 0),))
    for number in range(workers):
        add_worker(log, number, pools, teams)
    for number in range(int(QUEUED * part)):
        job_id = f"queued-{number}"
        state.jobs[job_id] = Job(
            job_id,
            f"service-{number % pools}",
            f"team-{number % teams}",
            b"",
            size=DECLARED,
            urgent=number % 50 == 0,
            submitted_ms=number,
        )


def add_worker(log: ModelLog, number: int, pools: int, teams: int) -> None:
    """Add a host with a target whose slots are all in use."""
    state = log.state
    accelerators = 3 if number % 2 else 0
    assert ACCELERATORS == 3 * WORKERS // 2, "every other worker has three"
    pool = f"service-{number % pools}"
    host, target = f"host-{number}", f"target-{number}"
    zone = f"zone-{number % ZONES}"
    resources = Resources(64.0, 131_072, accelerators)
    state.hosts[host] = Host(host, pool, "", zone, f"{zone}-{number // 28}", resources)
    state.targets[target] = Target(
        target, host, pool, "127.0.0.1", 0, slots=SLOTS, generation=1, key="k"
    )
    for slot in range(SLOTS):
        job_id = f"running-{number}-{slot}"
        team = f"team-{(number * SLOTS + slot) % max(1, teams // 2)}"
        state.jobs[job_id] = Job(
            job_id,
            pool,
            team,
            b"",
            size=DECLARED,
            phase=JobPhase.RUNNING,
            attempt=1,
            target=target,
        )
