"""
mulberryledge_daemon.leader.team_usages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Usage of the fleet by each team, which determines the order of teams in the queues.
"""

from collections import Counter

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.loads import Load, dominant_fraction
from mulberryledge_core.decisions.preemption import FairShare
from mulberryledge_core.decisions.queues import ShareStatus
from mulberryledge_core.decisions.shares import TeamUsage, advance_usage, share_score
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.teams import Team
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.usage import ResourceUsage

__all__ = ["TeamUsages"]

MAX_URGENT_BEYOND_SHARE = 2


class TeamUsages:
    """
    Owns the usage of each team; attributes are by team unless stated otherwise.

    Attributes
    ----------
    shares : dict of str to FairShare
        Fair shares, from the last plan.
    capacity : Load
        Capacity of the whole fleet.
    calls_in_use : Counter of str
        Running calls.
    job_fractions : Counter of str
        Dominant fraction of the capacity that jobs use.
    usage_by_team : dict of str to TeamUsage
        Current and recent usage.
    """

    def __init__(self, clock: IReactorTime, usage: ResourceUsage):
        self.clock = clock
        self.usage = usage
        self.shares: dict[str, FairShare] = {}
        self.reset(Load(1.0))

    def reset(self, capacity: Load) -> None:
        """Discard all usage after a change of leader."""
        self.capacity = capacity
        self.calls_in_use: Counter[str] = Counter()
        self.job_fractions: Counter[str] = Counter()
        self.usage_by_team: dict[str, TeamUsage] = {}

    def team_usage(self, team: str) -> TeamUsage:
        """Return the usage of a team."""
        return self.usage_by_team.get(team, TeamUsage())

    def share_status(self, team: Team, urgent: int) -> ShareStatus:
        """
        Return the usage of a team relative to its share.

        A team may exceed its share with a few urgent jobs, so that they do not wait
        when it is exactly at its share. The limit on their number bounds the gain from
        submitting ordinary jobs as urgent.

        Parameters
        ----------
        team : Team
            Team to evaluate.
        urgent : int
            Number of its running urgent jobs.
        """
        team_usage = self.team_usage(team.name)
        share = self.shares.get(team.name)
        within = share is None or team_usage.now <= share.fraction
        within = within or urgent < MAX_URGENT_BEYOND_SHARE
        score = share_score(team_usage, team.share, self.clock.seconds())
        return ShareStatus(score, within)

    def charge(self, job: Job, sign: int) -> None:
        """Add a started job to its team's usage, or subtract an ended one."""
        fraction = sign * dominant_fraction(
            self.usage.expected_size(job), self.capacity
        )
        self.job_fractions[job.team] = max(0.0, self.job_fractions[job.team] + fraction)
        self.update(job.team)

    def set_calls(self, calls: Counter[str]) -> None:
        """Set the number of running calls by team."""
        self.calls_in_use = calls
        for team in calls:
            self.update(team)

    def recount_jobs(self, index: JobIndex, capacity: Load) -> None:
        """Recompute the usage of all running jobs from their corrected sizes."""
        self.capacity = capacity
        self.job_fractions = Counter()
        for job_id in index.running:
            job = index.state.jobs[job_id]
            fraction = dominant_fraction(self.usage.expected_size(job), capacity)
            self.job_fractions[job.team] += fraction

    def update(self, team: str) -> None:
        """Update the usage of a team."""
        call_fraction = dominant_fraction(
            Load(float(self.calls_in_use[team])), self.capacity
        )
        fraction = self.job_fractions[team] + call_fraction
        self.usage_by_team[team] = advance_usage(
            self.team_usage(team), fraction, self.clock.seconds()
        )
