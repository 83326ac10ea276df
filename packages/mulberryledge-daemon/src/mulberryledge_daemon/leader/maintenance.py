"""
mulberryledge_daemon.leader.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Advances waves: permit, drain, reboot, probation, done.
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
from mulberryledge_daemon.leader.drains import PreemptJob, never_preempt
from mulberryledge_daemon.ports import (
    AppliedEvent,
    Platform,
    RebootState,
    ReplicatedLog,
)

__all__ = ["Maintenance", "MaintenancePolicy"]

PLAN_INTERVAL_MS = 1_000
IDLE_PLAN_INTERVAL_MS = 5_000
MAX_POLL_INTERVAL_MS = 2_000
MAX_TRIAL_FAILURES = 2
WAVE_RETENTION_MS = 60 * 86_400_000
ORDER_KINDS = {
    Order.CHECKPOINT: DecisionKind.CHECKPOINT,
    Order.STOP: DecisionKind.STOP,
}
REMOVAL_INTERVAL_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class MaintenancePolicy:
    """
    Time limits of waves.

    Attributes
    ----------
    probation_ms : int
        Time for which a rebooted host must remain healthy.
    reboot_slow_ms : int
        Time after which a rebooting host is slow and its wave is stopped.
    reboot_timeout_ms : int
        Time after which a rebooting host counts as lost.
    long_drain_ms : int
        Time after which a drain is considered delayed by a long job.
    """

    probation_ms: int = 5_000
    reboot_slow_ms: int = 300_000
    reboot_timeout_ms: int = 900_000
    long_drain_ms: int = 30_000

    @property
    def poll_interval_ms(self) -> int:
        """Time between requests to the platform about one reboot."""
        return min(MAX_POLL_INTERVAL_MS, self.probation_ms)


class Maintenance:
    """
    Advances the permits of waves.

    Parameters
    ----------
    session : str
        Session of this daemon, by which it claims the waves that it drives.
    on_decision : callable
        Records a decision.
    preempt_job : callable
        Orders a job on a draining host to checkpoint or stop, where that is allowed.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        platform: Platform,
        policy: MaintenancePolicy,
        session: str,
        on_decision: Callable[[Decision], None],
        preempt_job: PreemptJob = never_preempt,
    ):
        self.log = log
        self.platform = platform
        self.policy = policy
        self.session = session
        self.on_decision = on_decision
        self.preempt_job = preempt_job
        self.preemption_orders: dict[tuple[str, int], Order] = {}
        self.pending_requests: set[str] = set()
        self.requested_ms: dict[str, int] = {}
        self.reboot_states: dict[str, RebootState] = {}
        self.trial_failures: Counter[str] = Counter()
        self.last_plan_ms = 0
        self.state_changed = True
        self.next_removal_ms = 0
        self.step_handlers = {
            MaintenanceStep.DRAINING: self.drain,
            MaintenanceStep.REBOOTING: self.reboot,
            MaintenanceStep.PROBATION: self.check_probation,
        }
        log.watch(self.on_applied)

    async def tick(self) -> None:
        """Advance each open permit, then grant the permits that the budgets allow."""
        state = self.log.state
        for wave in list(state.waves.values()):
            if wave.open or wave.phase == WavePhase.RUNNING:
                await self.claim(wave)
        for permit in self.open_permits():
            await self.step_handlers[permit.step](permit)
        now_ms = self.log.time_ms()
        if self.is_plan_due(now_ms):
            self.last_plan_ms = now_ms
            self.state_changed = False
            await self.plan()
        if now_ms >= self.next_removal_ms:
            self.next_removal_ms = now_ms + REMOVAL_INTERVAL_MS
            await self.remove_ended_waves(now_ms)

    def is_plan_due(self, now_ms: int) -> bool:
        """Return whether a plan is due: earlier if the state has changed."""
        interval_ms = PLAN_INTERVAL_MS if self.state_changed else IDLE_PLAN_INTERVAL_MS
        return now_ms - self.last_plan_ms >= interval_ms

    async def plan(self) -> None:
        """Grant permits within the budgets that all running waves share."""
        state = self.log.state
        running = [w for w in state.waves.values() if w.phase == WavePhase.RUNNING]
        if running and not self.platform.is_configured:
            for wave in running:
                cause = "the settings name no platform to reboot hosts"
                self.record_decision(DecisionKind.HOLD, f"wave/{wave.name}", cause)
        elif running:
            outages = OutageCounts(state)
            for wave in running:
                await self.advance_wave(wave, outages)

    def open_permits(self) -> list[Permit]:
        """Return the permits of hosts that are out of service."""
        state = self.log.state
        if not any(wave.open for wave in state.waves.values()):
            self.preemption_orders.clear()
            return []
        return [one for one in state.permits.values() if one.step in OPEN_STEPS]

    async def claim(self, wave: Wave) -> None:
        """Make this daemon the only one that drives the wave."""
        if wave.holder != self.session:
            await self.log.propose(ClaimWave(wave.name, self.session))

    async def remove_ended_waves(self, now_ms: int) -> None:
        """Remove ended waves that started before the retention period."""
        before_ms = now_ms - WAVE_RETENTION_MS
        ended_phases = (WavePhase.DONE, WavePhase.ABANDONED)
        if any(
            wave.phase in ended_phases and wave.started_ms < before_ms
            for wave in self.log.state.waves.values()
        ):
            await self.log.propose(ForgetWaves(before_ms))

    async def advance_wave(self, wave: Wave, outages: OutageCounts) -> None:
        """Request permits for the next hosts, unless the wave must stop."""
        wave = self.log.state.waves[wave.name]
        cause = superseded_cause(self.log.state, wave) or maintenance_loss_cause(
            self.log.state, wave, self.log.time_ms()
        )
        if cause:
            await self.stop(wave, cause)
            return
        choice = choose_hosts(self.log.state, wave, self.log.time_ms(), outages)
        for blocked in choice.blocked[:1]:
            self.record_decision(DecisionKind.HOLD, f"wave/{wave.name}", blocked.cause)
        for host in choice.hosts:
            permit_id = wave.permit_id(host)
            command = GrantPermit(permit_id, wave.name, host, wave.epoch)
            outcome = await self.log.propose(command)
            if isinstance(outcome, Ok):
                cause = f"wave {wave.name!r}: every budget allows it"
                self.record_decision(DecisionKind.PERMIT, f"host/{host}", cause)
        wave = self.log.state.waves[wave.name]
        if is_finished(self.log.state, wave, self.log.time_ms()):
            skipped = ", ".join(
                host.name for host in hosts_without_permit(self.log.state, wave)
            )
            reason = f"without hosts that could not go: {skipped}" if skipped else ""
            command = SetWavePhase(wave.name, wave.phase, WavePhase.DONE, reason)
            await self.log.propose(command)
            self.record_rollout_duration(self.log.state.waves[wave.name])

    def record_rollout_duration(self, wave: Wave) -> None:
        """Record the time of a roll-out from acceptance to its last host."""
        took_ms = rollout_duration_ms(self.log.state, wave)
        if took_ms is not None:
            cause = f"version {wave.version} reached the last host after {took_ms} ms"
            self.record_decision(DecisionKind.PERMIT, f"service/{wave.service}", cause)

    async def drain(self, permit: Permit) -> None:
        """Advance to the reboot once nothing runs on the host."""
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
        """Report a job that delays the drain; skip the host if the wave says so."""
        is_long = self.log.time_ms() - permit.step_ms >= self.policy.long_drain_ms
        for job in drain.jobs:
            self.request_preemption(job, is_long)
        if not drain.job or not is_long:
            return
        cause = f"job {drain.job!r} holds the drain, expected end {drain.end_ms} ms"
        self.record_decision(DecisionKind.HOLD, f"host/{permit.host}", cause)
        if wave.long_jobs == LongJobs.SKIP:
            await self.advance(permit, MaintenanceStep.CANCELLED, cause)

    def request_preemption(self, job: Job, is_long: bool) -> None:
        """Order a job to checkpoint or stop, once per attempt."""
        attempt = (job.job_id, job.attempt)
        if attempt in self.preemption_orders:
            return
        order = self.preempt_job(job, is_long)
        if order in ORDER_KINDS:
            self.preemption_orders[attempt] = order
            cause = "it delays the drain of its host and may be preempted"
            self.record_decision(ORDER_KINDS[order], f"job/{job.job_id}", cause)

    async def reboot(self, permit: Permit) -> None:
        """Request the reboot and wait until the host's targets are announced."""
        reboot_state = self.reboot_states.get(permit.permit_id)
        out_ms = self.log.time_ms() - permit.step_ms
        if reboot_state == RebootState.FAILED:
            reason = "the platform failed to reboot it"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif reboot_state == RebootState.UP and has_rebooted(self.log.state, permit):
            await self.advance(permit, MaintenanceStep.PROBATION)
        elif out_ms >= self.policy.reboot_timeout_ms:
            reason = f"not back within {self.policy.reboot_timeout_ms} ms"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        else:
            if out_ms >= self.policy.reboot_slow_ms:
                await self.stop_slow(permit)
            self.request_reboot(permit)

    async def stop_slow(self, permit: Permit) -> None:
        """Stop the wave of a host whose reboot is slow."""
        wave = self.log.state.waves[permit.wave]
        if wave.phase == WavePhase.RUNNING:
            reason = (
                f"host {permit.host!r} is not back after"
                f" {self.policy.reboot_slow_ms} ms"
            )
            await self.stop(wave, reason)

    async def stop(self, wave: Wave, reason: str) -> None:
        """Stop a wave until an operator resumes it."""
        command = SetWavePhase(wave.name, wave.phase, WavePhase.STOPPED, reason)
        if isinstance(await self.log.propose(command), Ok):
            self.record_decision(DecisionKind.PAUSE, f"wave/{wave.name}", reason)

    def request_reboot(self, permit: Permit) -> None:
        """Start a request to the platform, one at a time per permit."""
        permit_id = permit.permit_id
        now_ms = self.log.time_ms()
        is_early = (
            now_ms - self.requested_ms.get(permit_id, 0) < self.policy.poll_interval_ms
        )
        if (
            is_early
            or permit_id in self.pending_requests
            or self.reboot_states.get(permit_id) == RebootState.UP
        ):
            return
        self.requested_ms[permit_id] = now_ms
        self.pending_requests.add(permit_id)
        ensureDeferred(self.send_reboot_request(permit_id, permit.host))

    async def send_reboot_request(self, permit_id: str, host: str) -> None:
        """Request the reboot, which the platform performs once per permit."""
        try:
            if self.drives_permit(permit_id):
                reboot_state = await self.platform.reboot(host, permit_id)
                self.reboot_states[permit_id] = reboot_state
        finally:
            self.pending_requests.discard(permit_id)

    def drives_permit(self, permit_id: str) -> bool:
        """Return whether this daemon still leads and still drives the permit."""
        permit = self.log.state.permits.get(permit_id)
        if permit is None or permit.step != MaintenanceStep.REBOOTING:
            return False
        holder = self.log.state.waves[permit.wave].holder
        return self.log.is_leader() and holder == self.session

    async def check_probation(self, permit: Permit) -> None:
        """Complete the permit once the host has remained healthy under trial work."""
        if self.trial_failures[permit.host] >= MAX_TRIAL_FAILURES:
            reason = f"failed {self.trial_failures[permit.host]} jobs on probation"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif not is_healthy(self.log.state, permit):
            reason = "lost again on probation"
            await self.advance(permit, MaintenanceStep.FAILED, reason)
        elif self.log.time_ms() - permit.step_ms >= self.policy.probation_ms:
            await self.advance(permit, MaintenanceStep.DONE)

    async def advance(
        self, permit: Permit, step: MaintenanceStep, reason: str = ""
    ) -> None:
        """Advance a permit through the log."""
        wave = self.log.state.waves[permit.wave]
        command = AdvancePermit(permit.permit_id, permit.step, step, wave.epoch, reason)
        if not isinstance(await self.log.propose(command), Ok):
            return
        if step not in OPEN_STEPS:
            self.reboot_states.pop(permit.permit_id, None)
            self.requested_ms.pop(permit.permit_id, None)
            self.trial_failures.pop(permit.host, None)
        if step == MaintenanceStep.FAILED:
            self.record_decision(
                DecisionKind.PAUSE, f"wave/{wave.name}", f"{permit.host}: {reason}"
            )
        elif reason:
            self.record_decision(DecisionKind.HOLD, f"host/{permit.host}", reason)

    def on_applied(self, event: AppliedEvent) -> None:
        """Record a change of state; count failed jobs of hosts on probation."""
        command = event.command
        if type(command) not in work.COMMANDS:
            self.state_changed = True
        if not isinstance(command, EndJob) or command.phase != JobPhase.FAILED:
            return
        job = self.log.state.jobs.get(command.job_id)
        name = (job.target or job.failed_on[-1]) if job else ""
        target = self.log.state.targets.get(name)
        host = self.log.state.hosts.get(target.host) if target else None
        if host is not None and host.phase == HostPhase.PROBATION:
            self.trial_failures[host.name] += 1

    def record_decision(self, kind: DecisionKind, subject: str, cause: str) -> None:
        """Record a decision with its cause."""
        self.on_decision(Decision(self.log.time_ms(), kind, subject, cause))


def has_rebooted(state: ClusterState, permit: Permit) -> bool:
    """Return whether the host serves again, each target in a new incarnation."""
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
    """Return whether the host serves each service that its upkeep lists."""
    return all(
        serving_target(state, permit.host, service) is not None
        for service in state.hosts[permit.host].upkeep.services
    )
