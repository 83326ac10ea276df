"""
mulberryledge_core.decisions.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Targets that fail or crawl are ejected from routing for a while, never more than
half of a pool, and let back by one trial call.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from statistics import median

__all__ = [
    "Health",
    "after_failure",
    "after_success",
    "begin_trial",
    "eject",
    "ejectable",
    "is_ejected",
    "is_outlier",
]

FAILURES_TO_EJECT = 3
EJECTION_S = 1.0
EJECTION_MAX_S = 30.0
LATENCY_WEIGHT = 0.2
CRAWL_FACTOR = 5.0
CRAWL_LEAST_S = 0.05
CRAWL_SAMPLES = 10


@dataclass(frozen=True, slots=True)
class Health:
    """
    What one entry has seen of one target.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    latency_s : float
        Moving average of the time to a whole answer, in seconds.
    samples : int
        Answers since the last ejection.
    ejections : int
        Ejections since the target was last found good.
    until_s : float
        End of the ejection in seconds of the entry's clock, zero if none.
    on_trial : bool
        Whether a trial call is out.
    """

    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejections: int = 0
    until_s: float = 0.0
    on_trial: bool = False


def after_success(health: Health, seconds: float) -> Health:
    """Return the health after a whole answer; a trial that passed lets it back."""
    if health.samples:
        latency_s = health.latency_s + LATENCY_WEIGHT * (seconds - health.latency_s)
    else:
        latency_s = seconds
    ejections = max(0, health.ejections - 1) if health.on_trial else health.ejections
    return Health(latency_s=latency_s, samples=health.samples + 1, ejections=ejections)


def after_failure(health: Health) -> Health:
    """Return the health after a call without a whole answer."""
    return replace(health, failures=health.failures + 1)


def is_outlier(health: Health, peers: Collection[Health]) -> bool:
    """Return whether the target fails, or crawls compared with its peers."""
    if health.on_trial and health.failures:
        return True
    if health.failures >= FAILURES_TO_EJECT:
        return True
    measured = [peer.latency_s for peer in peers if peer.samples]
    if health.samples < CRAWL_SAMPLES or not measured:
        return False
    bound = max(CRAWL_LEAST_S, CRAWL_FACTOR * median(measured))
    return health.latency_s > bound


def ejectable(pool: int, ejected: int) -> bool:
    """Return whether one more target of a pool may be ejected: at most half."""
    return ejected + 1 <= pool // 2


def eject(health: Health, now_s: float) -> Health:
    """Return the health at the start of an ejection; each one is longer."""
    length_s = min(EJECTION_MAX_S, EJECTION_S * 2.0**health.ejections)
    return Health(ejections=health.ejections + 1, until_s=now_s + length_s)


def is_ejected(health: Health, now_s: float) -> bool:
    """Return whether the target gets no call now."""
    return health.on_trial or now_s < health.until_s


def begin_trial(health: Health, now_s: float) -> Health:
    """Return the health when a call goes out; the first after an ejection tries."""
    if health.until_s and now_s >= health.until_s:
        return replace(health, on_trial=True)
    return health
