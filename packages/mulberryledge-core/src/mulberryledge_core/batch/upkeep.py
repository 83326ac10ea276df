"""
mulberryledge_core.batch.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which hosts of a wave are emptied next, and when a host may go down.

The load it answers: a wave names half of the fleet, while the demand of each pool
comes in turns. Lasting tasks leave a host a few at a time, as their budgets allow, so
hosts with such tasks are emptied from the begin on, some of each pool, while idle ones
have their upkeep. No more are out at once than the wave's time asks for.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulberryledge_core.batch.records import WaveRecord

__all__ = ["HostLoad", "UpkeepTiming", "choose_hosts", "hosts_at_once"]


@dataclass(frozen=True, slots=True)
class UpkeepTiming:
    """
    Times in milliseconds, and shares.

    Attributes
    ----------
    cycle_ms : int
        From the decision to empty a host until it serves again, as a rule.
    time_share : float
        Share of a wave's time in which it is planned to end.
    pool_share : float
        Largest share of a pool that is emptied or away at once, if time allows.
    ahead_factor : int
        Hosts that may be out or being emptied, as a multiple of those that may be
        down; a host takes about two upkeeps to empty.
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
    lasting, running : int
        Lasting runs, and all runs on it.
    """

    host: str
    pool: str = ""
    lasting: int = 0
    running: int = 0


def hosts_at_once(wave: WaveRecord, now_ms: int, timing: UpkeepTiming) -> int:
    """Return how many hosts should be down or being emptied, to end in time."""
    left = sum(not host.over for host in wave.hosts.values())
    end_ms = wave.began_ms + wave.duration_ms * timing.time_share
    time_ms = max(1.0, end_ms - now_ms)
    needed = -(-left * timing.cycle_ms // int(time_ms)) if time_ms > 1 else left
    return max(1, min(timing.ahead_factor * wave.limit, needed))


def slowest_first(load: HostLoad) -> tuple[int, int, str]:
    """Rank hosts: those with lasting tasks, then those that are empty the soonest."""
    return (-load.lasting, load.running, load.host)


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
        Hosts that are being emptied or away, and all hosts, by pool.
    count : int
        How many more hosts may be out.
    """
    chosen = []
    emptied = emptied.copy()
    for load in sorted(waiting, key=slowest_first):
        if len(chosen) >= count:
            break
        most = max(1, int(sizes[load.pool] * timing.pool_share))
        if load.pool and emptied[load.pool] >= most:
            continue
        emptied[load.pool] += 1
        chosen.append(load.host)
    return chosen
