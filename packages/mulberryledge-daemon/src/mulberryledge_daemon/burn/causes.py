"""
mulberryledge_daemon.burn.causes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a finished call counts as against the service's objective.
"""

from mulberryledge_core.model.burn import CallOutcome
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.outcomes import Code, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.observations import CallObservation

__all__ = ["cause_of", "latency_bound_s"]

MS_PER_S = 1_000
WHOLE_ANSWER = "ok"
CALLERS_OWN = frozenset(
    (
        Code.BAD_REQUEST,
        Code.BAD_KEY,
        Code.NOT_ALLOWED,
        Code.NOT_FOUND,
        Code.TOO_LARGE,
        Code.CONFLICT,
        Code.LIMIT,
    )
)
PLANNED = frozenset((HostPhase.DRAINING, HostPhase.REBOOTING, HostPhase.PROBATION))


def cause_of(state: ClusterState, seen: CallObservation) -> CallOutcome | None:
    """
    Return what a call counts as, or None if it is the caller's own mistake.

    A refusal while a host is lost counts as loss even if another host is out for
    maintenance at the same time.
    """
    service = state.services.get(seen.service)
    if service is None or seen.code in CALLERS_OWN:
        return None
    if seen.run == RunOutcome.UNKNOWN:
        return CallOutcome.UNKNOWN
    if seen.code == Code.DEADLINE:
        return CallOutcome.LATE
    if seen.code == WHOLE_ANSWER:
        return (
            CallOutcome.LATE
            if seen.seconds > latency_bound_s(service)
            else CallOutcome.GOOD
        )
    return _refusal_cause(state, service)


def latency_bound_s(service: Service) -> float:
    """Return the time within which an answer is in time, in seconds."""
    document = service.document
    latency_ms = document.objective.latency_ms
    if not latency_ms and document.calls is not None:
        latency_ms = document.calls.deadline_ms
    return latency_ms / MS_PER_S


def _refusal_cause(state: ClusterState, service: Service) -> CallOutcome:
    pool = service.document.service.pool
    phases = {host.phase for host in state.indexes.hosts_by_pool.rows(pool)}
    targets = state.indexes.targets_by_service.rows(service.name)
    lost = any(target.phase == TargetPhase.LOST for target in targets)
    if lost or HostPhase.LOST in phases:
        return CallOutcome.LOSS
    return CallOutcome.MAINTENANCE if phases & PLANNED else CallOutcome.REFUSED
