"""
mulberryledge_core.decisions.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Workers that fail what their peers complete: kept from work, let back by trial.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = [
    "Ending",
    "Quarantine",
    "WorkerHistory",
    "WorkerRate",
    "after_trial",
    "may_try",
    "suspects",
]

HISTORY_ENDINGS = 20
REMEMBERED_JOBS = 5_000
MIN_BLAME = 3.0
MIN_RATE = 0.5
PEER_MARGIN = 0.3
MAX_QUARANTINED_FRACTION = 0.25
FIRST_PAUSE_S = 10.0
MAX_PAUSE_S = 600.0
TRIALS_TO_RETURN = 2


@dataclass(frozen=True, slots=True)
class Ending:
    """How one job ended on one worker."""

    job_id: str
    failed: bool


@dataclass(frozen=True, slots=True)
class WorkerRate:
    """
    Recent record of one worker.

    Attributes
    ----------
    worker : str
        Name of the target.
    blame : float
        Failures, each divided by the number of workers that the job failed on;
        jobs that failed everywhere they were tried count for nobody.
    endings : int
        Jobs that ended on it.
    """

    worker: str
    blame: float
    endings: int

    @property
    def rate(self) -> float:
        """Blame by ending."""
        return self.blame / self.endings if self.endings else 0.0


class TrialOutcome(StrEnum):
    """What a trial led to."""

    RELEASED = "released"
    AGAIN = "again"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Quarantine:
    """
    A worker that gets no work but trials.

    Attributes
    ----------
    worker : str
        Name of the target.
    until_s : float
        Time of the next trial in seconds.
    pause_s : float
        Length of the present pause in seconds; it doubles with each failure.
    passed : int
        Trials passed in a row.
    """

    worker: str
    until_s: float
    pause_s: float = FIRST_PAUSE_S
    passed: int = 0


class WorkerHistory:
    """Bounded record of the last endings of each worker and of failing jobs."""

    def __init__(self) -> None:
        self.endings: dict[str, deque[Ending]] = defaultdict(
            lambda: deque(maxlen=HISTORY_ENDINGS)
        )
        self.failed_on: OrderedDict[str, set[str]] = OrderedDict()
        self.completed: OrderedDict[str, None] = OrderedDict()

    def record(self, worker: str, job_id: str, failed: bool) -> None:
        """Record how a job ended on a worker."""
        self.endings[worker].append(Ending(job_id, failed))
        if failed:
            self.failed_on.setdefault(job_id, set()).add(worker)
        elif job_id in self.failed_on:
            self.completed[job_id] = None
        for memory in (self.failed_on, self.completed):
            if len(memory) > REMEMBERED_JOBS:
                memory.popitem(last=False)

    def forget(self, worker: str) -> None:
        """Forget a worker that was replaced."""
        self.endings.pop(worker, None)

    def rate(self, worker: str) -> WorkerRate:
        """Return the record of a worker."""
        endings = self.endings.get(worker, ())
        blame = sum(self.blame(one.job_id) for one in endings if one.failed)
        return WorkerRate(worker, blame, len(endings))

    def blame(self, job_id: str) -> float:
        """Return how much of a failure of the job is its workers' fault."""
        workers = self.failed_on.get(job_id, ())
        if job_id in self.completed:
            return 1.0
        return 1.0 / len(workers) if len(workers) < 3 and workers else 0.0


def suspects(
    rates: Iterable[WorkerRate], quarantined: Mapping[str, Quarantine]
) -> tuple[WorkerRate, ...]:
    """
    Return the workers to quarantine now, worst first.

    A worker is compared with its peers, so that a release that fails everywhere
    quarantines nobody, and at most a quarter of the peers is ever quarantined.

    Parameters
    ----------
    rates : iterable of WorkerRate
        Records of all workers of one service.
    quarantined : mapping of str to Quarantine
        Those in quarantine.
    """
    every = tuple(rates)
    present = sum(one.worker in quarantined for one in every)
    room = int(max(1, len(every) * MAX_QUARANTINED_FRACTION)) - present
    found = []
    for one in every:
        if one.worker in quarantined or one.blame < MIN_BLAME or one.rate < MIN_RATE:
            continue
        peers = [peer for peer in every if peer.worker != one.worker and peer.endings]
        endings = sum(peer.endings for peer in peers)
        peer_rate = sum(peer.blame for peer in peers) / endings if endings else 1.0
        if one.rate > peer_rate + PEER_MARGIN:
            found.append(one)
    found.sort(key=lambda one: (-one.rate, one.worker))
    return tuple(found[: max(0, room)])


def may_try(quarantine: Quarantine, now_s: float) -> bool:
    """Return whether a quarantined worker may be given one job as a trial."""
    return now_s >= quarantine.until_s


def after_trial(
    quarantine: Quarantine, failed: bool, now_s: float
) -> tuple[TrialOutcome, Quarantine]:
    """Return what a trial led to, and the quarantine from then on."""
    if failed:
        pause_s = min(MAX_PAUSE_S, quarantine.pause_s * 2)
        again = replace(quarantine, until_s=now_s + pause_s, pause_s=pause_s, passed=0)
        return TrialOutcome.FAILED, again
    passed = replace(quarantine, passed=quarantine.passed + 1, until_s=now_s)
    if passed.passed >= TRIALS_TO_RETURN:
        return TrialOutcome.RELEASED, passed
    return TrialOutcome.AGAIN, passed
