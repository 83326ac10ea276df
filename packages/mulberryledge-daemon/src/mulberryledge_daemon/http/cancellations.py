"""
mulberryledge_daemon.http.cancellations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cancellation of all jobs of a team in a queue, in batches of bounded size.
"""

from result import Err
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request

from mulberryledge_core.commands.work import CancelJobs
from mulberryledge_core.decisions.queues import cancel_chunks
from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.entry.admission import admit
from mulberryledge_daemon.http.routing import (
    Reply,
    Route,
    header_of,
    json_reply,
    refusal_reply,
)
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Cancellations", "cancellation_routes"]


class Cancellations:
    """Handler of the route that cancels the jobs of a queue."""

    def __init__(self, clock: IReactorTime, log: ReplicatedLog):
        self.clock = clock
        self.log = log

    async def cancel_queue(self, request: Request, service: str) -> Reply:
        """Cancel the unfinished jobs of the key's team in a queue."""
        admitted = admit(self.log, header_of(request, "Authorization"))
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        if service not in self.log.state.services:
            text = f"queue {service!r} does not exist"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        team = admitted.ok_value.team
        job_ids = tuple(
            job.job_id
            for job in self.log.state.jobs.values()
            if (job.service, job.team) == (service, team)
            and job.phase in (JobPhase.QUEUED, JobPhase.RUNNING)
        )
        for batch in cancel_chunks(job_ids):
            outcome = await self.log.propose(CancelJobs(team, batch))
            if isinstance(outcome, Err):
                return refusal_reply(outcome.err_value)
            await deferLater(self.clock, 0)
        return json_reply({"cancelled": len(job_ids)})


def cancellation_routes(interface: Cancellations) -> tuple[Route, ...]:
    """Return the route that cancels the jobs of a queue."""
    return (Route("DELETE", "/v1/queues/{service}/jobs", interface.cancel_queue),)
