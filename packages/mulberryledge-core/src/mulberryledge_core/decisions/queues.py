"""
mulberryledge_core.decisions.queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs by service, team and priority, and the order in which they run.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from mulberryledge_core.model.jobs import Job

__all__ = [
    "AGED_AFTER_MS",
    "AGED_PICK_INTERVAL",
    "URGENT_START_TARGET_MS",
    "JobQueues",
    "QueueDemand",
    "ShareStatus",
    "TeamQueue",
    "cancel_chunks",
    "urgent_reserve",
]

URGENT_START_TARGET_MS = 1_700
AGED_AFTER_MS = 600_000
AGED_PICK_INTERVAL = 4
CANCEL_CHUNK_JOBS = 500
MAX_RESERVE_FRACTION = 0.125
MAX_RESERVE_MISS_PROBABILITY = 0.01

QueuedItem = tuple[int, str]  # submission time in milliseconds, job identifier


@dataclass(frozen=True, slots=True)
class QueueDemand:
    """
    Queued jobs of one team on one service.

    Attributes
    ----------
    waiting, urgent : int
        Number of queued jobs, and of urgent ones among them.
    oldest_ms, oldest_urgent_ms : int
        Longest wait of any job and of an urgent one, in milliseconds.
    """

    service: str
    team: str
    waiting: int
    urgent: int = 0
    oldest_ms: int = 0
    oldest_urgent_ms: int = 0


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """
    Use of a team relative to its share.

    Attributes
    ----------
    score : float
        Weighted use, see :func:`mulberryledge_core.decisions.shares.share_score`.
    within_share : bool
        Whether the team uses no more than its share.
    """

    score: float
    within_share: bool = True


@dataclass(slots=True)
class TeamQueue:
    """
    Queued jobs of one team on one service, oldest first within a priority.

    Attributes
    ----------
    urgent, ordinary : list of tuple
        Heaps of submission times and job identifiers. Items of jobs that are no
        longer queued stay until they reach the top.
    jobs : dict of str to bool
        Queued job identifiers, and whether each is urgent.
    consecutive_urgent : int
        Urgent jobs picked since the last ordinary one.
    urgent_count : int
        Number of queued urgent jobs.
    """

    urgent: list[QueuedItem] = field(default_factory=list)
    ordinary: list[QueuedItem] = field(default_factory=list)
    jobs: dict[str, bool] = field(default_factory=dict)
    consecutive_urgent: int = 0
    urgent_count: int = 0

    def head(self, urgent: bool) -> QueuedItem | None:
        """Return the oldest queued job of a priority, dropping stale items."""
        heap = self.urgent if urgent else self.ordinary
        while heap and self.jobs.get(heap[0][1]) is not urgent:
            heappop(heap)
        return heap[0] if heap else None

    def next(self, now_ms: int) -> QueuedItem | None:
        """
        Return the job that this queue runs next.

        Urgent jobs go first, but every :data:`AGED_PICK_INTERVAL`-th pick goes to an
        ordinary job that has waited for :data:`AGED_AFTER_MS`, so that both
        priorities have a bounded wait.
        """
        urgent, ordinary = self.head(True), self.head(False)
        if urgent is None or ordinary is None:
            return urgent or ordinary
        aged = now_ms - ordinary[0] >= AGED_AFTER_MS
        if aged and self.consecutive_urgent >= AGED_PICK_INTERVAL - 1:
            return ordinary
        return urgent


class JobQueues:
    """
    Index of queued jobs with additions, removals and picks in O(log n).

    Attributes
    ----------
    team_queues : dict
        Queue of each team by service.
    locations : dict of str to tuple
        Service and team of each queued job.
    urgent_count : int
        Number of queued urgent jobs.
    """

    def __init__(self) -> None:
        self.team_queues: dict[str, dict[str, TeamQueue]] = defaultdict(dict)
        self.locations: dict[str, tuple[str, str]] = {}
        self.urgent_count = 0

    def __len__(self) -> int:
        return len(self.locations)

    def add(self, job: Job) -> None:
        """Add a queued job at its position by submission time."""
        if job.job_id in self.locations:
            return
        queue = self.team_queues[job.service].setdefault(job.team, TeamQueue())
        self.locations[job.job_id] = (job.service, job.team)
        queue.jobs[job.job_id] = job.urgent
        queue.urgent_count += job.urgent
        self.urgent_count += job.urgent
        heap = queue.urgent if job.urgent else queue.ordinary
        heappush(heap, (job.submitted_ms, job.job_id))

    def discard(self, job_id: str, started: bool = False) -> None:
        """Remove a job that is no longer queued; ``started`` counts as a pick."""
        place = self.locations.pop(job_id, None)
        if place is None:
            return
        service, team = place
        queue = self.team_queues[service][team]
        urgent = queue.jobs.pop(job_id)
        queue.urgent_count -= urgent
        self.urgent_count -= urgent
        if started:
            queue.consecutive_urgent = queue.consecutive_urgent + 1 if urgent else 0
        if not queue.jobs:
            del self.team_queues[service][team]

    def demands(self, now_ms: int) -> Iterator[QueueDemand]:
        """Yield the queued jobs of each service and team."""
        for service, team_queues in self.team_queues.items():
            for team, queue in team_queues.items():
                urgent, ordinary = queue.head(True), queue.head(False)
                waits = [now_ms - head[0] for head in (urgent, ordinary) if head]
                yield QueueDemand(
                    service,
                    team,
                    len(queue.jobs),
                    queue.urgent_count,
                    max(waits),
                    now_ms - urgent[0] if urgent else 0,
                )

    def candidates(
        self, service: str, standing: Callable[[str], ShareStatus | None], now_ms: int
    ) -> Iterator[str]:
        """
        Yield the next job of each team, in the order in which they should run.

        Urgent jobs of teams within their share go first, then the teams by ascending
        score. An urgent job of a team above its share precedes only the other jobs
        of that team, so that no team gains by declaring all its jobs urgent.

        Parameters
        ----------
        service : str
            Service of the jobs.
        standing : callable
            Returns the standing of a team, or None if it must not run more jobs.
        now_ms : int
            Log time in milliseconds.
        """
        ranked = []
        for team, queue in self.team_queues[service].items():
            status = standing(team)
            item = queue.next(now_ms)
            if status is None or item is None:
                continue
            preferred = queue.jobs[item[1]] and status.within_share
            ranked.append((not preferred, status.score, item))
        for _, _, item in sorted(ranked):
            yield item[1]


def urgent_reserve(
    slots: int, run_s: float, urgent_per_s: float, stoppable: int
) -> int:
    """
    Return the number of slots to keep free for urgent jobs.

    None are kept while slots become free within :data:`URGENT_START_TARGET_MS`, or
    while running jobs may be stopped. Otherwise the reserve is the smallest number
    that Poisson arrivals during the wait for a freed slot exceed with a probability
    below :data:`MAX_RESERVE_MISS_PROBABILITY`, at most :data:`MAX_RESERVE_FRACTION`
    of the slots but at least one.

    Parameters
    ----------
    slots : int
        Slots of the service.
    run_s : float
        Mean run time of its jobs in seconds.
    urgent_per_s : float
        Recent arrival rate of urgent jobs.
    stoppable : int
        Running jobs that may be stopped.
    """
    if slots <= 0 or urgent_per_s <= 0:
        return 0
    slot_interval_s = run_s / slots
    wait_s = -math.log(MAX_RESERVE_MISS_PROBABILITY) * slot_interval_s
    if wait_s <= URGENT_START_TARGET_MS / 1_000 or stoppable > 0:
        return 0
    max_reserve = max(1, int(slots * MAX_RESERVE_FRACTION))
    mean = urgent_per_s * wait_s
    term = tail = math.exp(-mean)
    for reserve in range(1, max_reserve):
        term *= mean / reserve
        tail += term
        if 1 - tail < MAX_RESERVE_MISS_PROBABILITY:
            return reserve
    return max_reserve


def cancel_chunks(job_ids: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    """Yield the jobs to cancel in parts of at most :data:`CANCEL_CHUNK_JOBS`."""
    for start in range(0, len(job_ids), CANCEL_CHUNK_JOBS):
        yield job_ids[start : start + CANCEL_CHUNK_JOBS]
