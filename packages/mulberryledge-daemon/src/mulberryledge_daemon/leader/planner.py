"""
mulberryledge_daemon.leader.planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Plans shares and reclaims over the whole fleet, at a fixed pace.
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
from mulberryledge_daemon.leader.jobs import Jobs
from mulberryledge_daemon.leader.usage import Usage, fleet_capacity
from mulberryledge_daemon.leader.views import running_on, targets_of
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Planner", "allowed_orders"]

PLAN_INTERVAL_S = 0.5
URGENT_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 5.0
MAX_LOAD = 0.016  # of a core
MAX_URGENT_LOAD = 0.2  # of a core, while urgent jobs wait
MAX_SIZES_A_TEAM = 3
MAX_SERVICES_A_PLAN = 4
KINDS = {
    Order.THROTTLE: DecisionKind.THROTTLE,
    Order.CHECKPOINT: DecisionKind.CHECKPOINT,
    Order.STOP: DecisionKind.STOP,
}


class Planner:
    """Drives the decisions on shares and reclaims."""

    def __init__(
        self, clock: IReactorTime, log: ReplicatedLog, jobs: Jobs, usage: Usage
    ):
        self.clock = clock
        self.log = log
        self.jobs = jobs
        self.usage = usage
        self.planned_s = 0.0
        self.cost_s = 0.0

    async def tick(self) -> None:
        """Plan, if it is time."""
        now_s = self.clock.seconds()
        index = self.jobs.current()
        if now_s - self.planned_s < self.interval_s(index):
            return
        self.planned_s = now_s
        self.plan(index)
        self.cost_s = self.clock.seconds() - now_s

    def interval_s(self, index: JobIndex) -> float:
        """Return the time between plans, which keeps their load within bounds."""
        if not index.queues:
            return IDLE_INTERVAL_S
        if index.queues.urgent_count:
            return max(URGENT_INTERVAL_S, self.cost_s / MAX_URGENT_LOAD)
        return max(PLAN_INTERVAL_S, self.cost_s / MAX_LOAD)

    def plan(self, index: JobIndex) -> None:
        """Compute the fair shares and order what they call for."""
        state = index.state
        capacity = fleet_capacity(state)
        demands = list(index.queues.demands(self.log.time_ms()))
        tasks = Counter(
            {team: team_permits_in_use(state, team) for team in state.teams}
        )
        claimants = self.claimants(index, demands, tasks)
        shares = fair_shares(claimants, capacity)
        self.jobs.matching.uses.shares = shares
        rooms = self.rooms(state, demands)
        self.release(index, {one.service for one in rooms if one.free <= 0})
        due = due_demands(rooms, demands, tasks, shares)
        if not due:
            return
        above = {
            team for team, more in excess_tasks(tasks, shares).items() if more >= 1
        }
        if any(one.urgent for one in due):
            above.update(state.teams)
        services = tuple(dict.fromkeys(one.service for one in due))
        most_pressing = frozenset(services[:MAX_SERVICES_A_PLAN])
        due = [one for one in due if one.service in most_pressing]
        running = self.running(index, most_pressing, above)
        for reclaim in plan_reclaims(rooms, due, running, tasks, shares):
            attempt = Attempt(reclaim.job_id, reclaim.attempt)
            self.jobs.order(attempt, reclaim.order)
            subject = f"job/{reclaim.job_id}"
            self.jobs.note(KINDS[reclaim.order], subject, reclaim.cause)

    def release(self, index: JobIndex, full: set[str]) -> None:
        """Let throttled jobs of services with room go on."""
        for attempt, order in list(self.jobs.leases.orders.items()):
            entry = index.running.get(attempt.job_id)
            if order != Order.THROTTLE or entry is None or entry.service in full:
                continue
            self.jobs.order(attempt, Order.NONE)

    def claimants(
        self, index: JobIndex, demands: list[QueueDemand], tasks: Counter[str]
    ) -> Iterator[Claimant]:
        """Yield the teams that run or want something."""
        waiting: Counter[str] = Counter()
        sizes: dict[str, list[Load]] = {}
        for demand in demands:
            waiting[demand.team] += demand.waiting
            listed = sizes.setdefault(demand.team, [])
            if len(listed) < MAX_SIZES_A_TEAM:
                listed.append(self.size(index, demand))
        parts = self.jobs.matching.uses.job_parts
        for name, team in index.state.teams.items():
            demand = min(team.upper_limit, tasks[name] + waiting[name])
            if demand <= 0:
                continue
            listed = sizes.get(name)
            size = scaled(total(listed), 1 / len(listed)) if listed else Load(1.0)
            running = index.team_jobs[name]
            if running and not listed:
                size = self.running_size(index, parts[name] / running)
            yield Claimant(name, team.share, demand, size)

    def running_size(self, index: JobIndex, part: float) -> Load:
        """Return a size whose dominant fraction is the given one."""
        slots = self.jobs.matching.uses.capacity.slots
        return Load(max(1.0, part * slots))

    def size(self, index: JobIndex, demand: QueueDemand) -> Load:
        """Return the expected size of the next job of a team on a service."""
        lane = index.queues.team_queues[demand.service][demand.team]
        head = lane.head(False) or lane.head(True)
        return self.usage.expected(index.state.jobs[head[1]])

    def rooms(
        self, state: ClusterState, demands: list[QueueDemand]
    ) -> tuple[ServiceCapacity, ...]:
        """Return the free slots of the services that have work waiting."""
        rooms = []
        crowded = {service for service, _ in self.jobs.matching.blocked}
        for service in sorted({demand.service for demand in demands}):
            free = 0
            for target in targets_of(state, service):
                if state.target_accepts_work(target.name):
                    free += target.slots - slots_in_use(state, target.name)
            short = free > 0 and service in crowded
            rooms.append(ServiceCapacity(service, 0 if short else free, short))
        return tuple(rooms)

    def running(
        self, index: JobIndex, services: frozenset[str], teams: set[str]
    ) -> Iterator[RunningJob]:
        """Yield running jobs of the services and teams as reclaiming sees them."""
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
    Return what may be asked of a running job, mildest first.

    A job that must not be repeated is never checkpointed or stopped: the lost
    answer to such an order could not be told from a lost run.
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
