"""
mulberryledge_core.batch.specs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Job specifications as submitted: jobs of steps, each a number of equal tasks.
"""

from dataclasses import dataclass
from typing import NamedTuple

from mulberryledge_core.batch.sizes import Size

__all__ = ["JobSpec", "Schedule", "StepId", "StepSpec", "TaskId", "spec_problem"]

MAX_TASKS = 100_000


class StepId(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """Identifies a task; its runs are numbered from 1."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_id(self) -> StepId:
        """Identifier of the step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """
    A number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    size : Size
        Resources that each task requests.
    estimated_ms : int
        Rough duration of a task, in milliseconds.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    gang : bool
        Whether the tasks make progress only while all of them run.
    tightly_coupled : bool
        Whether the tasks slow down if they run on more than one rack.
    required_label : str
        Label that the target must have, empty for any.
    data_rack : str
        Rack that holds the data, empty for none; tasks take longer elsewhere.
    max_per_target : int
        Maximum number of the step's tasks on one target, 0 for no limit.
    checkpointing : bool
        Whether a later run can resume from a checkpoint.
    speculative : bool
        Whether a second run of a task may run beside the first.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Program that the tasks run; tasks of one image behave alike.
    latency_target_ms : int
        Bound on the tail latency of requests that the tasks serve, 0 for none.
    filler : bool
        Whether the tasks are fillers: best-effort tasks that use only processor time
        left over by others.
    max_unavailable : int or None
        Maximum number of tasks unavailable at once through maintenance; None for no
        limit.
    """

    count: int
    size: Size
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    tightly_coupled: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_target: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    filler: bool = False
    max_unavailable: int | None = None

    @property
    def reserved(self) -> Size:
        """Share of a target's capacity that a task reserves."""
        if not self.filler:
            return self.size
        return Size(0, self.size.memory_mb, self.size.accelerators)


@dataclass(frozen=True, slots=True)
class Schedule:
    """
    Occurrences of a job by time of day.

    Attributes
    ----------
    first_ms, interval_ms : int
        Unix time of the first occurrence, and the interval between two.
    count : int
        Number of occurrences.
    """

    first_ms: int
    interval_ms: int
    count: int

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence is due."""
        return self.first_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class JobSpec:
    """
    A job as submitted.

    Attributes
    ----------
    body : str
        Text that is passed to each task.
    steps : tuple of StepSpec
        Steps; each depends on earlier ones only.
    schedule : Schedule or None
        When the steps run, None for once, immediately.
    """

    body: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return 1 if self.schedule is None else self.schedule.count


def spec_problem(spec: JobSpec) -> str | None:
    """Return why a specification is invalid, or None."""
    if not spec.steps:
        return "steps: a job needs at least one step"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"steps: more than {MAX_TASKS} tasks"
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f"steps[{number}].count: {step.count} is below 1"
        if any(not 0 <= dependency < number for dependency in step.after):
            return f"steps[{number}].after: only earlier steps may be named"
    if spec.schedule is not None and spec.schedule.interval_ms < 0:
        return "interval: below 0"
    return None
