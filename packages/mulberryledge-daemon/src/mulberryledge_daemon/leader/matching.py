"""
mulberryledge_daemon.leader.matching
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses which queued job goes to which waiting target, by the pure decisions.
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
from mulberryledge_daemon.leader.kept_hosts import KeptHosts
from mulberryledge_daemon.leader.paces import Paces
from mulberryledge_daemon.leader.usage import Usage
from mulberryledge_daemon.leader.uses import Uses
from mulberryledge_daemon.leader.views import running_on, targets_of
from mulberryledge_daemon.leader.workers import Note, Workers
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Match", "Matching"]

MAX_TRIES = 16


@dataclass(frozen=True, slots=True)
class Match:
    """A job and the target that should run it."""

    job_id: str
    target: str


class Matching:
    """
    Owns what the choices go by beyond the replicated state.

    Attributes
    ----------
    uses : Uses
        Use of each team.
    paces : Paces
        Pace of each queue.
    kept : KeptHosts
        Hosts kept for jobs that are due and find no room.
    starting : dict of str to Match
        Starts under way in the log.
    rooms : dict of str to HostCandidate
        Hosts as they are in this round of choices.
    blocked : dict
        Why the next job of a team on a service found no room in this round.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        usage: Usage,
        workers: Workers,
        note: Note,
    ):
        self.clock = clock
        self.log = log
        self.usage = usage
        self.workers = workers
        self.note = note
        self.uses = Uses(clock, usage)
        self.paces = Paces(clock)
        self.kept = KeptHosts(note)
        self.starting: dict[str, Match] = {}
        self.rooms: dict[str, HostCandidate] = {}
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
            Queue to look at.
        waiting : iterable of str
            Targets that wait for a job.
        """
        targets = self.free_targets(waiting)
        if not targets:
            return None
        now_ms = self.log.time_ms()
        rooms = self.rooms_of(index, targets)
        held = self.paces.held_for_urgent(index, service, len(self.starting))
        if held:
            self.note(DecisionKind.HOLD, f"service/{service}", held)
        tries = MAX_TRIES
        for job_id in index.queues.candidates(service, self.standing(index), now_ms):
            job = index.state.jobs[job_id]
            if job_id in self.starting or (service, job.team) in self.blocked:
                continue
            if held and not job.urgent:
                continue
            target = self.place(index, job, targets, rooms)
            if target is not None:
                return Match(job_id, target)
            tries -= 1
            if not tries:
                break
        return None

    def refused(self, match: Match, cause: str) -> None:
        """Try the team of a refused start on this queue no more in this round."""
        job = self.log.state.jobs.get(match.job_id)
        if job is not None:
            self.blocked[job.service, job.team] = cause

    def free_targets(self, waiting: Iterable[str]) -> dict[str, Target]:
        """Return the waiting targets that have a free slot, starts counted in."""
        state = self.log.state
        pending = Counter(match.target for match in self.starting.values())
        return {
            name: state.targets[name]
            for name in waiting
            if state.target_accepts_work(name)
            and slots_in_use(state, name) + pending[name]
            < usable_slots(state, state.targets[name])
        }

    def standing(self, index: JobIndex) -> Callable[[str], ShareStatus | None]:
        """Return the function that tells where a team stands."""
        jobs = [index.state.jobs[one] for one in self.starting]
        starting = Counter(job.team for job in jobs)
        starting_urgent = Counter(job.team for job in jobs if job.urgent)

        def standing(team: str) -> ShareStatus | None:
            record = index.state.teams.get(team)
            if record is None:
                return None
            if team_headroom(index.state, team) - starting[team] < 1:
                text = f"team runs {record.upper_limit}, its upper limit"
                self.note(DecisionKind.HOLD, f"team/{team}", text)
                return None
            urgent = index.urgent_jobs[team] + starting_urgent[team]
            return self.uses.standing(record, urgent)

        return standing

    def begin_round(self, services: Iterable[str]) -> None:
        """Forget how full hosts and services were in the last round."""
        self.rooms = {}
        again = set(services)
        kept = self.blocked.items()
        self.blocked = {key: why for key, why in kept if key[0] not in again}

    def begin_start(self, match: Match) -> None:
        """Count a match as a start under way."""
        self.starting[match.job_id] = match
        self.rooms.pop(self.log.state.targets[match.target].host, None)

    def end_start(self, match: Match) -> None:
        """Count a start as over."""
        self.starting.pop(match.job_id, None)

    def rooms_of(
        self, index: JobIndex, targets: dict[str, Target]
    ) -> dict[str, HostCandidate]:
        """Return the hosts of the targets as placement sees them."""
        missing = {target.host for target in targets.values()} - self.rooms.keys()
        starting: dict[str, list[str]] = defaultdict(list)
        if missing:
            for match in self.starting.values():
                host = self.log.state.targets[match.target].host
                starting[host].append(match.job_id)
        for name in missing:
            self.rooms[name] = self.room(index, name, starting[name])
        return self.rooms

    def room(self, index: JobIndex, name: str, starting: list[str]) -> HostCandidate:
        """Return one host as placement sees it."""
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
            unmeasured_jobs=sum(not self.usage.is_seen(job) for job in jobs),
            borrowed=pool is not None and pool.spare,
        )

    def place(
        self,
        index: JobIndex,
        job: Job,
        targets: dict[str, Target],
        rooms: dict[str, HostCandidate],
    ) -> str | None:
        """Return the target that takes the job; set the job aside if none can."""
        declared = assumed_size(job.size, self.usage.largest)
        why = unplaceable_reason(declared, self.possible_hosts(job.service))
        if why is not None:
            index.refuse(job.job_id, why)
            self.note(DecisionKind.REFUSE, f"job/{job.job_id}", why)
            return None
        seen = self.usage.is_seen(job)
        need = JobRequirements(self.usage.size(job), declared, seen, job.urgent)
        usable = self.usable(index, job, targets)
        chosen = choose_host(
            [rooms[name] for name in usable], need, self.spread(index, job)
        )
        if isinstance(chosen, Err):
            self.block(index, job, chosen.err_value.cause)
            if usable:
                self.keep_host_for(job)
            return None
        host = chosen.ok_value.host
        self.kept.taken(host, job.team)
        return usable[host]

    def possible_hosts(self, service: str) -> list:
        """Return the capacity of each host that may run jobs of the service."""
        state = self.log.state
        names = {target.host for target in targets_of(state, service)}
        return [state.hosts[name].resources for name in names if name in state.hosts]

    def usable(
        self, index: JobIndex, job: Job, targets: dict[str, Target]
    ) -> dict[str, str]:
        """
        Return a waiting target by host, for the hosts that may take the job.

        A quarantined target whose trial is due is the only one: nothing else
        would lead the choice to it.
        """
        now_s = self.clock.seconds()
        peers = {target.name for target in targets_of(self.log.state, job.service)}
        fresh = not peers <= set(job.failed_on)
        usable: dict[str, str] = {}
        for name, target in targets.items():
            if self.kept.is_kept_from(index, job, target):
                continue
            if fresh and name in job.failed_on:
                continue
            if not self.workers.may_take(name, job, now_s):
                continue
            if name in self.workers.quarantined:
                return {target.host: name}
            usable.setdefault(target.host, name)
        return usable

    def block(self, index: JobIndex, job: Job, cause: str) -> None:
        """
        Pass over a job that finds no room.

        Jobs of a kind that was measured have one size, so the team's next job
        would find no room either. Otherwise only the job itself is set aside.
        """
        self.note(DecisionKind.HOLD, f"job/{job.job_id}", cause)
        if self.usage.is_seen(job) or job.urgent:
            self.blocked[job.service, job.team] = cause
        else:
            index.set_aside(job.job_id, cause)

    def keep_host_for(self, job: Job) -> None:
        """Keep a host for a job that is due, so that room for it can gather."""
        waited_ms = self.log.time_ms() - job.submitted_ms
        declared = assumed_size(job.size, self.usage.largest)
        self.kept.keep_for(self.log.state, job, declared, waited_ms)

    def spread(self, index: JobIndex, job: Job) -> Spread:
        """Return where jobs of the same team and service run."""
        zones: Counter[str] = Counter()
        racks: Counter[str] = Counter()
        for name, count in index.kind_hosts[job.service, job.team].items():
            host = index.state.hosts.get(name)
            if host is not None:
                zones[host.availability_zone] += count
                racks[host.rack] += count
        return Spread(zones, racks)
