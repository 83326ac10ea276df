"""
mulberryledge_daemon.http.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The targets' HTTP interface: announcements, leases and jobs.
"""

from base64 import b64encode
from dataclasses import dataclass
from itertools import pairwise

from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain
from mulberryledge_core.commands.fleet import AnnounceTarget, DropTarget, LeaveTarget
from mulberryledge_core.commands.work import EndJob
from mulberryledge_core.messages import RenewJob, TakeJob, TakenJob, TargetsSeen
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.model.targets import (
    DEFAULT_CONNECTIONS,
    DEFAULT_SLOTS,
    Target,
)
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.entry.admission import admit
from mulberryledge_daemon.http.routing import (
    Reply,
    Route,
    header_of,
    json_body,
    json_reply,
    parse_number,
    parse_whole_number,
    query_of,
    refusal_reply,
)
from mulberryledge_daemon.ports import LeaderChannel, ReplicatedLog

__all__ = ["Announcement", "TargetInterface", "target_routes"]

MAX_WAIT_S = 30.0
MAX_REQUESTED_WAIT_S = 3_600.0
MAX_ATTEMPT = 1_000_000
REPORTS_PER_LEASE = 20
PHASE_BY_ENDING = {
    "done": JobPhase.DONE,
    "failed": JobPhase.FAILED,
    "cancelled": JobPhase.CANCELLED,
    "handback": JobPhase.QUEUED,
}


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of a target by itself."""

    host: str
    service: str
    address: str = ""
    port: int = 0
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    instance: str = ""


class TargetInterface:
    """Handlers of the targets' routes."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        daemon: str,
        lease_s: float,
    ):
        self.log = log
        self.channel = channel
        self.daemon = daemon
        self.lease_s = lease_s
        self.clock = clock
        self.unreported: set[int] = set()
        self.reported_s: dict[int, float] = {}
        self.last_attempt_s = 0.0

    async def announce(self, request: Request, name: str) -> Reply:
        """Announce a target; a repeated announcement renews its lease."""
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        body = json_body(request).and_then(
            lambda plain: from_plain(plain, Announcement)
        )
        if isinstance(body, Err):
            return refusal_reply(body.err_value)
        announcement = body.ok_value
        command = AnnounceTarget(
            name=name,
            host=announcement.host,
            service=announcement.service,
            address=announcement.address,
            port=announcement.port,
            slots=announcement.slots,
            connections=announcement.connections,
            key=admitted.ok_value.key_id,
            instance=announcement.instance,
        )
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        self.record_renewal(self.log.state.targets[name])
        return self.lease_reply(name)

    async def renew(self, request: Request, name: str) -> Reply:
        """Renew the lease of a target."""
        found = self.find_target(request, name)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        self.record_renewal(found.ok_value)
        return self.lease_reply(name)

    async def leave(self, request: Request, name: str) -> Reply:
        """Mark a target as leaving, so that it gets no new work."""
        found = self.find_target(request, name)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        command = LeaveTarget(name, found.ok_value.generation)
        return outcome_reply(await self.log.propose(command))

    async def remove(self, request: Request, name: str) -> Reply:
        """Remove a target that has stopped."""
        found = self.find_target(request, name)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        command = DropTarget(name, found.ok_value.generation)
        return outcome_reply(await self.log.propose(command))

    async def take(self, request: Request, service: str) -> Reply:
        """Wait for a job of a queue; the reply is 204 if there is none in time."""
        name = query_of(request, "target")
        found = self.find_target(request, name)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        target = found.ok_value
        if target.service != service:
            text = f"target {name!r} serves {target.service!r}, not {service!r}"
            return refusal_reply(Refusal(Code.NOT_ALLOWED, text))
        wait_ms = parse_wait_ms(request)
        if isinstance(wait_ms, Err):
            return refusal_reply(wait_ms.err_value)
        key_id = admit(self.log, header_of(request, "Authorization")).ok_value.key_id
        message = TakeJob(service, name, target.generation, key_id, wait_ms.ok_value)
        outcome = await self.channel.ask(message)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        taken = outcome.ok_value
        if not isinstance(taken, TakenJob):
            return Reply(204)
        return json_reply(
            {
                "job_id": taken.job_id,
                "attempt": taken.attempt,
                "lease_ms": taken.lease_ms,
                "body": b64encode(taken.body).decode(),
                "checkpoint": b64encode(taken.checkpoint).decode(),
            }
        )

    async def renew_job(self, request: Request, job_id: str, attempt: str) -> Reply:
        """Renew the lease of a running job; waits for an order if requested."""
        admitted = self.admit_for_job(request, job_id, attempt)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        wait_ms = parse_wait_ms(request)
        if isinstance(wait_ms, Err):
            return refusal_reply(wait_ms.err_value)
        key_id = admitted.ok_value.key_id
        message = RenewJob(job_id, int(attempt), key_id, wait_ms.ok_value)
        return outcome_reply(await self.channel.ask(message))

    async def end_job(
        self, request: Request, job_id: str, attempt: str, ending: str
    ) -> Reply:
        """
        End a running job with the request's body as its result.

        The ending ``handback`` returns the job to the queue with the body as its
        checkpoint. With ``?not_run=true`` the target reports that the job did not
        start.
        """
        admitted = self.admit_for_job(request, job_id, attempt)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        phase = PHASE_BY_ENDING.get(ending)
        if phase is None:
            text = f"ending {ending!r}: use one of {', '.join(PHASE_BY_ENDING)}"
            return refusal_reply(Refusal(Code.BAD_REQUEST, text))
        command = EndJob(
            job_id,
            int(attempt),
            phase,
            request.content.read(),
            key=admitted.ok_value.key_id,
            not_run=query_of(request, "not_run") == "true",
        )
        return outcome_reply(await self.log.propose(command))

    def admit_for_job(
        self, request: Request, job_id: str, attempt: str
    ) -> Result[TeamKey, Refusal]:
        """Authenticate a request for an attempt by the team that owns the queue."""
        checked_attempt = parse_whole_number("attempt", attempt, 1, MAX_ATTEMPT)
        if isinstance(checked_attempt, Err):
            return checked_attempt
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return admitted
        job = self.log.state.jobs.get(job_id)
        service = self.log.state.services.get(job.service) if job else None
        if service is None:
            return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r} does not exist"))
        if service.document.service.team != admitted.ok_value.team:
            text = f"job {job_id!r} belongs to a queue of another team"
            return Err(Refusal(Code.NOT_ALLOWED, text))
        return admitted

    def find_target(self, request: Request, name: str) -> Result[Target, Refusal]:
        """Return a target if the key's team owns its service."""
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return admitted
        target = self.log.state.targets.get(name)
        service = self.log.state.services.get(target.service) if target else None
        if service is None:
            text = f"target {name!r} is not announced"
            return Err(Refusal(Code.NOT_FOUND, text))
        if service.document.service.team != admitted.ok_value.team:
            text = f"target {name!r} belongs to another team"
            return Err(Refusal(Code.NOT_ALLOWED, text))
        return Ok(target)

    def lease_reply(self, name: str) -> Reply:
        """Return a reply with the lease of a target."""
        target = self.log.state.targets[name]
        body = {
            "generation": target.generation,
            "phase": target.phase,
            "lease_s": self.lease_s,
        }
        return json_reply(body)

    def record_renewal(self, target: Target) -> None:
        """Mark a renewal for report if the last report is a quarter lease old."""
        last_report_s = self.reported_s.get(target.generation)
        if (
            last_report_s is None
            or self.clock.seconds() - last_report_s >= self.lease_s / 4
        ):
            self.unreported.add(target.generation)

    async def tick(self) -> None:
        """Report the renewed targets to the leader in one message."""
        now_s = self.clock.seconds()
        if (
            not self.unreported
            or now_s - self.last_attempt_s < self.lease_s / REPORTS_PER_LEASE
        ):
            return
        self.last_attempt_s = now_s
        batch, self.unreported = sorted(self.unreported), set()
        gaps = tuple(b - a for a, b in pairwise([0, *batch]))
        outcome = await self.channel.ask(TargetsSeen(self.daemon, gaps))
        if isinstance(outcome, Err):
            self.unreported.update(batch)
            return
        current = {target.generation for target in self.log.state.targets.values()}
        self.reported_s = {
            one: s for one, s in self.reported_s.items() if one in current
        }
        self.reported_s.update(dict.fromkeys(batch, now_s))


def parse_wait_ms(request: Request) -> Result[int, Refusal]:
    """Return the requested wait in milliseconds, capped at the maximum."""
    requested_s = parse_number(
        "wait_s", query_of(request, "wait_s", "0"), 0, MAX_REQUESTED_WAIT_S
    )
    return requested_s.map(lambda wait_s: int(1_000 * min(MAX_WAIT_S, wait_s)))


def outcome_reply(outcome: Result) -> Reply:
    """Return a reply with the outcome of a command or a leader request."""
    if isinstance(outcome, Err):
        return refusal_reply(outcome.err_value)
    return json_reply(outcome.ok_value)


def target_routes(interface: TargetInterface) -> tuple[Route, ...]:
    """Return the targets' routes."""
    job = "/v1/jobs/{job_id}/attempts/{attempt}"
    return (
        Route("PUT", "/v1/targets/{name}", interface.announce),
        Route("POST", "/v1/targets/{name}/lease", interface.renew),
        Route("POST", "/v1/targets/{name}/leaving", interface.leave),
        Route("DELETE", "/v1/targets/{name}", interface.remove),
        Route("POST", "/v1/queues/{service}/take", interface.take),
        Route("POST", job + "/lease", interface.renew_job),
        Route("POST", job + "/{ending}", interface.end_job),
    )
