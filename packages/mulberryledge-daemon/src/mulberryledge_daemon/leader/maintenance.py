"""
mulberryledge_daemon.leader.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries running waves forward: permit, drain, reboot, probation, done.
"""

from result import Ok

from mulberryledge_core.commands.maintenance import (
    AdvancePermit,
    GrantPermit,
    SetWavePhase,
)
from mulberryledge_core.model.maintenance import (
    MaintenanceStep,
    Permit,
    Wave,
    WavePhase,
)
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.ports import Platform, RebootState, ReplicatedLog

__all__ = ["Maintenance"]

OVER = (MaintenanceStep.DONE, MaintenanceStep.FAILED)


class Maintenance:
    """Advances the permits of running waves."""

    def __init__(self, log: ReplicatedLog, platform: Platform, probation_s: float):
        self.log = log
        self.platform = platform
        self.probation_ms = probation_s * 1_000
        self.steps = {
            MaintenanceStep.DRAINING: self.drain,
            MaintenanceStep.REBOOTING: self.reboot,
            MaintenanceStep.PROBATION: self.prove,
        }

    async def tick(self) -> None:
        """Advance each open permit, then grant what the budgets allow."""
        for permit in list(self.log.state.permits.values()):
            if permit.step not in OVER:
                await self.steps[permit.step](permit)
        for wave in list(self.log.state.waves.values()):
            if wave.phase == WavePhase.RUNNING:
                await self.advance_wave(wave)

    async def advance_wave(self, wave: Wave) -> None:
        """Ask for a permit for each host not yet permitted."""
        for host in wave.hosts:
            permit_id = f"{wave.name}.{host}"
            if permit_id not in self.log.state.permits:
                await self.log.propose(GrantPermit(permit_id, wave.name, host))
        if wave_done(self.log.state, wave):
            command = SetWavePhase(wave.name, WavePhase.RUNNING, WavePhase.DONE)
            await self.log.propose(command)

    async def drain(self, permit: Permit) -> None:
        """Go on to the reboot once nothing runs on the host."""
        if not host_is_idle(self.log.state, permit.host):
            return
        await self.advance(permit, MaintenanceStep.REBOOTING)

    async def reboot(self, permit: Permit) -> None:
        """Ask the platform for the reboot and wait for the host to announce."""
        state = await self.platform.reboot(permit.host, permit.permit_id)
        if state == RebootState.FAILED:
            await self.advance(permit, MaintenanceStep.FAILED)
        elif state == RebootState.UP and announced_since(self.log.state, permit):
            await self.advance(permit, MaintenanceStep.PROBATION)

    async def prove(self, permit: Permit) -> None:
        """Count the host as back once it stayed healthy for the probation."""
        if self.log.time_ms() - permit.step_ms >= self.probation_ms:
            await self.advance(permit, MaintenanceStep.DONE)

    async def advance(self, permit: Permit, step: MaintenanceStep) -> bool:
        """Record a step through the log."""
        command = AdvancePermit(permit.permit_id, permit.step, step)
        return isinstance(await self.log.propose(command), Ok)


def wave_done(state: ClusterState, wave: Wave) -> bool:
    """Return whether each host of the wave has a finished permit."""
    permits = (state.permits.get(f"{wave.name}.{host}") for host in wave.hosts)
    return all(permit is not None and permit.step in OVER for permit in permits)


def host_is_idle(state: ClusterState, host: str) -> bool:
    """Return whether no slot on the host is lent or in use by a job."""
    return not any(
        slots_in_use(state, target.name)
        for target in state.targets.values()
        if target.host == host
    )


def announced_since(state: ClusterState, permit: Permit) -> bool:
    """Return whether every target of the host announced itself since the reboot."""
    targets = [one for one in state.targets.values() if one.host == permit.host]
    return all(
        target.phase == TargetPhase.SERVING and target.announced_ms > permit.step_ms
        for target in targets
    )
