"""
mulberryledge_daemon.leader.usage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Job sizes and host loads from the usage reports of targets, which arrive with delay.
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

__all__ = ["ResourceUsage", "fleet_capacity", "max_host_resources"]

REPORT_VALID_S = 60.0


class ResourceUsage:
    """
    Owns the contents of the usage reports.

    Attributes
    ----------
    size_estimates : dict
        Size estimate by service and team.
    last_reported : dict
        Last reported usage of a target, and the time of the report in seconds.
    max_resources : Resources
        Maximum of each resource over all hosts.
    expected_sizes : dict
        Cached expected sizes by service, team and declared size.
    """

    def __init__(self, clock: IReactorTime, log: ReplicatedLog, channel: LeaderChannel):
        self.clock = clock
        self.log = log
        self.size_estimates: dict[tuple[str, str], SizeEstimate] = {}
        self.last_reported: dict[str, tuple[Resources, float]] = {}
        self.max_resources = Resources()
        self.expected_sizes: dict[tuple[str, str, Resources], Load] = {}
        channel.serve(UsageReport, self.on_report)

    async def on_report(self, report: UsageReport) -> Result[object, Refusal]:
        """Update usage and size estimates from the reports that an entry forwards."""
        now = self.clock.seconds()
        for one in report.targets:
            target = self.log.state.targets.get(one.target)
            if target is None or target.generation != one.generation:
                continue
            self.last_reported[one.target] = (one.used, now)
            for job_usage in one.jobs:
                self.observe_job(one.target, job_usage)
        self.expected_sizes = {}
        return Ok(Acknowledged())

    def observe_job(self, target: str, usage: JobUsage) -> None:
        """Update the size estimate of one team's jobs on one service."""
        job = self.log.state.jobs.get(usage.job_id)
        if job is None or job.phase != JobPhase.RUNNING:
            return
        if (job.target, job.attempt) != (target, usage.attempt):
            return
        key = (job.service, job.team)
        before = self.size_estimates.get(key, SizeEstimate())
        self.size_estimates[key] = observe_size(before, usage.used)

    def refresh(self) -> None:
        """Update the maximum resources; remove records of gone targets and services."""
        state = self.log.state
        self.expected_sizes = {}
        self.max_resources = max_host_resources(state)
        for name in [one for one in self.last_reported if one not in state.targets]:
            del self.last_reported[name]
        for key in [one for one in self.size_estimates if one[0] not in state.services]:
            del self.size_estimates[key]

    def placement_size(self, job: Job) -> Load:
        """Return the corrected size of a job, used for placement."""
        estimate = self.size_estimates.get((job.service, job.team))
        return corrected_size(job.size, estimate, self.max_resources)

    def expected_size(self, job: Job) -> Load:
        """Return the expected size of a job, used to charge its team."""
        key = (job.service, job.team, job.size)
        cached = self.expected_sizes.get(key)
        if cached is None:
            estimate = self.size_estimates.get(key[:2])
            cached = corrected_size(job.size, estimate, self.max_resources, 0.0)
            self.expected_sizes[key] = cached
        return cached

    def is_size_measured(self, job: Job) -> bool:
        """Return whether the size of a job is measured."""
        return is_measured(self.size_estimates.get((job.service, job.team)))

    def host_load(self, targets: Iterable[str], jobs: Iterable[Job]) -> Load:
        """
        Return the load of a host: the larger of expected sizes and reported usage.

        Parameters
        ----------
        targets : iterable of str
            Targets on the host.
        jobs : iterable of Job
            Jobs that run on it.
        """
        expected_load = total(self.expected_size(job) for job in jobs)
        reported_after_s = self.clock.seconds() - REPORT_VALID_S
        measured_load = Load()
        for name in targets:
            resources, at_s = self.last_reported.get(name, (None, 0.0))
            if resources is not None and at_s >= reported_after_s:
                measured_load = add(
                    measured_load,
                    Load(
                        0.0,
                        resources.processors,
                        resources.memory_mb,
                        resources.accelerators,
                    ),
                )
        return Load(
            expected_load.slots,
            max(expected_load.processors, measured_load.processors),
            max(expected_load.memory_mb, measured_load.memory_mb),
            max(expected_load.accelerators, measured_load.accelerators),
        )


def max_host_resources(state: ClusterState) -> Resources:
    """Return the maximum of each resource over all hosts."""
    hosts = [host.resources for host in state.hosts.values()]
    return Resources(
        max((one.processors for one in hosts), default=0.0),
        max((one.memory_mb for one in hosts), default=0),
        max((one.accelerators for one in hosts), default=0),
    )


def fleet_capacity(state: ClusterState) -> Load:
    """Return the total capacity of the serving targets and hosts."""
    slots = sum(
        target.slots
        for target in state.targets.values()
        if state.target_accepts_work(target.name)
    )
    hosts = [one for one in state.hosts.values() if one.phase == HostPhase.SERVING]
    resources = total(load_of(one.resources, 0.0) for one in hosts)
    return add(resources, Load(float(max(1, slots))))
