"""
mulberryledge_core.batch.throttling
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Controls the speed of fillers beside tasks that serve users.

Fillers slow down the tasks beside them by an amount that depends on the image and
changes within seconds. Their speed is reduced by a factor as soon as a tail latency
nears its bound, and raised in steps while it is well below.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "FULL_SPEED_PERCENT",
    "ThrottlePolicy",
    "max_latency_share",
    "next_speed_percent",
]

FULL_SPEED_PERCENT = 100


@dataclass(frozen=True, slots=True)
class ThrottlePolicy:
    """
    Parameters of the throttle.

    Attributes
    ----------
    reduce_share, cut_share : float
        Tail latencies, as shares of the bound, from which the speed is reduced and
        sharply cut.
    raise_share : float
        Share of the bound below which the speed is raised.
    reduce_factor, cut_factor : float
        Factors applied to the speed.
    raise_percent : int
        Percentage points added to the speed.
    min_percent : int
        Speeds below this are set to 0.
    max_stopped_ms : int
        Time at speed 0 after which a filler is moved to another target.
    poll_interval_ms : int
        Interval between reports of a target with fillers and served tasks; their
        latencies cover half a second.
    """

    reduce_share: float = 0.9
    cut_share: float = 1.0
    raise_share: float = 0.75
    reduce_factor: float = 0.7
    cut_factor: float = 0.25
    raise_percent: int = 15
    min_percent: int = 10
    max_stopped_ms: int = 3_000
    poll_interval_ms: int = 500


POLICY = ThrottlePolicy()


def max_latency_share(tails: Iterable[tuple[float, float]]) -> float:
    """Return the largest tail latency as a share of its bound, 0 if there is none."""
    return max((tail_ms / bound_ms for tail_ms, bound_ms in tails), default=0.0)


def next_speed_percent(
    percent: int, share: float, policy: ThrottlePolicy = POLICY
) -> int:
    """
    Return the next speed of the fillers on one target, in percent.

    Parameters
    ----------
    percent : int
        Speed at which the latencies were measured.
    share : float
        The largest tail latency there as a share of its bound.
    """
    if share >= policy.cut_share:
        percent = int(percent * policy.cut_factor)
    elif share >= policy.reduce_share:
        percent = int(percent * policy.reduce_factor)
    elif share < policy.raise_share:
        return min(FULL_SPEED_PERCENT, percent + policy.raise_percent)
    return percent if percent >= policy.min_percent else 0
