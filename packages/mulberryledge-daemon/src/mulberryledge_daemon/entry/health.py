"""
mulberryledge_daemon.entry.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What this entry has seen of each target, and which of them it ejects.
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

GOOD = Health()
OUTLIER_CHECK_CALLS = 8


class TargetHealth:
    """Owns the health of the targets that calls went to."""

    def __init__(self):
        self.seen: dict[TargetKey, Health] = {}

    def usable(self, key: TargetKey, now_s: float) -> bool:
        """Return whether the target may get a call now."""
        health = self.seen.get(key)
        return health is None or not is_ejected(health, now_s)

    def begin(self, key: TargetKey, now_s: float) -> None:
        """Take note of a call that goes out."""
        health = self.seen.get(key)
        if health is not None and health.until_s:
            self.seen[key] = start_trial(health, now_s)

    def end(
        self,
        key: TargetKey,
        good: bool,
        seconds: float,
        now_s: float,
        pool: list[TargetKey],
    ) -> None:
        """
        Take note of how a call went, and eject the target if it is an outlier.

        Parameters
        ----------
        pool : list of TargetKey
            The serving targets of the service.
        """
        health = self.seen.get(key, GOOD)
        health = after_success(health, seconds) if good else after_failure(health)
        self.seen[key] = health
        if good and health.samples % OUTLIER_CHECK_CALLS:
            return
        if is_ejected(health, now_s) and not health.on_trial:
            return
        peers = [self.seen[one] for one in pool if one != key and one in self.seen]
        if not is_outlier(health, peers):
            return
        others = [one for one in pool if one != key]
        if may_eject(len(pool), self.ejected(others, now_s)):
            self.seen[key] = eject(health, now_s)
        else:
            self.seen[key] = Health(ejections=health.ejections)

    def ejected(self, pool: list[TargetKey], now_s: float) -> int:
        """Return how many targets of a pool are ejected."""
        return sum(not self.usable(key, now_s) for key in pool)

    def keep(self, keys: set[TargetKey]) -> None:
        """Forget targets that are gone."""
        self.seen = {key: self.seen[key] for key in keys & self.seen.keys()}
