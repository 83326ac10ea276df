"""
mulberryledge_daemon.leader.kept_hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts kept for jobs that are due and find no room, so that room can gather.
"""

from collections import Counter
from dataclasses import dataclass

from mulberryledge_core.decisions.loads import Load
from mulberryledge_core.decisions.placement import unplaceable_reason
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.targets import Target
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.views import targets_of
from mulberryledge_daemon.leader.workers import Note

__all__ = ["KeptHost", "KeptHosts"]

DUE_MS = 1_000
MAX_KEPT_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class KeptHost:
    """A host that is kept for the next job, or next urgent one, of a team."""

    host: str
    service: str
    team: str
    urgent: bool


class KeptHosts:
    """Owns the kept hosts, by name."""

    def __init__(self, note: Note):
        self.note = note
        self.kept: dict[str, KeptHost] = {}

    def keep_for(
        self, state: ClusterState, job: Job, declared: Load, waited_ms: int
    ) -> None:
        """Keep a host for a job that has waited long enough."""
        due_ms = 0 if job.urgent else DUE_MS
        if waited_ms < due_ms or not self.may_keep_more(state, job):
            return
        host = self.emptiest(state, job, declared)
        if host is not None:
            self.kept[host] = KeptHost(host, job.service, job.team, job.urgent)
            kind = "an urgent job" if job.urgent else "a job"
            text = f"kept for {kind} of team {job.team!r} on {job.service!r}"
            self.note(DecisionKind.HOLD, f"host/{host}", text)

    def may_keep_more(self, state: ClusterState, job: Job) -> bool:
        """Return whether one more host of a service may be kept for the team."""
        kept = [one for one in self.kept.values() if one.service == job.service]
        if any(one.team == job.team and one.urgent == job.urgent for one in kept):
            return False
        hosts = {target.host for target in targets_of(state, job.service)}
        return len(kept) < max(1, int(len(hosts) * MAX_KEPT_FRACTION))

    def emptiest(self, state: ClusterState, job: Job, declared: Load) -> str | None:
        """Return the host with fewest running jobs that can hold the job, if any."""
        busy: Counter[str] = Counter()
        for target in targets_of(state, job.service):
            if target.name in job.failed_on or target.host in self.kept:
                continue
            if not state.target_accepts_work(target.name):
                continue
            if (
                unplaceable_reason(declared, [state.hosts[target.host].resources])
                is None
            ):
                busy[target.host] += slots_in_use(state, target.name)
        return min(busy, key=lambda host: (busy[host], host), default=None)

    def is_kept_from(self, index: JobIndex, job: Job, target: Target) -> bool:
        """Return whether the target's host is kept for another team or for urgency."""
        kept = self.kept.get(target.host)
        if kept is None:
            return False
        lane = index.queues.team_queues[kept.service].get(kept.team)
        waits = lane is not None and (lane.urgent_count > 0 or not kept.urgent)
        if not waits or not index.state.target_accepts_work(target.name):
            del self.kept[target.host]
            return False
        if job.urgent and not kept.urgent:
            return False
        return job.team != kept.team or (kept.urgent and not job.urgent)

    def taken(self, host: str, team: str) -> None:
        """Stop keeping a host that its team has got a job onto."""
        kept = self.kept.get(host)
        if kept is not None and kept.team == team:
            del self.kept[host]
