"""
mulberryledge_testing.bench.capacity.policies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Baselines that share the model with the product: greedy and a static split.
"""

from collections.abc import Callable, Iterable

from mulberryledge_core.decisions.queues import ShareStatus
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.job_matching import JobMatching, Match
from mulberryledge_testing.fleet.model import ModelFleet

__all__ = ["POLICIES", "get_policy_by_name"]


class GreedyMatching(JobMatching):
    """First come, first served, to the first target with a free slot."""

    def choose(
        self, index: JobIndex, service: str, waiting: Iterable[str]
    ) -> Match | None:
        """Return the oldest job and the first target."""
        targets = self.free_targets(waiting)
        lanes = index.queues.team_queues[service].values()
        heads = [head for lane in lanes for head in (lane.head(True), lane.head(False))]
        heads = [head for head in heads if head and head[1] not in self.pending_starts]
        if not targets or not heads:
            return None
        return Match(min(heads)[1], next(iter(targets)))


class StaticMatching(JobMatching):
    """Each team has its part of the slots, used or not."""

    def share_status_lookup(
        self, index: JobIndex
    ) -> Callable[[str], ShareStatus | None]:
        """Return the function that tells whether a team has used up its part."""
        standing = super().share_status_lookup(index)
        shares = sum(team.share for team in index.state.teams.values())

        def within(team: str) -> ShareStatus | None:
            record = index.state.teams[team]
            part = record.share / shares * self.team_usages.capacity.slots
            if index.team_jobs[team] + len(self.pending_starts) >= part:
                return None
            return standing(team)

        return within


def use_product(fleet: ModelFleet) -> None:
    """Leave the product's decisions in place."""


def use_greedy(fleet: ModelFleet) -> None:
    """Replace the choices by greedy ones, without reclaims."""
    replace_matching(fleet, GreedyMatching)


def use_static(fleet: ModelFleet) -> None:
    """Replace the choices by a static split, without reclaims."""
    replace_matching(fleet, StaticMatching)


def replace_matching(fleet: ModelFleet, kind: type[JobMatching]) -> None:
    """Put another matching in place, and stop planning."""
    jobs = fleet.jobs
    old = jobs.matching
    jobs.matching = kind(
        old.clock, old.log, old.usage, old.workers, old.record_decision
    )
    fleet.planner.plan = lambda index: None


POLICIES = {"product": use_product, "greedy": use_greedy, "static": use_static}


def get_policy_by_name(name: str) -> Callable[[ModelFleet], None]:
    """Return the function that puts a policy in place."""
    return POLICIES[name]
