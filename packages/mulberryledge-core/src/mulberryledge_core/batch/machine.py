"""
mulberryledge_core.batch.machine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine of jobs: one applier for each command, deterministic on
every replica. An applier returns why its change had no effect, None if what the change
asked for holds.
"""

import logging
from collections import Counter
from collections.abc import Callable

import cbor2
from result import Err, Ok

from mulberryledge_core.batch.commands import (
    BeginWave,
    CancelJob,
    ChangeSet,
    EndIncarnation,
    EndRun,
    MarkUpkeep,
    OpenOccurrence,
    PutConfiguration,
    RecordTarget,
    RemoveJobs,
    RunEnd,
    StartRun,
    SubmitJob,
    decode_change_set,
    encode_change_set,
)
from mulberryledge_core.batch.records import (
    HostUpkeep,
    JobPhase,
    JobRecord,
    OccurrenceRecord,
    StepRecord,
    TaskRecord,
    WaveRecord,
)
from mulberryledge_core.batch.sizes import Tally
from mulberryledge_core.batch.specs import StepId, StepSpec, TaskId
from mulberryledge_core.batch.state import BatchState, Stored
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.consensus.wire import CONVERTER
from mulberryledge_core.outcomes import Applied, ApplyResult, Code, Refusal
from mulberryledge_core.state.tables import Context

__all__ = ["BatchMachine", "conflicting_incarnations"]

DEPARTED_RETENTION_MS = 600_000  # a delayed announcement arrives within minutes

# Fields that tell in a log line which change had no effect.
NAMED_FIELDS = ("job_id", "step", "index", "run", "incarnation", "wave", "host")
LOGGED_NAMES = {"job_id": "job", "index": "task_index", "incarnation": "target"}

logger = logging.getLogger(__name__)


class BatchMachine:
    """
    Owns the replicated state of jobs.

    Attributes
    ----------
    without_effect : Counter of str
        Number of changes without effect that this process applied, by kind.
    """

    def __init__(self):
        self.state = BatchState()
        self.without_effect: Counter[str] = Counter()

    def encode(self, command: ChangeSet) -> bytes:
        """Encode a change set for the log."""
        return encode_change_set(command)

    def decode(self, data: bytes) -> ChangeSet:
        """Decode a change set."""
        return decode_change_set(data)

    def apply(self, command: object, context: Context) -> ApplyResult:
        """
        Apply a change set; one that was planned in another term is void.

        A commit doesn't imply that each change took effect: the result names those
        that had none.
        """
        state = self.state
        assert context.index == state.applied_index + 1, (
            "entries are applied in index order"
        )
        state.applied_index = context.index
        state.now_ms = max(state.now_ms, context.now_ms)
        if not isinstance(command, ChangeSet):
            return Ok(Applied(context.index))
        if command.term != context.term:
            text = f"planned in term {command.term}, appended in {context.term}"
            return Err(Refusal(Code.STALE, text))
        without_effect = []
        for position, change in enumerate(command.changes):
            reason = APPLIERS[type(change)](state, change)
            if reason is not None:
                without_effect.append((position, reason))
                self.record_without_effect(change, reason)
        return Ok(Applied(context.index, without_effect=tuple(without_effect)))

    def record_without_effect(self, change: object, reason: str) -> None:
        """Count a change that had no effect, and log it."""
        kind = type(change).__name__
        self.without_effect[kind] += 1
        if isinstance(change, EndRun):
            return  # a new leader reads hundreds of ends that are recorded already
        extra = {"change": kind, "why": reason, "index": self.state.applied_index}
        for name in NAMED_FIELDS:
            value = getattr(change, name, None)
            if value is not None:
                extra[LOGGED_NAMES.get(name, name)] = value
        logger.info("change without effect", extra=extra)

    def snapshot(self) -> bytes:
        """Encode the state."""
        stored = CONVERTER.unstructure(self.state.stored)
        return cbor2.dumps([self.state.applied_index, self.state.now_ms, stored])

    def restore(self, data: bytes) -> None:
        """Replace the state by the output of :meth:`snapshot`."""
        index, now_ms, stored = cbor2.loads(data)
        assert index >= self.state.applied_index, "the applied index never decreases"
        self.state.applied_index, self.state.now_ms = index, now_ms
        self.state.stored = CONVERTER.structure(stored, Stored)
        rebuild_derived(self.state)


def rebuild_derived(state: BatchState) -> None:
    """Compute the indexes and sums that are derived from the stored state."""
    state.clear_derived()
    for target in state.targets.values():
        index_target(state, target)
    for job in state.jobs.values():
        if not (job.started or job.ended):
            state.waiting[job.queue] += 1
        has_future_occurrences = job.next_occurrence < job.spec.occurrences
        if has_future_occurrences and not job.ended:
            state.scheduled[job.job_id] = job
        for number, occurrence in job.occurrences.items():
            index_occurrence(state, job, number, occurrence)


def index_occurrence(
    state: BatchState, job: JobRecord, number: int, occurrence: OccurrenceRecord
) -> None:
    """Index the open steps and live runs of an occurrence."""
    for position, step in enumerate(occurrence.steps):
        step_id = StepId(job.job_id, number, position)
        if not job.ended and step.remaining and not step.blockers:
            state.open_steps[job.queue][step_id] = step
        for index, task in enumerate(step.tasks):
            for run, incarnation in task.live.items():
                add_run(state, job, TaskId(*step_id, index), run, incarnation)


def add_run(
    state: BatchState, job: JobRecord, task_id: TaskId, run: int, incarnation: str
) -> None:
    """Add a live run to the indexes and sums."""
    spec = job.spec.steps[task_id.step]
    reserved = spec.reserved
    state.runs.setdefault(incarnation, {})[task_id, run] = reserved
    if incarnation not in state.used:
        state.used[incarnation] = Tally()
    state.used[incarnation].add(reserved)
    if spec.filler:
        state.filler_millis[incarnation] += spec.size.cpu_millis
    if job.team:
        state.team_used[job.team].add(spec.size)
    done = state.task(task_id).done and not spec.gang
    if job.ended or done:
        state.unwanted_runs[task_id, run] = incarnation


def remove_run(
    state: BatchState, job: JobRecord, task_id: TaskId, run: int, incarnation: str
) -> None:
    """Remove an ended run from the indexes and sums."""
    spec = job.spec.steps[task_id.step]
    state.runs[incarnation].pop((task_id, run))
    state.used[incarnation].add(spec.reserved, -1)
    if spec.filler:
        state.filler_millis[incarnation] -= spec.size.cpu_millis
    if job.team:
        state.team_used[job.team].add(spec.size, -1)
    state.unwanted_runs.pop((task_id, run), None)
    if not state.runs[incarnation] and incarnation not in state.targets:
        remove_incarnation(state, incarnation)


def put_configuration(state: BatchState, change: PutConfiguration) -> str | None:
    """Activate a configuration with a higher version."""
    version, known = change.configuration.version, state.configuration.version
    if version <= known:
        return f"version {version} is not above {known}"
    stored = state.stored
    stored.configuration, stored.text = change.configuration, change.text
    for name in stored.queues:
        queue = change.configuration.queues_by_name.get(name)
        if queue is not None:
            stored.queues[name] = queue
    return None


def submit_job(state: BatchState, change: SubmitJob) -> str | None:
    """Accept a job."""
    if change.job_id in state.jobs:
        return None
    queue = state.configuration.queues_by_name.get(change.queue)
    if queue is None:
        return f"no queue {change.queue!r} in version {state.configuration.version}"
    state.stored.queues[queue.name] = queue
    job = JobRecord(change.job_id, change.queue, change.team, change.spec, state.now_ms)
    state.jobs[job.job_id] = job
    state.waiting[job.queue] += 1
    if change.spec.schedule is None:
        start_occurrence(state, job)
    else:
        state.scheduled[job.job_id] = job
    return None


def open_occurrence(state: BatchState, change: OpenOccurrence) -> str | None:
    """Start the next occurrence of a scheduled job."""
    job = state.jobs.get(change.job_id)
    if job is None or job.ended:
        return "the job has ended"
    if job.next_occurrence != change.occurrence:
        return f"occurrence {job.next_occurrence} is the next one"
    start_occurrence(state, job)
    if job.next_occurrence == job.spec.occurrences:
        del state.scheduled[job.job_id]
    return None


def start_occurrence(state: BatchState, job: JobRecord) -> None:
    """Make the first steps of the next occurrence ready."""
    number = job.next_occurrence
    job.next_occurrence += 1
    occurrence = OccurrenceRecord.of(job.spec)
    job.occurrences[number] = occurrence
    for position, step in enumerate(occurrence.steps):
        if not step.blockers:
            step_id = StepId(job.job_id, number, position)
            state.open_steps[job.queue][step_id] = step


def cancel_job(state: BatchState, change: CancelJob) -> str | None:
    """Cancel a job that has not ended."""
    job = state.jobs.get(change.job_id)
    if job is None:
        return "no such job"
    if not job.ended:
        end_job(state, job, JobPhase.CANCELLED)
    return None


def end_job(state: BatchState, job: JobRecord, phase: JobPhase) -> None:
    """End a job; its live runs stay counted until their ends are reported."""
    if not job.started:
        state.waiting[job.queue] -= 1
    job.phase = phase
    job.ended_ms = state.now_ms
    state.scheduled.pop(job.job_id, None)
    open_steps = state.open_steps[job.queue]
    for number, occurrence in list(job.occurrences.items()):
        has_live_runs = False
        for position, step in enumerate(occurrence.steps):
            step_id = StepId(job.job_id, number, position)
            open_steps.pop(step_id, None)
            for index, task in enumerate(step.tasks):
                for run, incarnation in task.live.items():
                    state.unwanted_runs[TaskId(*step_id, index), run] = incarnation
                    has_live_runs = True
        if not has_live_runs:
            del job.occurrences[number]


def remove_jobs(state: BatchState, change: RemoveJobs) -> None:
    """Remove ended jobs without live runs."""
    for job_id in change.job_ids:
        job = state.jobs.get(job_id)
        if job is not None and job.ended and not job.occurrences:
            del state.jobs[job_id]


def start_run(state: BatchState, change: StartRun) -> str | None:
    """Record the intent to start a run."""
    job = state.jobs.get(change.job_id)
    task_id = TaskId(change.job_id, change.occurrence, change.step, change.index)
    task = state.task(task_id)
    if job is None or task is None or job.ended or task.done:
        return "the task has ended"
    if change.run <= task.run:
        return f"run {task.run} was started before"
    if change.incarnation not in state.targets:
        return "the target is gone"
    task.run = change.run
    task.live[change.run] = change.incarnation
    step = state.step(task_id.step_id)
    step.idle.pop(change.index, None)
    add_run(state, job, task_id, change.run, change.incarnation)
    if not job.started:
        job.started = True
        state.waiting[job.queue] -= 1
        job.phase = JobPhase.RUNNING
    return None


def end_run(state: BatchState, change: EndRun) -> str | None:
    """Record the end of a run."""
    job = state.jobs.get(change.job_id)
    task_id = TaskId(change.job_id, change.occurrence, change.step, change.index)
    task = state.task(task_id)
    if job is None or task is None:
        return "the task is not in progress"
    incarnation = task.live.pop(change.run, None)
    if incarnation is not None:
        remove_run(state, job, task_id, change.run, incarnation)
    if change.checkpoint and change.run >= task.checkpoint_run:
        task.checkpoint, task.checkpoint_run = change.checkpoint, change.run
    if not job.ended:
        record_task_outcome(state, job, task_id, change, incarnation)
    occurrence = job.occurrences.get(change.occurrence)
    if occurrence is not None and (job.ended or not occurrence.steps_remaining):
        remove_ended_occurrence(job, change.occurrence)
    return None


def record_task_outcome(
    state: BatchState,
    job: JobRecord,
    task_id: TaskId,
    change: EndRun,
    incarnation: str | None,
) -> None:
    """Mark a task as done, or return it to the queue."""
    spec = job.spec.steps[change.step]
    step = state.step(task_id.step_id)
    if change.how == RunEnd.DONE and not spec.long_running:
        complete_task(state, job, task_id, spec, step)
    elif incarnation is not None:
        return_to_queue(state, job, task_id, change, incarnation)


def remove_ended_occurrence(job: JobRecord, number: int) -> None:
    """Remove an occurrence once none of its runs is live."""
    occurrence = job.occurrences.get(number)
    if occurrence is None:
        return
    tasks = (task for step in occurrence.steps for task in step.tasks)
    if not any(task.live for task in tasks):
        del job.occurrences[number]


def return_to_queue(
    state: BatchState, job: JobRecord, task_id: TaskId, change: EndRun, incarnation: str
) -> None:
    """Make a task ready again, or fail its job."""
    spec, step = job.spec.steps[task_id.step], state.step(task_id.step_id)
    task = step.tasks[task_id.index]
    if task.done:
        return
    if change.how == RunEnd.FAILED:
        task.avoided_incarnation = incarnation
        count_failure(spec, step, task, change.run)
        max_attempts = state.queue_of(job).max_attempts
        failures = step.gang_failures if spec.gang else task.failures
        if not spec.long_running and failures >= max_attempts:
            end_job(state, job, JobPhase.FAILED)
            return
    if not task.live:
        step.idle[task_id.index] = None


def count_failure(spec: StepSpec, step: StepRecord, task: TaskRecord, run: int) -> None:
    """Count a failed run; the members of a gang fail together."""
    if not spec.gang:
        task.failures += 1
    elif run > step.gang_failed_run:
        step.gang_failed_run = run
        step.gang_failures += 1


def complete_task(
    state: BatchState,
    job: JobRecord,
    task_id: TaskId,
    spec: StepSpec,
    step: StepRecord,
) -> None:
    """Mark a task as done, or all tasks of its gang."""
    indexes = range(len(step.tasks)) if spec.gang else (task_id.index,)
    for index in indexes:
        task = step.tasks[index]
        if not task.done:
            task.done = True
            step.remaining -= 1
            step.idle.pop(index, None)
        if not spec.gang:
            for run, incarnation in task.live.items():
                state.unwanted_runs[task_id, run] = incarnation
    if step.remaining == 0:
        complete_step(state, job, task_id.step_id)


def complete_step(state: BatchState, job: JobRecord, step_id: StepId) -> None:
    """Unblock the steps that depend on this one, or complete the occurrence."""
    open_steps = state.open_steps[job.queue]
    if open_steps.pop(step_id, None) is None:
        return
    occurrence = job.occurrences[step_id.occurrence]
    occurrence.steps_remaining -= 1
    for position, spec in enumerate(job.spec.steps):
        if step_id.step in spec.after:
            step = occurrence.steps[position]
            step.blockers -= 1
            if not step.blockers:
                open_steps[StepId(job.job_id, step_id.occurrence, position)] = step
    if occurrence.steps_remaining == 0:
        job.completed += 1
        if job.completed == job.spec.occurrences:
            end_job(state, job, JobPhase.COMPLETED)


def record_target(state: BatchState, change: RecordTarget) -> str | None:
    """Record a target, and end other incarnations that it replaces."""
    target = change.target
    if state.is_outdated(target.incarnation, change.sequence):
        return f"{target.incarnation} has left, or announced something later"
    for incarnation in conflicting_incarnations(state, target):
        if state.targets[incarnation].started_ms > target.started_ms:
            return f"{target.incarnation} was replaced by {incarnation}"
        expire_incarnation(state, incarnation)
    known = state.targets.get(target.incarnation)
    if known is not None:
        unindex_target(state, known)
    state.targets[target.incarnation] = target
    state.stored.sequences[target.incarnation] = change.sequence
    index_target(state, target)
    return None


def conflicting_incarnations(state: BatchState, target: Target) -> list[str]:
    """Return the other incarnations at a target's name, host or address."""
    others = {
        state.incarnations_by_name.get(target.name),
        state.incarnations_by_address.get(target.address),
    }
    if target.host:
        others.add(state.incarnations_by_host.get(target.host))
    return sorted(
        incarnation
        for incarnation in others
        if incarnation not in (None, target.incarnation)
    )


def index_target(state: BatchState, target: Target) -> None:
    """Index a target by name, host and address."""
    state.runs.setdefault(target.incarnation, {})
    state.used.setdefault(target.incarnation, Tally())
    state.incarnations_by_name[target.name] = target.incarnation
    state.incarnations_by_address[target.address] = target.incarnation
    if target.host:
        state.incarnations_by_host[target.host] = target.incarnation


def unindex_target(state: BatchState, target: Target) -> None:
    """Remove a target from the indexes by name, host and address."""
    for index, key in (
        (state.incarnations_by_name, target.name),
        (state.incarnations_by_host, target.host),
        (state.incarnations_by_address, target.address),
    ):
        if index.get(key) == target.incarnation:
            del index[key]


def end_incarnation(state: BatchState, change: EndIncarnation) -> None:
    """End an incarnation and all its runs."""
    if change.incarnation in state.targets:
        expire_incarnation(state, change.incarnation)


def expire_incarnation(state: BatchState, incarnation: str) -> None:
    """End the runs of an incarnation as lapsed, and remove its target."""
    target = state.targets.pop(incarnation)
    state.stored.sequences.pop(incarnation, None)
    if target.draining:
        remember_departed(state, incarnation)
    unindex_target(state, target)
    for task_id, run in list(state.live_runs(incarnation)):
        end_run(state, EndRun(*task_id, run, RunEnd.LEASE_EXPIRED))
    remove_incarnation(state, incarnation)


def remember_departed(state: BatchState, incarnation: str) -> None:
    """Record that an incarnation has left, and forget those that left long ago."""
    departed = state.stored.departed
    for earlier, at_ms in list(departed.items()):
        if state.now_ms - at_ms <= DEPARTED_RETENTION_MS:
            break
        del departed[earlier]
    departed[incarnation] = state.now_ms


def remove_incarnation(state: BatchState, incarnation: str) -> None:
    """Remove the sums over the runs of an ended incarnation."""
    for sums in (state.runs, state.used, state.filler_millis):
        sums.pop(incarnation, None)


def begin_wave(state: BatchState, change: BeginWave) -> str | None:
    """Record a new wave; a known one is left unchanged."""
    if change.wave in state.waves:
        return None
    hosts = dict.fromkeys(change.hosts, HostUpkeep())
    state.waves[change.wave] = WaveRecord(
        change.wave, state.now_ms, change.duration_ms, change.limit, hosts
    )
    return None


def mark_upkeep(state: BatchState, change: MarkUpkeep) -> str | None:
    """Record the phase of a host's upkeep."""
    wave = state.waves.get(change.wave)
    if wave is None or change.host not in wave.hosts:
        return "the host is in no such wave"
    wave.hosts[change.host] = HostUpkeep(change.phase, change.incarnation, state.now_ms)
    return None


APPLIERS: dict[type, Callable[[BatchState, object], str | None]] = {
    PutConfiguration: put_configuration,
    SubmitJob: submit_job,
    CancelJob: cancel_job,
    RemoveJobs: remove_jobs,
    OpenOccurrence: open_occurrence,
    StartRun: start_run,
    EndRun: end_run,
    RecordTarget: record_target,
    EndIncarnation: end_incarnation,
    BeginWave: begin_wave,
    MarkUpkeep: mark_upkeep,
}
