"""
mulberryledge_core.decisions.waves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selection of a wave's next hosts, its plan and the theoretical minimum of rounds.

A round is a set of hosts that may be out of service together.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from mulberryledge_core.decisions.quiet_windows import (
    quiet_remaining_ms,
    until_quiet_ms,
)
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import OPEN_STEPS, Wave, WavePhase
from mulberryledge_core.state.appliers.maintenance import max_wave_hosts_out
from mulberryledge_core.state.budgets import (
    EXPECTED_OUTAGE_MS,
    BudgetViolation,
    OutageCounts,
)
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "BlockedHost",
    "HostChoice",
    "MinRounds",
    "WavePlan",
    "WaveStatus",
    "choose_hosts",
    "hosts_without_permit",
    "is_finished",
    "min_rounds",
    "plan_wave",
    "wave_progress",
]

MAX_WAVE_MS = 7 * 86_400_000


@dataclass(frozen=True, slots=True)
class BlockedHost:
    """A host that can't be taken out now, and the budget or hold that forbids it."""

    host: str
    cause: str


@dataclass(frozen=True, slots=True)
class HostChoice:
    """
    Hosts of a wave to take out next.

    Attributes
    ----------
    hosts : tuple of str
        Hosts to request permits for, in order.
    blocked : tuple of BlockedHost
        Hosts that would be next, were it not for a budget or a hold.
    """

    hosts: tuple[str, ...] = ()
    blocked: tuple[BlockedHost, ...] = ()


@dataclass(frozen=True, slots=True)
class MinRounds:
    """
    Minimum number of rounds that the budgets allow.

    Attributes
    ----------
    rounds : int
        Rounds needed for all hosts if the wave started without a canary.
    cause : str
        Budget that requires so many.
    """

    rounds: int
    cause: str


@dataclass(frozen=True, slots=True)
class WavePlan:
    """
    Planned rounds of a wave, assuming that the state does not change otherwise.

    Attributes
    ----------
    rounds : tuple of tuple of str
        Hosts by round.
    min_rounds : MinRounds
        Theoretical minimum.
    unplannable : tuple of BlockedHost
        Hosts that fit no round in the current state.
    start_ms, end_ms : int
        Expected log times of start and end.
    cause : str
        Why there are more rounds than the minimum, empty if there are not.
    """

    rounds: tuple[tuple[str, ...], ...]
    min_rounds: MinRounds
    unplannable: tuple[BlockedHost, ...]
    start_ms: int
    end_ms: int
    cause: str


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """
    Progress of a wave.

    Attributes
    ----------
    steps : Counter of str
        Number of hosts by step. Hosts without a permit count as ``waiting``, or as
        ``gone`` if they were removed or left the pool.
    end_ms : int or None
        Expected log time of the end, None while the wave does not run.
    """

    wave: str
    phase: WavePhase
    reason: str
    steps: Counter[str]
    end_ms: int | None


def hosts_without_permit(state: ClusterState, wave: Wave) -> list[Host]:
    """Return the hosts of the wave that still need a permit."""
    found = []
    for name in wave.hosts:
        host = state.hosts.get(name)
        if host is None or host.pool != wave.pool:
            continue
        if wave.permit_id(name) not in state.permits:
            found.append(host)
    return found


def is_finished(state: ClusterState, wave: Wave, now_ms: int) -> bool:
    """
    Return whether no host of the wave remains to be maintained.

    After :data:`MAX_WAVE_MS` a wave ends without the hosts that are lost, absent or
    held; these are due again once they are back.
    """
    if wave.open:
        return False
    remaining = hosts_without_permit(state, wave)
    expired = now_ms - wave.started_ms >= MAX_WAVE_MS
    return not remaining or (
        expired and not any(can_be_taken_out(host) for host in remaining)
    )


def can_be_taken_out(host: Host) -> bool:
    """Return whether the host itself, budgets aside, can be taken out."""
    upkeep = host.upkeep
    return host.phase == HostPhase.SERVING and not (upkeep.absences or upkeep.hold)


def choose_hosts(
    state: ClusterState, wave: Wave, now_ms: int, ledger: OutageCounts | None = None
) -> HostChoice:
    """
    Choose the hosts to take out now, and count them as out in the ledger.

    Hosts of the service with most rounds remaining go first, since that service ends
    last; among them those whose zone has the fewest hosts out, then the planned order.
    """
    headroom = max_wave_hosts_out(wave) - wave.open
    waiting = hosts_without_permit(state, wave)
    if headroom <= 0 or not waiting:
        return HostChoice()
    quiet_ms = quiet_remaining_ms(state.pools[wave.pool], now_ms)
    if not wave.ignore_quiet and quiet_ms < EXPECTED_OUTAGE_MS:
        cause = f"pool {wave.pool!r}: too little or no quiet time remains"
        return HostChoice(blocked=(BlockedHost(waiting[0].name, cause),))
    if ledger is None:
        ledger = OutageCounts(state, services_of(waiting))
    chosen: list[str] = []
    blocked: list[BlockedHost] = []
    for host in in_priority_order(waiting, ledger):
        cause = blocking_cause(ledger, host)
        if cause is not None:
            blocked.append(BlockedHost(host.name, cause))
            continue
        ledger.count_out(host)
        chosen.append(host.name)
        if len(chosen) == headroom:
            break
    return HostChoice(tuple(chosen), tuple(blocked))


def services_of(hosts: Iterable[Host]) -> set[str]:
    """Return the services that at least one of the hosts counts for."""
    return {name for host in hosts for name in host.upkeep.services}


def blocking_cause(ledger: OutageCounts, host: Host) -> str | None:
    """Return why the host can't be taken out now, or None."""
    if host.phase != HostPhase.SERVING or host.upkeep.permit:
        return f"host {host.name!r} is {host.phase}"
    for absence in host.upkeep.absences:
        return f"host {host.name!r} is out for {absence.service!r}: {absence.cause}"
    if host.upkeep.hold:
        return f"host {host.name!r} is held: {host.upkeep.hold}"
    for name in host.upkeep.services:
        if name in ledger.counts and ledger.counts[name].service.hold:
            return f"service {name!r} is held: {ledger.counts[name].service.hold}"
    found: BudgetViolation | None = ledger.first_violation(host) or ledger.recent_loss(
        host
    )
    return found.text() if found is not None else None


def in_priority_order(hosts: Iterable[Host], ledger: OutageCounts) -> list[Host]:
    """Return the hosts in the order in which to take them out."""
    hosts = list(hosts)
    remaining: Counter[str] = Counter()
    for host in hosts:
        remaining.update(host.upkeep.services)

    def priority(host: Host) -> tuple[float, int]:
        rounds = max(
            (
                remaining[name] / allowed_out(ledger, name)
                for name in host.upkeep.services
            ),
            default=0.0,
        )
        out = sum(
            ledger.counts[name].out_by_zone[host.availability_zone]
            for name in host.upkeep.services
            if name in ledger.counts
        )
        return -rounds, out

    ordered = sorted(hosts, key=priority)
    return interleave(ordered)


def interleave(hosts: list[Host]) -> list[Host]:
    """Interleave services and racks, keeping the order of the hosts within each."""
    counts: Counter[object] = Counter()
    ranked = []
    for host in hosts:
        domain = (host.availability_zone, host.rack)
        rank = (counts[host.upkeep.services], counts[domain])
        counts[host.upkeep.services] += 1
        counts[domain] += 1
        ranked.append((rank, host))
    ranked.sort(key=lambda pair: pair[0])
    return [host for _, host in ranked]


def allowed_out(ledger: OutageCounts, name: str) -> int:
    """Return the maximum number of hosts of a service out at once, at least one."""
    count = ledger.counts.get(name)
    if count is None:
        return 1
    budget = count.budget
    return max(
        1, min(budget.max_hosts_out, count.host_count - budget.min_hosts_serving)
    )


def min_rounds(state: ClusterState, hosts: Iterable[Host]) -> MinRounds:
    """Return the minimum number of rounds that the budgets allow for the hosts."""
    hosts = list(hosts)
    ledger = OutageCounts(state, services_of(hosts))
    minimum = MinRounds(min(1, len(hosts)), "every host needs a round")
    for name, count in ledger.counts.items():
        mine = [host for host in hosts if name in host.upkeep.services]
        zones = Counter(host.availability_zone for host in mine)
        racks = Counter((host.availability_zone, host.rack) for host in mine)
        budget = count.budget
        bounds = (
            ("max_hosts_out", len(mine), allowed_out(ledger, name)),
            (
                "max_hosts_out_per_zone",
                max(zones.values()),
                budget.max_hosts_out_per_zone,
            ),
            (
                "max_hosts_out_per_rack",
                max(racks.values()),
                budget.max_hosts_out_per_rack,
            ),
        )
        for field, total, allowed in bounds:
            rounds = -(-total // max(1, allowed))
            if rounds > minimum.rounds:
                cause = f"service {name!r}: {field}, {total} hosts by {allowed}"
                minimum = MinRounds(rounds, cause)
    return minimum


def plan_wave(
    state: ClusterState, wave: Wave, now_ms: int, outage_ms: int = EXPECTED_OUTAGE_MS
) -> WavePlan:
    """Plan the remaining rounds of a wave from the current state."""
    remaining = hosts_without_permit(state, wave)
    minimum = min_rounds(state, remaining)
    rounds: list[tuple[str, ...]] = []
    streak = wave.streak
    unplannable: tuple[BlockedHost, ...] = ()
    while remaining:
        ledger = OutageCounts(state, services_of(remaining))
        headroom = max_wave_hosts_out(replace(wave, streak=streak))
        chosen, blocked = fill_round(ledger, remaining, headroom)
        if not chosen:
            unplannable = blocked
            break
        rounds.append(tuple(host.name for host in chosen))
        streak += len(chosen)
        planned = set(rounds[-1])
        remaining = [host for host in remaining if host.name not in planned]
    pool = state.pools[wave.pool]
    start_ms = now_ms + (0 if wave.ignore_quiet else until_quiet_ms(pool, now_ms))
    end_ms = start_ms + len(rounds) * outage_ms
    cause = extra_rounds_cause(len(rounds), minimum, unplannable)
    return WavePlan(tuple(rounds), minimum, unplannable, start_ms, end_ms, cause)


def fill_round(
    ledger: OutageCounts, remaining: list[Host], headroom: int
) -> tuple[list[Host], tuple[BlockedHost, ...]]:
    """Choose the hosts of one round, counting them as out in the ledger."""
    chosen: list[Host] = []
    blocked: list[BlockedHost] = []
    for host in in_priority_order(remaining, ledger):
        cause = blocking_cause(ledger, host)
        if cause is not None:
            blocked.append(BlockedHost(host.name, cause))
        elif len(chosen) < headroom:
            ledger.count_out(host)
            chosen.append(host)
    return chosen, tuple(blocked)


def extra_rounds_cause(
    rounds: int, minimum: MinRounds, unplannable: tuple[BlockedHost, ...]
) -> str:
    """Return why a plan needs more rounds than the minimum, or an empty text."""
    if unplannable:
        return f"{len(unplannable)} hosts cannot be taken out: {unplannable[0].cause}"
    if rounds > minimum.rounds:
        return "the wave starts with a canary and widens as its hosts prove healthy"
    return ""


def wave_progress(state: ClusterState, wave: Wave, now_ms: int) -> WaveStatus:
    """Return the progress of a wave and its expected end."""
    steps: Counter[str] = Counter()
    for name in wave.hosts:
        permit = state.permits.get(wave.permit_id(name))
        host = state.hosts.get(name)
        if permit is not None:
            steps[permit.step] += 1
        elif host is None or host.pool != wave.pool:
            steps["gone"] += 1
        else:
            steps["waiting"] += 1
    end_ms = None
    if wave.phase == WavePhase.RUNNING:
        plan = plan_wave(state, wave, now_ms)
        under_way = any(steps[step] for step in OPEN_STEPS)
        end_ms = plan.end_ms + (EXPECTED_OUTAGE_MS if under_way else 0)
    return WaveStatus(wave.name, wave.phase, wave.reason, steps, end_ms)
