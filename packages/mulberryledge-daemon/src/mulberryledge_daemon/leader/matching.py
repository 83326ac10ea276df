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

from mulberryledge_core.decisions.loads import Load, dominant_fraction
from mulberryledge_core.decisions.placement import (
    HostRoom,
    JobNeed,
    Spread,
    choose_host,
    host_capacity,
    never_fits,
)
from mulberryledge_core.decisions.plan import FairShare
from mulberryledge_core.decisions.queues import Standing, urgent_reserve
from mulberryledge_core.decisions.shares import Use, advance_use, share_score
from mulberryledge_core.decisions.sizes import guessed_size
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.targets import Target
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.usage import Usage
from mulberryledge_daemon.leader.workers import Note, Workers
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Match", "Matching", "QueuePace"]

BLOCKED_MS = 1_000
MAX_TRIES = 16
MAX_KEPT_FRACTION = 0.25
PACE_SMOOTHING = 0.1
URGENT_MEMORY_S = 600.0


@dataclass(frozen=True, slots=True)
class Match:
    """A job and the target that should run it."""

    job_id: str
    target: str


@dataclass(frozen=True, slots=True)
class KeptHost:
    """A host that is kept for the next job, or next urgent one, of a team."""

    host: str
    service: str
    team: str
    urgent: bool


@dataclass(frozen=True, slots=True)
class QueuePace:
    """
    How fast a queue moves.

    Attributes
    ----------
    run_s : float
        Smoothed run time of its jobs in seconds.
    urgent_per_s : float
        Recent rate of urgent jobs.
    at_s : float
        Time of the last urgent job in seconds.
    """

    run_s: float = 1.0
    urgent_per_s: float = 0.0
    at_s: float = 0.0

    def rate(self, now_s: float) -> float:
        """Return the rate of urgent jobs; it fades after the last one."""
        return self.urgent_per_s * max(0.0, 1 - (now_s - self.at_s) / URGENT_MEMORY_S)


class Matching:
    """
    Owns what the choices go by beyond the replicated state.

    Attributes
    ----------
    shares : dict of str to FairShare
        Fair shares by team, from the last plan.
    capacity : Load
        What the whole fleet holds.
    calls : Counter of str
        Calls that teams have running.
    job_parts : Counter of str
        Dominant fraction of the capacity that a team's jobs use.
    uses : dict of str to Use
        Use of each team by now and recently.
    paces : dict of str to QueuePace
        Pace by queue.
    reserved : dict of str to KeptHost
        Hosts kept for jobs that are due and find no room, by name.
    starting : dict of str to Match
        Starts under way in the log.
    rooms : dict of str to HostRoom
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
        self.capacity = Load(1.0)
        self.calls: Counter[str] = Counter()
        self.job_parts: Counter[str] = Counter()
        self.shares: dict[str, FairShare] = {}
        self.uses: dict[str, Use] = {}
        self.paces: dict[str, QueuePace] = defaultdict(QueuePace)
        self.reserved: dict[str, KeptHost] = {}
        self.starting: dict[str, Match] = {}
        self.rooms: dict[str, HostRoom] = {}
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
        held = self.held_for_urgent(index, service)
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

    def free_targets(self, waiting: Iterable[str]) -> dict[str, Target]:
        """Return the waiting targets that have a free slot, starts counted in."""
        state = self.log.state
        pending = Counter(match.target for match in self.starting.values())
        return {
            name: state.targets[name]
            for name in waiting
            if state.target_serves(name)
            and slots_in_use(state, name) + pending[name] < state.targets[name].slots
        }

    def standing(self, index: JobIndex) -> Callable[[str], Standing | None]:
        """Return the function that tells where a team stands."""
        now_s = self.clock.seconds()
        starting = Counter(index.state.jobs[one].team for one in self.starting)

        def standing(team: str) -> Standing | None:
            record = index.state.teams.get(team)
            if record is None:
                return None
            if team_headroom(index.state, team) - starting[team] < 1:
                text = f"team runs {record.upper_limit}, its upper limit"
                self.note(DecisionKind.HOLD, f"team/{team}", text)
                return None
            use = self.use(team)
            share = self.shares.get(team)
            within = share is None or use.now <= share.fraction
            return Standing(share_score(use, record.share, now_s), within)

        return standing

    def use(self, team: str) -> Use:
        """Return the use of a team."""
        return self.uses.get(team, Use())

    def charge(self, job: Job, sign: int) -> None:
        """Add a job that starts to its team's use, or take away one that ended."""
        part = sign * dominant_fraction(self.usage.expected(job), self.capacity)
        self.job_parts[job.team] = max(0.0, self.job_parts[job.team] + part)
        self.update_use(job.team)

    def update_use(self, team: str) -> None:
        """Bring the use of a team up to date."""
        calls = dominant_fraction(Load(float(self.calls[team])), self.capacity)
        now = self.job_parts[team] + calls
        self.uses[team] = advance_use(self.use(team), now, self.clock.seconds())

    def charge_calls(self, calls: Counter[str]) -> None:
        """Set the calls that teams have running."""
        self.calls = calls
        for team in calls:
            self.update_use(team)

    def charge_again(self, index: JobIndex, capacity: Load) -> None:
        """Count the use of all running jobs anew, as sizes are corrected."""
        self.capacity = capacity
        self.job_parts = Counter()
        for job_id in index.running:
            job = index.state.jobs[job_id]
            part = dominant_fraction(self.usage.expected(job), capacity)
            self.job_parts[job.team] += part

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
    ) -> dict[str, HostRoom]:
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

    def room(self, index: JobIndex, name: str, starting: list[str]) -> HostRoom:
        """Return one host as placement sees it."""
        state = index.state
        host = state.hosts[name]
        targets = state.indexes.targets_by_host.groups.get(name, {})
        jobs = [state.jobs[one] for one in starting]
        for target in targets:
            jobs.extend(running_on(state, target))
        pool = state.pools.get(host.pool)
        return HostRoom(
            host=name,
            availability_zone=host.availability_zone,
            rack=host.rack,
            capacity=host_capacity(host.resources),
            load=self.usage.host_load(targets, jobs),
            unseen=sum(not self.usage.is_seen(job) for job in jobs),
            borrowed=pool is not None and pool.spare,
        )

    def place(
        self,
        index: JobIndex,
        job: Job,
        targets: dict[str, Target],
        rooms: dict[str, HostRoom],
    ) -> str | None:
        """Return the target that takes the job; set the job aside if none can."""
        declared = guessed_size(job.size, self.usage.largest)
        why = never_fits(declared, self.possible_hosts(job.service))
        if why is not None:
            index.refuse(job.job_id, why)
            self.note(DecisionKind.REFUSE, f"job/{job.job_id}", why)
            return None
        seen = self.usage.is_seen(job)
        need = JobNeed(self.usage.size(job), declared, seen, job.urgent)
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
        kept = self.reserved.get(host)
        if kept is not None and kept.team == job.team:
            del self.reserved[host]
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
            if self.kept_for_others(index, job, target):
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
        due_ms = 0 if job.urgent else BLOCKED_MS
        if waited_ms < due_ms or not self.may_keep_more(job):
            return
        host = self.host_to_keep(job)
        if host is not None:
            self.reserved[host] = KeptHost(host, job.service, job.team, job.urgent)
            text = f"kept for job {job.job_id!r}, which has waited {waited_ms} ms"
            self.note(DecisionKind.HOLD, f"host/{host}", text)

    def may_keep_more(self, job: Job) -> bool:
        """Return whether one more host of a service may be kept for the team."""
        kept = [one for one in self.reserved.values() if one.service == job.service]
        if any(one.team == job.team and one.urgent == job.urgent for one in kept):
            return False
        hosts = {target.host for target in targets_of(self.log.state, job.service)}
        return len(kept) < max(1, int(len(hosts) * MAX_KEPT_FRACTION))

    def kept_for_others(self, index: JobIndex, job: Job, target: Target) -> bool:
        """Return whether the target's host is kept for another team or for urgency."""
        kept = self.reserved.get(target.host)
        if kept is None:
            return False
        lane = index.queues.lanes[kept.service].get(kept.team)
        waits = lane is not None and (lane.urgents > 0 or not kept.urgent)
        if not waits or not self.log.state.target_serves(target.name):
            del self.reserved[target.host]
            return False
        if job.urgent and not kept.urgent:
            return False
        return job.team != kept.team or (kept.urgent and not job.urgent)

    def host_to_keep(self, job: Job) -> str | None:
        """Return the host with fewest running jobs that can hold the job, if any."""
        state = self.log.state
        declared = guessed_size(job.size, self.usage.largest)
        busy: Counter[str] = Counter()
        for target in targets_of(state, job.service):
            if target.name in job.failed_on or target.host in self.reserved:
                continue
            if not state.target_serves(target.name):
                continue
            if never_fits(declared, [state.hosts[target.host].resources]) is None:
                busy[target.host] += slots_in_use(state, target.name)
        return min(busy, key=lambda host: (busy[host], host), default=None)

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

    def held_for_urgent(self, index: JobIndex, service: str) -> str:
        """Return why the free slots are kept for urgent jobs, or an empty string."""
        state = index.state
        targets = [
            one for one in targets_of(state, service) if state.target_serves(one.name)
        ]
        slots = sum(one.slots for one in targets)
        free = slots - sum(slots_in_use(state, one.name) for one in targets)
        pace = self.paces[service]
        rate = pace.rate(self.clock.seconds())
        queue = state.services[service].document.queue
        stops = queue is not None and (queue.may_stop or queue.may_checkpoint)
        stoppable = index.service_jobs[service] if stops else 0
        reserve = urgent_reserve(slots, pace.run_s, rate, stoppable)
        if free - len(self.starting) > reserve or not reserve:
            return ""
        return f"{reserve} of {slots} slots are kept for urgent jobs"

    def observe_run(self, service: str, run_s: float) -> None:
        """Learn from the run time of a job."""
        pace = self.paces[service]
        learnt = pace.run_s + PACE_SMOOTHING * (run_s - pace.run_s)
        self.paces[service] = QueuePace(learnt, pace.urgent_per_s, pace.at_s)

    def observe_urgent(self, service: str) -> None:
        """Learn from the arrival of an urgent job."""
        pace = self.paces[service]
        now = self.clock.seconds()
        gap = max(0.01, now - pace.at_s) if pace.at_s else URGENT_MEMORY_S
        rate = pace.urgent_per_s + PACE_SMOOTHING * (1 / gap - pace.urgent_per_s)
        self.paces[service] = QueuePace(pace.run_s, rate, now)


def targets_of(state: ClusterState, service: str) -> Iterable[Target]:
    """Return the targets of a service."""
    return state.indexes.targets_by_service.groups.get(service, {}).values()


def running_on(state: ClusterState, target: str) -> Iterable[Job]:
    """Return the jobs that run on a target."""
    return state.indexes.running_by_target.groups.get(target, {}).values()
