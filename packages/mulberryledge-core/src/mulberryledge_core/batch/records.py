"""
mulberryledge_core.batch.records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of jobs, waves and lives in the replicated state. Only the state machine
changes them.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = [
    "HostUpkeep",
    "JobPhase",
    "JobRecord",
    "OccurrenceRecord",
    "StepRecord",
    "TaskRecord",
    "UpkeepPhase",
    "WaveRecord",
]


class JobPhase(StrEnum):
    """Phase of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class UpkeepPhase(StrEnum):
    """How far the upkeep of a host of a wave is."""

    WAITING = "waiting"
    ORDERED = "ordered"  # the order may have been carried out
    BEGUN = "begun"  # the order was confirmed
    DONE = "done"
    GONE = "gone"


@dataclass(slots=True)
class TaskRecord:
    """
    One task.

    Attributes
    ----------
    run : int
        Number of the latest run, 0 before the first.
    failures : int
        Runs that have failed.
    done : bool
        Whether a run has ended as done.
    checkpoint : str
        What the next run goes on from.
    avoid : str
        Life of the target on which the task failed last.
    live : dict of int to str
        Runs that may be under way, by number, with the life that has them.
    """

    run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    avoid: str = ""
    live: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class StepRecord:
    """
    One step of one occurrence.

    Attributes
    ----------
    left : int
        Tasks that are not done.
    blockers : int
        Steps before it with tasks that are not done.
    idle : dict of int to None
        Tasks without a live run that are not done, in order.
    gang_failures, gang_failed_run : int
        Failed runs of the whole gang, and the last of them.
    """

    left: int
    blockers: int
    tasks: list[TaskRecord]
    idle: dict[int, None]
    gang_failures: int = 0
    gang_failed_run: int = 0

    @classmethod
    def of(cls, spec: StepSpec) -> "StepRecord":
        """Return the record of a step that has not begun."""
        tasks = [TaskRecord() for _ in range(spec.count)]
        idle = dict.fromkeys(range(spec.count))
        return cls(spec.count, len(set(spec.after)), tasks, idle)


@dataclass(slots=True)
class OccurrenceRecord:
    """One occurrence of a job's steps."""

    steps: list[StepRecord]
    steps_left: int

    @classmethod
    def of(cls, spec: JobSpec) -> "OccurrenceRecord":
        """Return the record of an occurrence that has not begun."""
        return cls([StepRecord.of(step) for step in spec.steps], len(spec.steps))


@dataclass(slots=True)
class JobRecord:
    """
    One job.

    Attributes
    ----------
    queue, team : str
        Queue that took it, and the submitting team, empty on public queues.
    submitted_ms, ended_ms : int
        Log times; 0 before the event.
    begun : bool
        Whether any task has been started.
    occurrences : dict of int to OccurrenceRecord
        Occurrences that are due and not complete.
    next_occurrence, completed : int
        The next one to become due, and how many are complete.
    """

    job_id: str
    queue: str
    team: str
    spec: JobSpec | None
    submitted_ms: int
    ended_ms: int = 0
    phase: JobPhase = JobPhase.QUEUED
    begun: bool = False
    occurrences: dict[int, OccurrenceRecord] = field(default_factory=dict)
    next_occurrence: int = 0
    completed: int = 0

    @property
    def ended(self) -> bool:
        """Whether no task of the job is to be started any more."""
        return self.phase in ENDED


@dataclass(frozen=True, slots=True)
class HostUpkeep:
    """
    The upkeep of one host.

    Attributes
    ----------
    life : str
        Life of the target on the host when the upkeep was ordered, empty if none was
        known.
    at_ms : int
        Log time of the phase.
    """

    phase: UpkeepPhase = UpkeepPhase.WAITING
    life: str = ""
    at_ms: int = 0

    @property
    def away(self) -> bool:
        """Whether the host may be down for its upkeep."""
        return self.phase in (UpkeepPhase.ORDERED, UpkeepPhase.BEGUN)

    @property
    def over(self) -> bool:
        """Whether the host has had its upkeep, or is gone."""
        return self.phase in (UpkeepPhase.DONE, UpkeepPhase.GONE)


@dataclass(slots=True)
class WaveRecord:
    """
    The upkeep of some hosts.

    Attributes
    ----------
    began_ms, duration_ms : int
        Log time of the begin, and the time in which it should end.
    limit : int
        Most hosts that may be away at once.
    hosts : dict of str to HostUpkeep
        How far each host is.
    """

    wave: int
    began_ms: int
    duration_ms: int
    limit: int
    hosts: dict[str, HostUpkeep]

    @property
    def completed(self) -> bool:
        """Whether every host that stays has had its upkeep."""
        return all(host.over for host in self.hosts.values())
