"""
mulberryledge_daemon.leader.job_matching
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Assigns queued jobs to waiting targets by the placement and queue decisions.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.placement import (
    HostCandidate,
    JobRequirements,
    Spread,
    choose_host,
    host_capacity,
    unplaceable_reason,
)
from mulberryledge_core.decisions.queues import ShareStatus
from mulberryledge_core.decisions.sizes import assumed_size
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.targets import Target
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.queue_monitor import QueueMonitor
from mulberryledge_daemon.leader.reserved_hosts import ReservedHosts
from mulberryledge_daemon.leader.team_usages import TeamUsages
from mulberryledge_daemon.leader.usage import ResourceUsage
from mulberryledge_daemon.leader.views import running_on, targets_of
from mulberryledge_daemon.leader.worker_health import RecordDecision, WorkerHealth
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["JobMatching", "Match"]

MAX_PLACEMENT_ATTEMPTS = 16


@dataclass(frozen=True, slots=True)
class Match:
    """A job and the target that should run it."""

    job_id: str
    target: str


class JobMatching:
    """
    Owns the inputs of the assignment that are not in the replicated state.

    Attributes
    ----------
    team_usages : TeamUsages
        Usage of each team.
    queue_monitor : QueueMonitor
        Run times and urgent-job rates of each queue.
    reserved_hosts : ReservedHosts
        Hosts reserved for jobs that could not be placed.
    pending_starts : dict of str to Match
        Starts pending in the log.
    candidates : dict of str to HostCandidate
        Hosts with their remaining capacity in this matching cycle.
    blocked : dict
        Why the next job of a team on a service can't be placed in this cycle.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        usage: ResourceUsage,
        workers: WorkerHealth,
        record_decision: RecordDecision,
    ):
        self.clock = clock
        self.log = log
        self.usage = usage
        self.workers = workers
        self.record_decision = record_decision
        self.team_usages = TeamUsages(clock, usage)
        self.queue_monitor = QueueMonitor(clock)
        self.reserved_hosts = ReservedHosts(record_decision)
        self.pending_starts: dict[str, Match] = {}
        self.candidates: dict[str, HostCandidate] = {}
        self.blocked: dict[tuple[str, str], str] = {}

    def choose(
        self, index: JobIndex, service: str, waiting: Iterable[str]
    ) -> Match | None:
        """
        Return the next match on a queue, or None.

        Parameters
        ----------
        index : JobIndex
            Queued and running jobs.
        service : str
            Service of the queue.
        waiting : iterable of str
            Targets that wait for a job.
        """
        targets = self.free_targets(waiting)
        if not targets:
            return None
        now_ms = self.log.time_ms()
        candidates = self.update_candidates(index, targets)
        hold_reason = self.queue_monitor.urgent_hold_reason(
            index, service, len(self.pending_starts)
        )
        if hold_reason:
            self.record_decision(DecisionKind.HOLD, f"service/{service}", hold_reason)
        attempts_remaining = MAX_PLACEMENT_ATTEMPTS
        for job_id in index.queues.candidates(
            service, self.share_status_lookup(index), now_ms
        ):
            job = index.state.jobs[job_id]
            if job_id in self.pending_starts or (service, job.team) in self.blocked:
                continue
            if hold_reason and not job.urgent:
                continue
            target = self.place(index, job, targets, candidates)
            if target is not None:
                return Match(job_id, target)
            attempts_remaining -= 1
            if not attempts_remaining:
                break
        return None

    def on_start_refused(self, match: Match, cause: str) -> None:
        """Exclude the team of a refused start from its queue in this cycle."""
        job = self.log.state.jobs.get(match.job_id)
        if job is not None:
            self.blocked[job.service, job.team] = cause

    def free_targets(self, waiting: Iterable[str]) -> dict[str, Target]:
        """Return the waiting targets with a free slot, after pending starts."""
        state = self.log.state
        pending = Counter(match.target for match in self.pending_starts.values())
        return {
            name: state.targets[name]
            for name in waiting
            if state.target_accepts_work(name)
            and slots_in_use(state, name) + pending[name]
            < usable_slots(state, state.targets[name])
        }

    def share_status_lookup(
        self, index: JobIndex
    ) -> Callable[[str], ShareStatus | None]:
        """Return a function that compares a team's usage with its share."""
        jobs = [index.state.jobs[one] for one in self.pending_starts]
        starting = Counter(job.team for job in jobs)
        starting_urgent = Counter(job.team for job in jobs if job.urgent)

        def standing(team: str) -> ShareStatus | None:
            record = index.state.teams.get(team)
            if record is None:
                return None
            if team_headroom(index.state, team) - starting[team] < 1:
                text = f"team runs {record.upper_limit}, its upper limit"
                self.record_decision(DecisionKind.HOLD, f"team/{team}", text)
                return None
            urgent = index.urgent_jobs[team] + starting_urgent[team]
            return self.team_usages.share_status(record, urgent)

        return standing

    def start_cycle(self, services: Iterable[str]) -> None:
        """Discard the candidates and blocked teams of the last cycle."""
        self.candidates = {}
        restarted = set(services)
        blocked = self.blocked.items()
        self.blocked = {key: why for key, why in blocked if key[0] not in restarted}

    def add_start(self, match: Match) -> None:
        """Add a pending start."""
        self.pending_starts[match.job_id] = match
        self.candidates.pop(self.log.state.targets[match.target].host, None)

    def remove_start(self, match: Match) -> None:
        """Remove a pending start."""
        self.pending_starts.pop(match.job_id, None)

    def update_candidates(
        self, index: JobIndex, targets: dict[str, Target]
    ) -> dict[str, HostCandidate]:
        """Add the hosts of the targets to the candidates, and return these."""
        missing = {target.host for target in targets.values()} - self.candidates.keys()
        starting: dict[str, list[str]] = defaultdict(list)
        if missing:
            for match in self.pending_starts.values():
                host = self.log.state.targets[match.target].host
                starting[host].append(match.job_id)
        for name in missing:
            self.candidates[name] = self.make_candidate(index, name, starting[name])
        return self.candidates

    def make_candidate(
        self, index: JobIndex, name: str, starting: list[str]
    ) -> HostCandidate:
        """Return one host as a candidate for placement."""
        state = index.state
        host = state.hosts[name]
        targets = state.indexes.targets_by_host.groups.get(name, {})
        jobs = [state.jobs[one] for one in starting]
        for target in targets:
            jobs.extend(running_on(state, target))
        pool = state.pools.get(host.pool)
        return HostCandidate(
            host=name,
            availability_zone=host.availability_zone,
            rack=host.rack,
            capacity=host_capacity(host.resources),
            load=self.usage.host_load(targets, jobs),
            unmeasured_jobs=sum(not self.usage.is_size_measured(job) for job in jobs),
            borrowed=pool is not None and pool.spare,
        )

    def place(
        self,
        index: JobIndex,
        job: Job,
        targets: dict[str, Target],
        candidates: dict[str, HostCandidate],
    ) -> str | None:
        """Return the target for a job; exclude the job if no target can run it."""
        declared = assumed_size(job.size, self.usage.max_resources)
        unplaceable = unplaceable_reason(
            declared, self.service_host_resources(job.service)
        )
        if unplaceable is not None:
            index.mark_unplaceable(job.job_id, unplaceable)
            self.record_decision(DecisionKind.REFUSE, f"job/{job.job_id}", unplaceable)
            return None
        is_measured = self.usage.is_size_measured(job)
        requirements = JobRequirements(
            self.usage.placement_size(job), declared, is_measured, job.urgent
        )
        usable = self.usable_targets(index, job, targets)
        chosen = choose_host(
            [candidates[name] for name in usable],
            requirements,
            self.team_spread(index, job),
        )
        if isinstance(chosen, Err):
            self.skip_job(index, job, chosen.err_value.cause)
            if usable:
                self.reserve_host_for(job)
            return None
        host = chosen.ok_value.host
        self.reserved_hosts.release(host, job.team)
        return usable[host]

    def service_host_resources(self, service: str) -> list:
        """Return the resources of each host with a target of the service."""
        state = self.log.state
        names = {target.host for target in targets_of(state, service)}
        return [state.hosts[name].resources for name in names if name in state.hosts]

    def usable_targets(
        self, index: JobIndex, job: Job, targets: dict[str, Target]
    ) -> dict[str, str]:
        """
        Return a waiting target by host, for the hosts that may run the job.

        A quarantined target with a due trial is returned alone, as placement would
        not otherwise choose it.
        """
        now_s = self.clock.seconds()
        peers = {target.name for target in targets_of(self.log.state, job.service)}
        has_untried_target = not peers <= set(job.failed_on)
        usable: dict[str, str] = {}
        for name, target in targets.items():
            if self.reserved_hosts.is_reserved_for_other(index, job, target):
                continue
            if has_untried_target and name in job.failed_on:
                continue
            if not self.workers.may_take(name, job, now_s):
                continue
            if name in self.workers.quarantined:
                return {target.host: name}
            usable.setdefault(target.host, name)
        return usable

    def skip_job(self, index: JobIndex, job: Job, cause: str) -> None:
        """
        Exclude a job that can't be placed.

        Jobs of one team and service have the same size once it is measured, so the
        team's next job could not be placed either. Otherwise only this job is excluded.
        """
        self.record_decision(DecisionKind.HOLD, f"job/{job.job_id}", cause)
        if self.usage.is_size_measured(job) or job.urgent:
            self.blocked[job.service, job.team] = cause
        else:
            index.mark_unplaced(job.job_id, cause)

    def reserve_host_for(self, job: Job) -> None:
        """Reserve a host for a job that has waited long enough."""
        waited_ms = self.log.time_ms() - job.submitted_ms
        declared = assumed_size(job.size, self.usage.max_resources)
        self.reserved_hosts.reserve_for(self.log.state, job, declared, waited_ms)

    def team_spread(self, index: JobIndex, job: Job) -> Spread:
        """Return how jobs of the same team and service spread over zones and racks."""
        zones: Counter[str] = Counter()
        racks: Counter[str] = Counter()
        for name, count in index.host_job_counts[job.service, job.team].items():
            host = index.state.hosts.get(name)
            if host is not None:
                zones[host.availability_zone] += count
                racks[host.rack] += count
        return Spread(zones, racks)
