"""
mulberryledge_core.decisions.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Quarantine of workers that fail jobs which their peers complete.

A quarantined worker gets single jobs as trials, and is released once enough of them
pass in a row.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = [
    "JobOutcome",
    "Quarantine",
    "WorkerHistory",
    "WorkerRate",
    "after_trial",
    "may_start_trial",
    "workers_to_quarantine",
]

HISTORY_JOBS_PER_WORKER = 20
MAX_TRACKED_JOBS = 5_000
MIN_BLAME = 3.0
MIN_RATE = 0.5
MIN_RATE_ABOVE_PEERS = 0.3
MAX_QUARANTINED_FRACTION = 0.25
FIRST_PAUSE_S = 10.0
MAX_PAUSE_S = 600.0
TRIALS_TO_RELEASE = 2


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Outcome of one job on one worker."""

    job_id: str
    failed: bool


@dataclass(frozen=True, slots=True)
class WorkerRate:
    """
    Recent failure rate of one worker.

    Attributes
    ----------
    worker : str
        Name of the target.
    blame : float
        Failures attributed to the worker. A failure counts in full if the job
        completed elsewhere, else divided by the number of workers it failed on, and
        not at all from three workers on.
    endings : int
        Jobs that ended on the worker.
    """

    worker: str
    blame: float
    endings: int

    @property
    def rate(self) -> float:
        """Attributed failures per ended job."""
        return self.blame / self.endings if self.endings else 0.0


class TrialOutcome(StrEnum):
    """Effect of a trial on the quarantine."""

    RELEASED = "released"
    ANOTHER_TRIAL = "again"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Quarantine:
    """
    Quarantine of one worker, which gets no work but trials.

    Attributes
    ----------
    worker : str
        Name of the target.
    until_s : float
        Earliest time of the next trial in seconds.
    pause_s : float
        Length of the current pause in seconds; doubles with each failed trial.
    passed : int
        Consecutive trials passed.
    """

    worker: str
    until_s: float
    pause_s: float = FIRST_PAUSE_S
    passed: int = 0


class WorkerHistory:
    """Bounded history of the last jobs of each worker and of failed jobs."""

    def __init__(self) -> None:
        self.endings: dict[str, deque[JobOutcome]] = defaultdict(
            lambda: deque(maxlen=HISTORY_JOBS_PER_WORKER)
        )
        self.failed_on: OrderedDict[str, set[str]] = OrderedDict()
        self.completed: OrderedDict[str, None] = OrderedDict()

    def record(self, worker: str, job_id: str, failed: bool) -> None:
        """Record the outcome of a job on a worker."""
        self.endings[worker].append(JobOutcome(job_id, failed))
        if failed:
            self.failed_on.setdefault(job_id, set()).add(worker)
        elif job_id in self.failed_on:
            self.completed[job_id] = None
        for records in (self.failed_on, self.completed):
            if len(records) > MAX_TRACKED_JOBS:
                records.popitem(last=False)

    def remove(self, worker: str) -> None:
        """Remove the outcomes recorded for a worker."""
        self.endings.pop(worker, None)

    def rate(self, worker: str) -> WorkerRate:
        """Return the recent failure rate of a worker."""
        endings = self.endings.get(worker, ())
        blame = sum(self.blame(one.job_id) for one in endings if one.failed)
        return WorkerRate(worker, blame, len(endings))

    def blame(self, job_id: str) -> float:
        """Return the part of a failure of the job that counts against a worker."""
        workers = self.failed_on.get(job_id, ())
        if job_id in self.completed:
            return 1.0
        return 1.0 / len(workers) if len(workers) < 3 and workers else 0.0


def workers_to_quarantine(
    rates: Iterable[WorkerRate], quarantined: Mapping[str, Quarantine]
) -> tuple[WorkerRate, ...]:
    """
    Return the workers to quarantine now, highest failure rate first.

    A worker is compared with its peers, so that a release that fails everywhere
    quarantines no worker. At most :data:`MAX_QUARANTINED_FRACTION` of the workers,
    but at least one, can be in quarantine.

    Parameters
    ----------
    rates : iterable of WorkerRate
        Failure rates of all workers of one service.
    quarantined : mapping of str to Quarantine
        Current quarantines by worker.
    """
    all_rates = tuple(rates)
    quarantined_count = sum(one.worker in quarantined for one in all_rates)
    available = (
        int(max(1, len(all_rates) * MAX_QUARANTINED_FRACTION)) - quarantined_count
    )
    found = []
    for one in all_rates:
        if one.worker in quarantined or one.blame < MIN_BLAME or one.rate < MIN_RATE:
            continue
        peers = [
            peer for peer in all_rates if peer.worker != one.worker and peer.endings
        ]
        endings = sum(peer.endings for peer in peers)
        peer_rate = sum(peer.blame for peer in peers) / endings if endings else 1.0
        if one.rate > peer_rate + MIN_RATE_ABOVE_PEERS:
            found.append(one)
    found.sort(key=lambda one: (-one.rate, one.worker))
    return tuple(found[: max(0, available)])


def may_start_trial(quarantine: Quarantine, now_s: float) -> bool:
    """Return whether a quarantined worker may get one job as a trial."""
    return now_s >= quarantine.until_s


def after_trial(
    quarantine: Quarantine, failed: bool, now_s: float
) -> tuple[TrialOutcome, Quarantine]:
    """Return the outcome of a trial and the updated quarantine."""
    if failed:
        pause_s = min(MAX_PAUSE_S, quarantine.pause_s * 2)
        again = replace(quarantine, until_s=now_s + pause_s, pause_s=pause_s, passed=0)
        return TrialOutcome.FAILED, again
    passed = replace(quarantine, passed=quarantine.passed + 1, until_s=now_s)
    if passed.passed >= TRIALS_TO_RELEASE:
        return TrialOutcome.RELEASED, passed
    return TrialOutcome.ANOTHER_TRIAL, passed
