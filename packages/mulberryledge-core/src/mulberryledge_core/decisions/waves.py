"""
mulberryledge_core.decisions.waves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which hosts of a wave go next, the plan of a whole wave and its theoretical least.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from mulberryledge_core.decisions.quiet import quiet_left_ms, quiet_wait_ms
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import OPEN_STEPS, Wave, WavePhase
from mulberryledge_core.state.appliers.maintenance import width
from mulberryledge_core.state.budgets import EXPECTED_OUTAGE_MS, Binding, Ledger
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "Blocked",
    "Choice",
    "LeastWaves",
    "Plan",
    "Progress",
    "candidates",
    "choose_hosts",
    "is_finished",
    "least_waves",
    "plan_wave",
    "wave_progress",
]

GIVE_UP_MS = 7 * 86_400_000


@dataclass(frozen=True, slots=True)
class Blocked:
    """A host that may not go out now, and the budget or hold that forbids it."""

    host: str
    cause: str


@dataclass(frozen=True, slots=True)
class Choice:
    """
    Which hosts of a wave go next.

    Attributes
    ----------
    hosts : tuple of str
        Hosts to ask permits for, in order.
    blocked : tuple of Blocked
        Hosts that would be next but for a budget or a hold.
    """

    hosts: tuple[str, ...] = ()
    blocked: tuple[Blocked, ...] = ()


@dataclass(frozen=True, slots=True)
class LeastWaves:
    """
    The least number of rounds that the budgets allow.

    Attributes
    ----------
    rounds : int
        Rounds in which all hosts could be done, had waves no canary.
    cause : str
        The budget that asks for so many.
    """

    rounds: int
    cause: str


@dataclass(frozen=True, slots=True)
class Plan:
    """
    Rounds of hosts that may be out together, were nothing else to happen.

    Attributes
    ----------
    rounds : tuple of tuple of str
        Hosts by round.
    least : LeastWaves
        Theoretical least.
    never : tuple of Blocked
        Hosts that no round can hold as things are.
    begin_ms, end_ms : int
        Expected log times of begin and end.
    cause : str
        Why there are more rounds than the least, empty if there are not.
    """

    rounds: tuple[tuple[str, ...], ...]
    least: LeastWaves
    never: tuple[Blocked, ...]
    begin_ms: int
    end_ms: int
    cause: str


@dataclass(frozen=True, slots=True)
class Progress:
    """
    How far a wave is.

    Attributes
    ----------
    steps : Counter of str
        Hosts by step; ``waiting`` and ``gone`` are those without a permit.
    end_ms : int or None
        Expected end, None while the wave does not run.
    """

    wave: str
    phase: WavePhase
    reason: str
    steps: Counter[str]
    end_ms: int | None


def candidates(state: ClusterState, wave: Wave) -> list[Host]:
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
    Return whether nothing is left to do for the wave.

    After a week a wave ends without the hosts that are lost, absent or held; they
    fall due again once they are back.
    """
    if wave.open:
        return False
    left = candidates(state, wave)
    old = now_ms - wave.started_ms >= GIVE_UP_MS
    return not left or (old and not any(can_go(host) for host in left))


def can_go(host: Host) -> bool:
    """Return whether the host itself is fit to go out."""
    upkeep = host.upkeep
    return host.phase == HostPhase.SERVING and not (upkeep.absences or upkeep.hold)


def choose_hosts(
    state: ClusterState, wave: Wave, now_ms: int, ledger: Ledger | None = None
) -> Choice:
    """
    Choose the hosts that may go out now, and count them as out in the ledger.

    Hosts of the service with most work left go first, since that service ends last;
    among them those whose failure domain has fewest hosts out, then the planned order.
    """
    room = width(wave) - wave.open
    waiting = candidates(state, wave)
    if room <= 0 or not waiting:
        return Choice()
    left_ms = quiet_left_ms(state.pools[wave.pool], now_ms)
    if not wave.ignore_quiet and left_ms < EXPECTED_OUTAGE_MS:
        cause = f"pool {wave.pool!r}: too little or no quiet time is left"
        return Choice(blocked=(Blocked(waiting[0].name, cause),))
    if ledger is None:
        ledger = Ledger(state, services_of(waiting))
    chosen: list[str] = []
    blocked: list[Blocked] = []
    for host in by_urgency(waiting, ledger):
        cause = blocking_cause(ledger, host)
        if cause is not None:
            blocked.append(Blocked(host.name, cause))
            continue
        ledger.take(host)
        chosen.append(host.name)
        if len(chosen) == room:
            break
    return Choice(tuple(chosen), tuple(blocked))


def services_of(hosts: Iterable[Host]) -> set[str]:
    """Return the services that any of the hosts counts for."""
    return {name for host in hosts for name in host.upkeep.services}


def blocking_cause(ledger: Ledger, host: Host) -> str | None:
    """Return why the host may not go out now, or None."""
    if host.phase != HostPhase.SERVING or host.upkeep.permit:
        return f"host {host.name!r} is {host.phase}"
    for absence in host.upkeep.absences:
        return f"host {host.name!r} is out for {absence.service!r}: {absence.cause}"
    if host.upkeep.hold:
        return f"host {host.name!r} is held: {host.upkeep.hold}"
    for name in host.upkeep.services:
        if name in ledger.counts and ledger.counts[name].service.hold:
            return f"service {name!r} is held: {ledger.counts[name].service.hold}"
    found: Binding | None = ledger.binding(host) or ledger.fresh_loss(host)
    return found.text() if found is not None else None


def by_urgency(hosts: Iterable[Host], ledger: Ledger) -> list[Host]:
    """Return hosts in the order in which they should go."""
    hosts = list(hosts)
    left: Counter[str] = Counter()
    for host in hosts:
        left.update(host.upkeep.services)

    def urgency(host: Host) -> tuple[float, int]:
        rounds = max(
            (left[name] / allowed_out(ledger, name) for name in host.upkeep.services),
            default=0.0,
        )
        out = sum(
            ledger.counts[name].zones[host.availability_zone]
            for name in host.upkeep.services
            if name in ledger.counts
        )
        return -rounds, out

    ordered = sorted(hosts, key=urgency)
    return interleave(ordered)


def interleave(hosts: list[Host]) -> list[Host]:
    """Spread hosts over services and racks without changing the order within one."""
    seen: Counter[object] = Counter()
    ranked = []
    for host in hosts:
        domain = (host.availability_zone, host.rack)
        rank = (seen[host.upkeep.services], seen[domain])
        seen[host.upkeep.services] += 1
        seen[domain] += 1
        ranked.append((rank, host))
    ranked.sort(key=lambda pair: pair[0])
    return [host for _, host in ranked]


def allowed_out(ledger: Ledger, name: str) -> int:
    """Return how many hosts of a service may be out at once, at least one."""
    count = ledger.counts.get(name)
    if count is None:
        return 1
    budget = count.budget
    return max(1, min(budget.max_hosts_out, count.members - budget.min_hosts_serving))


def least_waves(state: ClusterState, hosts: Iterable[Host]) -> LeastWaves:
    """Return the least number of rounds that the budgets allow for the hosts."""
    hosts = list(hosts)
    ledger = Ledger(state, services_of(hosts))
    least = LeastWaves(min(1, len(hosts)), "each host needs a round")
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
            if rounds > least.rounds:
                cause = f"service {name!r}: {field}, {total} hosts by {allowed}"
                least = LeastWaves(rounds, cause)
    return least


def plan_wave(
    state: ClusterState, wave: Wave, now_ms: int, outage_ms: int = EXPECTED_OUTAGE_MS
) -> Plan:
    """Plan the rounds of a wave from the present state on."""
    left = candidates(state, wave)
    least = least_waves(state, left)
    rounds: list[tuple[str, ...]] = []
    streak = wave.streak
    never: tuple[Blocked, ...] = ()
    while left:
        ledger = Ledger(state, services_of(left))
        room = width(replace(wave, streak=streak))
        chosen, blocked = fill_round(ledger, left, room)
        if not chosen:
            never = blocked
            break
        rounds.append(tuple(host.name for host in chosen))
        streak += len(chosen)
        gone = set(rounds[-1])
        left = [host for host in left if host.name not in gone]
    pool = state.pools[wave.pool]
    begin_ms = now_ms + (0 if wave.ignore_quiet else quiet_wait_ms(pool, now_ms))
    end_ms = begin_ms + len(rounds) * outage_ms
    cause = surplus_cause(len(rounds), least, never)
    return Plan(tuple(rounds), least, never, begin_ms, end_ms, cause)


def fill_round(
    ledger: Ledger, left: list[Host], room: int
) -> tuple[list[Host], tuple[Blocked, ...]]:
    """Choose the hosts of one round."""
    chosen: list[Host] = []
    blocked: list[Blocked] = []
    for host in by_urgency(left, ledger):
        cause = blocking_cause(ledger, host)
        if cause is not None:
            blocked.append(Blocked(host.name, cause))
        elif len(chosen) < room:
            ledger.take(host)
            chosen.append(host)
    return chosen, tuple(blocked)


def surplus_cause(rounds: int, least: LeastWaves, never: tuple[Blocked, ...]) -> str:
    """Return why a plan needs more rounds than the least."""
    if never:
        return f"{len(never)} hosts cannot go: {never[0].cause}"
    if rounds > least.rounds:
        return "the wave begins with a canary and widens as hosts prove themselves"
    return ""


def wave_progress(state: ClusterState, wave: Wave, now_ms: int) -> Progress:
    """Return how far a wave is, and when it is expected to end."""
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
    return Progress(wave.name, wave.phase, wave.reason, steps, end_ms)
