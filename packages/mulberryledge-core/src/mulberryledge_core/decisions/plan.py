"""
mulberryledge_core.decisions.plan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One plan of the fleet: each team's fair share, and what to reclaim where it is full.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
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
        The same as a dominant fraction of the capacity.
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
    return {
        one.team: FairShare(
            one.team,
            tasks[one.team],
            dominant_fraction(scaled(one.size, tasks[one.team]), capacity),
        )
        for one in listed
    }


def plan_reclaims(
    rooms: Iterable[ServiceRoom],
    demands: Iterable[QueueDemand],
    running: Iterable[RunningJob],
    tasks: Counter[str],
    shares: dict[str, FairShare],
) -> tuple[Reclaim, ...]:
    """
    Return what to throttle, checkpoint or stop so that teams get back to share.

    Only a service without room is looked at, only for a team that is below its
    share and has waited for :data:`RECLAIM_AFTER_MS`, and only at the cost of
    teams above theirs. An urgent job may also displace an ordinary job of its
    own team.

    Parameters
    ----------
    rooms : iterable of ServiceRoom
        Free slots by service.
    demands : iterable of QueueDemand
        What waits.
    running : iterable of RunningJob
        What runs; jobs that may not be touched have no orders.
    tasks : Counter of str
        Calls and jobs running by team, over the whole fleet.
    shares : dict of str to FairShare
        Fair shares by team.
    """
    full = {one.service: one for one in rooms if one.free <= 0}
    if not full:
        return ()
    victims: dict[str, list[RunningJob]] = defaultdict(list)
    under_way: Counter[str] = Counter()
    for job in running:
        if job.service in full and job.ordered:
            under_way[job.service] += 1
        elif job.service in full and _may_reclaim(job, full[job.service]):
            victims[job.service].append(job)
    excess = {
        team: tasks[team] - _fair(shares, team) for team in tasks if tasks[team] > 0
    }
    reclaims: list[Reclaim] = []
    for demand in sorted(demands, key=_most_pressing):
        if demand.service not in full:
            continue
        pool = victims[demand.service]
        wanted = _slots_due(demand, tasks, shares) - under_way[demand.service]
        wanted = min(wanted, len(pool))
        for _ in range(max(0, wanted)):
            victim = _pick(pool, excess, demand)
            if victim is None:
                break
            pool.remove(victim)
            excess[victim.team] -= 1
            room = full[demand.service]
            reclaims.append(_reclaim(victim, demand, room, tasks, shares))
        under_way[demand.service] = max(0, under_way[demand.service] - wanted)
    return tuple(reclaims)


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


def _fair(shares: dict[str, FairShare], team: str) -> float:
    share = shares.get(team)
    return share.tasks if share is not None else 0.0


def _most_pressing(demand: QueueDemand) -> tuple:
    return -demand.oldest_urgent_ms, -demand.oldest_ms, demand.service, demand.team


def _slots_due(
    demand: QueueDemand, tasks: Counter[str], shares: dict[str, FairShare]
) -> int:
    """Return the slots that a team is due beyond those it has."""
    missing = _fair(shares, demand.team) - tasks[demand.team]
    due = 0
    if demand.oldest_ms >= RECLAIM_AFTER_MS:
        due = min(demand.waiting, int(missing + EPSILON))
    if demand.urgent and demand.oldest_urgent_ms >= URGENT_RECLAIM_AFTER_MS:
        due = max(due, demand.urgent if missing > 0 else 1)
    return due


def _pick(
    pool: list[RunningJob], excess: dict[str, float], demand: QueueDemand
) -> RunningJob | None:
    """Return the job to reclaim: of the team furthest above, the least lost."""
    urgent = demand.urgent > 0
    fit = [
        job
        for job in pool
        if excess.get(job.team, 0.0) >= TOLERANCE
        or (urgent and job.team == demand.team)
    ]
    key = _loss_key(excess)
    return min(fit, key=key, default=None)


def _loss_key(excess: dict[str, float]):
    def key(job: RunningJob) -> tuple:
        keeps_work = Order.CHECKPOINT in job.orders
        return -excess.get(job.team, 0.0), not keeps_work, job.ran_ms, job.job_id

    return key


def _reclaim(
    victim: RunningJob,
    demand: QueueDemand,
    room: ServiceRoom,
    tasks: Counter[str],
    shares: dict[str, FairShare],
) -> Reclaim:
    order = _order(victim, room)
    assert order is not None, "only jobs that may be reclaimed are picked"
    cause = (
        f"service {demand.service!r} is full; team {victim.team!r} runs"
        f" {tasks[victim.team]} of a fair {_fair(shares, victim.team):.1f}, team"
        f" {demand.team!r} runs {tasks[demand.team]} of"
        f" {_fair(shares, demand.team):.1f} and has"
        f" {demand.urgent or demand.waiting} {'urgent ' if demand.urgent else ''}"
        f"jobs waiting"
    )
    return Reclaim(victim.job_id, victim.attempt, order, cause)
