"""
mulberryledge_core.state.appliers.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on jobs and at-most-once reservations.
"""

from dataclasses import replace

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
from mulberryledge_core.model.jobs import (
    Job,
    JobPhase,
    Reservation,
    ReservationPhase,
)
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.answers import missing, ok, refuse
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_core.state.tables import ClusterState, Context, reservation_id

__all__ = ["APPLIERS"]


def submit_job(state: ClusterState, command: SubmitJob, ctx: Context) -> ApplyResult:
    """Queue a job."""
    service = state.services.get(command.service)
    if service is None or service.document.queue is None:
        return missing("queue", command.service)
    if command.team not in state.teams:
        return missing("team", command.team)
    queue = service.document.queue
    if not queue.open and command.team != service.document.service.team:
        text = f"queue {command.service!r} is not open to team {command.team!r}"
        return refuse(Code.NOT_ALLOWED, text)
    present = state.jobs.get(command.job_id)
    if present is not None:
        same = (present.team, present.service, present.body) == (
            command.team,
            command.service,
            command.body,
        )
        if not same:
            return refuse(Code.CONFLICT, f"job {command.job_id!r} is another job")
        return ok(ctx.index, command.job_id)
    state.jobs[command.job_id] = Job(
        job_id=command.job_id,
        service=command.service,
        team=command.team,
        body=command.body,
        urgent=command.urgent,
        repeatable=command.repeatable and queue.repeatable,
        submitted_ms=ctx.now_ms,
        lease_ms=queue.lease_ms,
    )
    return ok(ctx.index, command.job_id)


def start_job(state: ClusterState, command: StartJob, ctx: Context) -> ApplyResult:
    """Lease a queued job to a target, within the team's upper limit."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return missing("job", command.job_id)
    if job.phase != JobPhase.QUEUED:
        return refuse(Code.CONFLICT, f"job {job.job_id!r} is {job.phase}")
    target = state.targets.get(command.target)
    if target is None or target.generation != command.generation:
        return missing("target", command.target)
    if not state.target_serves(target.name):
        return refuse(Code.CONFLICT, f"target {target.name!r} takes no new work")
    key = state.keys.get(command.key)
    service = state.services[job.service]
    if key is None or key.team != service.document.service.team:
        return refuse(Code.BAD_KEY, f"key {command.key!r} may not take this work")
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


def end_job(state: ClusterState, command: EndJob, ctx: Context) -> ApplyResult:
    """End an attempt; the holder of an older attempt is told that it is stale."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return missing("job", command.job_id)
    if job.attempt != command.attempt:
        text = f"attempt {command.attempt} of {job.job_id!r} is over"
        return refuse(Code.STALE, text)
    if job.phase != JobPhase.RUNNING:
        if (job.phase, job.result) == (command.phase, command.result):
            return ok(ctx.index, "present")
        return refuse(Code.STALE, f"job {job.job_id!r} is {job.phase}")
    if command.phase == JobPhase.QUEUED:
        state.jobs[job.job_id] = _requeued(job, ctx)
        return ok(ctx.index)
    state.jobs[job.job_id] = replace(
        job, phase=command.phase, result=command.result, ended_ms=ctx.now_ms
    )
    return ok(ctx.index)


def expire_job(state: ClusterState, command: ExpireJob, ctx: Context) -> ApplyResult:
    """Requeue a repeatable job whose lease ran out; another becomes unknown."""
    job = state.jobs.get(command.job_id)
    if job is None or job.phase != JobPhase.RUNNING:
        return missing("running job", command.job_id)
    if job.attempt != command.attempt:
        return refuse(Code.STALE, f"attempt {command.attempt} is over")
    if job.repeatable:
        state.jobs[job.job_id] = _requeued(job, ctx)
    else:
        state.jobs[job.job_id] = replace(
            job, phase=JobPhase.UNKNOWN, ended_ms=ctx.now_ms
        )
    return ok(ctx.index)


def cancel_jobs(state: ClusterState, command: CancelJobs, ctx: Context) -> ApplyResult:
    """Cancel queued jobs and ask running ones to stop."""
    for job_id in command.job_ids:
        job = state.jobs.get(job_id)
        if job is None or job.team != command.team:
            continue
        if job.phase == JobPhase.QUEUED:
            state.jobs[job_id] = replace(
                job, phase=JobPhase.CANCELLED, ended_ms=ctx.now_ms
            )
        elif job.phase == JobPhase.RUNNING:
            state.jobs[job_id] = replace(job, cancel_requested=True)
    return ok(ctx.index)


def reserve(state: ClusterState, command: Reserve, ctx: Context) -> ApplyResult:
    """Claim the one run of a request; the detail says whether the claim is new."""
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
        return missing("reservation", name)
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
    """Drop old kept answers; that the requests ran stays known."""
    for name, item in list(state.reservations.items()):
        if item.answer is not None and item.reserved_ms < command.before_ms:
            state.reservations[name] = replace(item, answer=None)
    return ok(ctx.index)


def forget_work(state: ClusterState, command: ForgetWork, ctx: Context) -> ApplyResult:
    """Drop what ended before the given time."""
    before = command.before_ms
    state.jobs.keep(lambda job: job.ended_ms == 0 or job.ended_ms >= before)
    state.reservations.keep(
        lambda item: (
            item.phase == ReservationPhase.RUNNING or item.reserved_ms >= before
        )
    )
    return ok(ctx.index)


def _requeued(job: Job, ctx: Context) -> Job:
    if job.cancel_requested:
        return replace(job, phase=JobPhase.CANCELLED, target="", ended_ms=ctx.now_ms)
    return replace(job, phase=JobPhase.QUEUED, target="")


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
