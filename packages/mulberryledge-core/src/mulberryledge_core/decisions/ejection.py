"""
mulberryledge_core.decisions.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outlier ejection: targets that fail or are slow leave routing temporarily.

At most half of a pool is ejected at once. After the ejection a single trial call
decides whether the target is used again.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from statistics import median

__all__ = [
    "Health",
    "after_failure",
    "after_success",
    "eject",
    "is_ejected",
    "is_outlier",
    "may_eject",
    "start_trial",
]

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LATENCY_SMOOTHING = 0.2
SLOW_LATENCY_FACTOR = 5.0
MIN_SLOW_LATENCY_S = 0.05
MIN_LATENCY_SAMPLES = 10


@dataclass(frozen=True, slots=True)
class Health:
    """
    Health of one target as observed by one entry.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    latency_s : float
        Moving average of the time to a complete answer, in seconds.
    samples : int
        Answers since the last ejection.
    ejections : int
        Ejections, less one for each trial call that succeeded; sets the length of
        the next ejection.
    until_s : float
        End of the ejection in seconds of the entry's clock, zero if none.
    on_trial : bool
        Whether a trial call is in progress.
    """

    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejections: int = 0
    until_s: float = 0.0
    on_trial: bool = False


def after_success(health: Health, seconds: float) -> Health:
    """Return the health after a complete answer, which also ends a trial."""
    if health.samples:
        latency_s = health.latency_s + LATENCY_SMOOTHING * (seconds - health.latency_s)
    else:
        latency_s = seconds
    ejections = max(0, health.ejections - 1) if health.on_trial else health.ejections
    return Health(latency_s=latency_s, samples=health.samples + 1, ejections=ejections)


def after_failure(health: Health) -> Health:
    """Return the health after a call without a complete answer."""
    return replace(health, failures=health.failures + 1)


def is_outlier(health: Health, peers: Collection[Health]) -> bool:
    """Return whether the target fails, or is slow compared with its peers."""
    if health.on_trial and health.failures:
        return True
    if health.failures >= FAILURES_TO_EJECT:
        return True
    peer_latencies_s = [peer.latency_s for peer in peers if peer.samples]
    if health.samples < MIN_LATENCY_SAMPLES or not peer_latencies_s:
        return False
    threshold_s = max(
        MIN_SLOW_LATENCY_S, SLOW_LATENCY_FACTOR * median(peer_latencies_s)
    )
    return health.latency_s > threshold_s


def may_eject(pool_size: int, ejected_count: int) -> bool:
    """Return whether ejecting one more target leaves at least half of the pool."""
    return ejected_count + 1 <= pool_size // 2


def eject(health: Health, now_s: float) -> Health:
    """Return the health at the start of an ejection; each doubles in length."""
    length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**health.ejections)
    return Health(ejections=health.ejections + 1, until_s=now_s + length_s)


def is_ejected(health: Health, now_s: float) -> bool:
    """Return whether the target must not be called now."""
    return health.on_trial or now_s < health.until_s


def start_trial(health: Health, now_s: float) -> Health:
    """Return the health when a call starts; the first after an ejection is a trial."""
    if health.until_s and now_s >= health.until_s:
        return replace(health, on_trial=True)
    return health
