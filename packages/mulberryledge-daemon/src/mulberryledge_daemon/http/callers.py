"""
mulberryledge_daemon.http.callers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The callers' HTTP interface: calls, and submission and management of jobs.
"""

import json
from collections.abc import Callable
from dataclasses import replace
from io import SEEK_END
from itertools import count
from typing import BinaryIO
from uuid import uuid4

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain
from mulberryledge_core.commands.work import CancelJobs, SubmitJob
from mulberryledge_core.decisions.hold_reasons import hold_reason
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import Answer, Job, JobPhase
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.entry.admission import KeyCache, admit
from mulberryledge_daemon.entry.calls import (
    Call,
    CallDispatcher,
    CallResult,
    refusal_run_outcome,
)
from mulberryledge_daemon.http.headers import Header
from mulberryledge_daemon.http.routing import (
    Reply,
    Route,
    header_of,
    json_reply,
    parse_number,
    query_of,
    refusal_reply,
)
from mulberryledge_daemon.observations import (
    CallObservation,
    CallObserver,
    discard_observation,
)
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["CallerInterface", "caller_routes"]

FORWARDED_HEADERS = ("Content-Type", "Accept")
CATCH_UP_TIMEOUT_S = 2.0
JOB_POLL_INTERVAL_S = 0.02
MAX_WAIT_S = 30.0
MAX_REQUESTED_WAIT_S = 3_600.0
MAX_DEADLINE_MS = 120_000
MAX_IDEMPOTENCY_KEY_CHARS = 128
MAX_BUFFERED_BODY_BYTES = 100_000
FINAL_PHASES = (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED, JobPhase.UNKNOWN)


class RequestSink:
    """Implements the port AnswerSink on the caller's request."""

    def __init__(self, request: Request, request_id: str):
        self.request = request
        self.request_id = request_id

    def start(self, head: Answer, length: int | None, source: object) -> None:
        """Write status, headers and the first chunk of the body."""
        request = self.request
        if request._disconnected:
            source.abortConnection()
            return
        request.setResponseCode(head.status)
        request.setHeader("Content-Type", head.content_type)
        request.setHeader("X-Request-Id", self.request_id)
        if length is not None:
            request.setHeader("Content-Length", str(length))
        request.registerProducer(source, True)
        request.write(head.body)

    def write(self, data: bytes) -> None:
        """Write the next chunk of the body."""
        if not self.request._disconnected:
            self.request.write(data)

    def end(self) -> None:
        """Finish the reply."""
        if not self.request._disconnected:
            self.request.unregisterProducer()
            self.request.finish()

    def abort(self) -> None:
        """Abort the connection to the caller."""
        if not self.request._disconnected:
            self.request.unregisterProducer()
            self.request.transport.abortConnection()


class CallerInterface:
    """Handlers of the callers' routes."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        calls: CallDispatcher,
        stopping: Callable[[], bool],
        observe: CallObserver = discard_observation,
    ):
        self.clock = clock
        self.log = log
        self.calls = calls
        self.stopping = stopping
        self.observe = observe
        self.key_cache = KeyCache()
        self.request_id_prefix = uuid4().hex[:16]
        self.request_numbers = count(1)

    def admit(self, request: Request) -> Result[TeamKey, Refusal]:
        """Authenticate a request unless the entry is stopping."""
        if self.stopping():
            return Err(
                Refusal(Code.STOPPING, "this entry is stopping: try another one")
            )
        return admit(self.log, header_of(request, "Authorization"), self.key_cache)

    async def call(self, request: Request, service: str, path: str) -> Reply:
        """Dispatch a call and return the target's answer."""
        started_s = self.clock.seconds()
        admitted = self.admit(request)
        parsed_call = admitted.and_then(
            lambda _: self.parse_call(request, service, path)
        )
        if isinstance(parsed_call, Err):
            idempotent = bool(header_of(request, "Idempotency-Key"))
            run = refusal_run_outcome(self.log, service, idempotent)
            return refusal_reply(parsed_call.err_value, run)
        key, call = admitted.ok_value, parsed_call.ok_value
        outcome, tries = await self.calls.run(key, call)
        reply = call_reply(call, outcome)
        self.observe(
            call_observation(
                call, key, outcome, reply, self.clock.seconds() - started_s, tries
            )
        )
        return reply

    def parse_call(
        self, request: Request, service: str, path: str
    ) -> Result[Call, Refusal]:
        """Parse a call from a request."""
        idempotency_key = header_of(request, "Idempotency-Key")
        if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS or not (
            idempotency_key.isascii() and idempotency_key.isprintable()
        ):
            text = (
                f"Idempotency-Key: use at most {MAX_IDEMPOTENCY_KEY_CHARS}"
                " printable characters"
            )
            return Err(Refusal(Code.BAD_REQUEST, text))
        timeout_s = timeout_s_of(request)
        if isinstance(timeout_s, Err):
            return timeout_s
        headers = tuple(
            Header(name, value)
            for name in FORWARDED_HEADERS
            if (value := request.getHeader(name))
        )
        request_id = idempotency_key
        if not idempotency_key or self.is_repeatable(service):
            request_id = f"{self.request_id_prefix}-{next(self.request_numbers)}"
            headers = (
                (*headers, Header("Idempotency-Key", idempotency_key))
                if idempotency_key
                else headers
            )
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        body, length = read_body(request)
        return Ok(
            Call(
                request_id=request_id,
                service=service,
                method=request.method.decode("ascii", "replace"),
                path=f"{path}?{query}" if query else path,
                headers=headers,
                body=body,
                length=length,
                has_idempotency_key=bool(idempotency_key),
                timeout_s=timeout_s.ok_value,
                sink=RequestSink(request, request_id),
                disconnected=request.notifyFinish(),
            )
        )

    def is_repeatable(self, service: str) -> bool:
        """Return whether calls of the service may be repeated."""
        record = self.log.state.services.get(service)
        section = record.document.calls if record is not None else None
        return section is not None and section.repeatable

    async def submit(self, request: Request, service: str) -> Reply:
        """Queue a job; it is committed before the reply."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        team = admitted.ok_value.team
        idempotency_key = header_of(request, "Idempotency-Key")
        job_id = f"{team}.{idempotency_key}" if idempotency_key else uuid4().hex
        size = parse_size(header_of(request, "X-Job-Size"))
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
        return json_reply(
            job_status(self.log.state, self.log.state.jobs[job_id]), status=202
        )

    async def status(self, request: Request, job_id: str) -> Reply:
        """Return the status of a job of the key's team."""
        found = await self.find_job(request, job_id)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        return json_reply(job_status(self.log.state, found.ok_value))

    async def result(self, request: Request, job_id: str) -> Reply:
        """Wait for the end of a job and return its result, or its status so far."""
        wait_s = parse_number(
            "wait_s", query_of(request, "wait_s", "0"), 0, MAX_REQUESTED_WAIT_S
        )
        if isinstance(wait_s, Err):
            return refusal_reply(wait_s.err_value)
        until_s = self.clock.seconds() + min(MAX_WAIT_S, wait_s.ok_value)
        while True:
            found = await self.find_job(request, job_id)
            if isinstance(found, Err):
                return refusal_reply(found.err_value)
            job = found.ok_value
            if job.result_dropped:
                text = f"the result of job {job_id!r} was discarded to free space"
                return refusal_reply(Refusal(Code.NOT_FOUND, text), RunOutcome.RAN)
            if job.phase == JobPhase.DONE:
                return Reply(200, job.result, "application/octet-stream")
            wait_ended = self.clock.seconds() >= until_s or request._disconnected
            if job.phase in FINAL_PHASES or wait_ended or self.stopping():
                return json_reply(job_status(self.log.state, job), status=202)
            await deferLater(self.clock, JOB_POLL_INTERVAL_S)

    async def cancel(self, request: Request, job_id: str) -> Reply:
        """Cancel a job of the key's team."""
        found = await self.find_job(request, job_id)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        command = CancelJobs(found.ok_value.team, (job_id,))
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        return json_reply(job_status(self.log.state, self.log.state.jobs[job_id]))

    async def find_job(self, request: Request, job_id: str) -> Result[Job, Refusal]:
        """Return a job if the key's team submitted it, through any entry."""
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return admitted
        # Another entry may have acknowledged a job that this one has yet to apply.
        if job_id not in self.log.state.jobs and not await self.log.catch_up(
            CATCH_UP_TIMEOUT_S
        ):
            text = "this entry cannot know whether the job exists: try another one"
            return Err(Refusal(Code.NOT_FRESH, text))
        job = self.log.state.jobs.get(job_id)
        if job is None or job.team != admitted.ok_value.team:
            return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r} does not exist"))
        return Ok(job)


def timeout_s_of(request: Request) -> Result[float | None, Refusal]:
    """Return the time-out of the X-Deadline-Ms header in seconds, or None."""
    text = header_of(request, "X-Deadline-Ms")
    if not text:
        return Ok(None)
    parsed = parse_number("X-Deadline-Ms", text, 1, MAX_DEADLINE_MS)
    return parsed.map(lambda timeout_ms: timeout_ms / 1_000)


def read_body(request: Request) -> tuple[bytes | BinaryIO, int]:
    """Return the body, as a file if it is large, and its length in bytes."""
    content = request.content
    length = content.seek(0, SEEK_END)
    content.seek(0)
    if length > MAX_BUFFERED_BODY_BYTES:
        return content, length
    return content.read(), length


def call_reply(call: Call, outcome: CallResult) -> Reply:
    """Return the reply to a call."""
    headers = (Header("X-Request-Id", call.request_id),)
    if isinstance(outcome, Err):
        failure = outcome.err_value
        reply = refusal_reply(failure.refusal, failure.run, headers)
        return replace(reply, written=failure.streamed)
    call_outcome = outcome.ok_value
    answer = call_outcome.answer
    if call_outcome.sink_started:
        return Reply(answer.status, written=True)
    return Reply(answer.status, answer.body, answer.content_type, headers)


def call_observation(
    call: Call,
    key: TeamKey,
    outcome: CallResult,
    reply: Reply,
    seconds: float,
    tries: int,
) -> CallObservation:
    """Return the observation of a finished call."""
    failure = outcome.err_value if isinstance(outcome, Err) else None
    return CallObservation(
        service=call.service,
        team=key.team,
        run_outcome=failure.run if failure else RunOutcome.RAN,
        code=failure.refusal.code if failure else "ok",
        status=reply.status,
        duration_s=seconds,
        dispatches=tries,
    )


def parse_size(text: str) -> Result[Resources | None, Refusal]:
    """Parse the X-Job-Size header, a JSON object; None if it is empty."""
    if not text:
        return Ok(None)
    try:
        plain = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Err(Refusal(Code.BAD_REQUEST, f"X-Job-Size: not JSON: {error}"))
    size = from_plain(plain, Resources)
    if isinstance(size, Err):
        text = f"X-Job-Size: {size.err_value.message}"
        return Err(Refusal(Code.BAD_REQUEST, text, size.err_value.faults))
    return size


def job_status(state: ClusterState, job: Job) -> dict[str, object]:
    """Return the status of a job as callers see it."""
    return {
        "job_id": job.job_id,
        "phase": job.phase,
        "attempt": job.attempt,
        "submitted_ms": job.submitted_ms,
        "started_ms": job.started_ms,
        "ended_ms": job.ended_ms,
        "held": hold_reason(state, job),
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
