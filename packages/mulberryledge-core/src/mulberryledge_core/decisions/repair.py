"""
mulberryledge_core.decisions.repair
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Automatic repair of lost hosts, from the reports of the entries.

A silent host is cordoned once several entries confirm the loss, rebooted if nothing
runs on it, and replaced by a spare host if it stays silent. A host that is back serves
a probation first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.decisions.loss_grouping import (
    FailureDomain,
    LossEvent,
    group_by_domain,
)
from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import AbsenceCause
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.state.absences import serving_target
from mulberryledge_core.state.budgets import OutageCounts
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "Action",
    "ActionKind",
    "Evidence",
    "RepairPolicy",
    "decide_repairs",
    "exclusion_ms",
    "lost_hosts",
]


@dataclass(frozen=True, slots=True)
class RepairPolicy:
    """
    Time-outs and limits of the repair.

    Attributes
    ----------
    confirm_ms : int
        Silence after the expiry of the lease before a host is cordoned.
    reboot_ms, replace_ms : int
        Silence before a lost host is rebooted, and before a spare host replaces it.
    probation_ms : int
        Time for which a host must stay healthy before it counts as serving.
    hold_ms, max_hold_ms : int
        Time out of service after the second loss, doubled by each further loss, and
        its upper bound.
    max_replacements : int
        Concurrent replacements for one loss event.
    max_probation_fraction : float
        Fraction of the fleet that may be on probation at once after a loss.
    """

    confirm_ms: int = 30_000
    reboot_ms: int = 300_000
    replace_ms: int = 900_000
    probation_ms: int = 5_000
    hold_ms: int = 60_000
    max_hold_ms: int = 14_400_000
    max_replacements: int = 2
    max_probation_fraction: float = 0.02


@dataclass(frozen=True, slots=True)
class Evidence:
    """
    Recent reports of the entries.

    Attributes
    ----------
    entries : int
        Number of daemons with a session.
    reporting : frozenset of str
        Daemons that reported within the last lease period.
    last_heard : mapping of str to str
        Daemon that last had contact with each host, where known.
    complete : bool
        Whether reports have been collected for a full lease period.
    """

    entries: int
    reporting: frozenset[str]
    last_heard: Mapping[str, str]
    complete: bool = True


class ActionKind(StrEnum):
    """Kind of a repair action."""

    WAIT = "wait"
    CORDON = "cordon"
    REBOOT = "reboot"
    REPLACE = "replace"
    RELEASE = "release"
    START_PROBATION = "try"
    END_PROBATION = "return"
    PROVE = "prove"


@dataclass(frozen=True, slots=True)
class Action:
    """
    Decision on one host.

    Attributes
    ----------
    detail : str
        Spare host of a replacement, or service of a ``PROVE`` or ``RELEASE`` action.
    """

    kind: ActionKind
    host: str
    cause: str
    detail: str = ""


def decide_repairs(
    state: ClusterState, evidence: Evidence, policy: RepairPolicy, now_ms: int
) -> tuple[Action, ...]:
    """Return the actions on hosts that are lost, on probation or count as out."""
    affected = [
        host
        for host in state.hosts.values()
        if not host.upkeep.permit
        and (
            host.upkeep.absences or host.phase in (HostPhase.LOST, HostPhase.PROBATION)
        )
    ]
    if not affected:
        return ()
    lost = lost_hosts(state, affected)
    actions: list[Action] = []
    for event in group_by_domain(lost, state.hosts):
        actions.extend(decide_loss_event(state, event, evidence, policy, now_ms))
    returned = [host for host in affected if host not in lost]
    actions.extend(decide_returns(state, returned, policy, now_ms))
    return tuple(actions)


def lost_hosts(state: ClusterState, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts with a loss that serve none of the services they count for."""
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


def decide_loss_event(
    state: ClusterState,
    event: LossEvent,
    evidence: Evidence,
    policy: RepairPolicy,
    now_ms: int,
) -> Iterable[Action]:
    """Yield the actions on the hosts of one loss event."""
    replacements = sum(
        bool(state.hosts[name].upkeep.replacement) for name in event.hosts
    )
    scope = f"{event.domain} {event.name!r}, {len(event.hosts)} hosts lost"
    for name in event.hosts:
        host = state.hosts[name]
        silent_ms = now_ms - host.upkeep.lost_ms
        uncertainty = loss_uncertainty(host, evidence)
        if host.phase != HostPhase.LOST:
            yield decide_cordon(host, silent_ms, uncertainty, scope, policy)
            continue
        yield from release_actions(state, host)
        if host.upkeep.replacement:
            continue
        spare = find_spare(state, host)
        needed = needs_replacement(state, host, event)
        if (
            spare
            and needed
            and silent_ms >= policy.replace_ms
            and replacements < policy.max_replacements
        ):
            replacements += 1
            cause = f"{scope}, silent for {silent_ms} ms"
            yield Action(ActionKind.REPLACE, name, cause, spare.name)
        elif may_reboot(state, event, name, silent_ms, policy):
            cause = f"{scope}, silent for {silent_ms} ms, no slot in use"
            yield Action(ActionKind.REBOOT, name, cause)


def may_reboot(
    state: ClusterState,
    event: LossEvent,
    host: str,
    silent_ms: int,
    policy: RepairPolicy,
) -> bool:
    """Return whether a host may be rebooted: lost alone, with no slot in use."""
    if event.domain != FailureDomain.HOST or silent_ms < policy.reboot_ms:
        return False
    return not has_slots_in_use(state, host)


def decide_cordon(
    host: Host, silent_ms: int, uncertainty: str, scope: str, policy: RepairPolicy
) -> Action:
    """Cordon a silent host once the loss is confirmed, else wait."""
    if silent_ms < policy.confirm_ms:
        cause = f"{scope}, silent for less than {policy.confirm_ms} ms"
        return Action(ActionKind.WAIT, host.name, cause)
    if uncertainty:
        return Action(ActionKind.WAIT, host.name, f"{scope}, but {uncertainty}")
    return Action(ActionKind.CORDON, host.name, f"{scope}, confirmed")


def loss_uncertainty(host: Host, evidence: Evidence) -> str:
    """Return why the silence may have a cause other than the loss, or an empty text."""
    if not evidence.complete:
        return "reports are still being collected"
    required = min(2, evidence.entries)
    if len(evidence.reporting) < required:
        return f"{len(evidence.reporting)} of {evidence.entries} entries report"
    entry = evidence.last_heard.get(host.name, "")
    others = len(evidence.reporting - {entry})
    if evidence.entries > 1 and entry not in evidence.reporting and others < 2:
        return f"entry {entry!r}, which last had contact with it, is silent itself"
    return ""


def needs_replacement(state: ClusterState, host: Host, event: LossEvent) -> bool:
    """
    Return whether a lost host needs a replacement.

    In the loss of a rack or a zone it does only if a service would otherwise fall
    below its minimum of serving hosts.
    """
    if event.domain == FailureDomain.HOST:
        return True
    ledger = OutageCounts(state, host.upkeep.services)
    return any(
        count.host_count - count.out_count < count.budget.min_hosts_serving
        for count in ledger.counts.values()
    )


def find_spare(state: ClusterState, lost: Host) -> Host | None:
    """Return a free spare host, preferably of the lost host's zone but not its rack."""
    spares = [
        host
        for host in state.hosts.values()
        if state.pools[host.pool].spare
        and host.phase == HostPhase.SERVING
        and not host.upkeep.services
        and not host.upkeep.permit
    ]

    def preference(host: Host) -> tuple[bool, bool, str]:
        same_zone = host.availability_zone == lost.availability_zone
        return same_zone and host.rack == lost.rack, not same_zone, host.name

    return min(spares, key=preference, default=None)


def release_actions(state: ClusterState, host: Host) -> Iterable[Action]:
    """Yield a release for each service that the replacement serves in its place."""
    replacement = state.hosts.get(host.upkeep.replacement)
    if replacement is None or replacement.phase != HostPhase.SERVING:
        return
    absent_services = {absence.service for absence in replacement.upkeep.absences}
    for service in host.upkeep.services:
        if service in replacement.upkeep.services and service not in absent_services:
            cause = f"host {replacement.name!r} serves in its place"
            yield Action(ActionKind.RELEASE, host.name, cause, service)


def has_slots_in_use(state: ClusterState, host: str) -> bool:
    """Return whether any slot on the host is on loan or in use by a job."""
    return any(
        slots_in_use(state, target.name)
        for target in state.indexes.targets_by_host.rows(host)
    )


def exclusion_ms(host: Host, policy: RepairPolicy) -> int:
    """Return the time for which a host stays out of service after its last loss."""
    if host.upkeep.losses < 2:
        return 0
    doublings = min(host.upkeep.losses - 2, 32)
    return min(policy.max_hold_ms, policy.hold_ms * 2**doublings)


def decide_returns(
    state: ClusterState, hosts: list[Host], policy: RepairPolicy, now_ms: int
) -> Iterable[Action]:
    """Yield the actions on hosts that are back, limiting those on probation."""
    admissible = max(1, int(len(state.hosts) * policy.max_probation_fraction))
    admissible -= sum(host.phase == HostPhase.PROBATION for host in hosts)
    for host in sorted(hosts, key=lambda one: one.upkeep.lost_ms):
        if host.phase == HostPhase.LOST:
            until_ms = host.upkeep.lost_ms + exclusion_ms(host, policy)
            if until_ms > now_ms:
                cause = f"lost {host.upkeep.losses} times, excluded until {until_ms} ms"
                yield Action(ActionKind.WAIT, host.name, cause)
            elif admissible > 0 and has_serving_target(state, host.name):
                admissible -= 1
                yield Action(
                    ActionKind.START_PROBATION, host.name, "its targets serve again"
                )
        elif host.phase == HostPhase.PROBATION:
            if now_ms - host.phase_since_ms >= policy.probation_ms:
                cause = f"healthy for {policy.probation_ms} ms"
                yield Action(ActionKind.END_PROBATION, host.name, cause)
        elif host.phase == HostPhase.SERVING:
            yield from prove_actions(state, host, policy, now_ms)


def has_serving_target(state: ClusterState, host: str) -> bool:
    """Return whether any target on the host is in the phase ``serving``."""
    return any(
        target.phase == TargetPhase.SERVING
        for target in state.indexes.targets_by_host.rows(host)
    )


def prove_actions(
    state: ClusterState, host: Host, policy: RepairPolicy, now_ms: int
) -> Iterable[Action]:
    """Yield a proof for each service that the host has served for the probation."""
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
