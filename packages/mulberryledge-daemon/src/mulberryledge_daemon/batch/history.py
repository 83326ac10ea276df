"""
mulberryledge_daemon.batch.history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader logs and counts of each job: one line for the tasks of a step that a
round starts, one for each run that does not end well, and one for its end. Runs that
are done are counted only, so the lines of a job don't grow with its tasks.
"""

import logging
from collections import Counter, OrderedDict
from dataclasses import dataclass

from mulberryledge_core.batch.commands import (
    CancelJob,
    EndLife,
    EndRun,
    NoteTarget,
    RunEnd,
    StartRun,
)
from mulberryledge_core.batch.ordering import OrderPolicy, times_of
from mulberryledge_core.batch.records import JobPhase, JobRecord
from mulberryledge_core.batch.specs import StepId, TaskId
from mulberryledge_daemon.batch.metrics import BatchMetrics
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["JobHistory"]

MOST_TARGETS = 8  # named in one line
LOST = "lost"  # with the life of its target; no target lists such an end
MOST_JOBS = 20_000  # of which something is kept; the oldest is forgotten

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JobNotes:
    """
    What this leader has seen of a job.

    Attributes
    ----------
    event_ms : int
        When something of it last changed, on the steady clock.
    due_ms : int or None
        Log time until which its end is in time; None if it is not known.
    lost_runs, failed_runs : int
        Runs that ended without being done, and those of them that failed.
    last_loss : str
        How the last of them ended.
    ended : bool
        Whether its end has been logged.
    """

    event_ms: int
    due_ms: int | None = None
    lost_runs: int = 0
    failed_runs: int = 0
    last_loss: str = ""
    ended: bool = False


class JobHistory:
    """
    Owns what is told of jobs while this daemon leads.

    Attributes
    ----------
    places : dict of (TaskId, int) to str
        Lives of the targets of the runs that this leader has started.
    """

    def __init__(self, scheduler: Scheduler, metrics: BatchMetrics):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.metrics = metrics
        self.notes: OrderedDict[str, JobNotes] = OrderedDict()
        self.places: dict[tuple[TaskId, int], str] = {}
        scheduler.beginnings.append(self.begin)
        scheduler.watchers.append(self.on_changes)

    def begin(self) -> None:
        """Forget what ended under other leaders."""
        self.notes.clear()
        self.places.clear()

    def on_changes(self, changes: tuple[object, ...]) -> None:
        """Tell what a committed round has changed."""
        started: dict[StepId, list[StartRun]] = {}
        for change in changes:
            if isinstance(change, StartRun):
                step_id = StepId(change.job_id, change.occurrence, change.step)
                started.setdefault(step_id, []).append(change)
            elif isinstance(change, EndRun):
                self.on_end(change)
        for step_id, starts in started.items():
            self.on_starts(step_id, starts)
        if any(isinstance(change, EndLife | NoteTarget) for change in changes):
            self.on_lives_over()
        for change in changes:
            if isinstance(change, EndRun | CancelJob):
                self.check_ended(change.job_id)

    def on_lives_over(self) -> None:
        """Tell of the runs whose targets' lives are over."""
        targets = self.state.targets
        lost = [key for key, life in self.places.items() if life not in targets]
        for task, run in lost:
            life = self.places.pop((task, run))
            self.on_loss(task, run, LOST, life)

    def notes_of(self, job_id: str) -> JobNotes:
        """Return the notes on a job."""
        notes = self.notes.get(job_id)
        if notes is None:
            notes = self.notes[job_id] = JobNotes(self.scheduler.now())
            job = self.state.jobs.get(job_id)
            if job is not None and job.spec is not None:
                notes.event_ms -= max(0, self.state.now_ms - job.submitted_ms)
                notes.due_ms = self.due_ms(job)
            if len(self.notes) > MOST_JOBS:
                self.notes.popitem(last=False)
        return notes

    def due_ms(self, job: JobRecord) -> int | None:
        """Return until when a job ends in time, None if it has no such time."""
        if job.spec.schedule is not None or job.spec.steps[0].long_running:
            return None
        durations = self.scheduler.durations
        begin_ms = job.submitted_ms
        return times_of(self.state, durations, job, begin_ms, OrderPolicy()).due_ms

    def on_starts(self, step_id: StepId, starts: list[StartRun]) -> None:
        """Tell of the tasks of one step that a round has started."""
        notes, now = self.notes_of(step_id.job_id), self.scheduler.now()
        targets = Counter(start.life for start in starts)
        step = self.state.step(step_id)
        extra = {
            "job": step_id.job_id,
            "occurrence": step_id.occurrence,
            "step": step_id.step,
            "tasks": len(starts),
            "still_idle": 0 if step is None else len(step.idle),
            "run": max(start.run for start in starts),
            "targets": dict(targets.most_common(MOST_TARGETS)),
            "waited_ms": now - notes.event_ms,
            "version": self.state.configuration.version,
            "term": self.scheduler.term,
        }
        logger.info("tasks started", extra=extra)
        notes.event_ms = now
        self.metrics.starts.inc(len(starts))
        for start in starts:
            self.places[TaskId(*step_id, start.index), start.run] = start.life

    def on_end(self, change: EndRun) -> None:
        """Count an end, and tell of one that is not as it should be."""
        task = TaskId(change.job_id, change.occurrence, change.step, change.index)
        life = self.places.pop((task, change.run), "")
        self.metrics.run_ends.labels(change.how).inc()
        notes, now = self.notes_of(change.job_id), self.scheduler.now()
        if change.how == RunEnd.DONE:
            notes.event_ms = now
        else:
            self.on_loss(task, change.run, change.how, life)

    def on_loss(self, task: TaskId, run: int, how: str, life: str) -> None:
        """Tell of a run that has ended without being done."""
        notes, now = self.notes_of(task.job_id), self.scheduler.now()
        job = self.state.jobs.get(task.job_id)
        if job is None or (job.ended and notes.ended):
            return
        notes.lost_runs += 1
        notes.failed_runs += how == RunEnd.FAILED
        notes.last_loss = f"run {run} of task {task[1:]} {how}"
        extra = {"job": task.job_id, "task": task[1:], "run": run, "how": how}
        extra |= {"target": life, "term": self.scheduler.term}
        logger.info("run ended", extra=extra | {"after_ms": now - notes.event_ms})
        notes.event_ms = now

    def check_ended(self, job_id: str) -> None:
        """Tell of the end of a job, once."""
        job = self.state.jobs.get(job_id)
        if job is None or not job.ended:
            return
        notes = self.notes_of(job_id)
        if notes.ended:
            return
        notes.ended = True
        took_ms = job.ended_ms - job.submitted_ms
        in_time = notes.due_ms is None or job.ended_ms <= notes.due_ms
        extra = {"job": job_id, "queue": job.queue, "phase": job.phase, "ms": took_ms}
        if notes.due_ms is not None:
            extra["objective_ms"] = notes.due_ms - job.submitted_ms
        extra |= {"in_time": in_time, "lost_runs": notes.lost_runs}
        extra |= {"failed_runs": notes.failed_runs, "last_loss": notes.last_loss}
        logger.info("job ended", extra=extra)
        queue = self.metrics.queues.label(job.queue, self.state.stored.queues)
        shown = str(in_time).lower() if job.phase == JobPhase.COMPLETED else "-"
        self.metrics.jobs.labels(queue, job.phase, shown).inc()
        self.metrics.job_seconds.labels(queue).observe(max(0, took_ms) / 1_000)
