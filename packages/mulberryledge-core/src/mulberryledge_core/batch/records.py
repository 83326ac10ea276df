"""
mulberryledge_core.batch.records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of jobs, tasks and waves in the replicated state. Only the state machine
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
    """Phase of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class UpkeepPhase(StrEnum):
    """Phase of the upkeep of one host of a wave."""

    WAITING = "waiting"
    ORDERED = "ordered"  # the order may have been executed
    STARTED = "begun"  # the cloud confirmed the order
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
        Number of failed runs.
    done : bool
        Whether a run has ended as done.
    checkpoint : str
        Latest checkpoint of the task.
    avoided_incarnation : str
        Incarnation of the target on which the task failed last.
    live : dict of int to str
        Incarnations of the targets of live runs, by run number; such a run may be
        under way.
    checkpoint_run : int
        Number of the run that left the checkpoint.
    """

    run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    avoided_incarnation: str = ""
    live: dict[int, str] = field(default_factory=dict)
    checkpoint_run: int = 0


@dataclass(slots=True)
class StepRecord:
    """
    One step of one occurrence.

    Attributes
    ----------
    remaining : int
        Tasks that are not done.
    blockers : int
        Steps it depends on that are not complete.
    idle : dict of int to None
        Tasks that are not done and have no live run, in order.
    gang_failures, gang_failed_run : int
        Number of failed runs of the gang, and the latest of them.
    """

    remaining: int
    blockers: int
    tasks: list[TaskRecord]
    idle: dict[int, None]
    gang_failures: int = 0
    gang_failed_run: int = 0

    @classmethod
    def of(cls, spec: StepSpec) -> "StepRecord":
        """Return the record of a step that has not started."""
        tasks = [TaskRecord() for _ in range(spec.count)]
        idle = dict.fromkeys(range(spec.count))
        return cls(spec.count, len(set(spec.after)), tasks, idle)


@dataclass(slots=True)
class OccurrenceRecord:
    """One occurrence of a job's steps."""

    steps: list[StepRecord]
    steps_remaining: int

    @classmethod
    def of(cls, spec: JobSpec) -> "OccurrenceRecord":
        """Return the record of an occurrence that has not started."""
        return cls([StepRecord.of(step) for step in spec.steps], len(spec.steps))


@dataclass(slots=True)
class JobRecord:
    """
    One job.

    Attributes
    ----------
    queue, team : str
        Queue that accepted it, and the submitting team, empty on public queues.
    submitted_ms, ended_ms : int
        Log times; 0 before the event.
    started : bool
        Whether any task has been started.
    occurrences : dict of int to OccurrenceRecord
        Occurrences that are due and not yet removed, by number.
    next_occurrence, completed : int
        The next occurrence to become due, and the number of complete ones.
    """

    job_id: str
    queue: str
    team: str
    spec: JobSpec | None
    submitted_ms: int
    ended_ms: int = 0
    phase: JobPhase = JobPhase.QUEUED
    started: bool = False
    occurrences: dict[int, OccurrenceRecord] = field(default_factory=dict)
    next_occurrence: int = 0
    completed: int = 0

    @property
    def ended(self) -> bool:
        """Whether no further task of the job may be started."""
        return self.phase in ENDED


@dataclass(frozen=True, slots=True)
class HostUpkeep:
    """
    The upkeep of one host.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target on the host when the upkeep was ordered, empty if
        unknown.
    at_ms : int
        Log time at which the phase was recorded.
    """

    phase: UpkeepPhase = UpkeepPhase.WAITING
    incarnation: str = ""
    at_ms: int = 0

    @property
    def may_be_down(self) -> bool:
        """Whether the host may be down for its upkeep."""
        return self.phase in (UpkeepPhase.ORDERED, UpkeepPhase.STARTED)

    @property
    def finished(self) -> bool:
        """Whether the upkeep is complete, or the host no longer exists."""
        return self.phase in (UpkeepPhase.DONE, UpkeepPhase.GONE)


@dataclass(slots=True)
class WaveRecord:
    """
    A maintenance wave: the upkeep of a set of hosts.

    Attributes
    ----------
    started_ms, duration_ms : int
        Log time of the start, and the time within which it should end.
    limit : int
        Maximum number of hosts that may be down at once.
    hosts : dict of str to HostUpkeep
        State of the upkeep of each host.
    """

    wave: int
    started_ms: int
    duration_ms: int
    limit: int
    hosts: dict[str, HostUpkeep]

    @property
    def completed(self) -> bool:
        """Whether the upkeep of every remaining host is complete."""
        return all(host.finished for host in self.hosts.values())
