"""
mulberryledge_daemon.leader.repair
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries out the repair of hosts: from what the entries hear to entries of the log.
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

TICK_INTERVAL_MS = 1_000


class Repair:
    """
    Owns what the entries have heard of hosts while this daemon leads.

    Parameters
    ----------
    lease_s : float
        Silence after which an entry's report no longer counts.
    note : callable
        Keeps a decision.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        platform: Platform,
        policy: RepairPolicy,
        lease_s: float,
        note: Callable[[Decision], None],
    ):
        self.clock = clock
        self.log = log
        self.platform = platform
        self.policy = policy
        self.lease_s = lease_s
        self.note = note
        self.reports: dict[str, float] = {}
        self.last_heard: dict[str, str] = {}
        self.leading_since: float | None = None
        self.rebooted: dict[str, float] = {}
        self.after_ms = 0
        self.carry_out = {
            ActionKind.CORDON: self.cordon,
            ActionKind.REBOOT: self.reboot,
            ActionKind.REPLACE: self.replace,
            ActionKind.RELEASE: self.release,
            ActionKind.START_PROBATION: self.try_again,
            ActionKind.END_PROBATION: self.give_back,
            ActionKind.PROVE: self.prove,
        }

    def witness(self, daemon: str, heard: Iterable[Target]) -> None:
        """Keep which daemon reported, and from which hosts it heard."""
        self.reports[daemon] = self.clock.seconds()
        for target in heard:
            self.last_heard[target.host] = daemon

    def evidence(self) -> Evidence:
        """Return what the entries have reported within the last lease."""
        now = self.clock.seconds()
        if self.leading_since is None:
            self.leading_since = now
        recent = frozenset(
            daemon for daemon, at in self.reports.items() if now - at <= self.lease_s
        )
        daemons = {session.daemon for session in self.log.state.sessions.values()}
        complete = now - self.leading_since >= self.lease_s
        return Evidence(len(daemons), recent, self.last_heard, complete)

    async def tick(self) -> None:
        """Decide and carry out; a refused command is decided anew later."""
        now_ms = self.log.time_ms()
        if now_ms < self.after_ms:
            return
        self.after_ms = now_ms + min(TICK_INTERVAL_MS, self.policy.probation_ms)
        evidence = self.evidence()
        actions = decide_repairs(self.log.state, evidence, self.policy, now_ms)
        for action in actions:
            carry_out = self.carry_out.get(action.kind)
            if carry_out is not None:
                await carry_out(action)
            self.say(action)

    def step_down(self) -> None:
        """Forget what was heard, so that a later term gathers it anew."""
        self.leading_since = None
        self.reports.clear()
        self.last_heard.clear()

    async def cordon(self, action: Action) -> None:
        """Give a lost host no work until it has proved itself."""
        host = self.log.state.hosts[action.host]
        command = SetHostPhase(host.name, host.phase, HostPhase.LOST, action.cause)
        await self.log.propose(command)

    async def reboot(self, action: Action) -> None:
        """Ask the platform to reboot a lost host, until it has heard of it."""
        host = self.log.state.hosts[action.host]
        request = f"repair.{host.name}.{host.upkeep.lost_ms}"
        self.forget_requests()
        if request not in self.rebooted and self.log.is_leader():
            self.rebooted[request] = self.clock.seconds()
            ensureDeferred(self.ask(host.name, request))

    async def ask(self, host: str, request: str) -> None:
        """Send one request; the platform carries it out once."""
        if await self.platform.reboot(host, request) == RebootState.UNREACHABLE:
            self.rebooted.pop(request, None)

    def forget_requests(self) -> None:
        """Forget requests about losses of long ago."""
        before = self.clock.seconds() - self.policy.max_hold_ms / 1_000
        kept = {name: at for name, at in self.rebooted.items() if at > before}
        self.rebooted = kept

    async def replace(self, action: Action) -> None:
        """Move a spare host in for a lost one."""
        pool = self.log.state.hosts[action.detail].pool
        await self.log.propose(ReplaceHost(action.host, action.detail, pool))

    async def release(self, action: Action) -> None:
        """Count a replaced host no longer."""
        await self.log.propose(ReleaseHost(action.host, action.detail))

    async def try_again(self, action: Action) -> None:
        """Give a host that is back trial work."""
        command = SetHostPhase(
            action.host, HostPhase.LOST, HostPhase.PROBATION, action.cause
        )
        await self.log.propose(command)

    async def give_back(self, action: Action) -> None:
        """Give a host that stayed healthy all work again."""
        command = SetHostPhase(
            action.host, HostPhase.PROBATION, HostPhase.SERVING, action.cause
        )
        await self.log.propose(command)

    async def prove(self, action: Action) -> None:
        """Count a host as serving again."""
        host = self.log.state.hosts[action.host]
        await self.log.propose(ProveHost(host.name, action.detail, 0))

    def say(self, action: Action) -> None:
        """Keep a decision with its cause."""
        text = f"{action.kind}: {action.cause}"
        subject = f"host/{action.host}"
        self.note(Decision(self.log.time_ms(), DecisionKind.REPAIR, subject, text))
