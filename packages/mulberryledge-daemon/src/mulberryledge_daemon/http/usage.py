"""
mulberryledge_daemon.http.usage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The targets' usage reports, batched and forwarded to the leader.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from result import Err
from twisted.internet.interfaces import IReactorTime
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain
from mulberryledge_core.messages import JobUsage, TargetUsage, UsageReport
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.outcomes import Code, Fault, Refusal
from mulberryledge_daemon.http.routing import Reply, Route, json_body, refusal_reply
from mulberryledge_daemon.http.targets import TargetInterface
from mulberryledge_daemon.ports import LeaderChannel

__all__ = ["UsageBody", "UsageInterface", "usage_routes"]

FORWARD_INTERVAL_S = 5.0
MAX_JOBS_IN_REPORT = 1_024
MAX_VALUES = (
    ("processors", 1_024),
    ("memory_mb", 16_777_216),
    ("accelerators", 64),
)


@dataclass(frozen=True, slots=True)
class UsageBody:
    """Resources used by a target in total and by each of its running jobs."""

    used: Resources
    jobs: tuple[JobUsage, ...] = ()


class UsageInterface:
    """The latest report of each target that has not been forwarded yet."""

    def __init__(
        self,
        clock: IReactorTime,
        targets: TargetInterface,
        channel: LeaderChannel,
        daemon: str,
    ):
        self.clock = clock
        self.targets = targets
        self.channel = channel
        self.daemon = daemon
        self.pending: dict[str, TargetUsage] = {}
        self.last_forward_s = 0.0

    async def report(self, request: Request, name: str) -> Reply:
        """Store a usage report of a target until the next forwarding."""
        found = self.targets.find_target(request, name)
        if isinstance(found, Err):
            return refusal_reply(found.err_value)
        body = json_body(request).and_then(lambda plain: from_plain(plain, UsageBody))
        if isinstance(body, Err):
            return refusal_reply(body.err_value)
        usage = body.ok_value
        faults = tuple(usage_faults(usage))
        if faults:
            text = "; ".join(f"{fault.place}: {fault.problem}" for fault in faults)
            return refusal_reply(Refusal(Code.BAD_REQUEST, text, faults))
        generation = found.ok_value.generation
        self.pending[name] = TargetUsage(name, generation, usage.used, usage.jobs)
        return Reply(204)

    async def tick(self) -> None:
        """Forward the stored reports once the interval has passed."""
        now_s = self.clock.seconds()
        if not self.pending or now_s - self.last_forward_s < FORWARD_INTERVAL_S:
            return
        self.last_forward_s = now_s
        reports, self.pending = self.pending, {}
        message = UsageReport(self.daemon, tuple(reports.values()))
        outcome = await self.channel.ask(message)
        if isinstance(outcome, Err):
            self.pending = reports | self.pending


def usage_faults(body: UsageBody) -> Iterator[Fault]:
    """Yield a fault for each impossible value of a report."""
    if len(body.jobs) > MAX_JOBS_IN_REPORT:
        yield Fault("jobs", f"{len(body.jobs)} jobs: send at most {MAX_JOBS_IN_REPORT}")
    yield from resource_faults("used", body.used)
    for number, job in enumerate(body.jobs):
        yield from resource_faults(f"jobs.{number}.used", job.used)


def resource_faults(place: str, resources: Resources) -> Iterator[Fault]:
    """Yield a fault for each resource out of range."""
    for field, max_value in MAX_VALUES:
        value = getattr(resources, field)
        if not math.isfinite(value) or not 0 <= value <= max_value:
            problem = f"{value} is out of range: use 0 to {max_value}"
            yield Fault(f"{place}.{field}", problem)


def usage_routes(interface: UsageInterface) -> tuple[Route, ...]:
    """Return the route of usage reports."""
    return (Route("POST", "/v1/targets/{name}/usage", interface.report),)
