"""
mulberryledge_daemon.burn.causes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Classification of finished calls against the objective of their service.
"""

from mulberryledge_core.model.burn import CallOutcome
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.outcomes import Code, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.observations import CallObservation

__all__ = ["classify_call", "latency_bound_s"]

MS_PER_S = 1_000
COMPLETE_ANSWER = "ok"
CALLER_FAULTS = frozenset(
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
MAINTENANCE_PHASES = frozenset(
    (HostPhase.DRAINING, HostPhase.REBOOTING, HostPhase.PROBATION)
)


def classify_call(state: ClusterState, call: CallObservation) -> CallOutcome | None:
    """
    Return the outcome of a call, or None if the caller is at fault.

    A refusal while a host is lost counts as loss even if another host is out for
    maintenance at the same time.
    """
    service = state.services.get(call.service)
    if service is None or call.code in CALLER_FAULTS:
        return None
    if call.run_outcome == RunOutcome.UNKNOWN:
        return CallOutcome.UNKNOWN
    if call.code == Code.DEADLINE:
        return CallOutcome.LATE
    if call.code == COMPLETE_ANSWER:
        return (
            CallOutcome.LATE
            if call.duration_s > latency_bound_s(service)
            else CallOutcome.GOOD
        )
    return _refusal_outcome(state, service)


def latency_bound_s(service: Service) -> float:
    """Return the maximum latency of a good answer in seconds."""
    document = service.document
    latency_ms = document.objective.latency_ms
    if not latency_ms and document.calls is not None:
        latency_ms = document.calls.deadline_ms
    return latency_ms / MS_PER_S


def _refusal_outcome(state: ClusterState, service: Service) -> CallOutcome:
    pool = service.document.service.pool
    phases = {host.phase for host in state.indexes.hosts_by_pool.rows(pool)}
    targets = state.indexes.targets_by_service.rows(service.name)
    target_lost = any(target.phase == TargetPhase.LOST for target in targets)
    if target_lost or HostPhase.LOST in phases:
        return CallOutcome.LOSS
    return (
        CallOutcome.MAINTENANCE if phases & MAINTENANCE_PHASES else CallOutcome.REFUSED
    )
