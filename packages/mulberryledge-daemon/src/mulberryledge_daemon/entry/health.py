"""
mulberryledge_daemon.entry.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passive health checks of targets, with ejection of outliers.
"""

from mulberryledge_core.decisions.ejection import (
    Health,
    after_failure,
    after_success,
    eject,
    is_ejected,
    is_outlier,
    may_eject,
    start_trial,
)

__all__ = ["TargetHealth", "TargetKey"]

TargetKey = tuple[str, int]

INITIAL_HEALTH = Health()
OUTLIER_CHECK_INTERVAL_CALLS = 8


class TargetHealth:
    """Health of the targets as observed from the calls of this entry."""

    def __init__(self):
        self.health_by_target: dict[TargetKey, Health] = {}

    def is_usable(self, key: TargetKey, now_s: float) -> bool:
        """Return whether a call may be dispatched to the target now."""
        health = self.health_by_target.get(key)
        return health is None or not is_ejected(health, now_s)

    def record_dispatch(self, key: TargetKey, now_s: float) -> None:
        """Record the dispatch of a call, a trial if the target's ejection has ended."""
        health = self.health_by_target.get(key)
        if health is not None and health.until_s:
            self.health_by_target[key] = start_trial(health, now_s)

    def record_outcome(
        self,
        key: TargetKey,
        good: bool,
        seconds: float,
        now_s: float,
        serving_targets: list[TargetKey],
    ) -> None:
        """
        Record the outcome of a call, and eject the target if it is an outlier.

        Parameters
        ----------
        serving_targets : list of TargetKey
            All serving targets of the service.
        """
        health = self.health_by_target.get(key, INITIAL_HEALTH)
        health = after_success(health, seconds) if good else after_failure(health)
        self.health_by_target[key] = health
        if good and health.samples % OUTLIER_CHECK_INTERVAL_CALLS:
            return
        if is_ejected(health, now_s) and not health.on_trial:
            return
        peers = [
            self.health_by_target[other]
            for other in serving_targets
            if other != key and other in self.health_by_target
        ]
        if not is_outlier(health, peers):
            return
        other_targets = [other for other in serving_targets if other != key]
        if may_eject(len(serving_targets), self.count_ejected(other_targets, now_s)):
            self.health_by_target[key] = eject(health, now_s)
        else:
            self.health_by_target[key] = Health(ejections=health.ejections)

    def count_ejected(self, serving_targets: list[TargetKey], now_s: float) -> int:
        """Return the number of ejected targets."""
        return sum(not self.is_usable(key, now_s) for key in serving_targets)

    def retain(self, keys: set[TargetKey]) -> None:
        """Remove the health of all other targets."""
        self.health_by_target = {
            key: self.health_by_target[key]
            for key in keys & self.health_by_target.keys()
        }
