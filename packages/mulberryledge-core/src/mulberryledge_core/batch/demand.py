"""
mulberryledge_core.batch.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the jobs of a queue really take, and how much of it arrives.

Declared durations are rough, and zero for tasks that last. They are corrected by a
factor for each queue, learned from the runs that end, lagged and bounded.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = ["ArrivalRate", "Durations"]

LEARNED_SHARE = 0.05  # of the newest run in a factor; about 20 runs make it new
FACTOR_MIN, FACTOR_MAX = 0.2, 5.0  # bounds on what one run may teach
UNKNOWN_SPREAD = 0.7  # about a factor of two either way
DEFAULT_MS = 1_000  # for tasks that declare no duration, before any has ended
SURPRISE_MIN, SURPRISE_SPREADS = 2.5, 3.0  # three mean distances off are rare
RATE_WINDOWS_MS = (300, 600, 1_200)  # a turn of demand lasts some seconds
DOUBTED_ARRIVALS = 1.5  # a rate from so many arrivals counts half
LARGEST_JOB = 2.0  # times the mean job; one larger says no more of what will arrive
MEAN_JOBS = 20  # jobs after which the mean of a queue is new


@dataclass(slots=True)
class Durations:
    """
    Learned durations.

    Attributes
    ----------
    factors : dict of str to float
        By queue: real duration as a multiple of the declared one.
    means_ms : dict of str to float
        By queue: mean real duration.
    spreads : dict of str to float
        By queue: mean distance of real durations from expected ones, as a logarithm.
    """

    factors: dict[str, float] = field(default_factory=dict)
    means_ms: dict[str, float] = field(default_factory=dict)
    spreads: dict[str, float] = field(default_factory=dict)

    def learn(self, queue: str, declared_ms: int, real_ms: float) -> None:
        """Take a run that is done into account."""
        mean = self.means_ms.get(queue, real_ms)
        self.means_ms[queue] = mean + LEARNED_SHARE * (real_ms - mean)
        if declared_ms > 0:
            seen = min(FACTOR_MAX, max(FACTOR_MIN, real_ms / declared_ms))
            known = self.factors.get(queue, 1.0)
            off = abs(math.log(seen / known))
            spread = self.spreads.get(queue, UNKNOWN_SPREAD)
            self.spreads[queue] = spread + LEARNED_SHARE * (off - spread)
            self.factors[queue] = known + LEARNED_SHARE * (seen - known)

    def expected_ms(self, queue: str, step: StepSpec) -> float:
        """Return how long a task of a step runs, as far as is known."""
        if step.estimated_ms > 0:
            return step.estimated_ms * self.factors.get(queue, 1.0)
        return self.means_ms.get(queue, DEFAULT_MS)

    def surprising(self, queue: str) -> float:
        """Return the factor beyond which a duration is hardly chance."""
        spread = self.spreads.get(queue, UNKNOWN_SPREAD)
        return max(SURPRISE_MIN, math.exp(SURPRISE_SPREADS * spread))

    def work_of(self, queue: str, spec: JobSpec) -> float:
        """Return the work of one occurrence, in thousandths of a core x ms."""
        return sum(
            step.count * step.size.cpu_millis * self.expected_ms(queue, step)
            for step in spec.steps
            if not step.long_running
        )

    def chain_ms(self, queue: str, spec: JobSpec) -> float:
        """Return the longest chain of steps of a job, in milliseconds."""
        ends: list[float] = []
        for step in spec.steps:
            begin = max((ends[before] for before in step.after), default=0.0)
            ends.append(begin + self.expected_ms(queue, step))
        return max(ends)


@dataclass(slots=True)
class ArrivalRate:
    """
    Work that arrives, judged over several windows so that a turn shows at once.

    Large jobs come one by one. What such a job itself takes is known once it is there;
    as a sign of what follows it counts as a job of moderate size.

    Attributes
    ----------
    mean : float
        Work of a job of the queue, in the mean over some jobs.
    seen : int
        Jobs in that mean, up to ``MEAN_JOBS``.
    arrivals : deque of (int, float)
        Time, and work in thousandths of a core x ms, of each job in the longest
        window.
    """

    arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    mean: float = 0.0
    seen: int = 0

    def add(self, work: float, now_ms: int) -> None:
        """Take a job's work into account."""
        self.arrivals.append((now_ms, work))
        self.seen = min(MEAN_JOBS, self.seen + 1)
        self.mean += (work - self.mean) / self.seen

    def at(self, now_ms: int) -> float:
        """Return the thousandths of a core that would just keep up."""
        while self.arrivals and self.arrivals[0][0] <= now_ms - RATE_WINDOWS_MS[-1]:
            self.arrivals.popleft()
        return max(self.within(window, now_ms) for window in RATE_WINDOWS_MS)

    def within(self, window_ms: int, now_ms: int) -> float:
        """Return the rate over one window, less what few arrivals may pretend."""
        work, count = 0.0, 0
        for at_ms, one in reversed(self.arrivals):
            if at_ms <= now_ms - window_ms:
                break
            work += min(one, LARGEST_JOB * self.mean)
            count += 1
        return work / window_ms * count / (count + DOUBTED_ARRIVALS)
