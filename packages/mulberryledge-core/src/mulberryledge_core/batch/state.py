"""
mulberryledge_core.batch.state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state of jobs, with derived indexes and sums. Only
:mod:`mulberryledge_core.batch.machine` changes it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from mulberryledge_core.batch.configuration import FleetConfiguration, Queue
from mulberryledge_core.batch.records import (
    JobRecord,
    OccurrenceRecord,
    StepRecord,
    TaskRecord,
    WaveRecord,
)
from mulberryledge_core.batch.sizes import Size, Tally
from mulberryledge_core.batch.specs import StepId, StepSpec, TaskId
from mulberryledge_core.batch.targets import Target

__all__ = ["BatchState", "RunKey", "Stored"]

RunKey = tuple[TaskId, int]


@dataclass(slots=True)
class Stored:
    """
    Contents of a snapshot.

    Attributes
    ----------
    text : bytes
        The configuration document as the operator sent it.
    queues : dict of str to Queue
        Latest settings of each queue that has ever accepted a job.
    targets : dict of str to Target
        Targets whose incarnation has not ended, by incarnation.
    sequences : dict of str to int
        Number of the latest recorded announcement of each of them.
    departed : dict of str to int
        Incarnations that drained and then ended, with the log time of the end, for as
        long as their announcements may be delayed.
    """

    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    text: bytes = b""
    queues: dict[str, Queue] = field(default_factory=dict)
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    waves: dict[int, WaveRecord] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    departed: dict[str, int] = field(default_factory=dict)


class BatchState:
    """
    The replicated state of jobs, applied up to an index of the log.

    Attributes
    ----------
    applied_index : int
        Index of the last applied entry.
    now_ms : int
        Highest log time applied, in milliseconds.
    runs : dict of str to dict
        Live runs by incarnation, with the size that each reserves.
    used : dict of str to Tally
        Total size reserved by the live runs of each incarnation.
    filler_millis : Counter of str
        Millicores that the fillers of each incarnation would use if available.
    team_used : dict of str to Tally
        Total size requested by the live runs of each team.
    open_steps : dict of str to dict
        By queue: unblocked steps with tasks that are not done.
    waiting : Counter of str
        By queue: accepted jobs of which no task has been started.
    scheduled : dict of str to JobRecord
        Jobs with occurrences that are not due yet.
    unwanted_runs : dict of RunKey to str
        Live runs of ended jobs and of tasks that are done, with their incarnations.
    """

    def __init__(self):
        self.applied_index = 0
        self.now_ms = 0
        self.stored = Stored()
        self.clear_derived()

    def clear_derived(self) -> None:
        """Clear all derived data."""
        self.runs: dict[str, dict[RunKey, Size]] = {}
        self.used: dict[str, Tally] = {}
        self.filler_millis: Counter[str] = Counter()
        self.team_used: dict[str, Tally] = defaultdict(Tally)
        self.open_steps: dict[str, dict[StepId, StepRecord]] = defaultdict(dict)
        self.waiting: Counter[str] = Counter()
        self.unwanted_runs: dict[RunKey, str] = {}
        self.scheduled: dict[str, JobRecord] = {}
        self.incarnations_by_name: dict[str, str] = {}
        self.incarnations_by_host: dict[str, str] = {}
        self.incarnations_by_address: dict[str, str] = {}

    @property
    def configuration(self) -> FleetConfiguration:
        """Active configuration."""
        return self.stored.configuration

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by identifier."""
        return self.stored.jobs

    @property
    def targets(self) -> dict[str, Target]:
        """Targets by incarnation."""
        return self.stored.targets

    @property
    def waves(self) -> dict[int, WaveRecord]:
        """Waves by number."""
        return self.stored.waves

    def is_outdated(self, incarnation: str, sequence: int) -> bool:
        """Return whether an announcement is older than what is known of its sender."""
        return (
            incarnation in self.stored.departed
            or sequence < self.stored.sequences.get(incarnation, 0)
        )

    def names_pool(self, pool: str) -> bool:
        """Return whether a pool is configured, or a queue that took a job uses it."""
        return pool in self.configuration.pools_by_name or any(
            queue.pool == pool for queue in self.stored.queues.values()
        )

    def queue_of(self, job: JobRecord) -> Queue:
        """Return the current or last known settings of the queue of a job."""
        return self.queue_named(job.queue)

    def queue_named(self, name: str) -> Queue:
        """Return the current or last known settings of a queue that took a job."""
        found = self.configuration.queues_by_name.get(name)
        return found if found is not None else self.stored.queues[name]

    def occurrence(self, step_id: StepId) -> OccurrenceRecord | None:
        """Return an occurrence in progress, or None."""
        job = self.jobs.get(step_id[0])
        return None if job is None else job.occurrences.get(step_id[1])

    def step(self, step_id: StepId) -> StepRecord | None:
        """Return a step in progress, or None."""
        occurrence = self.occurrence(step_id)
        if occurrence is None or not 0 <= step_id[2] < len(occurrence.steps):
            return None
        return occurrence.steps[step_id[2]]

    def spec_of(self, step_id: StepId) -> StepSpec:
        """Return the specification of a step of a job that is still recorded."""
        return self.jobs[step_id[0]].spec.steps[step_id[2]]

    def task(self, task_id: TaskId) -> TaskRecord | None:
        """Return a task in progress, or None."""
        step = self.step(task_id.step_id)
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def resumed_checkpoint(self, task_id: TaskId) -> str:
        """
        Return the checkpoint from which a task in progress resumes, empty for none.

        All members of a gang resume from the same one, the latest of any member.
        """
        step, task = self.step(task_id.step_id), self.task(task_id)
        if self.spec_of(task_id.step_id).gang:
            task = max(step.tasks, key=lambda member: member.checkpoint_run)
        return task.checkpoint

    def live_runs(self, incarnation: str) -> dict[RunKey, Size]:
        """Return the live runs of an incarnation."""
        return self.runs.get(incarnation, {})

    def targets_of_pool(self, pool: str) -> Iterator[Target]:
        """Yield the targets of a pool."""
        return (target for target in self.targets.values() if target.pool == pool)
