"""
mulberryledge_daemon.leader.views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lookups in the replicated state that the capacity tasks share.
"""

from collections.abc import Iterable

from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.targets import Target
from mulberryledge_core.state import ClusterState

__all__ = ["running_on", "targets_of"]


def targets_of(state: ClusterState, service: str) -> Iterable[Target]:
    """Return the targets of a service."""
    return state.indexes.targets_by_service.groups.get(service, {}).values()


def running_on(state: ClusterState, target: str) -> Iterable[Job]:
    """Return the jobs that run on a target."""
    return state.indexes.running_by_target.groups.get(target, {}).values()
