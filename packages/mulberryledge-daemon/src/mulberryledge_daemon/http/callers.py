"""
mulberryledge_daemon.http.callers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The callers' HTTP interface: calls, and jobs with status, cancel and result.
"""

import json
from collections.abc import Callable
from uuid import uuid4

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain
from mulberryledge_core.commands.work import CancelJobs, SubmitJob
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_daemon.entry.admission import admit
from mulberryledge_daemon.entry.calls import Call, Calls
from mulberryledge_daemon.http.routing import (
    Reply,
    Route,
    header_of,
    json_reply,
    query_of,
    refusal_reply,
)
from mulberryledge_daemon.ports import Header, ReplicatedLog

__all__ = ["CallerInterface", "caller_routes"]

FORWARDED_HEADERS = ("Content-Type", "Accept")
POLL_INTERVAL_S = 0.02
MAX_WAIT_S = 30.0
OVER = (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED, JobPhase.UNKNOWN)


class CallerInterface:
    """Handlers of the callers' routes."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        calls: Calls,
        stopping: Callable[[], bool],
    ):
        self.clock = clock
        self.log = log
        self.calls = calls
        self.stopping = stopping

    def admit(self, request: Request) -> Result[TeamKey, Refusal]:
        """Check that the entry takes new work and that the key is good."""
        if self.stopping():
            return Err(Refusal(Code.STOPPING, "this entry is stopping: try another"))
        return admit(self.log, header_of(request, "Authorization"))

    async def call(self, request: Request, service: str, path: str) -> Reply:
        """Dispatch a call and return the target's answer."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        call = make_call(request, service, path)
        outcome = await self.calls.run(admitted.ok_value, call)
        headers = (Header("X-Request-Id", call.request_id),)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            return refusal_reply(failure.refusal, failure.run, headers)
        answer = outcome.ok_value
        return Reply(answer.status, answer.body, answer.content_type, headers)

    async def submit(self, request: Request, service: str) -> Reply:
        """Queue a job; it is durable before the reply."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        team = admitted.ok_value.team
        given = header_of(request, "Idempotency-Key")
        job_id = f"{team}.{given}" if given else uuid4().hex
        size = size_of(header_of(request, "X-Job-Size"))
        if isinstance(size, Err):
            return refusal_reply(size.err_value)
        command = SubmitJob(
            job_id=job_id,
            service=service,
            team=team,
            body=request.content.read(),
            urgent=header_of(request, "X-Urgent") == "true",
            repeatable=header_of(request, "X-Repeatable", "true") == "true",
            size=size.ok_value,
        )
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        return json_reply(job_status(self.log.state.jobs[job_id]), status=202)

    async def status(self, request: Request, job_id: str) -> Reply:
        """Return the status of a job of the key's team."""
        found = self.find_job(request, job_id)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        return json_reply(job_status(found.ok_value))

    async def result(self, request: Request, job_id: str) -> Reply:
        """Wait for the end of a job and return its whole result."""
        wait_s = min(MAX_WAIT_S, float(query_of(request, "wait_s", "0")))
        until = self.clock.seconds() + wait_s
        while True:
            found = self.find_job(request, job_id)
            if isinstance(found, Err):
                return refusal_reply(found.err_value)
            job = found.ok_value
            if job.result_dropped:
                text = f"the result of job {job_id!r} was dropped to make room"
                return refusal_reply(Refusal(Code.NOT_FOUND, text), RunOutcome.RAN)
            if job.phase == JobPhase.DONE:
                return Reply(200, job.result, "application/octet-stream")
            if job.phase in OVER or self.clock.seconds() >= until:
                return json_reply(job_status(job), status=202)
            await deferLater(self.clock, POLL_INTERVAL_S)

    async def cancel(self, request: Request, job_id: str) -> Reply:
        """Cancel a job of the key's team."""
        found = self.find_job(request, job_id)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        command = CancelJobs(found.ok_value.team, (job_id,))
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        return json_reply(job_status(self.log.state.jobs[job_id]))

    def find_job(self, request: Request, job_id: str) -> Result[Job, Refusal]:
        """Return a job if the key's team submitted it."""
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return admitted
        job = self.log.state.jobs.get(job_id)
        if job is None or job.team != admitted.ok_value.team:
            return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r} does not exist"))
        return Ok(job)


def make_call(request: Request, service: str, path: str) -> Call:
    """Read a call from a request."""
    given = header_of(request, "Idempotency-Key")
    deadline_ms = header_of(request, "X-Deadline-Ms")
    query = request.uri.decode("ascii", "replace").partition("?")[2]
    headers = tuple(
        Header(name, value)
        for name in FORWARDED_HEADERS
        if (value := header_of(request, name))
    )
    return Call(
        request_id=given or uuid4().hex,
        service=service,
        method=request.method.decode("ascii"),
        path=f"{path}?{query}" if query else path,
        headers=headers,
        body=request.content.read(),
        idempotent_key=bool(given),
        timeout_s=int(deadline_ms) / 1_000 if deadline_ms.isdigit() else None,
    )


def size_of(text: str) -> Result[Resources | None, Refusal]:
    """Read the declared size of a job, as JSON, from a header; None if absent."""
    if not text:
        return Ok(None)
    try:
        plain = json.loads(text)
    except ValueError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"X-Job-Size: not JSON: {error}"))
    size = from_plain(plain, Resources)
    if isinstance(size, Err):
        text = f"X-Job-Size: {size.err_value.message}"
        return Err(Refusal(Code.BAD_REQUEST, text, size.err_value.faults))
    return size


def job_status(job: Job) -> dict[str, object]:
    """Return what callers see of a job."""
    return {
        "job_id": job.job_id,
        "phase": job.phase,
        "attempt": job.attempt,
        "submitted_ms": job.submitted_ms,
        "started_ms": job.started_ms,
        "ended_ms": job.ended_ms,
    }


def caller_routes(interface: CallerInterface) -> tuple[Route, ...]:
    """Return the callers' routes."""
    return (
        Route("*", "/v1/services/{service}/calls/{path*}", interface.call),
        Route("POST", "/v1/queues/{service}/jobs", interface.submit),
        Route("GET", "/v1/jobs/{job_id}", interface.status),
        Route("DELETE", "/v1/jobs/{job_id}", interface.cancel),
        Route("GET", "/v1/jobs/{job_id}/result", interface.result),
    )
