"""
mulberryledge_core.batch.suspicion
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which targets get no work, by what became of the work that they had.

The trouble it answers: targets that look healthy but fail all that they start, let it
stand still, or take several times as long. A target that fails at once has room again
at once, so without this it would attract ever more work. Jobs that fail wherever they
run don't speak against a target. A target that was taken out is let back by a trial:
one run at a time, until one of them is done.
"""

from dataclasses import dataclass, field

__all__ = ["Health", "SuspicionPolicy", "is_stuck", "projected_ms"]


@dataclass(frozen=True, slots=True)
class SuspicionPolicy:
    """
    Weights of the judgement.

    Attributes
    ----------
    failures : int
        Failed runs without one that was done in between, of as many jobs, that take
        a target out.
    exclude_ms, exclude_max_ms : int
        How long a target is out, doubled with each failed trial.
    stuck_ms : int
        How long a run may show no progress.
    stuck_factor : float
        A run without progress is stuck only after this multiple of its duration.
    startup_ms : int
        Time in which a lasting run should be at work.
    slow_jobs : int
        Jobs whose runs must be slow there before a target counts as slow.
    slow_runs : int
        Runs of one task that are judged by their speed; a later one that is slow too
        tells of the task, and is left alone.
    judged_percent : int
        Progress from which on the speed of a run is judged.
    """

    failures: int = 3
    exclude_ms: int = 3_000
    exclude_max_ms: int = 12_000
    stuck_ms: int = 900
    stuck_factor: float = 1.2
    startup_ms: int = 3_500
    slow_jobs: int = 2
    slow_runs: int = 2
    judged_percent: int = 5


POLICY = SuspicionPolicy()


@dataclass(slots=True)
class Health:
    """
    Evidence on one life of a target.

    Attributes
    ----------
    failed_jobs : set of str
        Jobs of which runs failed here since the last run that was done.
    excluded_until_ms : int
        Until then it gets no work.
    strikes : int
        How often it was taken out without a run that was done in between.
    """

    failed_jobs: set[str] = field(default_factory=set)
    excluded_until_ms: int = -1
    strikes: int = 0

    def on_done(self) -> None:
        """Take a run that was done for the target."""
        self.failed_jobs.clear()
        self.strikes = 0

    def on_failed(
        self,
        job_id: str,
        elsewhere: bool,
        now_ms: int,
        policy: SuspicionPolicy = POLICY,
    ) -> bool:
        """
        Take a failed run against the target.

        Parameters
        ----------
        elsewhere : bool
            Whether runs of the job failed on other targets as well.

        Returns
        -------
        bool
            Whether the target is taken out now.
        """
        if elsewhere:
            return False
        self.failed_jobs.add(job_id)
        on_trial = self.strikes > 0
        if on_trial or len(self.failed_jobs) >= policy.failures:
            self.exclude(now_ms, policy)
            return True
        return False

    def exclude(self, now_ms: int, policy: SuspicionPolicy = POLICY) -> None:
        """Take the target out for a while."""
        out_ms = min(policy.exclude_max_ms, policy.exclude_ms << self.strikes)
        self.excluded_until_ms = max(self.excluded_until_ms, now_ms + out_ms)
        self.strikes += 1
        self.failed_jobs.clear()

    def excluded(self, now_ms: int) -> bool:
        """Return whether the target gets no work now."""
        return now_ms < self.excluded_until_ms

    @property
    def on_trial(self) -> bool:
        """Whether the target gets one run at a time."""
        return self.strikes > 0


def is_stuck(
    lasting: bool,
    expected_ms: float,
    elapsed_ms: float,
    percent: int,
    still_ms: float,
    policy: SuspicionPolicy = POLICY,
) -> bool:
    """
    Return whether a run stands still.

    Parameters
    ----------
    expected_ms : float
        How long the run takes on a sound target.
    elapsed_ms, still_ms : float
        Since its start, and since its progress was first seen to be ``percent``.
    """
    if lasting:
        return percent < 100 and min(elapsed_ms, still_ms) > policy.startup_ms
    if percent >= 100 or still_ms < policy.stuck_ms:
        return False
    shown = policy.stuck_factor * expected_ms * (percent + 1) / 100
    return elapsed_ms > max(policy.stuck_ms, shown)


def projected_ms(
    elapsed_ms: float, percent: int, policy: SuspicionPolicy = POLICY
) -> float | None:
    """Return how long a run takes by its progress, None if it is too early to tell."""
    if percent < policy.judged_percent:
        return None
    return elapsed_ms * 100 / percent
