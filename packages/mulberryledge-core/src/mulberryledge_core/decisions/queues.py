"""
mulberryledge_core.decisions.queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs by service, team and priority, and which of them runs next.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from mulberryledge_core.model.jobs import Job

__all__ = [
    "AGED_EVERY",
    "AGED_MS",
    "URGENT_START_MS",
    "JobQueues",
    "Lane",
    "QueueDemand",
    "Standing",
    "cancel_chunks",
    "urgent_reserve",
]

URGENT_START_MS = 1_700
AGED_MS = 600_000
AGED_EVERY = 4
CANCEL_CHUNK = 500
MAX_RESERVE_FRACTION = 0.125
RESERVE_MISS = 0.01

Entry = tuple[int, str]  # time of submission in milliseconds, job id


@dataclass(frozen=True, slots=True)
class QueueDemand:
    """
    Jobs of one team that wait on one service.

    Attributes
    ----------
    waiting, urgent : int
        Queued jobs, and how many of them are urgent.
    oldest_ms, oldest_urgent_ms : int
        Longest waits in milliseconds.
    """

    service: str
    team: str
    waiting: int
    urgent: int = 0
    oldest_ms: int = 0
    oldest_urgent_ms: int = 0


@dataclass(frozen=True, slots=True)
class Standing:
    """
    Where a team stands against its share.

    Attributes
    ----------
    score : float
        Weighted use; see :func:`mulberryledge_core.decisions.shares.share_score`.
    within_share : bool
        Whether the team uses no more than its share.
    """

    score: float
    within_share: bool = True


@dataclass(slots=True)
class Lane:
    """
    Queued jobs of one team on one service, oldest first within a priority.

    Attributes
    ----------
    urgent, ordinary : list of tuple
        Heaps of times of submission and job identifiers; entries of jobs that
        are no longer queued stay until they reach the top.
    jobs : dict of str to bool
        Queued job identifiers, and whether each is urgent.
    urgent_run : int
        Urgent jobs picked since the last ordinary one.
    urgents : int
        Queued urgent jobs.
    """

    urgent: list[Entry] = field(default_factory=list)
    ordinary: list[Entry] = field(default_factory=list)
    jobs: dict[str, bool] = field(default_factory=dict)
    urgent_run: int = 0
    urgents: int = 0

    def head(self, urgent: bool) -> Entry | None:
        """Return the oldest queued job of a priority, dropping stale entries."""
        heap = self.urgent if urgent else self.ordinary
        while heap and self.jobs.get(heap[0][1]) is not urgent:
            heappop(heap)
        return heap[0] if heap else None

    def next(self, now_ms: int) -> Entry | None:
        """
        Return the job that this lane runs next.

        Urgent jobs go first, but every fourth pick goes to an ordinary job that
        has waited for :data:`AGED_MS`, so that both have a bounded wait.
        """
        urgent, ordinary = self.head(True), self.head(False)
        if urgent is None or ordinary is None:
            return urgent or ordinary
        aged = now_ms - ordinary[0] >= AGED_MS
        if aged and self.urgent_run >= AGED_EVERY - 1:
            return ordinary
        return urgent


class JobQueues:
    """
    Index of queued jobs: additions, removals and picks in O(log n).

    Attributes
    ----------
    lanes : dict
        Lane by service and team.
    places : dict of str to tuple
        Service and team of each queued job.
    urgents : int
        Queued urgent jobs.
    """

    def __init__(self) -> None:
        self.lanes: dict[str, dict[str, Lane]] = defaultdict(dict)
        self.places: dict[str, tuple[str, str]] = {}
        self.urgents = 0

    def __len__(self) -> int:
        return len(self.places)

    def add(self, job: Job) -> None:
        """Add a queued job, keeping its place by time of submission."""
        if job.job_id in self.places:
            return
        lane = self.lanes[job.service].setdefault(job.team, Lane())
        self.places[job.job_id] = (job.service, job.team)
        lane.jobs[job.job_id] = job.urgent
        lane.urgents += job.urgent
        self.urgents += job.urgent
        heap = lane.urgent if job.urgent else lane.ordinary
        heappush(heap, (job.submitted_ms, job.job_id))

    def discard(self, job_id: str, started: bool = False) -> None:
        """Remove a job that is no longer queued; ``started`` counts as a pick."""
        place = self.places.pop(job_id, None)
        if place is None:
            return
        service, team = place
        lane = self.lanes[service][team]
        urgent = lane.jobs.pop(job_id)
        lane.urgents -= urgent
        self.urgents -= urgent
        if started:
            lane.urgent_run = lane.urgent_run + 1 if urgent else 0
        if not lane.jobs:
            del self.lanes[service][team]

    def demands(self, now_ms: int) -> Iterator[QueueDemand]:
        """Yield what waits, by service and team."""
        for service, lanes in self.lanes.items():
            for team, lane in lanes.items():
                urgent, ordinary = lane.head(True), lane.head(False)
                waits = [now_ms - head[0] for head in (urgent, ordinary) if head]
                yield QueueDemand(
                    service,
                    team,
                    len(lane.jobs),
                    lane.urgents,
                    max(waits),
                    now_ms - urgent[0] if urgent else 0,
                )

    def candidates(
        self, service: str, standing: Callable[[str], Standing | None], now_ms: int
    ) -> Iterator[str]:
        """
        Yield the next job of each team, in the order in which they should run.

        Urgent jobs of teams within their share go first, then the team with the
        lowest score. Beyond its share an urgent job only goes before the other
        jobs of its own team, so that no team gains by calling all jobs urgent.

        Parameters
        ----------
        service : str
            Queue to look at.
        standing : callable
            Standing of a team; None if it may not run more.
        now_ms : int
            Log time in milliseconds.
        """
        ranked = []
        for team, lane in self.lanes[service].items():
            place = standing(team)
            entry = lane.next(now_ms)
            if place is None or entry is None:
                continue
            first = lane.jobs[entry[1]] and place.within_share
            ranked.append((not first, place.score, entry))
        for _, _, entry in sorted(ranked):
            yield entry[1]


def urgent_reserve(
    slots: int, run_s: float, urgent_per_s: float, stoppable: int
) -> int:
    """
    Return the slots to hold free for urgent jobs.

    Nothing is held while slots come free fast enough, or while running jobs may
    be stopped. Otherwise the reserve is the smallest number that Poisson
    arrivals exceed in fewer than one of a hundred waits for a freed slot.

    Parameters
    ----------
    slots : int
        Slots of the service.
    run_s : float
        Mean run time of its jobs in seconds.
    urgent_per_s : float
        Recent rate of urgent jobs.
    stoppable : int
        Running jobs that may be stopped.
    """
    if slots <= 0 or urgent_per_s <= 0:
        return 0
    gap_s = run_s / slots
    wait_s = -math.log(RESERVE_MISS) * gap_s
    if wait_s <= URGENT_START_MS / 1_000 or stoppable > 0:
        return 0
    most = max(1, int(slots * MAX_RESERVE_FRACTION))
    mean = urgent_per_s * wait_s
    term = tail = math.exp(-mean)
    for reserve in range(1, most):
        term *= mean / reserve
        tail += term
        if 1 - tail < RESERVE_MISS:
            return reserve
    return most


def cancel_chunks(job_ids: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    """Yield the jobs of a wave of cancellations in parts of bounded size."""
    for start in range(0, len(job_ids), CANCEL_CHUNK):
        yield job_ids[start : start + CANCEL_CHUNK]
