"""
mulberryledge_core.batch.state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state of jobs, with what is derived from it. Changes are made by
:mod:`mulberryledge_core.batch.machine` only.
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
    What snapshots hold.

    Attributes
    ----------
    text : bytes
        The configuration as the operator sent it.
    queues : dict of str to Queue
        Latest settings of each queue that ever took a job.
    targets : dict of str to Target
        Lives of targets that are not over, by life.
    """

    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    text: bytes = b""
    queues: dict[str, Queue] = field(default_factory=dict)
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    waves: dict[int, WaveRecord] = field(default_factory=dict)


class BatchState:
    """
    Everything that the log has decided about jobs.

    Attributes
    ----------
    applied_index : int
        Index of the last applied entry.
    now_ms : int
        Highest log time seen, in milliseconds.
    runs : dict of str to dict
        Live runs by life, with what each reserves.
    used : dict of str to Tally
        What the live runs of each life reserve together.
    filling : Counter of str
        Thousandths of a core that the fillers of each life would use if they could.
    team_used : dict of str to Tally
        What the live runs of each team ask for together.
    open_steps : dict of str to dict
        By queue: steps that may run, with tasks that are not done.
    waiting : Counter of str
        By queue: accepted jobs of which no task has been started.
    scheduled : dict of str to JobRecord
        Jobs with occurrences that are not due yet.
    unwanted_runs : dict of RunKey to str
        Live runs of jobs that have ended and of tasks that are done, with their
        lives.
    """

    def __init__(self):
        self.applied_index = 0
        self.now_ms = 0
        self.stored = Stored()
        self.clear_derived()

    def clear_derived(self) -> None:
        """Forget what is derived from the stored state."""
        self.runs: dict[str, dict[RunKey, Size]] = {}
        self.used: dict[str, Tally] = {}
        self.filling: Counter[str] = Counter()
        self.team_used: dict[str, Tally] = defaultdict(Tally)
        self.open_steps: dict[str, dict[StepId, StepRecord]] = defaultdict(dict)
        self.waiting: Counter[str] = Counter()
        self.unwanted_runs: dict[RunKey, str] = {}
        self.scheduled: dict[str, JobRecord] = {}
        self.lives_by_name: dict[str, str] = {}
        self.lives_by_host: dict[str, str] = {}
        self.lives_by_address: dict[str, str] = {}

    @property
    def configuration(self) -> FleetConfiguration:
        """Configuration in force."""
        return self.stored.configuration

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by identifier."""
        return self.stored.jobs

    @property
    def targets(self) -> dict[str, Target]:
        """Targets by life."""
        return self.stored.targets

    @property
    def waves(self) -> dict[int, WaveRecord]:
        """Waves by number."""
        return self.stored.waves

    def queue_of(self, job: JobRecord) -> Queue:
        """Return the queue of a job as configured now, or as it was last."""
        return self.queue_named(job.queue)

    def queue_named(self, name: str) -> Queue:
        """Return a queue that has taken a job, as configured now or last."""
        found = self.configuration.queues_by_name.get(name)
        return found if found is not None else self.stored.queues[name]

    def occurrence(self, step_id: StepId) -> OccurrenceRecord | None:
        """Return an occurrence that is under way, or None."""
        job = self.jobs.get(step_id[0])
        return None if job is None else job.occurrences.get(step_id[1])

    def step(self, step_id: StepId) -> StepRecord | None:
        """Return a step that is under way, or None."""
        occurrence = self.occurrence(step_id)
        if occurrence is None or not 0 <= step_id[2] < len(occurrence.steps):
            return None
        return occurrence.steps[step_id[2]]

    def spec_of(self, step_id: StepId) -> StepSpec:
        """Return the description of a step of a job that has not been forgotten."""
        return self.jobs[step_id[0]].spec.steps[step_id[2]]

    def task(self, task_id: TaskId) -> TaskRecord | None:
        """Return a task that is under way, or None."""
        step = self.step(task_id.step_id)
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def live_runs(self, life: str) -> dict[RunKey, Size]:
        """Return the live runs of a life."""
        return self.runs.get(life, {})

    def targets_of_pool(self, pool: str) -> Iterator[Target]:
        """Yield the targets of a pool."""
        return (one for one in self.targets.values() if one.pool == pool)
