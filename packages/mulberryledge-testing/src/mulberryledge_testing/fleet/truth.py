"""
mulberryledge_testing.fleet.truth
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What really runs, as the workers know it, with the promises asserted at each start.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

__all__ = ["Nature", "Truth"]


@dataclass(frozen=True, slots=True)
class Nature:
    """
    What a job really is.

    Attributes
    ----------
    run_s : float
        Time that it needs, in seconds.
    processors : float
        Cores that it really uses.
    repeatable : bool
        Whether it may run twice.
    fails : bool
        Whether it fails wherever it runs.
    """

    team: str
    service: str
    run_s: float
    processors: float = 1.0
    repeatable: bool = True
    fails: bool = False


class Truth:
    """Counts real runs; attributes are by team unless said otherwise."""

    def __init__(self) -> None:
        self.natures: dict[str, Nature] = {}
        self.limits: dict[str, int] = {}
        self.running: Counter[str] = Counter()
        self.starts: Counter[str] = Counter()
        self.slot_seconds: dict[str, float] = defaultdict(float)
        self.host_cores: dict[str, float] = defaultdict(float)
        self.lost_seconds = 0.0

    def start(self, job_id: str) -> Nature:
        """Count a run that begins."""
        nature = self.natures[job_id]
        self.starts[job_id] += 1
        self.running[nature.team] += 1
        assert nature.repeatable or self.starts[job_id] == 1, (
            f"job {job_id!r} must not be repeated and ran {self.starts[job_id]} times"
        )
        most = self.limits.get(nature.team)
        assert most is None or self.running[nature.team] <= most, (
            f"team {nature.team!r} really runs {self.running[nature.team]} of {most}"
        )
        return nature

    def end(self, job_id: str) -> None:
        """Count a run that ended."""
        self.running[self.natures[job_id].team] -= 1
