"""
mulberryledge_daemon.leader.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries running waves forward: permit, drain, reboot, probation, done.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.commands import work
from mulberryledge_core.commands.maintenance import (
    AdvancePermit,
    ClaimWave,
    ForgetWaves,
    GrantPermit,
    SetWavePhase,
)
from mulberryledge_core.commands.work import EndJob
from mulberryledge_core.decisions.drains import Drain, drain_state
from mulberryledge_core.decisions.post_maintenance_losses import maintenance_loss_cause
from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.decisions.quiet_windows import in_quiet_window
from mulberryledge_core.decisions.rollouts import rollout_duration_ms, superseded_cause
from mulberryledge_core.decisions.waves import (
    choose_hosts,
    hosts_without_permit,
    is_finished,
)
from mulberryledge_core.model.decisions import Decision, DecisionKind
from mulberryledge_core.model.hosts import HostPhase
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.model.maintenance import (
    OPEN_STEPS,
    LongJobs,
    MaintenanceStep,
    Permit,
    Wave,
    WavePhase,
)
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.absences import serving_target
from mulberryledge_core.state.budgets import OutageCounts
from mulberryledge_daemon.leader.drains import PutOff, ignore_job
from mulberryledge_daemon.ports import (
    AppliedEvent,
    Platform,
    RebootState,
    ReplicatedLog,
)

__all__ = ["Maintenance", "MaintenancePolicy"]

PLAN_INTERVAL_MS = 1_000
IDLE_PLAN_INTERVAL_MS = 5_000
MAX_POLL_MS = 2_000
TRIAL_FAILURES = 2
KEEP_WAVES_MS = 60 * 86_400_000
ORDER_KINDS = {
    Order.CHECKPOINT: DecisionKind.CHECKPOINT,
    Order.STOP: DecisionKind.STOP,
}
FORGET_INTERVAL_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class MaintenancePolicy:
    """
    Times that waves go by.

    Attributes
    ----------
    probation_ms : int
        Time for which a rebooted host must stay healthy.
    slow_ms : int
        Time after which a rebooting host is slow, and its wave stops.
    timeout_ms : int
        Time after which a rebooting host counts as lost.
    long_drain_ms : int
        Time after which a drain counts as held by a long job.
    """

    probation_ms: int = 5_000
    slow_ms: int = 300_000
    timeout_ms: int = 900_000
    long_drain_ms: int = 30_000

    @property
    def poll_ms(self) -> int:
        """Time between requests to the platform about one reboot."""
        return min(MAX_POLL_MS, self.probation_ms)


class Maintenance:
    """
    Advances the permits of waves.

    Parameters
    ----------
    session : str
        Session of this daemon, under which it claims the waves that it drives.
    note : callable
        Keeps a decision.
    put_off : callable
        Asks a job on a draining host to make room, where it may be asked.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        platform: Platform,
        policy: MaintenancePolicy,
        session: str,
        note: Callable[[Decision], None],
        put_off: PutOff = ignore_job,
    ):
        self.log = log
        self.platform = platform
        self.policy = policy
        self.session = session
        self.note = note
        self.put_off = put_off
        self.put_off_orders: dict[tuple[str, int], Order] = {}
        self.asking: set[str] = set()
        self.asked_ms: dict[str, int] = {}
        self.answers: dict[str, RebootState] = {}
        self.failures: Counter[str] = Counter()
        self.planned_ms = 0
        self.changed = True
        self.forget_after_ms = 0
        self.steps = {
            MaintenanceStep.DRAINING: self.drain,
            MaintenanceStep.REBOOTING: self.reboot,
            MaintenanceStep.PROBATION: self.prove,
        }
        log.watch(self.on_applied)

    async def tick(self) -> None:
        """Advance each open permit, then grant what the budgets allow."""
        state = self.log.state
        for wave in list(state.waves.values()):
            if wave.open or wave.phase == WavePhase.RUNNING:
                await self.claim(wave)
        for permit in self.open_permits():
            await self.steps[permit.step](permit)
        now_ms = self.log.time_ms()
        if self.is_plan_due(now_ms):
            self.planned_ms = now_ms
            self.changed = False
            await self.plan()
        if now_ms >= self.forget_after_ms:
            self.forget_after_ms = now_ms + FORGET_INTERVAL_MS
            await self.forget(now_ms)

    def is_plan_due(self, now_ms: int) -> bool:
        """Return whether to plan: soon after a change, else now and then."""
        interval_ms = PLAN_INTERVAL_MS if self.changed else IDLE_PLAN_INTERVAL_MS
        return now_ms - self.planned_ms >= interval_ms

    async def plan(self) -> None:
        """Grant what the budgets allow, for all running waves together."""
        state = self.log.state
        running = [w for w in state.waves.values() if w.phase == WavePhase.RUNNING]
        if running and not self.platform.is_set:
            for wave in running:
                cause = "settings name no platform that could reboot hosts"
                self.say(DecisionKind.HOLD, f"wave/{wave.name}", cause)
        elif running:
            ledger = OutageCounts(state)
            for wave in running:
                await self.advance_wave(wave, ledger)

    def open_permits(self) -> list[Permit]:
        """Return the permits of hosts that are out."""
        state = self.log.state
        if not any(wave.open for wave in state.waves.values()):
            self.put_off_orders.clear()
            return []
        return [one for one in state.permits.values() if one.step in OPEN_STEPS]

    async def claim(self, wave: Wave) -> None:
        """Become the only daemon that drives the wave."""
        if wave.holder != self.session:
            await self.log.propose(ClaimWave(wave.name, self.session))

    async def forget(self, now_ms: int) -> None:
        """Drop waves that ended long ago."""
        before_ms = now_ms - KEEP_WAVES_MS
        over = (WavePhase.DONE, WavePhase.ABANDONED)
        if any(
            wave.phase in over and wave.started_ms < before_ms
            for wave in self.log.state.waves.values()
        ):
            await self.log.propose(ForgetWaves(before_ms))

    async def advance_wave(self, wave: Wave, ledger: OutageCounts) -> None:
        """Ask for permits for the hosts that go next, unless the wave must stop."""
        wave = self.log.state.waves[wave.name]
        cause = superseded_cause(self.log.state, wave) or maintenance_loss_cause(
            self.log.state, wave, self.log.time_ms()
        )
        if cause:
            await self.stop(wave, cause)
            return
        choice = choose_hosts(self.log.state, wave, self.log.time_ms(), ledger)
        for blocked in choice.blocked[:1]:
            self.say(DecisionKind.HOLD, f"wave/{wave.name}", blocked.cause)
        for host in choice.hosts:
            permit_id = wave.permit_id(host)
            command = GrantPermit(permit_id, wave.name, host, wave.epoch)
            outcome = await self.log.propose(command)
            if isinstance(outcome, Ok):
                cause = f"wave {wave.name!r}: every budget allows it"
                self.say(DecisionKind.PERMIT, f"host/{host}", cause)
        wave = self.log.state.waves[wave.name]
        if is_finished(self.log.state, wave, self.log.time_ms()):
            left = ", ".join(
                host.name for host in hosts_without_permit(self.log.state, wave)
            )
            reason = f"without hosts that could not go: {left}" if left else ""
            command = SetWavePhase(wave.name, wave.phase, WavePhase.DONE, reason)
            await self.log.propose(command)
            self.tell_rollout(self.log.state.waves[wave.name])

    def tell_rollout(self, wave: Wave) -> None:
        """Tell how long a roll-out took from acceptance to its last host."""
        took_ms = rollout_duration_ms(self.log.state, wave)
        if took_ms is not None:
            cause = f"version {wave.version} reached the last host after {took_ms} ms"
            self.say(DecisionKind.PERMIT, f"service/{wave.service}", cause)

    async def drain(self, permit: Permit) -> None:
        """Go on to the reboot once nothing runs on the host."""
        state = self.log.state
        wave = state.waves[permit.wave]
        drain = drain_state(state, permit.host)
        quiet = in_quiet_window(state.pools[wave.pool], self.log.time_ms())
        if wave.phase == WavePhase.ABANDONED:
            await self.advance(permit, MaintenanceStep.CANCELLED, "wave abandoned")
        elif not wave.ignore_quiet and not quiet:
            reason = "the quiet time ended before the drain"
            await self.advance(permit, MaintenanceStep.CANCELLED, reason)
        elif drain.is_complete:
            await self.advance(permit, MaintenanceStep.REBOOTING)
        else:
            await self.wait_for_drain(wave, permit, drain)

    async def wait_for_drain(self, wave: Wave, permit: Permit, drain: Drain) -> None:
        """Tell the operator of a long job; skip the host where the wave says so."""
        is_long = self.log.time_ms() - permit.step_ms >= self.policy.long_drain_ms
        for job in drain.jobs:
            self.ask_to_make_room(job, is_long)
        if not drain.job or not is_long:
            return
        cause = f"job {drain.job!r} holds the drain, expected end {drain.end_ms} ms"
        self.say(DecisionKind.HOLD, f"host/{permit.host}", cause)
        if wave.long_jobs == LongJobs.SKIP:
            await self.advance(permit, MaintenanceStep.CANCELLED, cause)

    def ask_to_make_room(self, job: Job, is_long: bool) -> None:
        """Ask a job to checkpoint or stop, once for each attempt and order."""
        attempt = (job.job_id, job.attempt)
        if attempt in self.put_off_orders:
            return
        order = self.put_off(job, is_long)
        if order in ORDER_KINDS:
            self.put_off_orders[attempt] = order
            cause = "it holds the drain of its host and may be put off"
            self.say(ORDER_KINDS[order], f"job/{job.job_id}", cause)

    async def reboot(self, permit: Permit) -> None:
        """Ask the platform for the reboot and wait for the host to announce."""
        answer = self.answers.get(permit.permit_id)
        out_ms = self.log.time_ms() - permit.step_ms
        if answer == RebootState.FAILED:
            reason = "the platform failed to reboot it"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif answer == RebootState.UP and is_back(self.log.state, permit):
            await self.advance(permit, MaintenanceStep.PROBATION)
        elif out_ms >= self.policy.timeout_ms:
            reason = f"not back within {self.policy.timeout_ms} ms"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        else:
            if out_ms >= self.policy.slow_ms:
                await self.stop_slow(permit)
            self.ask(permit)

    async def stop_slow(self, permit: Permit) -> None:
        """Stop a wave whose host comes back slowly."""
        wave = self.log.state.waves[permit.wave]
        if wave.phase == WavePhase.RUNNING:
            reason = f"host {permit.host!r} is not back after {self.policy.slow_ms} ms"
            await self.stop(wave, reason)

    async def stop(self, wave: Wave, reason: str) -> None:
        """Stop a wave until an operator lets it go on."""
        command = SetWavePhase(wave.name, wave.phase, WavePhase.STOPPED, reason)
        if isinstance(await self.log.propose(command), Ok):
            self.say(DecisionKind.PAUSE, f"wave/{wave.name}", reason)

    def ask(self, permit: Permit) -> None:
        """Ask the platform without waiting; one question a permit at a time."""
        name = permit.permit_id
        now_ms = self.log.time_ms()
        early = now_ms - self.asked_ms.get(name, 0) < self.policy.poll_ms
        if early or name in self.asking or self.answers.get(name) == RebootState.UP:
            return
        self.asked_ms[name] = now_ms
        self.asking.add(name)
        ensureDeferred(self.exchange(name, permit.host))

    async def exchange(self, permit_id: str, host: str) -> None:
        """Ask for the reboot, which the platform carries out once a permit."""
        try:
            if self.is_current(permit_id):
                answer = await self.platform.reboot(host, permit_id)
                self.answers[permit_id] = answer
        finally:
            self.asking.discard(permit_id)

    def is_current(self, permit_id: str) -> bool:
        """Return whether this daemon still leads and still drives the permit."""
        permit = self.log.state.permits.get(permit_id)
        if permit is None or permit.step != MaintenanceStep.REBOOTING:
            return False
        holder = self.log.state.waves[permit.wave].holder
        return self.log.is_leader() and holder == self.session

    async def prove(self, permit: Permit) -> None:
        """Count the host as back once it stayed healthy under trial work."""
        if self.failures[permit.host] >= TRIAL_FAILURES:
            reason = f"failed {self.failures[permit.host]} jobs on probation"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif not is_healthy(self.log.state, permit):
            reason = "lost again on probation"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif self.log.time_ms() - permit.step_ms >= self.policy.probation_ms:
            await self.advance(permit, MaintenanceStep.DONE)

    async def advance(
        self, permit: Permit, step: MaintenanceStep, reason: str = ""
    ) -> None:
        """Record a step through the log."""
        wave = self.log.state.waves[permit.wave]
        command = AdvancePermit(permit.permit_id, permit.step, step, wave.epoch, reason)
        if not isinstance(await self.log.propose(command), Ok):
            return
        if step not in OPEN_STEPS:
            self.answers.pop(permit.permit_id, None)
            self.asked_ms.pop(permit.permit_id, None)
            self.failures.pop(permit.host, None)
        if step == MaintenanceStep.FAILED:
            self.say(
                DecisionKind.PAUSE, f"wave/{wave.name}", f"{permit.host}: {reason}"
            )
        elif reason:
            self.say(DecisionKind.HOLD, f"host/{permit.host}", reason)

    def on_applied(self, event: AppliedEvent) -> None:
        """Plan again after a change; count jobs that fail on hosts on probation."""
        command = event.command
        if type(command) not in work.COMMANDS:
            self.changed = True
        if not isinstance(command, EndJob) or command.phase != JobPhase.FAILED:
            return
        job = self.log.state.jobs.get(command.job_id)
        name = (job.target or job.failed_on[-1]) if job else ""
        target = self.log.state.targets.get(name)
        host = self.log.state.hosts.get(target.host) if target else None
        if host is not None and host.phase == HostPhase.PROBATION:
            self.failures[host.name] += 1

    def say(self, kind: DecisionKind, subject: str, cause: str) -> None:
        """Keep a decision with its cause."""
        self.note(Decision(self.log.time_ms(), kind, subject, cause))


def is_back(state: ClusterState, permit: Permit) -> bool:
    """Return whether the host runs each of its services in a life after the reboot."""
    return serves_all(state, permit) and all(
        target.generation > permit.step_index
        for target in state.indexes.targets_by_host.rows(permit.host)
    )


def is_healthy(state: ClusterState, permit: Permit) -> bool:
    """Return whether no target of the host was lost or restarted on probation."""
    return serves_all(state, permit) and all(
        target.generation < permit.step_index
        for target in state.indexes.targets_by_host.rows(permit.host)
    )


def serves_all(state: ClusterState, permit: Permit) -> bool:
    """Return whether the host serves each service that it counts for."""
    return all(
        serving_target(state, permit.host, service) is not None
        for service in state.hosts[permit.host].upkeep.services
    )
