"""
mulberryledge_core.decisions.calendar
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maintenance calendar: which hosts are due, and which waves to start.

Each pool gets one turn every :data:`ROTATION_DAYS`, at an offset of its own, and every
host must be maintained within :data:`CYCLE_DAYS`.
"""

from collections.abc import Iterable

from mulberryledge_core.commands.maintenance import StartWave
from mulberryledge_core.decisions.quiet_windows import in_quiet_window
from mulberryledge_core.model.hosts import Host, HostPhase, Pool
from mulberryledge_core.model.maintenance import Wave, WavePhase
from mulberryledge_core.state.absences import DAY_MS
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "CYCLE_DAYS",
    "ROTATION_DAYS",
    "due_hosts",
    "due_waves",
    "overdue_hosts",
    "pool_offset_days",
    "turn_start_day",
]

CYCLE_DAYS = 56
ROTATION_DAYS = 49  # leaves 7 days to maintain hosts that missed their pool's turn
ACTIVE_PHASES = (WavePhase.RUNNING, WavePhase.PAUSED, WavePhase.STOPPED)


def pool_offset_days(pool: Pool, pools: Iterable[str]) -> int:
    """Return the day on which a pool's turn starts, from 0 to ``ROTATION_DAYS - 1``."""
    names = sorted(pools)
    return names.index(pool.name) * ROTATION_DAYS // max(1, len(names))


def due_hosts(state: ClusterState, pool: Pool, now_ms: int) -> tuple[Host, ...]:
    """
    Return the hosts of a pool to maintain now, least recently maintained first.

    A host becomes due when a turn of its pool starts after its last maintenance,
    and stays due until it is maintained.
    """
    turn_day = turn_start_day(pool, state.pools, now_ms)
    due = [
        host
        for host in state.indexes.hosts_by_pool.rows(pool.name)
        if host.maintained_ms // DAY_MS < turn_day
        and host.phase == HostPhase.SERVING
        and not host.upkeep.hold
    ]
    return tuple(sorted(due, key=lambda host: (host.maintained_ms, host.name)))


def turn_start_day(pool: Pool, pools: Iterable[str], now_ms: int) -> int:
    """Return the start of the pool's current turn in days since the epoch."""
    today = now_ms // DAY_MS
    offset = pool_offset_days(pool, pools)
    return today - (today - offset) % ROTATION_DAYS


def due_waves(state: ClusterState, now_ms: int) -> tuple[StartWave, ...]:
    """Return a wave for each pool in its quiet window with due hosts and no wave."""
    pools_with_wave = {wave.pool for wave in state.waves.values() if is_active(wave)}
    commands = []
    for pool in state.pools.values():
        if pool.name in pools_with_wave or not in_quiet_window(pool, now_ms):
            continue
        due = due_hosts(state, pool, now_ms)
        if due:
            name = f"{pool.name}-{now_ms // DAY_MS}"[-64:]
            hosts = tuple(host.name for host in due)
            if name not in state.waves:
                commands.append(StartWave(name, pool.name, hosts))
    return tuple(commands)


def is_active(wave: Wave) -> bool:
    """Return whether a wave may still take hosts out of service."""
    return wave.phase in ACTIVE_PHASES


def overdue_hosts(state: ClusterState, now_ms: int) -> tuple[Host, ...]:
    """Return the hosts not maintained within the last :data:`CYCLE_DAYS`."""
    cutoff_ms = now_ms - CYCLE_DAYS * DAY_MS
    return tuple(
        host for host in state.hosts.values() if host.maintained_ms < cutoff_ms
    )
