"""
mulberryledge_daemon.batch.history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs and counts the events of each job: one line for the tasks of a step that a change
set starts, one for each run that ends without being done, and one for the job's end.
Runs that are done are only counted, so the number of lines does not grow with tasks.
"""

import logging
from collections import Counter, OrderedDict
from dataclasses import dataclass

from mulberryledge_core.batch.commands import (
    CancelJob,
    EndIncarnation,
    EndRun,
    RecordTarget,
    RunEnd,
    StartRun,
)
from mulberryledge_core.batch.ordering import OrderPolicy, occurrence_times
from mulberryledge_core.batch.records import JobPhase, JobRecord
from mulberryledge_core.batch.specs import StepId, TaskId
from mulberryledge_daemon.batch.metrics import BatchMetrics
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["JobHistory"]

MAX_TARGETS = 8  # named in one log line
LOST = "lost"  # ended with its target's incarnation; no target lists such an end
MAX_JOBS = 20_000  # with an entry; the oldest is discarded

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JobEntry:
    """
    What this leader has observed of a job.

    Attributes
    ----------
    event_ms : int
        Time of its last event, on the steady clock.
    due_ms : int or None
        Log time by which its end is in time; None if unknown.
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
    Owns the observations of jobs while this daemon leads.

    Attributes
    ----------
    run_incarnations : dict of (TaskId, int) to str
        Incarnations of the targets on which runs started by this leader are live.
    """

    def __init__(self, scheduler: Scheduler, metrics: BatchMetrics):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.metrics = metrics
        self.entries: OrderedDict[str, JobEntry] = OrderedDict()
        self.run_incarnations: dict[tuple[TaskId, int], str] = {}
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.commit_callbacks.append(self.on_changes)

    def on_takeover(self) -> None:
        """Discard the observations of an earlier term."""
        self.entries.clear()
        self.run_incarnations.clear()

    def on_changes(self, changes: tuple[object, ...]) -> None:
        """Log and count the changes of a committed change set."""
        started: dict[StepId, list[StartRun]] = {}
        for change in changes:
            if isinstance(change, StartRun):
                step_id = StepId(change.job_id, change.occurrence, change.step)
                started.setdefault(step_id, []).append(change)
            elif isinstance(change, EndRun):
                self.on_end(change)
        for step_id, starts in started.items():
            self.on_starts(step_id, starts)
        if any(isinstance(change, EndIncarnation | RecordTarget) for change in changes):
            self.on_incarnations_ended()
        for change in changes:
            if isinstance(change, EndRun | CancelJob):
                self.check_ended(change.job_id)

    def on_incarnations_ended(self) -> None:
        """Log the runs whose targets' incarnations have ended."""
        targets = self.state.targets
        lost = [
            key
            for key, incarnation in self.run_incarnations.items()
            if incarnation not in targets
        ]
        for task, run in lost:
            incarnation = self.run_incarnations.pop((task, run))
            self.on_loss(task, run, LOST, incarnation)

    def entry_of(self, job_id: str) -> JobEntry:
        """Return the entry of a job, created if there is none."""
        entry = self.entries.get(job_id)
        if entry is None:
            entry = self.entries[job_id] = JobEntry(self.scheduler.now())
            job = self.state.jobs.get(job_id)
            if job is not None and job.spec is not None:
                entry.event_ms -= max(0, self.state.now_ms - job.submitted_ms)
                entry.due_ms = self.due_ms(job)
            if len(self.entries) > MAX_JOBS:
                self.entries.popitem(last=False)
        return entry

    def due_ms(self, job: JobRecord) -> int | None:
        """Return the time by which a job ends in time, None if it has none."""
        if job.spec.schedule is not None or job.spec.steps[0].long_running:
            return None
        durations = self.scheduler.durations
        start_ms = job.submitted_ms
        return occurrence_times(
            self.state, durations, job, start_ms, OrderPolicy()
        ).due_ms

    def on_starts(self, step_id: StepId, starts: list[StartRun]) -> None:
        """Log the tasks of one step that a change set has started."""
        entry, now = self.entry_of(step_id.job_id), self.scheduler.now()
        targets = Counter(start.incarnation for start in starts)
        step = self.state.step(step_id)
        extra = {
            "job": step_id.job_id,
            "occurrence": step_id.occurrence,
            "step": step_id.step,
            "tasks": len(starts),
            "still_idle": 0 if step is None else len(step.idle),
            "run": max(start.run for start in starts),
            "targets": dict(targets.most_common(MAX_TARGETS)),
            "waited_ms": now - entry.event_ms,
            "version": self.state.configuration.version,
            "term": self.scheduler.term,
        }
        logger.info("tasks started", extra=extra)
        entry.event_ms = now
        self.metrics.starts.inc(len(starts))
        for start in starts:
            self.run_incarnations[TaskId(*step_id, start.index), start.run] = (
                start.incarnation
            )

    def on_end(self, change: EndRun) -> None:
        """Count the end of a run, and log it unless the run is done."""
        task = TaskId(change.job_id, change.occurrence, change.step, change.index)
        incarnation = self.run_incarnations.pop((task, change.run), "")
        self.metrics.run_ends.labels(change.how).inc()
        entry, now = self.entry_of(change.job_id), self.scheduler.now()
        if change.how == RunEnd.DONE:
            entry.event_ms = now
        else:
            self.on_loss(task, change.run, change.how, incarnation)

    def on_loss(self, task: TaskId, run: int, how: str, incarnation: str) -> None:
        """Log a run that has ended without being done."""
        entry, now = self.entry_of(task.job_id), self.scheduler.now()
        job = self.state.jobs.get(task.job_id)
        if job is None or (job.ended and entry.ended):
            return
        entry.lost_runs += 1
        entry.failed_runs += how == RunEnd.FAILED
        entry.last_loss = f"run {run} of task {task[1:]} {how}"
        extra = {"job": task.job_id, "task": task[1:], "run": run, "how": how}
        extra |= {"target": incarnation, "term": self.scheduler.term}
        logger.info("run ended", extra=extra | {"after_ms": now - entry.event_ms})
        entry.event_ms = now

    def check_ended(self, job_id: str) -> None:
        """Log the end of a job, once."""
        job = self.state.jobs.get(job_id)
        if job is None or not job.ended:
            return
        entry = self.entry_of(job_id)
        if entry.ended:
            return
        entry.ended = True
        duration_ms = job.ended_ms - job.submitted_ms
        in_time = entry.due_ms is None or job.ended_ms <= entry.due_ms
        extra = {
            "job": job_id,
            "queue": job.queue,
            "phase": job.phase,
            "ms": duration_ms,
        }
        if entry.due_ms is not None:
            extra["objective_ms"] = entry.due_ms - job.submitted_ms
        extra |= {"in_time": in_time, "lost_runs": entry.lost_runs}
        extra |= {"failed_runs": entry.failed_runs, "last_loss": entry.last_loss}
        logger.info("job ended", extra=extra)
        queue = self.metrics.queues.label(job.queue, self.state.stored.queues)
        in_time_label = str(in_time).lower() if job.phase == JobPhase.COMPLETED else "-"
        self.metrics.jobs.labels(queue, job.phase, in_time_label).inc()
        self.metrics.job_seconds.labels(queue).observe(max(0, duration_ms) / 1_000)
