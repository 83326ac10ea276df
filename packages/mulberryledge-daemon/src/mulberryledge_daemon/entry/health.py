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
        self.seen: dict[TargetKey, Health] = {}

    def usable(self, key: TargetKey, now_s: float) -> bool:
        """Return whether a call may be dispatched to the target now."""
        health = self.seen.get(key)
        return health is None or not is_ejected(health, now_s)

    def begin(self, key: TargetKey, now_s: float) -> None:
        """Record the dispatch of a call, a trial if the target's ejection has ended."""
        health = self.seen.get(key)
        if health is not None and health.until_s:
            self.seen[key] = start_trial(health, now_s)

    def end(
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
        health = self.seen.get(key, INITIAL_HEALTH)
        health = after_success(health, seconds) if good else after_failure(health)
        self.seen[key] = health
        if good and health.samples % OUTLIER_CHECK_INTERVAL_CALLS:
            return
        if is_ejected(health, now_s) and not health.on_trial:
            return
        peers = [
            self.seen[other]
            for other in serving_targets
            if other != key and other in self.seen
        ]
        if not is_outlier(health, peers):
            return
        other_targets = [other for other in serving_targets if other != key]
        if may_eject(len(serving_targets), self.ejected(other_targets, now_s)):
            self.seen[key] = eject(health, now_s)
        else:
            self.seen[key] = Health(ejections=health.ejections)

    def ejected(self, serving_targets: list[TargetKey], now_s: float) -> int:
        """Return the number of ejected targets."""
        return sum(not self.usable(key, now_s) for key in serving_targets)

    def retain(self, keys: set[TargetKey]) -> None:
        """Remove the health of all other targets."""
        self.seen = {key: self.seen[key] for key in keys & self.seen.keys()}
