"""
mulberryledge_daemon.leader.uses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What each team uses of the fleet, by which teams queue up.
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
from mulberryledge_daemon.leader.usage import Usage

__all__ = ["Uses"]

URGENT_BEYOND_SHARE = 2


class Uses:
    """
    Owns the use of each team; attributes are by team unless said otherwise.

    Attributes
    ----------
    shares : dict of str to FairShare
        Fair shares, from the last plan.
    capacity : Load
        What the whole fleet holds.
    calls : Counter of str
        Running calls.
    job_parts : Counter of str
        Dominant fraction of the capacity that jobs use.
    uses : dict of str to TeamUsage
        Use by now and recently.
    """

    def __init__(self, clock: IReactorTime, usage: Usage):
        self.clock = clock
        self.usage = usage
        self.shares: dict[str, FairShare] = {}
        self.reset(Load(1.0))

    def reset(self, capacity: Load) -> None:
        """Forget all use, as a new leader must."""
        self.capacity = capacity
        self.calls: Counter[str] = Counter()
        self.job_parts: Counter[str] = Counter()
        self.uses: dict[str, TeamUsage] = {}

    def use(self, team: str) -> TeamUsage:
        """Return the use of a team."""
        return self.uses.get(team, TeamUsage())

    def standing(self, team: Team, urgent: int) -> ShareStatus:
        """
        Return where a team stands against its share.

        A team may always have a few urgent jobs running that went first, so that
        one at its very share does not wait. What it could gain by calling
        ordinary jobs urgent is bounded by their number.

        Parameters
        ----------
        team : Team
            Team to look at.
        urgent : int
            Its running urgent jobs.
        """
        use = self.use(team.name)
        share = self.shares.get(team.name)
        within = share is None or use.now <= share.fraction
        within = within or urgent < URGENT_BEYOND_SHARE
        score = share_score(use, team.share, self.clock.seconds())
        return ShareStatus(score, within)

    def charge(self, job: Job, sign: int) -> None:
        """Add a job that starts to its team's use, or take away one that ended."""
        part = sign * dominant_fraction(self.usage.expected(job), self.capacity)
        self.job_parts[job.team] = max(0.0, self.job_parts[job.team] + part)
        self.update(job.team)

    def charge_calls(self, calls: Counter[str]) -> None:
        """Set the calls that teams have running."""
        self.calls = calls
        for team in calls:
            self.update(team)

    def charge_again(self, index: JobIndex, capacity: Load) -> None:
        """Count the use of all running jobs anew, as sizes are corrected."""
        self.capacity = capacity
        self.job_parts = Counter()
        for job_id in index.running:
            job = index.state.jobs[job_id]
            part = dominant_fraction(self.usage.expected(job), capacity)
            self.job_parts[job.team] += part

    def update(self, team: str) -> None:
        """Bring the use of a team up to date."""
        calls = dominant_fraction(Load(float(self.calls[team])), self.capacity)
        now = self.job_parts[team] + calls
        self.uses[team] = advance_usage(self.use(team), now, self.clock.seconds())
