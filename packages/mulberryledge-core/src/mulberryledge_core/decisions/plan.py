"""
mulberryledge_core.decisions.plan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One plan of the fleet: each team's fair share, and what to reclaim where it is full.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.decisions.loads import Load, dominant_fraction, scaled
from mulberryledge_core.decisions.queues import AGED_MS, QueueDemand
from mulberryledge_core.decisions.shares import Claimant, fair_tasks

__all__ = [
    "FairShare",
    "Order",
    "Reclaim",
    "RunningJob",
    "ServiceRoom",
    "due_demands",
    "excess_tasks",
    "fair_shares",
    "plan_reclaims",
]

RECLAIM_AFTER_MS = 1_000
URGENT_RECLAIM_AFTER_MS = 300
MAX_STOPS = 2
TOLERANCE = 1.0  # tasks
EPSILON = 1e-6


class Order(StrEnum):
    """What a target is asked to do with a running job."""

    NONE = "none"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class FairShare:
    """
    What a team is entitled to while everything is full.

    Attributes
    ----------
    team : str
        Name of the team.
    tasks : float
        Fair number of running calls and jobs.
    fraction : float
        Dominant fraction of the capacity that the team may use in any case: that
        of its tasks, or its weighted part if it asks for less now.
    """

    team: str
    tasks: float
    fraction: float


@dataclass(frozen=True, slots=True)
class RunningJob:
    """
    A running job as reclaiming sees it.

    Attributes
    ----------
    orders : tuple of Order
        What its service document and its kind allow, mildest first; empty for a
        job that must not be repeated.
    ran_ms, waited_ms : int
        Time since its start, and from its submission to now, in milliseconds.
    stops : int
        Times that it was stopped already.
    ordered : bool
        Whether an order is under way.
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
class ServiceRoom:
    """
    Slots of one service.

    Attributes
    ----------
    free : int
        Slots that new jobs could take now.
    short_of_processors : bool
        Whether slots are free but the processors of the hosts are used up, in
        which case throttling helps.
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
    """Return each team's fair share of the whole capacity."""
    listed = tuple(claimants)
    tasks = fair_tasks(listed, capacity)
    weights = sum(one.weight for one in listed)
    shares = {}
    for one in listed:
        fair = dominant_fraction(scaled(one.size, tasks[one.team]), capacity)
        part = max(fair, one.weight / weights)
        shares[one.team] = FairShare(one.team, tasks[one.team], part)
    return shares


def excess_tasks(
    tasks: Mapping[str, int], shares: Mapping[str, FairShare]
) -> dict[str, float]:
    """Return by how many tasks each running team is above its share."""
    return {
        team: count - _fair(shares, team) for team, count in tasks.items() if count > 0
    }


def due_demands(
    rooms: Iterable[ServiceRoom],
    demands: Iterable[QueueDemand],
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> tuple[QueueDemand, ...]:
    """
    Return the demands that running jobs should make room for, most pressing first.

    These are of services without room, of teams that are below their share and
    have waited for :data:`RECLAIM_AFTER_MS`, or have urgent jobs.
    """
    full = {one.service for one in rooms if one.free <= 0}
    due = [
        one
        for one in demands
        if one.service in full and _slots_due(one, tasks, shares) > 0
    ]
    return tuple(sorted(due, key=_most_pressing))


def plan_reclaims(
    rooms: Iterable[ServiceRoom],
    due: Iterable[QueueDemand],
    running: Iterable[RunningJob],
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> tuple[Reclaim, ...]:
    """
    Return what to throttle, checkpoint or stop so that teams get back to share.

    Room is made only at the cost of teams above their share, of the one furthest
    above first, and of the job that loses least. An urgent job of a team below its
    share may displace any job; that of another team one of its own, or else one
    of a team above its share.

    Parameters
    ----------
    rooms : iterable of ServiceRoom
        Free slots by service.
    due : iterable of QueueDemand
        Result of :func:`due_demands`.
    running : iterable of RunningJob
        What runs; jobs that may not be touched have no orders.
    tasks : mapping of str to int
        Calls and jobs running by team, over the whole fleet.
    shares : mapping of str to FairShare
        Fair shares by team.
    """
    full = {one.service: one for one in rooms if one.free <= 0}
    victims: dict[str, dict[str, list[RunningJob]]] = defaultdict(dict)
    under_way: Counter[str] = Counter()
    for job in running:
        if job.ordered:
            under_way[job.service] += 1
        elif job.service in full and _may_reclaim(job, full[job.service]):
            victims[job.service].setdefault(job.team, []).append(job)
    for teams in victims.values():
        for jobs in teams.values():
            jobs.sort(key=_loss, reverse=True)
    excess = excess_tasks(tasks, shares)
    reclaims: list[Reclaim] = []
    for demand in due:
        wanted = _slots_due(demand, tasks, shares)
        coming = min(wanted, under_way[demand.service])
        under_way[demand.service] -= coming
        for _ in range(wanted - coming):
            below = tasks.get(demand.team, 0) < _fair(shares, demand.team)
            victim = _pick(victims[demand.service], excess, demand, below)
            if victim is None:
                break
            excess[victim.team] -= 1
            room = full[demand.service]
            reclaims.append(_reclaim(victim, demand, room, tasks, shares))
    return tuple(reclaims)


def _loss(job: RunningJob) -> tuple:
    """Return what a job loses when it is put off, in order."""
    return Order.CHECKPOINT not in job.orders, job.ran_ms, job.job_id


def _may_reclaim(job: RunningJob, room: ServiceRoom) -> bool:
    """Return whether a job may be put off, and has not been so often or for long."""
    if job.urgent or job.stops >= MAX_STOPS or job.waited_ms >= AGED_MS:
        return False
    return _order(job, room) is not None


def _order(job: RunningJob, room: ServiceRoom) -> Order | None:
    """Return the mildest order that makes room, or None."""
    for order in job.orders:
        if order != Order.THROTTLE or room.short_of_processors:
            return order
    return None


def _fair(shares: Mapping[str, FairShare], team: str) -> float:
    share = shares.get(team)
    return share.tasks if share is not None else 0.0


def _most_pressing(demand: QueueDemand) -> tuple:
    return -demand.oldest_urgent_ms, -demand.oldest_ms, demand.service, demand.team


def _slots_due(
    demand: QueueDemand, tasks: Mapping[str, int], shares: Mapping[str, FairShare]
) -> int:
    """Return the slots that a team is due beyond those it has."""
    missing = _fair(shares, demand.team) - tasks.get(demand.team, 0)
    due = 0
    if demand.oldest_ms >= RECLAIM_AFTER_MS:
        due = min(demand.waiting, int(missing + EPSILON))
    if demand.urgent and demand.oldest_urgent_ms >= URGENT_RECLAIM_AFTER_MS:
        due = max(due, demand.urgent if missing > 0 else 1)
    return due


def _pick(
    victims: dict[str, list[RunningJob]],
    excess: Mapping[str, float],
    demand: QueueDemand,
    below: bool,
) -> RunningJob | None:
    """Return the job to reclaim: of the team furthest above, the least lost."""
    own_first = demand.urgent > 0 and not below
    best, best_rank = None, (False, -math.inf)
    for team, jobs in victims.items():
        above = excess.get(team, 0.0)
        own = own_first and team == demand.team
        fit = above >= TOLERANCE or own or (demand.urgent > 0 and below)
        if jobs and fit and (own, above) > best_rank:
            best, best_rank = team, (own, above)
    return victims[best].pop() if best is not None else None


def _reclaim(
    victim: RunningJob,
    demand: QueueDemand,
    room: ServiceRoom,
    tasks: Mapping[str, int],
    shares: Mapping[str, FairShare],
) -> Reclaim:
    order = _order(victim, room)
    assert order is not None, "only jobs that may be reclaimed are picked"
    cause = (
        f"service {demand.service!r} is full; team {victim.team!r} runs"
        f" {tasks.get(victim.team, 0)} of a fair {_fair(shares, victim.team):.1f}, team"
        f" {demand.team!r} runs {tasks.get(demand.team, 0)} of"
        f" {_fair(shares, demand.team):.1f} and has"
        f" {demand.urgent or demand.waiting} {'urgent ' if demand.urgent else ''}"
        f"jobs waiting"
    )
    return Reclaim(victim.job_id, victim.attempt, order, cause)
