"""
mulberryledge_core.decisions.hold_reasons
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reasons why a queued job does not start, derived from the replicated state.
"""

from mulberryledge_core.decisions.placement import unplaceable_reason
from mulberryledge_core.decisions.sizes import assumed_size
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.state.limits import team_headroom
from mulberryledge_core.state.tables import ClusterState

__all__ = ["hold_reason"]


def hold_reason(state: ClusterState, job: Job) -> str:
    """
    Return why a queued job is held, and what it would need, or an empty string.

    The leader also considers measured sizes and shares, which are not replicated;
    its decision journal records holds for those reasons.
    """
    if job.phase != JobPhase.QUEUED:
        return ""
    targets = state.indexes.targets_by_service.groups.get(job.service, {})
    host_names = {target.host for target in targets.values()} & state.hosts.keys()
    if not host_names:
        return f"no target of service {job.service!r} is announced"
    if not any(state.target_accepts_work(name) for name in targets):
        return f"no target of service {job.service!r} takes new work"
    hosts = [state.hosts[name].resources for name in host_names]
    largest = Resources(
        max(one.processors for one in hosts),
        max(one.memory_mb for one in hosts),
        max(one.accelerators for one in hosts),
    )
    problem = unplaceable_reason(assumed_size(job.size, largest), hosts)
    if problem is not None:
        return problem
    if team_headroom(state, job.team) < 1:
        return f"team {job.team!r} is at its upper limit"
    return ""
