"""
mulberryledge_daemon.leader.reserved_hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hosts reserved for waiting jobs that could not be placed, so that enough capacity for
them becomes free.
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
from mulberryledge_daemon.leader.worker_health import RecordDecision

__all__ = ["HostReservation", "ReservedHosts"]

RESERVE_AFTER_MS = 1_000
MAX_RESERVED_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class HostReservation:
    """A host reserved for the next job, or the next urgent one, of a team."""

    host: str
    service: str
    team: str
    urgent: bool


class ReservedHosts:
    """Owns the reservations, by host."""

    def __init__(self, record_decision: RecordDecision):
        self.record_decision = record_decision
        self.reservations: dict[str, HostReservation] = {}

    def reserve_for(
        self, state: ClusterState, job: Job, declared: Load, waited_ms: int
    ) -> None:
        """Reserve a host for a job that has waited long enough."""
        reserve_after_ms = 0 if job.urgent else RESERVE_AFTER_MS
        if waited_ms < reserve_after_ms or not self.may_reserve_more(state, job):
            return
        host = self.least_busy_host(state, job, declared)
        if host is not None:
            self.reservations[host] = HostReservation(
                host, job.service, job.team, job.urgent
            )
            kind = "an urgent job" if job.urgent else "a job"
            text = f"kept for {kind} of team {job.team!r} on {job.service!r}"
            self.record_decision(DecisionKind.HOLD, f"host/{host}", text)

    def may_reserve_more(self, state: ClusterState, job: Job) -> bool:
        """Return whether another host of the job's service may be reserved for it."""
        reserved = [
            one for one in self.reservations.values() if one.service == job.service
        ]
        if any(one.team == job.team and one.urgent == job.urgent for one in reserved):
            return False
        hosts = {target.host for target in targets_of(state, job.service)}
        return len(reserved) < max(1, int(len(hosts) * MAX_RESERVED_FRACTION))

    def least_busy_host(
        self, state: ClusterState, job: Job, declared: Load
    ) -> str | None:
        """Return the host with the fewest used slots that can hold the job, if any."""
        slots_by_host: Counter[str] = Counter()
        for target in targets_of(state, job.service):
            if target.name in job.failed_on or target.host in self.reservations:
                continue
            if not state.target_accepts_work(target.name):
                continue
            if (
                unplaceable_reason(declared, [state.hosts[target.host].resources])
                is None
            ):
                slots_by_host[target.host] += slots_in_use(state, target.name)
        return min(
            slots_by_host, key=lambda host: (slots_by_host[host], host), default=None
        )

    def is_reserved_for_other(self, index: JobIndex, job: Job, target: Target) -> bool:
        """Return whether the target's host is reserved for other jobs than this one."""
        reservation = self.reservations.get(target.host)
        if reservation is None:
            return False
        team_queue = index.queues.team_queues[reservation.service].get(reservation.team)
        is_waiting = team_queue is not None and (
            team_queue.urgent_count > 0 or not reservation.urgent
        )
        if not is_waiting or not index.state.target_accepts_work(target.name):
            del self.reservations[target.host]
            return False
        if job.urgent and not reservation.urgent:
            return False
        return job.team != reservation.team or (reservation.urgent and not job.urgent)

    def release(self, host: str, team: str) -> None:
        """Remove the reservation of a host on which its team has started a job."""
        reservation = self.reservations.get(host)
        if reservation is not None and reservation.team == team:
            del self.reservations[host]
