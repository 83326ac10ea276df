"""
mulberryledge_core.state.limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What is in use of each upper limit, counted from the replicated state alone.
"""

from mulberryledge_core.model.jobs import JobPhase
from mulberryledge_core.state.tables import ClusterState

__all__ = ["slots_in_use", "team_headroom", "team_in_use"]


def team_in_use(state: ClusterState, team: str) -> int:
    """Return permits lent to sessions plus running jobs of the team."""
    lent = sum(
        grant.permits
        for session in state.sessions.values()
        for grant in session.permits
        if grant.team == team
    )
    running = sum(
        job.team == team and job.phase == JobPhase.RUNNING
        for job in state.jobs.values()
    )
    return lent + running


def team_headroom(state: ClusterState, team: str) -> int:
    """Return how many more calls and jobs the team may run, never below zero."""
    record = state.teams.get(team)
    limit = record.upper_limit if record is not None else 0
    return max(0, limit - team_in_use(state, team))


def slots_in_use(state: ClusterState, target: str) -> int:
    """Return slots of the target lent to sessions plus its running jobs."""
    lent = sum(
        grant.slots
        for session in state.sessions.values()
        for grant in session.slots
        if grant.target == target
    )
    running = sum(
        job.target == target and job.phase == JobPhase.RUNNING
        for job in state.jobs.values()
    )
    return lent + running
