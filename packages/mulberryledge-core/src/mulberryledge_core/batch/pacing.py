"""
mulberryledge_core.batch.pacing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How fast fillers work beside tasks that serve users.

The load it answers: fillers use what others leave of a target, and slow down what
serves there by an amount that differs by image and changes within seconds. Their pace
falls by a factor as soon as a served tail latency nears its bound, and rises by steps
while there is room to it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["FULL_PERCENT", "PacePolicy", "next_pace", "worst_share"]

FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class PacePolicy:
    """
    Weights of the pace.

    Attributes
    ----------
    brake_share, stop_share : float
        Tail latency, as a share of its bound, from which on fillers slow down, and
        from which on they slow down sharply.
    ease_share : float
        Share below which they get faster.
    brake_factor, stop_factor : float
        What the pace is multiplied by.
    step_percent : int
        What is added to it.
    least_percent : int
        A pace below this is none.
    starved_ms : int
        After so long at no pace a filler is moved elsewhere.
    look_ms : int
        Time between two lists of a target with both; its figures are of half a second.
    """

    brake_share: float = 0.9
    stop_share: float = 1.0
    ease_share: float = 0.75
    brake_factor: float = 0.7
    stop_factor: float = 0.25
    step_percent: int = 15
    least_percent: int = 10
    starved_ms: int = 3_000
    look_ms: int = 500


POLICY = PacePolicy()


def worst_share(tails: Iterable[tuple[float, float]]) -> float:
    """Return the largest tail latency as a share of its bound, 0 for none."""
    return max((tail_ms / bound_ms for tail_ms, bound_ms in tails), default=0.0)


def next_pace(percent: int, share: float, policy: PacePolicy = POLICY) -> int:
    """
    Return the next pace of the fillers on one target.

    Parameters
    ----------
    percent : int
        The pace that the figures were measured at.
    share : float
        The worst tail latency there as a share of its bound.
    """
    if share >= policy.stop_share:
        percent = int(percent * policy.stop_factor)
    elif share >= policy.brake_share:
        percent = int(percent * policy.brake_factor)
    elif share < policy.ease_share:
        return min(FULL_PERCENT, percent + policy.step_percent)
    return percent if percent >= policy.least_percent else 0
