"""
mulberryledge_daemon.burn.recorder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts calls in time buckets that are downsampled with age, which bounds the memory.
"""

import struct
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from operator import add as plus

from mulberryledge_core.burn import S_PER_DAY, WINDOWS_S
from mulberryledge_core.model.burn import (
    BurnReport,
    CallOutcome,
    Counts,
    Interval,
    Series,
    ServiceObjective,
    WindowCounts,
)
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.burn.causes import classify_call
from mulberryledge_daemon.burn.store import StoredCounts, StoredSeries
from mulberryledge_daemon.observations import CallObservation

__all__ = ["OTHER_TEAMS", "BurnRecorder"]

MS_PER_S = 1_000
MINUTE_MS = 60_000
HOUR_MS = 3_600_000
DAY_MS = 86_400_000
MAX_SERIES = 300
OTHER_TEAMS = "(others)"
OUTCOMES = tuple(CallOutcome)


@dataclass(frozen=True, slots=True)
class Tier:
    """Length of buckets and the age up to which they are retained."""

    length_ms: int
    max_age_ms: int


TIERS = (
    Tier(MINUTE_MS, HOUR_MS),
    Tier(10 * MINUTE_MS, 6 * HOUR_MS),
    Tier(HOUR_MS, 3 * DAY_MS),
    Tier(DAY_MS, 90 * DAY_MS),
)


class BurnRecorder:
    """
    Counts of the calls of one daemon.

    Attributes
    ----------
    series : dict
        By service and team: counts by outcome for each bucket, which is identified
        by its length and start in milliseconds.
    has_unsaved_counts : bool
        Whether counts changed since the last call of :meth:`to_stored`.
    """

    def __init__(self, daemon: str, state: ClusterState, since_ms: int):
        self.daemon = daemon
        self.state = state
        self.since_ms = since_ms
        self.series: dict[tuple[str, str], dict[tuple[int, int], list[int]]] = {}
        self.has_unsaved_counts = False

    def observe(self, call: CallObservation, now_ms: int) -> None:
        """Record one finished call."""
        outcome = classify_call(self.state, call)
        if outcome is None:
            return
        start_ms = now_ms - now_ms % MINUTE_MS
        counts = self.counts_at(call.service, call.team, MINUTE_MS, start_ms)
        counts[OUTCOMES.index(outcome)] += 1
        self.has_unsaved_counts = True

    def counts_at(
        self, service: str, team: str, length_ms: int, start_ms: int
    ) -> list[int]:
        """Return the mutable counts of a bucket, creating it if needed."""
        key = (service, team)
        if key not in self.series and len(self.series) >= MAX_SERIES:
            key = (service, OTHER_TEAMS)
        buckets = self.series.setdefault(key, {})
        return buckets.setdefault((length_ms, start_ms), [0] * len(OUTCOMES))

    def downsample(self, now_ms: int) -> None:
        """Merge old buckets into longer ones and discard the oldest."""
        for tier, coarser in zip(TIERS, (*TIERS[1:], None), strict=True):
            for buckets in self.series.values():
                downsample_tier(buckets, tier, coarser, now_ms)
        for key in [key for key, buckets in self.series.items() if not buckets]:
            del self.series[key]

    def to_stored(self) -> StoredCounts:
        """Return all counts in the form that is stored."""
        self.has_unsaved_counts = False
        series = tuple(
            StoredSeries(service, team, pack(buckets))
            for (service, team), buckets in self.series.items()
        )
        return StoredCounts(self.since_ms, OUTCOMES, series)

    def restore(self, stored: StoredCounts) -> None:
        """Add the counts of earlier sessions of this daemon."""
        self.since_ms = min(self.since_ms, stored.since_ms)
        for one in stored.series:
            for length_ms, start_ms, *values in unpack(one.values, stored.causes):
                counts = self.counts_at(one.service, one.team, length_ms, start_ms)
                for outcome, value in zip(stored.causes, values, strict=True):
                    if outcome in OUTCOMES:  # a newer release may store others
                        counts[OUTCOMES.index(outcome)] += value

    def report(self, now_ms: int) -> BurnReport:
        """Return the counts by service and team over each window."""
        self.downsample(now_ms)
        objectives = {one.service: one for one in self.objectives()}
        return BurnReport(
            daemon=self.daemon,
            since_ms=self.since_ms,
            now_ms=now_ms,
            objectives=tuple(objectives.values()),
            series=tuple(
                Series(service, team, window_counts(buckets, objective, now_ms))
                for (service, team), buckets in sorted(self.series.items())
                if (objective := objectives.get(service)) is not None
            ),
            history=self.history(),
        )

    def objectives(self) -> Iterable[ServiceObjective]:
        """Yield the objective of every service."""
        for service in self.state.services.values():
            document = service.document
            yield ServiceObjective(
                service.name,
                document.service.team,
                document.objective.success_share,
                document.objective.window_days,
            )

    def history(self) -> tuple[Interval, ...]:
        """Return the hourly counts of each service over the last three days."""
        sums: dict[tuple[str, int], list[int]] = defaultdict(
            lambda: [0] * len(OUTCOMES)
        )
        for (service, _), buckets in self.series.items():
            for (length_ms, start_ms), counts in buckets.items():
                if length_ms <= HOUR_MS:
                    hour_key = (service, start_ms - start_ms % HOUR_MS)
                    add(sums[hour_key], counts)
        return tuple(
            Interval(service, start_ms, HOUR_MS, Counts(*counts))
            for (service, start_ms), counts in sorted(sums.items())
        )


def pack(buckets: dict[tuple[int, int], list[int]]) -> bytes:
    """Encode the buckets of one series."""
    values = [value for key, counts in buckets.items() for value in chain(key, counts)]
    return struct.pack(f">{len(values)}q", *values)


def unpack(values: bytes, causes: tuple[str, ...]) -> Iterator[tuple[int, ...]]:
    """Yield length, start and counts of each bucket encoded by :func:`pack`."""
    return struct.iter_unpack(f">{len(causes) + 2}q", values)


def downsample_tier(
    buckets: dict[tuple[int, int], list[int]],
    tier: Tier,
    coarser: Tier | None,
    now_ms: int,
) -> None:
    """Merge buckets that are too old for their tier into the next tier."""
    before_ms = now_ms - tier.max_age_ms
    expired = [
        key
        for key in buckets
        if key[0] == tier.length_ms and key[1] + tier.length_ms <= before_ms
    ]
    for key in expired:
        counts = buckets.pop(key)
        if coarser is not None:
            start_ms = key[1] - key[1] % coarser.length_ms
            merged_key = (coarser.length_ms, start_ms)
            add(buckets.setdefault(merged_key, [0] * len(OUTCOMES)), counts)


def window_counts(
    buckets: dict[tuple[int, int], list[int]],
    objective: ServiceObjective,
    now_ms: int,
) -> tuple[WindowCounts, ...]:
    """Return the counts over each window; a bucket counts where it ends."""
    windows_s = sorted({*WINDOWS_S, objective.window_days * S_PER_DAY})
    ages_ms = [window_s * MS_PER_S for window_s in windows_s]
    interval_counts = [[0] * len(OUTCOMES) for _ in (*windows_s, None)]
    for (length_ms, start_ms), counts in buckets.items():
        age_ms = now_ms - start_ms - length_ms
        add(interval_counts[bisect_right(ages_ms, age_ms)], counts)
    cumulative = []
    total = [0] * len(OUTCOMES)
    for window_s, part in zip(windows_s, interval_counts, strict=False):
        add(total, part)
        cumulative.append(WindowCounts(window_s, Counts(*total)))
    return tuple(cumulative)


def add(total: list[int], counts: list[int]) -> None:
    """Add counts to a total in place."""
    total[:] = map(plus, total, counts)
