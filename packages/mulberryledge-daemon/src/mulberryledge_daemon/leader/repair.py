"""
mulberryledge_daemon.leader.repair
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Repairs hosts: evaluates the entries' reports and proposes the resulting actions.
"""

from collections.abc import Callable, Iterable

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.fleet import SetHostPhase
from mulberryledge_core.commands.maintenance import (
    ProveHost,
    ReleaseHost,
    ReplaceHost,
)
from mulberryledge_core.decisions.repair import (
    Action,
    ActionKind,
    Evidence,
    RepairPolicy,
    decide_repairs,
)
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.targets import Target
from mulberryledge_daemon.ports import Platform, RebootState, ReplicatedLog

__all__ = ["Repair"]

MAX_TICK_INTERVAL_MS = 1_000


class Repair:
    """
    Owns the entries' reports on hosts while this daemon leads.

    Parameters
    ----------
    lease_s : float
        Time after which an entry's report expires.
    on_decision : callable
        Records a decision.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        platform: Platform,
        policy: RepairPolicy,
        lease_s: float,
        on_decision: Callable[[Decision], None],
    ):
        self.clock = clock
        self.log = log
        self.platform = platform
        self.policy = policy
        self.lease_s = lease_s
        self.on_decision = on_decision
        self.last_report_s: dict[str, float] = {}
        self.last_heard: dict[str, str] = {}
        self.leader_since_s: float | None = None
        self.requested_s: dict[str, float] = {}
        self.next_tick_ms = 0
        self.handlers = {
            ActionKind.CORDON: self.cordon,
            ActionKind.REBOOT: self.reboot,
            ActionKind.REPLACE: self.replace,
            ActionKind.RELEASE: self.release,
            ActionKind.START_PROBATION: self.start_probation,
            ActionKind.END_PROBATION: self.end_probation,
            ActionKind.PROVE: self.prove,
        }

    def record_contacts(self, daemon: str, targets: Iterable[Target]) -> None:
        """Record an entry's report and the targets that contacted it."""
        self.last_report_s[daemon] = self.clock.seconds()
        for target in targets:
            self.last_heard[target.host] = daemon

    def evidence(self) -> Evidence:
        """Return the reports of the entries within the last lease."""
        now_s = self.clock.seconds()
        if self.leader_since_s is None:
            self.leader_since_s = now_s
        recent = frozenset(
            daemon
            for daemon, at in self.last_report_s.items()
            if now_s - at <= self.lease_s
        )
        daemons = {session.daemon for session in self.log.state.sessions.values()}
        complete = now_s - self.leader_since_s >= self.lease_s
        return Evidence(len(daemons), recent, self.last_heard, complete)

    async def tick(self) -> None:
        """Decide on repairs and carry them out; refused ones are retried later."""
        now_ms = self.log.time_ms()
        if now_ms < self.next_tick_ms:
            return
        self.next_tick_ms = now_ms + min(MAX_TICK_INTERVAL_MS, self.policy.probation_ms)
        evidence = self.evidence()
        actions = decide_repairs(self.log.state, evidence, self.policy, now_ms)
        for action in actions:
            handler = self.handlers.get(action.kind)
            if handler is not None:
                await handler(action)
            self.record_decision(action)

    def step_down(self) -> None:
        """Discard the reports; a later term collects them again."""
        self.leader_since_s = None
        self.last_report_s.clear()
        self.last_heard.clear()

    async def cordon(self, action: Action) -> None:
        """Mark a host as lost, so that it is given no work before its probation."""
        host = self.log.state.hosts[action.host]
        command = SetHostPhase(host.name, host.phase, HostPhase.LOST, action.cause)
        await self.log.propose(command)

    async def reboot(self, action: Action) -> None:
        """Request the reboot of a lost host until the platform answers."""
        host = self.log.state.hosts[action.host]
        request = f"repair.{host.name}.{host.upkeep.lost_ms}"
        self.remove_old_requests()
        if request not in self.requested_s and self.log.is_leader():
            self.requested_s[request] = self.clock.seconds()
            ensureDeferred(self.request_reboot(host.name, request))

    async def request_reboot(self, host: str, request: str) -> None:
        """Send one request, which the platform performs once."""
        if await self.platform.reboot(host, request) == RebootState.UNREACHABLE:
            self.requested_s.pop(request, None)

    def remove_old_requests(self) -> None:
        """Remove requests older than the maximum hold time."""
        before_s = self.clock.seconds() - self.policy.max_hold_ms / 1_000
        recent = {name: at for name, at in self.requested_s.items() if at > before_s}
        self.requested_s = recent

    async def replace(self, action: Action) -> None:
        """Replace a lost host by a spare one."""
        pool = self.log.state.hosts[action.detail].pool
        await self.log.propose(ReplaceHost(action.host, action.detail, pool))

    async def release(self, action: Action) -> None:
        """Release a replaced host from its service."""
        await self.log.propose(ReleaseHost(action.host, action.detail))

    async def start_probation(self, action: Action) -> None:
        """Put a recovered host on probation, with trial work."""
        command = SetHostPhase(
            action.host, HostPhase.LOST, HostPhase.PROBATION, action.cause
        )
        await self.log.propose(command)

    async def end_probation(self, action: Action) -> None:
        """Return a host that remained healthy to full service."""
        command = SetHostPhase(
            action.host, HostPhase.PROBATION, HostPhase.SERVING, action.cause
        )
        await self.log.propose(command)

    async def prove(self, action: Action) -> None:
        """Record that a host serves again."""
        host = self.log.state.hosts[action.host]
        await self.log.propose(ProveHost(host.name, action.detail, 0))

    def record_decision(self, action: Action) -> None:
        """Record a decision with its cause."""
        text = f"{action.kind}: {action.cause}"
        subject = f"host/{action.host}"
        self.on_decision(
            Decision(self.log.time_ms(), DecisionKind.REPAIR, subject, text)
        )
