"""
mulberryledge_daemon.leader.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Plans fair shares and reclaims for the whole fleet at intervals.
"""

from collections import Counter
from collections.abc import Iterator

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.loads import Load, scaled, total
from mulberryledge_core.decisions.preemption import (
    Order,
    RunningJob,
    ServiceCapacity,
    due_demands,
    excess_tasks,
    fair_shares,
    plan_reclaims,
)
from mulberryledge_core.decisions.queues import QueueDemand
from mulberryledge_core.decisions.shares import Claimant
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.services import QueueSection
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import slots_in_use, team_permits_in_use
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.job_leases import Attempt
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.leader.usage import ResourceUsage, fleet_capacity
from mulberryledge_daemon.leader.views import running_on, targets_of
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["ReclaimPlanner", "allowed_orders"]

PLAN_INTERVAL_S = 0.5
URGENT_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 5.0
MAX_PLANNING_CORES = 0.016
MAX_URGENT_PLANNING_CORES = 0.2  # while urgent jobs wait
MAX_SIZES_PER_TEAM = 3
MAX_SERVICES_PER_PLAN = 4
DECISION_KINDS = {
    Order.THROTTLE: DecisionKind.THROTTLE,
    Order.CHECKPOINT: DecisionKind.CHECKPOINT,
    Order.STOP: DecisionKind.STOP,
}


class ReclaimPlanner:
    """Computes fair shares and orders the reclaims that they require."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        jobs: JobDispatcher,
        usage: ResourceUsage,
    ):
        self.clock = clock
        self.log = log
        self.jobs = jobs
        self.usage = usage
        self.last_plan_s = 0.0
        self.plan_duration_s = 0.0

    async def tick(self) -> None:
        """Plan if the interval has elapsed."""
        now_s = self.clock.seconds()
        index = self.jobs.current_index()
        if now_s - self.last_plan_s < self.interval_s(index):
            return
        self.last_plan_s = now_s
        self.plan(index)
        self.plan_duration_s = self.clock.seconds() - now_s

    def interval_s(self, index: JobIndex) -> float:
        """Return the time between plans, which bounds their processor use."""
        if not index.queues:
            return IDLE_INTERVAL_S
        if index.queues.urgent_count:
            return max(
                URGENT_INTERVAL_S, self.plan_duration_s / MAX_URGENT_PLANNING_CORES
            )
        return max(PLAN_INTERVAL_S, self.plan_duration_s / MAX_PLANNING_CORES)

    def plan(self, index: JobIndex) -> None:
        """Compute the fair shares and order the reclaims that they require."""
        state = index.state
        capacity = fleet_capacity(state)
        demands = list(index.queues.demands(self.log.time_ms()))
        tasks_in_use = Counter(
            {team: team_permits_in_use(state, team) for team in state.teams}
        )
        claimants = self.claimants(index, demands, tasks_in_use)
        shares = fair_shares(claimants, capacity)
        self.jobs.matching.team_usages.shares = shares
        capacities = self.service_capacities(state, demands)
        self.resume_throttled(
            index, {one.service for one in capacities if one.free <= 0}
        )
        due = due_demands(capacities, demands, tasks_in_use, shares)
        if not due:
            return
        teams_above_share = {
            team
            for team, excess in excess_tasks(tasks_in_use, shares).items()
            if excess >= 1
        }
        if any(one.urgent for one in due):
            teams_above_share.update(state.teams)
        services = tuple(dict.fromkeys(one.service for one in due))
        most_pressing = frozenset(services[:MAX_SERVICES_PER_PLAN])
        due = [one for one in due if one.service in most_pressing]
        running = self.running_jobs(index, most_pressing, teams_above_share)
        for reclaim in plan_reclaims(capacities, due, running, tasks_in_use, shares):
            attempt = Attempt(reclaim.job_id, reclaim.attempt)
            self.jobs.order(attempt, reclaim.order)
            subject = f"job/{reclaim.job_id}"
            self.jobs.record_decision(
                DECISION_KINDS[reclaim.order], subject, reclaim.cause
            )

    def resume_throttled(self, index: JobIndex, full_services: set[str]) -> None:
        """Lift the throttling of jobs whose services have free slots."""
        for attempt, order in list(self.jobs.leases.orders.items()):
            entry = index.running.get(attempt.job_id)
            if (
                order != Order.THROTTLE
                or entry is None
                or entry.service in full_services
            ):
                continue
            self.jobs.order(attempt, Order.NONE)

    def claimants(
        self, index: JobIndex, demands: list[QueueDemand], tasks: Counter[str]
    ) -> Iterator[Claimant]:
        """Yield the teams that have running or waiting work."""
        waiting: Counter[str] = Counter()
        sizes: dict[str, list[Load]] = {}
        for demand in demands:
            waiting[demand.team] += demand.waiting
            team_sizes = sizes.setdefault(demand.team, [])
            if len(team_sizes) < MAX_SIZES_PER_TEAM:
                team_sizes.append(self.next_job_size(index, demand))
        job_fractions = self.jobs.matching.team_usages.job_fractions
        for name, team in index.state.teams.items():
            demand = min(team.upper_limit, tasks[name] + waiting[name])
            if demand <= 0:
                continue
            team_sizes = sizes.get(name)
            size = (
                scaled(total(team_sizes), 1 / len(team_sizes))
                if team_sizes
                else Load(1.0)
            )
            running_count = index.team_jobs[name]
            if running_count and not team_sizes:
                size = self.mean_running_size(
                    index, job_fractions[name] / running_count
                )
            yield Claimant(name, team.share, demand, size)

    def mean_running_size(self, index: JobIndex, fraction: float) -> Load:
        """Return a size in slots that has the given dominant fraction."""
        slots = self.jobs.matching.team_usages.capacity.slots
        return Load(max(1.0, fraction * slots))

    def next_job_size(self, index: JobIndex, demand: QueueDemand) -> Load:
        """Return the expected size of the next job of a team on a service."""
        team_queue = index.queues.team_queues[demand.service][demand.team]
        head = team_queue.head(False) or team_queue.head(True)
        return self.usage.expected_size(index.state.jobs[head[1]])

    def service_capacities(
        self, state: ClusterState, demands: list[QueueDemand]
    ) -> tuple[ServiceCapacity, ...]:
        """Return the free slots of the services that have queued work."""
        capacities = []
        blocked_services = {service for service, _ in self.jobs.matching.blocked}
        for service in sorted({demand.service for demand in demands}):
            free = 0
            for target in targets_of(state, service):
                if state.target_accepts_work(target.name):
                    free += target.slots - slots_in_use(state, target.name)
            is_fragmented = free > 0 and service in blocked_services
            capacities.append(
                ServiceCapacity(service, 0 if is_fragmented else free, is_fragmented)
            )
        return tuple(capacities)

    def running_jobs(
        self, index: JobIndex, services: frozenset[str], teams: set[str]
    ) -> Iterator[RunningJob]:
        """Yield the running jobs of the services and teams as input to reclaiming."""
        state = index.state
        now_ms = self.log.time_ms()
        orders = self.jobs.leases.orders
        for service in services:
            queue = state.services[service].document.queue
            for target in targets_of(state, service):
                for job in running_on(state, target.name):
                    if job.service != service or job.team not in teams:
                        continue
                    order = orders.get(Attempt(job.job_id, job.attempt), Order.NONE)
                    allowed = allowed_orders(job, queue)
                    if order == Order.THROTTLE:
                        allowed = tuple(one for one in allowed if one != order)
                    yield RunningJob(
                        job_id=job.job_id,
                        attempt=job.attempt,
                        service=service,
                        team=job.team,
                        orders=allowed,
                        ran_ms=now_ms - job.started_ms,
                        waited_ms=now_ms - job.submitted_ms,
                        stops=job.stops,
                        urgent=job.urgent,
                        ordered=order in (Order.CHECKPOINT, Order.STOP),
                    )


def allowed_orders(job: Job, queue: QueueSection | None) -> tuple[Order, ...]:
    """
    Return the orders that a running job may be given, mildest first.

    A non-repeatable job is never checkpointed or stopped: a lost answer to such an
    order could not be distinguished from a lost run.
    """
    if queue is None or job.cancel_requested:
        return ()
    orders = []
    if queue.may_throttle:
        orders.append(Order.THROTTLE)
    if queue.may_checkpoint and job.repeatable:
        orders.append(Order.CHECKPOINT)
    if queue.may_stop and job.repeatable:
        orders.append(Order.STOP)
    return tuple(orders)
