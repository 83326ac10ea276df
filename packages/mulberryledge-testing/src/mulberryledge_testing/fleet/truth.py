"""
mulberryledge_testing.fleet.truth
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the runs on the workers and asserts limits and repeatability at each start.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

__all__ = ["JobProfile", "RunRecorder"]


@dataclass(frozen=True, slots=True)
class JobProfile:
    """
    Actual properties of a job, which may differ from those declared.

    Attributes
    ----------
    run_s : float
        Run time on uncontended processors, in seconds.
    processors : float
        Cores in use while it runs.
    repeatable : bool
        Whether it may run more than once.
    fails : bool
        Whether it fails on every worker.
    """

    team: str
    service: str
    run_s: float
    processors: float = 1.0
    repeatable: bool = True
    fails: bool = False


class RunRecorder:
    """Counts by team, but ``profiles`` and ``starts`` by job, cores by host."""

    def __init__(self) -> None:
        self.profiles: dict[str, JobProfile] = {}
        self.limits: dict[str, int] = {}
        self.running: Counter[str] = Counter()
        self.starts: Counter[str] = Counter()
        self.slot_seconds: dict[str, float] = defaultdict(float)
        self.host_cores: dict[str, float] = defaultdict(float)
        self.lost_seconds = 0.0

    def start(self, job_id: str) -> JobProfile:
        """Record the start of a run and assert that it is allowed."""
        nature = self.profiles[job_id]
        self.starts[job_id] += 1
        self.running[nature.team] += 1
        assert nature.repeatable or self.starts[job_id] == 1, (
            f"job {job_id!r} must not be repeated and ran {self.starts[job_id]} times"
        )
        limit = self.limits.get(nature.team)
        assert limit is None or self.running[nature.team] <= limit, (
            f"team {nature.team!r} really runs {self.running[nature.team]} of {limit}"
        )
        return nature

    def end(self, job_id: str) -> None:
        """Record the end of a run."""
        self.running[self.profiles[job_id].team] -= 1
