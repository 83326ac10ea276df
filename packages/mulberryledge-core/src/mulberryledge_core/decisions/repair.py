"""
mulberryledge_core.decisions.repair
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

From the silence of hosts to a decision: wait, cordon, reboot, replace, try again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.decisions.regions import Domain, LossEvent, group_by_domain
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import AbsenceCause
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.state.absences import serving_target
from mulberryledge_core.state.budgets import Ledger
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "Action",
    "ActionKind",
    "Evidence",
    "RepairPolicy",
    "decide_repairs",
    "hold_out_ms",
    "lost_hosts",
]


@dataclass(frozen=True, slots=True)
class RepairPolicy:
    """
    Times and bounds of the repair.

    Attributes
    ----------
    confirm_ms : int
        Silence, after the lease ran out, before a host is cordoned.
    reboot_ms, replace_ms : int
        Silence before a lost host is rebooted, and before a spare takes its place.
    probation_ms : int
        Time for which a host must stay healthy before it counts again.
    hold_ms, max_hold_ms : int
        Time out of service after a second loss, doubled by each further one, and
        its upper bound.
    max_moves : int
        Replacements under way at once for one event.
    return_share : float
        Share of the fleet that may be on probation at once after a loss.
    """

    confirm_ms: int = 30_000
    reboot_ms: int = 300_000
    replace_ms: int = 900_000
    probation_ms: int = 5_000
    hold_ms: int = 60_000
    max_hold_ms: int = 14_400_000
    max_moves: int = 2
    return_share: float = 0.02


@dataclass(frozen=True, slots=True)
class Evidence:
    """
    What the entries have reported lately.

    Attributes
    ----------
    entries : int
        Daemons that could report.
    reporting : frozenset of str
        Daemons that heard from some target within the last lease.
    last_heard : mapping of str to str
        Daemon that heard from a host last, where known.
    complete : bool
        Whether reports have been gathered for a whole lease.
    """

    entries: int
    reporting: frozenset[str]
    last_heard: Mapping[str, str]
    complete: bool = True


class ActionKind(StrEnum):
    """What the repair does."""

    WAIT = "wait"
    CORDON = "cordon"
    REBOOT = "reboot"
    REPLACE = "replace"
    RELEASE = "release"
    TRY = "try"
    RETURN = "return"
    PROVE = "prove"


@dataclass(frozen=True, slots=True)
class Action:
    """
    One decision on one host.

    Attributes
    ----------
    detail : str
        Spare host of a replacement, or service of a proof or release.
    """

    kind: ActionKind
    host: str
    cause: str
    detail: str = ""


def decide_repairs(
    state: ClusterState, evidence: Evidence, policy: RepairPolicy, now_ms: int
) -> tuple[Action, ...]:
    """Decide on each host that is lost, on probation or not yet proved."""
    troubled = [
        host
        for host in state.hosts.values()
        if not host.upkeep.permit
        and (
            host.upkeep.absences or host.phase in (HostPhase.LOST, HostPhase.PROBATION)
        )
    ]
    if not troubled:
        return ()
    lost = lost_hosts(state, troubled)
    actions: list[Action] = []
    for event in group_by_domain(lost, state.hosts):
        actions.extend(decide_event(state, event, evidence, policy, now_ms))
    back = [host for host in troubled if host not in lost]
    actions.extend(decide_returns(state, back, policy, now_ms))
    return tuple(actions)


def lost_hosts(state: ClusterState, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts that run none of the services that they count for."""
    return [
        host
        for host in hosts
        if host.upkeep.services
        and any(one.cause == AbsenceCause.LOST for one in host.upkeep.absences)
        and not any(
            serving_target(state, host.name, service)
            for service in host.upkeep.services
        )
    ]


def decide_event(
    state: ClusterState,
    event: LossEvent,
    evidence: Evidence,
    policy: RepairPolicy,
    now_ms: int,
) -> Iterable[Action]:
    """Yield the decisions on the hosts of one event."""
    moves = sum(bool(state.hosts[name].upkeep.replacement) for name in event.hosts)
    where = f"{event.domain} {event.name!r}, {len(event.hosts)} hosts lost"
    for name in event.hosts:
        host = state.hosts[name]
        silent_ms = now_ms - host.upkeep.lost_ms
        doubt = doubt_of(host, evidence)
        if host.phase != HostPhase.LOST:
            yield decide_cordon(host, silent_ms, doubt, where, policy)
            continue
        yield from releases(state, host)
        if host.upkeep.replacement:
            continue
        spare = find_spare(state, host)
        needed = is_needed(state, host, event)
        if (
            spare
            and needed
            and silent_ms >= policy.replace_ms
            and moves < policy.max_moves
        ):
            moves += 1
            cause = f"{where}, silent for {silent_ms} ms"
            yield Action(ActionKind.REPLACE, name, cause, spare.name)
        elif may_reboot(state, event, name, silent_ms, policy):
            cause = f"{where}, silent for {silent_ms} ms, no slot in use"
            yield Action(ActionKind.REBOOT, name, cause)


def may_reboot(
    state: ClusterState,
    event: LossEvent,
    host: str,
    silent_ms: int,
    policy: RepairPolicy,
) -> bool:
    """Return whether a single lost host, with nothing running, may be rebooted."""
    if event.domain != Domain.HOST or silent_ms < policy.reboot_ms:
        return False
    return not slots_lent(state, host)


def decide_cordon(
    host: Host, silent_ms: int, doubt: str, where: str, policy: RepairPolicy
) -> Action:
    """Cordon a silent host unless it is too early or the evidence too thin."""
    if silent_ms < policy.confirm_ms:
        cause = f"{where}, silent for less than {policy.confirm_ms} ms"
        return Action(ActionKind.WAIT, host.name, cause)
    if doubt:
        return Action(ActionKind.WAIT, host.name, f"{where}, but {doubt}")
    return Action(ActionKind.CORDON, host.name, f"{where}, confirmed")


def doubt_of(host: Host, evidence: Evidence) -> str:
    """Return what else than the loss of the host could explain its silence."""
    if not evidence.complete:
        return "reports are still being gathered"
    needed = min(2, evidence.entries)
    if len(evidence.reporting) < needed:
        return f"{len(evidence.reporting)} of {evidence.entries} entries report"
    entry = evidence.last_heard.get(host.name, "")
    others = len(evidence.reporting - {entry})
    if evidence.entries > 1 and entry not in evidence.reporting and others < 2:
        return f"entry {entry!r}, which heard it last, is silent itself"
    return ""


def is_needed(state: ClusterState, host: Host, event: LossEvent) -> bool:
    """Return whether a loss is to be replaced; a whole domain only where it must."""
    if event.domain == Domain.HOST:
        return True
    ledger = Ledger(state, host.upkeep.services)
    return any(
        count.members - count.out < count.budget.min_hosts_serving
        for count in ledger.counts.values()
    )


def find_spare(state: ClusterState, lost: Host) -> Host | None:
    """Return a free host of a spare pool, best outside the lost failure domains."""
    spares = [
        host
        for host in state.hosts.values()
        if state.pools[host.pool].spare
        and host.phase == HostPhase.SERVING
        and not host.upkeep.services
        and not host.upkeep.permit
    ]

    def nearness(host: Host) -> tuple[bool, bool, str]:
        same_zone = host.availability_zone == lost.availability_zone
        return same_zone and host.rack == lost.rack, not same_zone, host.name

    return min(spares, key=nearness, default=None)


def releases(state: ClusterState, host: Host) -> Iterable[Action]:
    """Yield the services for which the replacement has taken the host's place."""
    replacement = state.hosts.get(host.upkeep.replacement)
    if replacement is None or replacement.phase != HostPhase.SERVING:
        return
    out = {absence.service for absence in replacement.upkeep.absences}
    for service in host.upkeep.services:
        if service in replacement.upkeep.services and service not in out:
            cause = f"host {replacement.name!r} serves in its place"
            yield Action(ActionKind.RELEASE, host.name, cause, service)


def slots_lent(state: ClusterState, host: str) -> bool:
    """Return whether any slot on the host is lent or in use by a job."""
    return any(
        slots_in_use(state, target.name)
        for target in state.indexes.targets_by_host.rows(host)
    )


def hold_out_ms(host: Host, policy: RepairPolicy) -> int:
    """Return for how long a host stays out after its last loss."""
    if host.upkeep.losses < 2:
        return 0
    doublings = min(host.upkeep.losses - 2, 32)
    return min(policy.max_hold_ms, policy.hold_ms * 2**doublings)


def decide_returns(
    state: ClusterState, hosts: list[Host], policy: RepairPolicy, now_ms: int
) -> Iterable[Action]:
    """Yield the decisions on hosts that are back, few at a time."""
    room = max(1, int(len(state.hosts) * policy.return_share))
    room -= sum(host.phase == HostPhase.PROBATION for host in hosts)
    for host in sorted(hosts, key=lambda one: one.upkeep.lost_ms):
        if host.phase == HostPhase.LOST:
            until_ms = host.upkeep.lost_ms + hold_out_ms(host, policy)
            if until_ms > now_ms:
                cause = f"lost {host.upkeep.losses} times, held out until {until_ms} ms"
                yield Action(ActionKind.WAIT, host.name, cause)
            elif room > 0 and has_serving_target(state, host.name):
                room -= 1
                yield Action(ActionKind.TRY, host.name, "its targets are back")
        elif host.phase == HostPhase.PROBATION:
            if now_ms - host.phase_since_ms >= policy.probation_ms:
                cause = f"healthy for {policy.probation_ms} ms"
                yield Action(ActionKind.RETURN, host.name, cause)
        elif host.phase == HostPhase.SERVING:
            yield from proofs(state, host, policy, now_ms)


def has_serving_target(state: ClusterState, host: str) -> bool:
    """Return whether any target on the host has announced itself."""
    return any(
        target.phase == TargetPhase.SERVING
        for target in state.indexes.targets_by_host.rows(host)
    )


def proofs(
    state: ClusterState, host: Host, policy: RepairPolicy, now_ms: int
) -> Iterable[Action]:
    """Yield the services that the host has served long enough to count again."""
    for absence in host.upkeep.absences:
        if absence.cause not in (AbsenceCause.LOST, AbsenceCause.LEFT):
            continue
        target = serving_target(state, host.name, absence.service)
        if target is None:
            continue
        since_ms = max(target.announced_ms, host.phase_since_ms)
        if now_ms - since_ms >= policy.probation_ms:
            cause = f"target {target.name!r} healthy for {policy.probation_ms} ms"
            yield Action(ActionKind.PROVE, host.name, cause, absence.service)
