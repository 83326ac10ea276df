"""
mulberryledge_core.state.limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Current use of team limits and target slots, read from the indexes of the state.
"""

from mulberryledge_core.state.tables import ClusterState

__all__ = ["slots_in_use", "team_headroom", "team_permits_in_use"]


def team_permits_in_use(state: ClusterState, team: str) -> int:
    """Return the team's permits on loan to sessions plus its running jobs."""
    return state.indexes.permits_in_use[team]


def team_headroom(state: ClusterState, team: str) -> int:
    """Return how many more calls and jobs the team may run, never below zero."""
    record = state.teams.get(team)
    limit = record.upper_limit if record is not None else 0
    return max(0, limit - team_permits_in_use(state, team))


def slots_in_use(state: ClusterState, target: str) -> int:
    """Return the target's slots on loan to sessions plus its running jobs."""
    return state.indexes.slots_in_use[target]
