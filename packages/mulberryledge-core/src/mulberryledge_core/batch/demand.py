"""
mulberryledge_core.batch.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates of task durations and of the arrival rate of each queue.

Declared durations are rough, and zero for long-running tasks. They are corrected by a
factor for each queue: a bounded moving average over the runs that have ended.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = ["ArrivalRate", "DurationEstimates"]

SMOOTHING_SHARE = 0.05  # weight of the newest run; spans about 20 runs
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0  # bounds on the sample of one run
DEFAULT_LOG_SPREAD = 0.7  # about a factor of two either way
DEFAULT_DURATION_MS = 1_000  # until a run of the queue has ended
MIN_OUTLIER_FACTOR, OUTLIER_SPREADS = 2.5, 3.0  # three mean deviations are rare
RATE_WINDOWS_MS = (300, 600, 1_200)  # a burst lasts some seconds
HALF_WEIGHT_ARRIVALS = 1.5  # arrivals at which a rate counts half
MAX_JOB_FACTOR = 2.0  # of the mean work; larger jobs predict no more arrivals
AVERAGED_JOBS = 20  # span of the moving average of work


@dataclass(slots=True)
class DurationEstimates:
    """
    Duration estimates, by queue.

    Attributes
    ----------
    factors : dict of str to float
        Actual duration as a multiple of the declared one.
    means_ms : dict of str to float
        Mean actual duration.
    spreads : dict of str to float
        Mean absolute deviation of actual from expected durations, as a natural
        logarithm of their ratio.
    """

    factors: dict[str, float] = field(default_factory=dict)
    means_ms: dict[str, float] = field(default_factory=dict)
    spreads: dict[str, float] = field(default_factory=dict)

    def learn(self, queue: str, declared_ms: int, actual_ms: float) -> None:
        """Update the estimates with a successful run."""
        mean = self.means_ms.get(queue, actual_ms)
        self.means_ms[queue] = mean + SMOOTHING_SHARE * (actual_ms - mean)
        if declared_ms > 0:
            ratio = min(MAX_FACTOR, max(MIN_FACTOR, actual_ms / declared_ms))
            factor = self.factors.get(queue, 1.0)
            deviation = abs(math.log(ratio / factor))
            spread = self.spreads.get(queue, DEFAULT_LOG_SPREAD)
            self.spreads[queue] = spread + SMOOTHING_SHARE * (deviation - spread)
            self.factors[queue] = factor + SMOOTHING_SHARE * (ratio - factor)

    def expected_ms(self, queue: str, step: StepSpec) -> float:
        """Return the estimated duration of a task of a step."""
        if step.estimated_ms > 0:
            return step.estimated_ms * self.factors.get(queue, 1.0)
        return self.means_ms.get(queue, DEFAULT_DURATION_MS)

    def outlier_factor(self, queue: str) -> float:
        """Return the factor over the expected duration that marks an outlier."""
        spread = self.spreads.get(queue, DEFAULT_LOG_SPREAD)
        return max(MIN_OUTLIER_FACTOR, math.exp(OUTLIER_SPREADS * spread))

    def expected_work(self, queue: str, spec: JobSpec) -> float:
        """Return the work of one occurrence, in millicores x ms."""
        return sum(
            step.count * step.size.cpu_millis * self.expected_ms(queue, step)
            for step in spec.steps
            if not step.long_running
        )

    def critical_path_ms(self, queue: str, spec: JobSpec) -> float:
        """Return the duration of a job's longest chain of steps."""
        ends: list[float] = []
        for step in spec.steps:
            start = max((ends[dependency] for dependency in step.after), default=0.0)
            ends.append(start + self.expected_ms(queue, step))
        return max(ends)


@dataclass(slots=True)
class ArrivalRate:
    """
    Rate at which work arrives, taken over several windows to detect bursts at once.

    Large jobs arrive singly. The demand of such a job is known once it is queued; as a
    sample for the forecast it is capped at a multiple of the mean.

    Attributes
    ----------
    mean_work : float
        Moving average of the work per job of the queue.
    samples : int
        Jobs in that average, up to ``AVERAGED_JOBS``.
    arrivals : deque of (int, float)
        Arrival time, and work in millicores x ms, of each job in the longest window.
    """

    arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    mean_work: float = 0.0
    samples: int = 0

    def add(self, work: float, now_ms: int) -> None:
        """Add a job's work."""
        self.arrivals.append((now_ms, work))
        self.samples = min(AVERAGED_JOBS, self.samples + 1)
        self.mean_work += (work - self.mean_work) / self.samples

    def rate_millis(self, now_ms: int) -> float:
        """Return the millicores needed to keep up with arrivals."""
        while self.arrivals and self.arrivals[0][0] <= now_ms - RATE_WINDOWS_MS[-1]:
            self.arrivals.popleft()
        return max(
            self.window_rate_millis(window, now_ms) for window in RATE_WINDOWS_MS
        )

    def window_rate_millis(self, window_ms: int, now_ms: int) -> float:
        """Return the rate over one window, damped if it has few arrivals."""
        work, count = 0.0, 0
        for at_ms, job_work in reversed(self.arrivals):
            if at_ms <= now_ms - window_ms:
                break
            work += min(job_work, MAX_JOB_FACTOR * self.mean_work)
            count += 1
        return work / window_ms * count / (count + HALF_WEIGHT_ARRIVALS)
