"""
mulberryledge_core.state.appliers.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on jobs and at-most-once reservations.
"""

from dataclasses import replace
from hashlib import sha256
from math import isfinite

from mulberryledge_core.commands.work import (
    CancelJobs,
    EndJob,
    ExpireJob,
    ForgetAnswers,
    ForgetWork,
    Reserve,
    SettleReservation,
    StartJob,
    SubmitJob,
)
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import (
    Job,
    JobPhase,
    Reservation,
    ReservationPhase,
)
from mulberryledge_core.model.services import QueueSection
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_core.state.results import not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context, reservation_id

__all__ = [
    "APPLIERS",
    "MAX_JOBS",
    "MAX_RESERVATIONS",
    "MAX_RESULT_BYTES",
    "key_may_take_job",
]

MAX_JOBS = 100_000
MAX_RESERVATIONS = 50_000
MAX_BODY_BYTES = 262_144
MAX_RESULT_BYTES = 1_048_576
MAX_EXPIRIES = 10


def submit_job(state: ClusterState, command: SubmitJob, ctx: Context) -> ApplyResult:
    """Queue a job."""
    service = state.services.get(command.service)
    if service is None or service.document.queue is None:
        return not_found("queue", command.service)
    if command.team not in state.teams:
        return not_found("team", command.team)
    queue = service.document.queue
    if not queue.open and command.team != service.document.service.team:
        text = f"queue {command.service!r} is not open to team {command.team!r}"
        return refuse(Code.NOT_ALLOWED, text)
    digest = sha256(command.body).digest()
    present = state.jobs.get(command.job_id)
    if present is not None:
        same = (present.team, present.service, present.digest) == (
            command.team,
            command.service,
            digest,
        )
        if not same:
            return refuse(
                Code.CONFLICT, f"job {command.job_id!r} exists with other values"
            )
        return ok(ctx.index, command.job_id)
    refusal = _submit_refusal(state, command, queue)
    if refusal is not None:
        return refusal
    state.jobs[command.job_id] = Job(
        job_id=command.job_id,
        service=command.service,
        team=command.team,
        body=command.body,
        digest=digest,
        urgent=command.urgent,
        repeatable=command.repeatable and queue.repeatable,
        size=command.size or service.document.size,
        submitted_ms=ctx.now_ms,
        lease_ms=queue.lease_ms,
    )
    return ok(ctx.index, command.job_id)


def _submit_refusal(
    state: ClusterState, command: SubmitJob, queue: QueueSection
) -> ApplyResult | None:
    if len(command.body) > MAX_BODY_BYTES:
        text = f"body of {len(command.body)} bytes: send at most {MAX_BODY_BYTES}"
        return refuse(Code.TOO_LARGE, text)
    if len(state.jobs) >= MAX_JOBS:
        return refuse(Code.OVERLOADED, f"limit of {MAX_JOBS} jobs reached")
    if state.indexes.queued_by_service.count(command.service) >= queue.max_queued:
        text = f"queue {command.service!r} is full: {queue.max_queued} jobs"
        return refuse(Code.OVERLOADED, text)
    if command.size is not None and min(quantities_of(command.size)) < 0:
        return refuse(
            Code.BAD_REQUEST, f"size {command.size}: a quantity is below zero"
        )
    return None


def quantities_of(size: Resources) -> tuple[float, ...]:
    """Return the quantities of a size, with -1 for those that are not finite."""
    values = (size.processors, size.memory_mb, size.accelerators)
    return tuple(value if isfinite(value) else -1.0 for value in values)


def start_job(state: ClusterState, command: StartJob, ctx: Context) -> ApplyResult:
    """Lease a queued job to a target, within the team's upper limit."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return not_found("job", command.job_id)
    if job.phase != JobPhase.QUEUED:
        return refuse(Code.CONFLICT, f"job {job.job_id!r} is {job.phase}")
    target = state.targets.get(command.target)
    if target is None or target.generation != command.generation:
        return not_found("target", command.target)
    if target.service != job.service:
        text = f"target {target.name!r} serves {target.service!r}, not {job.service!r}"
        return refuse(Code.NOT_ALLOWED, text)
    if not state.target_accepts_work(target.name):
        return refuse(Code.CONFLICT, f"target {target.name!r} takes no new work")
    if not key_may_take_job(state, job, command.key):
        return refuse(Code.BAD_KEY, f"key {command.key!r} may not take this job")
    if slots_in_use(state, target.name) >= usable_slots(state, target):
        return refuse(Code.LIMIT, f"target {target.name!r} has no free slots")
    if team_headroom(state, job.team) < 1:
        return refuse(Code.LIMIT, f"team {job.team!r} is at its upper limit")
    state.jobs[job.job_id] = replace(
        job,
        phase=JobPhase.RUNNING,
        started_ms=ctx.now_ms,
        attempt=job.attempt + 1,
        target=target.name,
    )
    return ok(ctx.index, job.job_id)


def key_may_take_job(state: ClusterState, job: Job, key_id: str) -> bool:
    """
    Return whether a key may take the job.

    It must be a key of the service's team, and the queue must be open or the job
    of the same team.
    """
    key = state.keys.get(key_id)
    service = state.services.get(job.service)
    if key is None or service is None:
        return False
    document = service.document
    if key.team != document.service.team:
        return False
    is_open = document.queue is not None and document.queue.open
    return is_open or job.team == key.team


def end_job(state: ClusterState, command: EndJob, ctx: Context) -> ApplyResult:
    """End an attempt; the end of an older attempt is refused as stale."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return not_found("job", command.job_id)
    if command.key and not key_may_take_job(state, job, command.key):
        return refuse(Code.BAD_KEY, f"key {command.key!r} may not end this job")
    if job.attempt != command.attempt:
        text = f"attempt {command.attempt} of {job.job_id!r} has ended"
        return refuse(Code.STALE, text)
    if len(command.result) > MAX_RESULT_BYTES:
        text = f"result of {len(command.result)} bytes: send at most {MAX_RESULT_BYTES}"
        return refuse(Code.TOO_LARGE, text)
    if job.phase != JobPhase.RUNNING:
        if (job.phase, job.result) == (command.phase, command.result):
            return ok(ctx.index, "present")
        return refuse(Code.STALE, f"job {job.job_id!r} is {job.phase}")
    if command.phase not in ENDINGS:
        return refuse(
            Code.BAD_REQUEST, f"phase {command.phase} does not end an attempt"
        )
    state.jobs[job.job_id] = ENDINGS[command.phase](state, job, command, ctx)
    return ok(ctx.index)


def expire_job(state: ClusterState, command: ExpireJob, ctx: Context) -> ApplyResult:
    """Requeue a repeatable job whose lease expired; any other becomes unknown."""
    job = state.jobs.get(command.job_id)
    if job is None or job.phase != JobPhase.RUNNING:
        return not_found("running job", command.job_id)
    if job.attempt != command.attempt:
        return refuse(Code.STALE, f"attempt {command.attempt} has ended")
    expired = replace(job, expiries=job.expiries + 1)
    if not job.repeatable:
        state.jobs[job.job_id] = ended(expired, JobPhase.UNKNOWN, b"", ctx)
    elif expired.expiries >= MAX_EXPIRIES:
        text = f"given up: its lease ran out {expired.expiries} times"
        state.jobs[job.job_id] = ended(expired, JobPhase.FAILED, text.encode(), ctx)
    else:
        state.jobs[job.job_id] = requeued(expired, ctx)
    return ok(ctx.index)


def cancel_jobs(state: ClusterState, command: CancelJobs, ctx: Context) -> ApplyResult:
    """Cancel queued jobs and ask running ones to stop."""
    for job_id in command.job_ids:
        job = state.jobs.get(job_id)
        if job is None or job.team != command.team:
            continue
        if job.phase == JobPhase.QUEUED:
            state.jobs[job_id] = ended(job, JobPhase.CANCELLED, b"", ctx)
        elif job.phase == JobPhase.RUNNING:
            state.jobs[job_id] = replace(job, cancel_requested=True)
    return ok(ctx.index)


def ended(job: Job, phase: JobPhase, result: bytes, ctx: Context) -> Job:
    """Return the ended job, without its body and checkpoint."""
    return replace(
        job,
        phase=phase,
        result=result,
        ended_ms=ctx.now_ms,
        body=b"",
        checkpoint=b"",
    )


def requeued(job: Job, ctx: Context, not_run: bool = False) -> Job:
    """Return the job queued again, or cancelled if that was requested."""
    assert job.repeatable or not_run, f"job {job.job_id!r} may not run again"
    if job.cancel_requested:
        return ended(job, JobPhase.CANCELLED, b"", ctx)
    return replace(job, phase=JobPhase.QUEUED)


def finished(state: ClusterState, job: Job, command: EndJob, ctx: Context) -> Job:
    """Return the job done or cancelled."""
    return ended(job, command.phase, command.result, ctx)


def failed(state: ClusterState, job: Job, command: EndJob, ctx: Context) -> Job:
    """Return the job queued for another attempt, or failed after the last one."""
    others = (target for target in job.failed_on if target != job.target)
    tried = (*others, job.target)
    counted = replace(job, failures=job.failures + 1, failed_on=tried)
    queue = state.services[job.service].document.queue
    attempts = queue.max_attempts if queue is not None else 1
    if not job.repeatable or counted.failures >= attempts:
        return ended(counted, JobPhase.FAILED, command.result, ctx)
    return requeued(counted, ctx)


def returned_to_queue(
    state: ClusterState, job: Job, command: EndJob, ctx: Context
) -> Job:
    """Return the job queued again if it has not run or is repeatable, else unknown."""
    if command.not_run:
        return requeued(job, ctx, not_run=True)
    if not job.repeatable:
        return ended(job, JobPhase.UNKNOWN, command.result, ctx)
    checkpoint = command.result or job.checkpoint
    return requeued(replace(job, stops=job.stops + 1, checkpoint=checkpoint), ctx)


ENDINGS = {
    JobPhase.DONE: finished,
    JobPhase.CANCELLED: finished,
    JobPhase.FAILED: failed,
    JobPhase.QUEUED: returned_to_queue,
}


def reserve(state: ClusterState, command: Reserve, ctx: Context) -> ApplyResult:
    """Claim the only run of a request; the detail tells new claims from known ones."""
    name = reservation_id(command.team, command.request_id)
    present = state.reservations.get(name)
    if present is not None and present.digest != command.digest:
        text = f"request id {command.request_id!r} belongs to another request"
        return refuse(Code.CONFLICT, text)
    if present is not None and command.token and present.token == command.token:
        granted = present.phase == ReservationPhase.RUNNING
        return ok(ctx.index, "granted" if granted else "present")
    if present is not None and present.phase != ReservationPhase.NOT_RUN:
        return ok(ctx.index, "present")
    if command.session not in state.sessions:
        return refuse(Code.STALE, f"session {command.session!r} is closed")
    if len(state.reservations) >= MAX_RESERVATIONS:
        text = f"limit of {MAX_RESERVATIONS} at-most-once requests reached"
        return refuse(Code.OVERLOADED, text)
    state.reservations[name] = Reservation(
        request_id=command.request_id,
        team=command.team,
        service=command.service,
        digest=command.digest,
        entry=command.entry,
        session=command.session,
        reserved_ms=ctx.now_ms,
        token=command.token,
    )
    return ok(ctx.index, "granted")


def settle_reservation(
    state: ClusterState, command: SettleReservation, ctx: Context
) -> ApplyResult:
    """Record the outcome of a reserved request; the first outcome stays."""
    name = reservation_id(command.team, command.request_id)
    present = state.reservations.get(name)
    if present is None:
        return not_found("reservation", name)
    if (present.session, present.token) != (command.session, command.token):
        return refuse(Code.STALE, f"reservation {name!r} is held by another claim")
    if present.phase != ReservationPhase.RUNNING:
        return refuse(Code.STALE, f"reservation {name!r} is {present.phase}")
    state.reservations[name] = replace(
        present, phase=command.phase, answer=command.answer
    )
    return ok(ctx.index)


def forget_answers(
    state: ClusterState, command: ForgetAnswers, ctx: Context
) -> ApplyResult:
    """Remove old stored answers; the reservations themselves stay."""
    for name, item in list(state.reservations.items()):
        if item.answer is not None and item.reserved_ms < command.before_ms:
            state.reservations[name] = replace(item, answer=None)
    return ok(ctx.index)


def forget_work(state: ClusterState, command: ForgetWork, ctx: Context) -> ApplyResult:
    """Remove old ended jobs, settled reservations and results."""
    before, once_before = command.before_ms, command.once_before_ms
    state.jobs.retain(
        lambda job: (
            not job.ended_ms
            or job.ended_ms >= (before if job.repeatable else once_before)
        )
    )
    for job_id, job in list(state.jobs.items()):
        if job.result and job.ended_ms and job.ended_ms < command.results_before_ms:
            state.jobs[job_id] = replace(job, result=b"", result_dropped=True)
    state.reservations.retain(
        lambda item: (
            item.phase == ReservationPhase.RUNNING or item.reserved_ms >= once_before
        )
    )
    return ok(ctx.index)


APPLIERS = {
    SubmitJob: submit_job,
    StartJob: start_job,
    EndJob: end_job,
    ExpireJob: expire_job,
    CancelJobs: cancel_jobs,
    Reserve: reserve,
    SettleReservation: settle_reservation,
    ForgetAnswers: forget_answers,
    ForgetWork: forget_work,
}
