"""
mulberryledge_daemon.leader.lender
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lends target slots and team permits to entries that report demand.
"""

from result import Err, Ok, Result

from mulberryledge_core.commands.work import Lend
from mulberryledge_core.messages import Acknowledged, DemandReport, ServiceDemand
from mulberryledge_core.model.sessions import SlotGrant, TeamGrant
from mulberryledge_core.outcomes import Refusal
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_daemon.ports import LeaderChannel, ReplicatedLog

__all__ = ["Lender"]


class Lender:
    """Answers demand reports with loans through the log."""

    def __init__(self, log: ReplicatedLog, channel: LeaderChannel):
        self.log = log
        channel.serve(DemandReport, self.on_demand)

    async def on_demand(self, report: DemandReport) -> Result[object, Refusal]:
        """Lend what is free, up to the reported demand."""
        state = self.log.state
        slots = tuple(
            grant
            for demand in report.services
            for grant in free_slots(state, demand, report.availability_zone)
        )
        permits = tuple(
            TeamGrant(demand.team, min(demand.wanted, room))
            for demand in report.teams
            if (room := team_headroom(state, demand.team)) > 0
        )
        if not slots and not permits:
            return Ok(Acknowledged())
        outcome = await self.log.propose(Lend(report.session, slots, permits))
        if isinstance(outcome, Err):
            return outcome
        return Ok(Acknowledged())


def free_slots(
    state: ClusterState, demand: ServiceDemand, zone: str
) -> tuple[SlotGrant, ...]:
    """Return free slots that meet the demand, those of the near zone first."""
    targets = [
        target
        for target in state.targets.values()
        if target.service == demand.service and state.target_serves(target.name)
    ]
    targets.sort(key=lambda target: far(state, target.host, zone))
    left, grants = demand.wanted, []
    for target in targets:
        free = min(left, usable_slots(state, target) - slots_in_use(state, target.name))
        if free > 0:
            grants.append(SlotGrant(target.name, target.generation, free))
            left -= free
    return tuple(grants)


def far(state: ClusterState, host: str, zone: str) -> bool:
    """Return whether the host stands outside the availability zone."""
    return state.hosts[host].availability_zone != zone
