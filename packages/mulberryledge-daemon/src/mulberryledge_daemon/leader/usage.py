"""
mulberryledge_daemon.leader.usage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lagged usage reports of targets: sizes of jobs and load of hosts.
"""

from collections.abc import Iterable

from result import Ok, Result
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.loads import Load, add, load_of, total
from mulberryledge_core.decisions.sizes import (
    SizeEstimate,
    corrected_size,
    is_measured,
    observe_size,
)
from mulberryledge_core.messages import Acknowledged, JobUsage, UsageReport
from mulberryledge_core.model.hosts import HostPhase, Resources
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.outcomes import Refusal
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.ports import LeaderChannel, ReplicatedLog

__all__ = ["Usage", "fleet_capacity", "largest_host"]

REPORT_VALID_S = 60.0


class Usage:
    """
    Owns what usage reports said.

    Attributes
    ----------
    estimates : dict
        Size estimate by service and team.
    measured : dict
        Last reported use of a target, and the time of the report in seconds.
    largest : Resources
        Largest of each quantity over all hosts.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog, channel: LeaderChannel):
        self.clock = clock
        self.log = log
        self.estimates: dict[tuple[str, str], SizeEstimate] = {}
        self.measured: dict[str, tuple[Resources, float]] = {}
        self.largest = Resources()
        self.sizes: dict[tuple[str, str, Resources], Load] = {}
        channel.serve(UsageReport, self.on_report)

    async def on_report(self, report: UsageReport) -> Result[object, Refusal]:
        """Learn from the reports that an entry heard."""
        now = self.clock.seconds()
        for one in report.targets:
            target = self.log.state.targets.get(one.target)
            if target is None or target.generation != one.generation:
                continue
            self.measured[one.target] = (one.used, now)
            for job_usage in one.jobs:
                self.observe(one.target, job_usage)
        self.sizes = {}
        return Ok(Acknowledged())

    def observe(self, target: str, usage: JobUsage) -> None:
        """Correct the size of the jobs of one team on one service."""
        job = self.log.state.jobs.get(usage.job_id)
        if job is None or job.phase != JobPhase.RUNNING:
            return
        if (job.target, job.attempt) != (target, usage.attempt):
            return
        key = (job.service, job.team)
        before = self.estimates.get(key, SizeEstimate())
        self.estimates[key] = observe_size(before, usage.used)

    def refresh(self) -> None:
        """Bring what depends on the fleet up to date, and forget what is gone."""
        state = self.log.state
        self.sizes = {}
        self.largest = largest_host(state)
        for name in [one for one in self.measured if one not in state.targets]:
            del self.measured[name]
        for key in [one for one in self.estimates if one[0] not in state.services]:
            del self.estimates[key]

    def size(self, job: Job) -> Load:
        """Return the corrected size of a job, by which it is placed."""
        estimate = self.estimates.get((job.service, job.team))
        return corrected_size(job.size, estimate, self.largest)

    def expected(self, job: Job) -> Load:
        """Return the expected size of a job, by which its team is charged."""
        key = (job.service, job.team, job.size)
        known = self.sizes.get(key)
        if known is None:
            estimate = self.estimates.get(key[:2])
            known = corrected_size(job.size, estimate, self.largest, 0.0)
            self.sizes[key] = known
        return known

    def is_seen(self, job: Job) -> bool:
        """Return whether the size of a job is measured."""
        return is_measured(self.estimates.get((job.service, job.team)))

    def host_load(self, targets: Iterable[str], jobs: Iterable[Job]) -> Load:
        """
        Return the load of a host: the larger of expected sizes and measured use.

        Parameters
        ----------
        targets : iterable of str
            Targets on the host.
        jobs : iterable of Job
            Jobs that run on it.
        """
        expected = total(self.expected(job) for job in jobs)
        since = self.clock.seconds() - REPORT_VALID_S
        used = Load()
        for name in targets:
            resources, at_s = self.measured.get(name, (None, 0.0))
            if resources is not None and at_s >= since:
                used = add(
                    used,
                    Load(
                        0.0,
                        resources.processors,
                        resources.memory_mb,
                        resources.accelerators,
                    ),
                )
        return Load(
            expected.slots,
            max(expected.processors, used.processors),
            max(expected.memory_mb, used.memory_mb),
            max(expected.accelerators, used.accelerators),
        )


def largest_host(state: ClusterState) -> Resources:
    """Return the largest of each quantity over all hosts."""
    hosts = [host.resources for host in state.hosts.values()]
    return Resources(
        max((one.processors for one in hosts), default=0.0),
        max((one.memory_mb for one in hosts), default=0),
        max((one.accelerators for one in hosts), default=0),
    )


def fleet_capacity(state: ClusterState) -> Load:
    """Return what the serving targets and hosts hold together."""
    slots = sum(
        target.slots
        for target in state.targets.values()
        if state.target_accepts_work(target.name)
    )
    hosts = [one for one in state.hosts.values() if one.phase == HostPhase.SERVING]
    resources = total(load_of(one.resources, 0.0) for one in hosts)
    return add(resources, Load(float(max(1, slots))))
