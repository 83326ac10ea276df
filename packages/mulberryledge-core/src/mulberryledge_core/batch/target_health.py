"""
mulberryledge_core.batch.target_health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Excludes targets from placement by the outcome of the runs that they had.

Detects targets that appear healthy but fail all runs, let them hang, or run several
times slower. A target that fails runs at once has free capacity again at once, and
would otherwise attract ever more work. Jobs that fail on other targets too do not
count against a target. An excluded target returns on trial: one run at a time until
one succeeds. A run succeeds when it is done or, if it is long-running, at work. A run
that takes long is decided after a while, so that it never closes its target for good.
"""

from dataclasses import dataclass, field

__all__ = ["Health", "HealthPolicy", "is_stuck", "projected_ms"]


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """
    Thresholds of the evaluation.

    Attributes
    ----------
    failure_threshold : int
        Number of jobs with failed runs, without a successful run in between, that
        excludes a target.
    exclude_ms, exclude_max_ms : int
        Duration of an exclusion, doubled with each failed trial, and its maximum.
    stuck_ms : int
        Time without progress after which a run may count as stuck.
    stuck_factor : float
        A run without progress is stuck only after this multiple of the duration
        expected for its progress.
    startup_ms : int
        Time within which a long-running run should be working.
    trial_ms : int
        Time for which a run on trial keeps its target closed to other runs; one that
        fails or hangs has usually been noticed by then.
    min_slow_jobs : int
        Number of jobs with slow runs from which a target counts as slow.
    sibling_factor : float
        A run counts as slow by itself if it takes this multiple of what other tasks of
        its step took on other targets.
    max_evaluated_runs : int
        Runs of one task that are evaluated for speed; if a later one is slow too, the
        task is the cause, and it is left running.
    min_evaluated_percent : int
        Minimum progress of a run for an evaluation of its speed.
    """

    failure_threshold: int = 3
    exclude_ms: int = 3_000
    exclude_max_ms: int = 12_000
    stuck_ms: int = 900
    stuck_factor: float = 1.2
    startup_ms: int = 3_500
    trial_ms: int = 3_500
    min_slow_jobs: int = 2
    sibling_factor: float = 2.5
    max_evaluated_runs: int = 2
    min_evaluated_percent: int = 5


POLICY = HealthPolicy()


@dataclass(slots=True)
class Health:
    """
    Observed health of one incarnation of a target.

    Attributes
    ----------
    failed_jobs : set of str
        Jobs with runs that failed here since the last successful run.
    excluded_until_ms : int
        End of the exclusion.
    strikes : int
        Number of exclusions since the last successful run.
    """

    failed_jobs: set[str] = field(default_factory=set)
    excluded_until_ms: int = -1
    strikes: int = 0

    def on_success(self) -> None:
        """Record a successful run."""
        self.failed_jobs.clear()
        self.strikes = 0

    def on_failed(
        self,
        job_id: str,
        failed_elsewhere: bool,
        now_ms: int,
        policy: HealthPolicy = POLICY,
    ) -> bool:
        """
        Record a failed run.

        Parameters
        ----------
        failed_elsewhere : bool
            Whether runs of the job failed on other targets too.

        Returns
        -------
        bool
            Whether the target is now excluded.
        """
        if failed_elsewhere:
            return False
        self.failed_jobs.add(job_id)
        on_trial = self.strikes > 0
        if on_trial or len(self.failed_jobs) >= policy.failure_threshold:
            self.exclude(now_ms, policy)
            return True
        return False

    def exclude(self, now_ms: int, policy: HealthPolicy = POLICY) -> None:
        """Exclude the target; the duration doubles with each strike."""
        exclusion_ms = min(policy.exclude_max_ms, policy.exclude_ms << self.strikes)
        self.excluded_until_ms = max(self.excluded_until_ms, now_ms + exclusion_ms)
        self.strikes += 1
        self.failed_jobs.clear()

    def excluded(self, now_ms: int) -> bool:
        """Return whether the target is excluded from placement."""
        return now_ms < self.excluded_until_ms

    @property
    def on_trial(self) -> bool:
        """Whether the target is limited to one run at a time."""
        return self.strikes > 0

    def is_trial(self, started_ms: int) -> bool:
        """Return whether a run that started at a time is a trial of the target."""
        return self.on_trial and started_ms >= self.excluded_until_ms

    def is_undecided(
        self, started_ms: int, now_ms: int, policy: HealthPolicy = POLICY
    ) -> bool:
        """Return whether a live run is a trial whose outcome must be awaited."""
        return self.is_trial(started_ms) and now_ms - started_ms < policy.trial_ms


def is_stuck(
    long_running: bool,
    expected_ms: float,
    elapsed_ms: float,
    percent: int,
    stalled_ms: float,
    policy: HealthPolicy = POLICY,
) -> bool:
    """
    Return whether a run makes no progress.

    Parameters
    ----------
    expected_ms : float
        Expected duration of the run on a healthy target.
    elapsed_ms, stalled_ms : float
        Time since its start, and since its progress was first seen to be ``percent``.
    """
    if long_running:
        return percent < 100 and min(elapsed_ms, stalled_ms) > policy.startup_ms
    if percent >= 100 or stalled_ms < policy.stuck_ms:
        return False
    allowed_ms = policy.stuck_factor * expected_ms * (percent + 1) / 100
    return elapsed_ms > max(policy.stuck_ms, allowed_ms)


def projected_ms(
    elapsed_ms: float, percent: int, policy: HealthPolicy = POLICY
) -> float | None:
    """Return the projected duration of a run, None if it is too early to tell."""
    if percent < policy.min_evaluated_percent:
        return None
    return elapsed_ms * 100 / percent
