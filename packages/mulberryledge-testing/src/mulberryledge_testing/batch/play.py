"""
mulberryledge_testing.batch.play
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulates a day of the fleet in virtual time, and reports the outcomes of the jobs.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from mulberryledge_core.batch.commands import (
    BeginWave,
    CancelJob,
    ChangeSet,
    PutConfiguration,
    SubmitJob,
)
from mulberryledge_core.batch.configuration import (
    AdviceCost,
    FleetConfiguration,
    PoolConfig,
    Queue,
    TeamConfig,
)
from mulberryledge_core.batch.pools import PoolPolicy
from mulberryledge_core.batch.records import JobPhase
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import TaskId
from mulberryledge_core.batch.target_health import HealthPolicy
from mulberryledge_core.batch.throttling import ThrottlePolicy
from mulberryledge_core.batch.upkeep import UpkeepTiming
from mulberryledge_daemon.batch.advice import AdviceRequests
from mulberryledge_daemon.batch.filler_throttle import FillerThrottle
from mulberryledge_daemon.batch.host_losses import LossDetector
from mulberryledge_daemon.batch.hosts import HostTable
from mulberryledge_daemon.batch.moves import HostMover
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.sessions import SessionTiming
from mulberryledge_daemon.batch.upkeep import WaveController
from mulberryledge_daemon.batch.watchdog import Watchdog
from mulberryledge_testing.batch.advisor import SimulatedAdvisor
from mulberryledge_testing.batch.demand import Arrival, Site, arrivals
from mulberryledge_testing.batch.fleet import Fleet
from mulberryledge_testing.batch.log import SimulatedLog, SimulatedReplica
from mulberryledge_testing.batch.starvation import StarvationChecker
from mulberryledge_testing.batch.target import TaskTruth
from mulberryledge_testing.batch.witness import InvariantChecker
from mulberryledge_testing.clock import SortedClock

__all__ = ["Day", "Report", "play"]

STEP_S = 0.001
SAMPLE_INTERVAL_S = 0.25
SPARE = "office"
DAEMONS = ("core-1", "core-2", "core-3")
LATE_FACTOR = 3.0
SHORT_WORK_MS = 1_000
POOL_POLICY = PoolPolicy()
ADVICE = AdviceCost(decision_ms=60, per_target_ms=5, validity_ms=2_000)
MOVE_MS, UPKEEP_MS, HOLDER_MS = 1_500, 2_000, 3_000


@dataclass(slots=True)
class Report:
    """
    Outcomes of the jobs of a simulated day, and its cost.

    Attributes
    ----------
    in_time, late, given_up : dict of str to int
        Number of jobs by queue and outcome.
    long_running_shares : list of float
        Share of long-running tasks that work, by sample.
    host_seconds : float
        Host time in seconds, the spare pool excluded.
    """

    in_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    late: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    given_up: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    long_running_shares: list[float] = field(default_factory=list)
    host_seconds: float = 0.0
    moves: int = 0
    problems: list[str] = field(default_factory=list)

    def share_in_time(self) -> float:
        """Return the share of the jobs that ended in time."""
        good = sum(self.in_time.values())
        total = good + sum(self.late.values()) + sum(self.given_up.values())
        return good / max(1, total)


class Day:
    """
    Owns all components of one simulated day.

    Parameters
    ----------
    pool_policy : PoolPolicy or None
        How pools are sized; None disables moves of hosts.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        pool_policy: PoolPolicy | None = POOL_POLICY,
        limit_factor: float = 0.0,
    ):
        self.site = site
        self.random = Random(seed)
        self.clock = SortedClock()
        self.log = SimulatedLog(self.clock)
        self.truths: dict[str, tuple[TaskTruth, ...]] = {}
        state = self.log.machine.state
        self.checker = InvariantChecker(self.clock, state, self.log.wall_ms)
        self.fleet = Fleet(
            self.clock, self.random, self.truth_of, self.checker.on_event
        )
        self.fleet.spare = SPARE
        self.fleet.announce = self.on_announcement
        self.advisor = SimulatedAdvisor(self.clock, self.random, self.needs_ticket)
        self.fleet.ticket_valid = self.advisor.valid
        self.schedulers: dict[str, Scheduler] = {}
        self.tables: dict[str, HostTable] = {}
        self.pool_policy = pool_policy
        self.limit_factor = limit_factor
        self.submitted: dict[str, Arrival] = {}
        self.completed_s: dict[str, float] = {}
        self.report = Report()
        self.duration_factor = 1.0
        self.starvation = StarvationChecker(self)
        self.build()

    def build(self) -> None:
        """Create hosts and schedulers, and apply the configuration."""
        for pool in (*self.site.pools, SPARE):
            for number in range(self.site.hosts):
                rack = f"r{number % self.site.racks}"
                self.fleet.add_host(pool, rack, self.site.host)
        for name in DAEMONS:
            self.schedulers[name] = self.make_scheduler(name)
        self.log.elect(DAEMONS[0])
        self.log.apply(ChangeSet(self.log.term, (self.configuration(),)))
        for scheduler in self.schedulers.values():
            scheduler.start()

    def make_scheduler(self, name: str) -> Scheduler:
        """Return the scheduler of one daemon."""
        replica = SimulatedReplica(self.log, name)
        scheduler = Scheduler(
            self.clock,
            replica,
            self.fleet,
            SessionTiming(lease_ms=4_000),
            150_000,
            2.0,
            self.log.wall_ms,
            self.random,
        )
        table = HostTable(
            self.log.machine.state, self.fleet.cloud, MOVE_MS, replica.now
        )
        self.tables[name] = table
        cloud = self.fleet.cloud
        AdviceRequests(scheduler, self.advisor)
        LossDetector(scheduler, cloud)
        FillerThrottle(scheduler, ThrottlePolicy())
        Watchdog(scheduler, HealthPolicy())
        WaveController(scheduler, cloud, table, UPKEEP_MS, HOLDER_MS, UpkeepTiming())
        if self.pool_policy is not None:
            HostMover(scheduler, cloud, table, HOLDER_MS, self.pool_policy)
        return scheduler

    def configuration(self) -> PutConfiguration:
        """Return the configuration of the installation."""
        queues = tuple(
            Queue(
                name=kind.queue,
                host="example",
                path_prefix=f"/{kind.queue}/",
                pool=kind.pool,
                public=kind.long_running,
                priority=kind.priority,
                max_attempts=kind.attempts,
                stretch=kind.stretch,
                target_latency_ms=kind.latency_ms,
                timeout_ms=3_000,
                advice=ADVICE if kind.advised else None,
            )
            for kind in self.site.kinds
        )
        pools = (*(PoolConfig(one) for one in self.site.pools), PoolConfig(SPARE, True))
        limit = Size()
        if self.limit_factor:
            total = self.site.host.times(self.site.hosts)
            limit = Size(int(total.cpu_millis * self.limit_factor))
        teams = tuple(
            TeamConfig(f"team-{number}", (f"key-{number}",), upper_limit=limit)
            for number in range(self.site.teams)
        )
        return PutConfiguration(FleetConfiguration(1, queues, pools, teams), b"{}")

    def needs_ticket(self, job_id: str) -> bool:
        """Return whether the tasks of a job need a ticket."""
        arrival = self.submitted.get(job_id)
        return arrival is not None and arrival.kind.advised

    def truth_of(self, task: TaskId) -> TaskTruth:
        """Return the actual work of a task."""
        return self.truths[task.job_id][task.step]

    @property
    def leader(self) -> Scheduler | None:
        """The scheduler of the leading daemon."""
        return self.schedulers.get(self.log.leader)

    def on_announcement(self, target, clock_ms: int) -> None:
        """Pass a target's announcement to the leader."""
        if self.leader is not None and self.leader.may_order():
            self.leader.record_target(target, clock_ms)

    def submit(self, arrival: Arrival, tries: int = 20) -> None:
        """Submit a job, with retries until a leader has accepted it."""
        truths = arrival.truths
        short = arrival.kind.work_ms < SHORT_WORK_MS
        if self.duration_factor > 1 and short and arrival.job_id[0] in "01234":
            truths = tuple(
                replace(truth, duration_ms=truth.duration_ms * self.duration_factor)
                for truth in truths
            )
        self.truths.setdefault(arrival.job_id, truths)
        self.submitted.setdefault(arrival.job_id, arrival)
        self.checker.submitted[arrival.job_id] = SubmitJob(
            arrival.job_id, arrival.kind.queue, arrival.team, arrival.spec
        )
        if self.leader is None or not self.leader.may_order():
            if tries:
                self.clock.callLater(0.25, self.submit, arrival, tries - 1)
            return
        done = self.leader.cycles.submit(self.checker.submitted[arrival.job_id])
        done.addCallback(
            lambda verdict: (
                verdict == "yes"
                or self.clock.callLater(0.25, self.submit, arrival, tries - 1)
            )
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        self.checker.cancel_sent.add(job_id)
        done = self.leader.cycles.submit(CancelJob(job_id))

        def acknowledged(verdict) -> None:
            self.checker.cancelled[job_id] = self.clock.seconds()

        done.addCallback(acknowledged)

    def begin_wave(self, wave: int, share: float, seconds: float, limit: int) -> None:
        """Request a wave of upkeep, as an operator does."""
        hosts = sorted(self.fleet.cloud.hosts)
        chosen = self.random.sample(hosts, int(len(hosts) * share))
        self.fleet.cloud.waves[wave] = set(chosen)
        change = BeginWave(wave, tuple(chosen), int(seconds * 1_000), limit)
        self.leader.cycles.submit(change)

    def at(self, seconds: float, action: Callable, *arguments) -> None:
        """Call an action after a delay in virtual time."""
        self.clock.callLater(seconds, action, *arguments)

    def run(self, duration_s: float, load: float = 1.0, tail_s: float = 12.0) -> Report:
        """Simulate the day, and return its report."""
        for arrival in arrivals(self.site, self.random, duration_s, load):
            self.at(arrival.at_s, self.submit, arrival)
        self.clock.callLater(SAMPLE_INTERVAL_S, self.sample_state)
        self.pass_time(duration_s + tail_s)
        return self.finish(duration_s)

    def pass_time(self, seconds: float) -> None:
        """Advance virtual time from one scheduled call to the next."""
        self.clock.run_until(self.clock.seconds() + seconds)

    def sample_state(self) -> None:
        """Record ended jobs and the cost of the fleet, and check tail latencies."""
        for job_id in self.submitted:
            job = self.log.machine.state.jobs.get(job_id)
            if job_id not in self.completed_s and job is not None and job.ended:
                self.completed_s[job_id] = job.ended_ms / 1_000
        hosts = self.fleet.cloud.hosts.values()
        self.report.host_seconds += SAMPLE_INTERVAL_S * sum(
            one.pool != SPARE for one in hosts
        )
        self.report.long_running_shares.append(self.long_running_share())
        for incarnation in self.fleet.targets.values():
            self.checker.check_tail_latency(incarnation)
        self.check_leases()
        self.starvation.observe()
        self.clock.callLater(SAMPLE_INTERVAL_S, self.sample_state)

    def check_leases(self) -> None:
        """Check that no lease outlasts what the leader counts."""
        leader = self.leader
        if leader is None or not leader.may_order():
            return
        for session in leader.sessions.values():
            process = self.fleet.targets.get(session.target.host)
            if process is None or process.target.incarnation != session.incarnation:
                continue
            if session.live_runs():
                self.checker.check_lease(process, session.lease_end_ms)

    def long_running_share(self) -> float:
        """Return the share of the long-running tasks that work."""
        expected = working = 0
        for arrival in self.submitted.values():
            if arrival.kind.long_running:
                expected += sum(step.count for step in arrival.spec.steps)
        for incarnation in self.fleet.targets.values():
            for run in incarnation.running.values():
                if run.truth.spec.long_running and incarnation.percent(run) == 100:
                    working += 1
        return working / expected if expected else 1.0

    def finish(self, duration_s: float) -> Report:
        """Count the jobs by outcome, and return the report."""
        for job_id, arrival in self.submitted.items():
            if arrival.kind.long_running or job_id in self.checker.cancelled:
                continue
            if any(truth.fails for truth in arrival.truths):
                continue
            elapsed_ms = self.elapsed_ms(job_id, arrival)
            objective = objective_ms(arrival)
            queue = arrival.kind.queue
            if elapsed_ms is not None and elapsed_ms <= objective:
                self.report.in_time[queue] += 1
            elif elapsed_ms is not None and elapsed_ms <= LATE_FACTOR * objective:
                self.report.late[queue] += 1
            else:
                self.report.given_up[queue] += 1
        self.report.moves = self.fleet.cloud.moves
        self.report.problems = self.checker.problems
        return self.report

    def misplaced(self) -> list[str]:
        """Return the hosts that the leader assigns to a wrong pool."""
        known = self.tables[self.log.leader].hosts
        return [
            one.host
            for one in self.fleet.cloud.hosts.values()
            if one.host in known and known[one.host].pool != one.pool
        ]

    def elapsed_ms(self, job_id: str, arrival: Arrival) -> float | None:
        """Return how long a job took, None if it is not complete."""
        job = self.log.machine.state.jobs.get(job_id)
        if job is None or job.phase != JobPhase.COMPLETED:
            return None
        return job.ended_ms - self.log.wall_ms() + self.log.now() - arrival.at_s * 1_000


def objective_ms(arrival: Arrival) -> float:
    """Return the objective of a job, from the actual durations of its tasks."""
    ends: list[float] = []
    for step, truth in zip(arrival.spec.steps, arrival.truths, strict=True):
        start_ms = max((ends[before] for before in step.after), default=0.0)
        ends.append(start_ms + truth.duration_ms)
    return arrival.kind.stretch * max(ends) + arrival.kind.latency_ms


def play(
    site: Site,
    seed: int,
    duration_s: float = 34.0,
    load: float = 1.0,
    pool_policy: PoolPolicy | None = POOL_POLICY,
) -> Report:
    """Simulate a day without faults."""
    return Day(site, seed, pool_policy).run(duration_s, load)
