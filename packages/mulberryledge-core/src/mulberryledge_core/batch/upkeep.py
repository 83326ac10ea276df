"""
mulberryledge_core.batch.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the hosts of a wave to empty next, and how many may be out at once.

A wave can cover half of the fleet while the demand on each pool arrives in bursts.
Long-running tasks leave a host only a few at a time, as their budgets allow. Hosts
with such tasks are therefore emptied from the start of a wave, some of each pool, in
parallel with the upkeep of idle hosts. No more hosts are out at once than the duration
of the wave requires.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulberryledge_core.batch.records import WaveRecord

__all__ = ["HostLoad", "UpkeepTiming", "choose_hosts", "hosts_at_once"]


@dataclass(frozen=True, slots=True)
class UpkeepTiming:
    """
    Durations in milliseconds, and shares.

    Attributes
    ----------
    cycle_ms : int
        Typical time from the decision to empty a host until it serves again.
    time_share : float
        Share of a wave's duration within which it is planned to end.
    pool_share : float
        Maximum share of a pool that is being emptied or down at once, if time allows;
        at least one host.
    ahead_factor : int
        Limit on the hosts that are down or being emptied, as a multiple of those that
        may be down; emptying a host takes about as long as two upkeeps.
    """

    cycle_ms: int = 6_000
    time_share: float = 0.7
    pool_share: float = 0.25
    ahead_factor: int = 3


@dataclass(frozen=True, slots=True)
class HostLoad:
    """
    A host that waits for its upkeep.

    Attributes
    ----------
    pool : str
        Its pool, empty if no target is known on it.
    long_running, running : int
        Number of long-running runs, and of all runs on it.
    """

    host: str
    pool: str = ""
    long_running: int = 0
    running: int = 0


def hosts_at_once(wave: WaveRecord, now_ms: int, timing: UpkeepTiming) -> int:
    """Return how many hosts should be down or being emptied to end in time."""
    remaining = sum(not host.finished for host in wave.hosts.values())
    end_ms = wave.started_ms + wave.duration_ms * timing.time_share
    remaining_ms = max(1.0, end_ms - now_ms)
    needed = (
        -(-remaining * timing.cycle_ms // int(remaining_ms))
        if remaining_ms > 1
        else remaining
    )
    return max(1, min(timing.ahead_factor * wave.limit, needed))


def emptying_rank(load: HostLoad) -> tuple[int, int, str]:
    """Rank hosts: most long-running tasks first, then fewest runs."""
    return (-load.long_running, load.running, load.host)


def choose_hosts(
    waiting: Iterable[HostLoad],
    emptied: Counter[str],
    sizes: Counter[str],
    count: int,
    timing: UpkeepTiming,
) -> Sequence[str]:
    """
    Return the hosts to empty next.

    Parameters
    ----------
    emptied, sizes : Counter of str
        Hosts that are being emptied or down, and all hosts, by pool.
    count : int
        How many more hosts may be out.
    """
    chosen = []
    emptied = emptied.copy()
    for load in sorted(waiting, key=emptying_rank):
        if len(chosen) >= count:
            break
        max_emptied = max(1, int(sizes[load.pool] * timing.pool_share))
        if load.pool and emptied[load.pool] >= max_emptied:
            continue
        emptied[load.pool] += 1
        chosen.append(load.host)
    return chosen
