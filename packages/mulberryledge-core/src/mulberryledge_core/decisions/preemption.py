"""
mulberryledge_core.decisions.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fair shares of the teams, and the running jobs to preempt where a service is full.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.decisions.loads import Load, dominant_fraction, scaled
from mulberryledge_core.decisions.queues import AGED_AFTER_MS, QueueDemand
from mulberryledge_core.decisions.shares import Claimant, fair_tasks

__all__ = [
    "FairShare",
    "Order",
    "Reclaim",
    "RunningJob",
    "ServiceCapacity",
    "due_demands",
    "excess_tasks",
    "fair_shares",
    "plan_reclaims",
]

RECLAIM_AFTER_MS = 1_000
URGENT_RECLAIM_AFTER_MS = 300
MAX_STOPS_PER_JOB = 2
MIN_EXCESS_TASKS = 1.0
ROUNDING_TOLERANCE = 1e-6


class Order(StrEnum):
    """Order to a target about a running job."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class FairShare:
    """
    Entitlement of a team while the capacity is exhausted.

    Attributes
    ----------
    team : str
        Name of the team.
    tasks : float
        Fair number of running calls and jobs.
    fraction : float
        Dominant fraction of the capacity that the team may always use: that of its
        fair tasks, or its part by weight if that is larger.
    """

    team: str
    tasks: float
    fraction: float


@dataclass(frozen=True, slots=True)
class RunningJob:
    """
    A running job considered for preemption.

    Attributes
    ----------
    orders : tuple of Order
        Orders that its service document and its kind allow, mildest first; empty
        for a job that must not be repeated.
    ran_ms, waited_ms : int
        Time since its start and since its submission, in milliseconds.
    stops : int
        Number of times that it was stopped.
    ordered : bool
        Whether an order is pending.
    """

    job_id: str
    attempt: int
    service: str
    team: str
    orders: tuple[Order, ...]
    ran_ms: int = 0
    waited_ms: int = 0
    stops: int = 0
    urgent: bool = False
    ordered: bool = False


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """
    Free slots of one service.

    Attributes
    ----------
    free : int
        Slots that new jobs can take now.
    short_of_processors : bool
        Whether slots are free but the processors of the hosts are exhausted, so
        that throttling a job frees usable capacity.
    """

    service: str
    free: int
    short_of_processors: bool = False


@dataclass(frozen=True, slots=True)
class Reclaim:
    """A running job to throttle, checkpoint or stop, and why."""

    job_id: str
    attempt: int
    order: Order
    cause: str


def fair_shares(claimants: Iterable[Claimant], capacity: Load) -> dict[str, FairShare]:
    """Return each team's fair share of the capacity."""
    all_claimants = tuple(claimants)
    tasks = fair_tasks(all_claimants, capacity)
    total_weight = sum(claimant.weight for claimant in all_claimants)
    shares = {}
    for claimant in all_claimants:
        fair_fraction = dominant_fraction(
            scaled(claimant.size, tasks[claimant.team]), capacity
        )
        fraction = max(fair_fraction, claimant.weight / total_weight)
        shares[claimant.team] = FairShare(claimant.team, tasks[claimant.team], fraction)
    return shares


def excess_tasks(
    tasks: Mapping[str, int], shares: Mapping[str, FairShare]
) -> dict[str, float]:
    """Return the number of tasks above its share of each team that runs any."""
    return {
        team: count - _fair_tasks(shares, team)
        for team, count in tasks.items()
        if count > 0
    }


def due_demands(
    capacities: Iterable[ServiceCapacity],
    demands: Iterable[QueueDemand],
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> tuple[QueueDemand, ...]:
    """
    Return the demands for which to preempt running jobs, longest urgent wait first.

    These are the demands on full services of teams that are below their share and
    have waited for :data:`RECLAIM_AFTER_MS`, or whose urgent jobs have waited for
    :data:`URGENT_RECLAIM_AFTER_MS`.
    """
    full_services = {one.service for one in capacities if one.free <= 0}
    due = [
        one
        for one in demands
        if one.service in full_services and _slots_due(one, tasks, shares) > 0
    ]
    return tuple(sorted(due, key=_urgency_key))


def plan_reclaims(
    capacities: Iterable[ServiceCapacity],
    due: Iterable[QueueDemand],
    running: Iterable[RunningJob],
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> tuple[Reclaim, ...]:
    """
    Return the jobs to throttle, checkpoint or stop to restore the fair shares.

    Jobs are preempted only in teams above their share: first in the team with the
    largest excess, and there the job that loses least work. An urgent job of a team
    below its share may displace any job; one of another team displaces a job of its
    own team, or else of a team above its share.

    Parameters
    ----------
    capacities : iterable of ServiceCapacity
        Free slots by service.
    due : iterable of QueueDemand
        Result of :func:`due_demands`.
    running : iterable of RunningJob
        Running jobs; those that must not be preempted have no orders.
    tasks : mapping of str to int
        Running calls and jobs by team, over the fleet.
    shares : mapping of str to FairShare
        Fair shares by team.
    """
    full_services = {one.service: one for one in capacities if one.free <= 0}
    victims: dict[str, dict[str, list[RunningJob]]] = defaultdict(dict)
    ordered_jobs: Counter[str] = Counter()
    for job in running:
        if job.ordered:
            ordered_jobs[job.service] += 1
        elif job.service in full_services and _may_reclaim(
            job, full_services[job.service]
        ):
            victims[job.service].setdefault(job.team, []).append(job)
    for teams in victims.values():
        for jobs in teams.values():
            jobs.sort(key=_preemption_cost, reverse=True)
    excess = excess_tasks(tasks, shares)
    reclaims: list[Reclaim] = []
    for demand in due:
        requested = _slots_due(demand, tasks, shares)
        pending = min(requested, ordered_jobs[demand.service])
        ordered_jobs[demand.service] -= pending
        for _ in range(requested - pending):
            below_share = tasks.get(demand.team, 0) < _fair_tasks(shares, demand.team)
            victim = _pick_victim(victims[demand.service], excess, demand, below_share)
            if victim is None:
                break
            excess[victim.team] -= 1
            capacity = full_services[demand.service]
            reclaims.append(_reclaim(victim, demand, capacity, tasks, shares))
    return tuple(reclaims)


def _preemption_cost(job: RunningJob) -> tuple:
    """Return a sort key by the work that a job loses when it is preempted."""
    return Order.CHECKPOINT not in job.orders, job.ran_ms, job.job_id


def _may_reclaim(job: RunningJob, capacity: ServiceCapacity) -> bool:
    """Return whether a job may be preempted; urgent and aged ones may not."""
    if job.urgent or job.stops >= MAX_STOPS_PER_JOB or job.waited_ms >= AGED_AFTER_MS:
        return False
    return _mildest_order(job, capacity) is not None


def _mildest_order(job: RunningJob, capacity: ServiceCapacity) -> Order | None:
    """Return the mildest allowed order that frees capacity, or None."""
    for order in job.orders:
        if order != Order.THROTTLE or capacity.short_of_processors:
            return order
    return None


def _fair_tasks(shares: Mapping[str, FairShare], team: str) -> float:
    share = shares.get(team)
    return share.tasks if share is not None else 0.0


def _urgency_key(demand: QueueDemand) -> tuple:
    return -demand.oldest_urgent_ms, -demand.oldest_ms, demand.service, demand.team


def _slots_due(
    demand: QueueDemand, tasks: Mapping[str, int], shares: Mapping[str, FairShare]
) -> int:
    """Return the number of slots to reclaim for a team's demand."""
    missing_tasks = _fair_tasks(shares, demand.team) - tasks.get(demand.team, 0)
    slots_due = 0
    if demand.oldest_ms >= RECLAIM_AFTER_MS:
        slots_due = min(demand.waiting, int(missing_tasks + ROUNDING_TOLERANCE))
    if demand.urgent and demand.oldest_urgent_ms >= URGENT_RECLAIM_AFTER_MS:
        slots_due = max(slots_due, demand.urgent if missing_tasks > 0 else 1)
    return slots_due


def _pick_victim(
    victims: dict[str, list[RunningJob]],
    excess: Mapping[str, float],
    demand: QueueDemand,
    below_share: bool,
) -> RunningJob | None:
    """Remove and return the cheapest job of the team that yields first, or None."""
    prefer_own = demand.urgent > 0 and not below_share
    best_team, best_rank = None, (False, -math.inf)
    for team, jobs in victims.items():
        team_excess = excess.get(team, 0.0)
        is_own = prefer_own and team == demand.team
        eligible = (
            team_excess >= MIN_EXCESS_TASKS
            or is_own
            or (demand.urgent > 0 and below_share)
        )
        if jobs and eligible and (is_own, team_excess) > best_rank:
            best_team, best_rank = team, (is_own, team_excess)
    return victims[best_team].pop() if best_team is not None else None


def _reclaim(
    victim: RunningJob,
    demand: QueueDemand,
    capacity: ServiceCapacity,
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> Reclaim:
    order = _mildest_order(victim, capacity)
    assert order is not None, "victims allow at least one order"
    cause = (
        f"service {demand.service!r} is full; team {victim.team!r} runs"
        f" {tasks.get(victim.team, 0)} of a fair"
        f" {_fair_tasks(shares, victim.team):.1f}, team"
        f" {demand.team!r} runs {tasks.get(demand.team, 0)} of"
        f" {_fair_tasks(shares, demand.team):.1f} and has"
        f" {demand.urgent or demand.waiting} {'urgent ' if demand.urgent else ''}"
        f"jobs waiting"
    )
    return Reclaim(victim.job_id, victim.attempt, order, cause)
