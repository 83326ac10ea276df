"""
mulberryledge_daemon.burn.recorder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts calls in buckets that grow coarser with age, so that memory is bounded.
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
from mulberryledge_daemon.burn.causes import cause_of
from mulberryledge_daemon.burn.store import StoredCounts, StoredSeries
from mulberryledge_daemon.observations import CallObservation

__all__ = ["OTHER_TEAMS", "BurnRecorder"]

MS_PER_S = 1_000
MINUTE_MS = 60_000
HOUR_MS = 3_600_000
DAY_MS = 86_400_000
MAX_SERIES = 300
OTHER_TEAMS = "(others)"
CAUSES = tuple(CallOutcome)


@dataclass(frozen=True, slots=True)
class Tier:
    """Buckets of one length and the age up to which they are kept."""

    length_ms: int
    keep_ms: int


TIERS = (
    Tier(MINUTE_MS, HOUR_MS),
    Tier(10 * MINUTE_MS, 6 * HOUR_MS),
    Tier(HOUR_MS, 3 * DAY_MS),
    Tier(DAY_MS, 90 * DAY_MS),
)


class BurnRecorder:
    """
    Owns the counts of one daemon.

    Attributes
    ----------
    series : dict
        For each pair of service and team, counts by cause for each pair of length
        and start of a bucket, in milliseconds.
    changed : bool
        Whether there are counts that :meth:`stored` has not handed out yet.
    """

    def __init__(self, daemon: str, state: ClusterState, since_ms: int):
        self.daemon = daemon
        self.state = state
        self.since_ms = since_ms
        self.series: dict[tuple[str, str], dict[tuple[int, int], list[int]]] = {}
        self.changed = False

    def observe(self, seen: CallObservation, now_ms: int) -> None:
        """Count one finished call."""
        cause = cause_of(self.state, seen)
        if cause is None:
            return
        start_ms = now_ms - now_ms % MINUTE_MS
        counts = self.counts_at(seen.service, seen.team, MINUTE_MS, start_ms)
        counts[CAUSES.index(cause)] += 1
        self.changed = True

    def counts_at(
        self, service: str, team: str, length_ms: int, start_ms: int
    ) -> list[int]:
        """Return the changeable counts of a bucket."""
        key = (service, team)
        if key not in self.series and len(self.series) >= MAX_SERIES:
            key = (service, OTHER_TEAMS)
        buckets = self.series.setdefault(key, {})
        return buckets.setdefault((length_ms, start_ms), [0] * len(CAUSES))

    def fold(self, now_ms: int) -> None:
        """Add old buckets to coarser ones, and drop the oldest."""
        for tier, coarser in zip(TIERS, (*TIERS[1:], None), strict=True):
            for buckets in self.series.values():
                fold_tier(buckets, tier, coarser, now_ms)
        for key in [key for key, buckets in self.series.items() if not buckets]:
            del self.series[key]

    def stored(self) -> StoredCounts:
        """Return all counts for the file."""
        self.changed = False
        series = tuple(
            StoredSeries(service, team, pack(buckets))
            for (service, team), buckets in self.series.items()
        )
        return StoredCounts(self.since_ms, CAUSES, series)

    def restore(self, stored: StoredCounts) -> None:
        """Add the counts of an earlier life of this daemon."""
        self.since_ms = min(self.since_ms, stored.since_ms)
        for one in stored.series:
            for length_ms, start_ms, *values in unpack(one.values, stored.causes):
                counts = self.counts_at(one.service, one.team, length_ms, start_ms)
                for cause, value in zip(stored.causes, values, strict=True):
                    if cause in CAUSES:  # a newer release may know more
                        counts[CAUSES.index(cause)] += value

    def report(self, now_ms: int) -> BurnReport:
        """Return the counts over every window."""
        self.fold(now_ms)
        objectives = {one.service: one for one in self.objectives()}
        return BurnReport(
            daemon=self.daemon,
            since_ms=self.since_ms,
            now_ms=now_ms,
            objectives=tuple(objectives.values()),
            series=tuple(
                Series(service, team, windows_of(buckets, objective, now_ms))
                for (service, team), buckets in sorted(self.series.items())
                if (objective := objectives.get(service)) is not None
            ),
            history=self.history(),
        )

    def objectives(self) -> Iterable[ServiceObjective]:
        """Yield the objective of every service that takes calls."""
        for service in self.state.services.values():
            document = service.document
            yield ServiceObjective(
                service.name,
                document.service.team,
                document.objective.success_share,
                document.objective.window_days,
            )

    def history(self) -> tuple[Interval, ...]:
        """Return the counts of the last days by service and hour."""
        sums: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0] * len(CAUSES))
        for (service, _), buckets in self.series.items():
            for (length_ms, start_ms), counts in buckets.items():
                if length_ms <= HOUR_MS:
                    hour = (service, start_ms - start_ms % HOUR_MS)
                    add(sums[hour], counts)
        return tuple(
            Interval(service, start_ms, HOUR_MS, Counts(*counts))
            for (service, start_ms), counts in sorted(sums.items())
        )


def pack(buckets: dict[tuple[int, int], list[int]]) -> bytes:
    """Return the buckets of one series for the file."""
    values = [value for key, counts in buckets.items() for value in chain(key, counts)]
    return struct.pack(f">{len(values)}q", *values)


def unpack(values: bytes, causes: tuple[str, ...]) -> Iterator[tuple[int, ...]]:
    """Yield length, start and counts of each bucket that :func:`pack` wrote."""
    return struct.iter_unpack(f">{len(causes) + 2}q", values)


def fold_tier(
    buckets: dict[tuple[int, int], list[int]],
    tier: Tier,
    coarser: Tier | None,
    now_ms: int,
) -> None:
    """Move the buckets of a tier that are too old for it to the next tier."""
    before_ms = now_ms - tier.keep_ms
    old = [
        key
        for key in buckets
        if key[0] == tier.length_ms and key[1] + tier.length_ms <= before_ms
    ]
    for key in old:
        counts = buckets.pop(key)
        if coarser is not None:
            start_ms = key[1] - key[1] % coarser.length_ms
            place = (coarser.length_ms, start_ms)
            add(buckets.setdefault(place, [0] * len(CAUSES)), counts)


def windows_of(
    buckets: dict[tuple[int, int], list[int]],
    objective: ServiceObjective,
    now_ms: int,
) -> tuple[WindowCounts, ...]:
    """Return the counts over each window; a bucket counts if it ends inside."""
    windows_s = sorted({*WINDOWS_S, objective.window_days * S_PER_DAY})
    ages_ms = [window_s * MS_PER_S for window_s in windows_s]
    parts = [[0] * len(CAUSES) for _ in (*windows_s, None)]
    for (length_ms, start_ms), counts in buckets.items():
        age_ms = now_ms - start_ms - length_ms
        add(parts[bisect_right(ages_ms, age_ms)], counts)
    found = []
    total = [0] * len(CAUSES)
    for window_s, part in zip(windows_s, parts, strict=False):
        add(total, part)
        found.append(WindowCounts(window_s, Counts(*total)))
    return tuple(found)


def add(total: list[int], counts: list[int]) -> None:
    """Add counts to a total in place."""
    total[:] = map(plus, total, counts)
