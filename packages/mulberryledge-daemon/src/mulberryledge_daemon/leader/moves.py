"""
mulberryledge_daemon.leader.moves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves hosts between pools by demand: drains each host, then moves it by
compare-and-set.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from result import Ok
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.fleet import LeaveTarget, MoveHost
from mulberryledge_core.decisions.pools import (
    BufferChoice,
    DemandTrend,
    HostMove,
    LossScenario,
    PoolView,
    Weights,
    buffer_size,
    observe_demand,
    plan_moves,
)
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.hosts import Host, HostPhase, Pool
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.state import ClusterState
from mulberryledge_core.state.budgets import budget_refusal
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["PoolHostMover", "loss_scenarios"]

OBSERVE_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 10.0
MOVE_TIMEOUT_S = 900.0
MAX_QUEUED_DEMAND_RATIO = 5.0  # of a service's slots
MAX_BUFFER_HOSTS = 64

HOSTS_LOST_PER_MONTH = 0.63  # per host: 21 of 1,000 hosts a day
RACKS_LOST_PER_MONTH = 0.7
ZONES_LOST_PER_MONTH = 0.33
HOST_REPAIR_H = 4.0
RACK_REPAIR_H = 4.0
ZONE_REPAIR_H = 1.0


@dataclass(frozen=True, slots=True)
class OpenMove:
    """A move whose host is draining, and its start time in seconds."""

    move: HostMove
    started_s: float


class PoolHostMover:
    """
    Owns the demand trends and the open moves.

    Open moves are not in the log. A host drains because its targets are ordered to
    leave; after a change of leader they announce themselves again, so that no host
    stays out of service because of an incomplete move.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        jobs: JobDispatcher,
        weights: Weights,
    ):
        self.clock = clock
        self.log = log
        self.jobs = jobs
        self.weights = weights
        self.demand_trends: dict[str, DemandTrend] = {}
        self.last_changed_s: dict[str, float] = {}
        self.open_moves: dict[str, OpenMove] = {}
        self.leader_since_s: float | None = None
        self.last_observation_s = 0.0
        self.last_plan_s = 0.0

    def step_down(self) -> None:
        """Discard the state that is valid only while leading."""
        self.demand_trends = {}
        self.last_changed_s = {}
        self.open_moves = {}
        self.leader_since_s = None

    async def tick(self) -> None:
        """Observe demand, advance the open moves and plan new ones."""
        now_s = self.clock.seconds()
        if self.leader_since_s is None:
            self.leader_since_s = self.last_plan_s = now_s
        if now_s - self.last_observation_s >= OBSERVE_INTERVAL_S:
            self.last_observation_s = now_s
            self.observe(now_s)
        for open_move in list(self.open_moves.values()):
            await self.advance(open_move, now_s)
        if now_s - self.last_plan_s >= PLAN_INTERVAL_S:
            self.last_plan_s = now_s
            self.plan(now_s)

    def observe(self, now_s: float) -> None:
        """Record the demand of each pool."""
        state = self.log.state
        demand: Counter[str] = Counter()
        for service in state.services.values():
            demand[service.document.service.pool] += self.demand(service)
        self.demand_trends = {
            name: observe_demand(
                self.demand_trends.get(name, DemandTrend()), demand[name], now_s
            )
            for name in state.pools
        }

    def demand(self, service: Service) -> float:
        """Return the slots that a service uses and its queued jobs need."""
        state = self.log.state
        queued = state.indexes.queued_by_service.count(service.name)
        targets = state.indexes.targets_by_service.groups.get(service.name, {})
        used = sum(slots_in_use(state, name) for name in targets)
        slots = sum(target.slots for target in targets.values())
        return used + min(queued, MAX_QUEUED_DEMAND_RATIO * slots)

    def plan(self, now_s: float) -> None:
        """Start the moves that the decision returns."""
        state = self.log.state
        spare = any(pool.spare for pool in state.pools.values())
        buffer = buffer_size(
            loss_scenarios(state), MAX_BUFFER_HOSTS if spare else 0, self.weights
        )
        moves = plan_moves(self.pool_views(state), buffer.hosts, now_s, self.weights)
        for move in moves:
            self.start_move(move, buffer, now_s)

    def start_move(self, move: HostMove, buffer: BufferChoice, now_s: float) -> None:
        """Start a move unless it would exceed an availability budget."""
        subject = f"host/{move.host}"
        refusal = budget_refusal(self.log.state, self.log.state.hosts[move.host])
        if refusal is not None:
            text = f"not moved to {move.to_pool!r}: {refusal}"
            self.jobs.record_decision(DecisionKind.HOLD, subject, text)
            return
        self.open_moves[move.host] = OpenMove(move, now_s)
        self.last_changed_s[move.from_pool] = self.last_changed_s[move.to_pool] = now_s
        text = f"from {move.from_pool!r} to {move.to_pool!r}: {move.cause}"
        self.jobs.record_decision(DecisionKind.MOVE, subject, text)
        if buffer.cause:
            self.jobs.record_decision(DecisionKind.MOVE, "buffer", buffer.cause)

    async def advance(self, open_move: OpenMove, now_s: float) -> None:
        """Drain a host, then move it if it is still in its old pool."""
        move = open_move.move
        state = self.log.state
        host = state.hosts.get(move.host)
        is_obsolete = host is None or host.pool != move.from_pool
        if (
            is_obsolete
            or host.phase != HostPhase.SERVING
            or now_s - open_move.started_s > MOVE_TIMEOUT_S
        ):
            del self.open_moves[move.host]
            text = f"move to {move.to_pool!r} abandoned"
            self.jobs.record_decision(DecisionKind.HOLD, f"host/{move.host}", text)
            return
        targets = state.indexes.targets_by_host.rows(move.host)
        for target in targets:
            if target.phase == TargetPhase.SERVING:
                await self.log.propose(
                    LeaveTarget(target.name, target.generation, within_budgets=True)
                )
        if any(slots_in_use(state, target.name) for target in targets):
            return
        command = MoveHost(move.host, move.from_pool, move.to_pool)
        outcome = await self.log.propose(command)
        self.open_moves.pop(move.host, None)
        if isinstance(outcome, Ok):
            self.last_changed_s[move.to_pool] = now_s

    def pool_views(self, state: ClusterState) -> Iterator[PoolView]:
        """Yield the pools as input to the decision."""
        min_hosts: Counter[str] = Counter()
        for service in state.services.values():
            document = service.document
            name = document.service.pool
            min_hosts[name] = max(
                min_hosts[name], document.availability.min_hosts_serving
            )
        for pool in state.pools.values():
            yield self.pool_view(state, pool, min_hosts[pool.name])

    def pool_view(self, state: ClusterState, pool: Pool, min_hosts: int) -> PoolView:
        """Return one pool as input to the decision."""
        hosts = [
            host
            for host in state.indexes.hosts_by_pool.rows(pool.name)
            if host.phase == HostPhase.SERVING and host.name not in self.open_moves
        ]
        slots = {host.name: serving_slots(state, host) for host in hosts}
        serving_counts = [count for count in slots.values() if count]
        busy = {host.name: busy_slots(state, host) for host in hosts}
        movable = sorted(slots, key=lambda name: (busy[name], name))
        return PoolView(
            pool=pool.name,
            spare=pool.spare,
            hosts=tuple(movable),
            serving=len(hosts) if pool.spare else len(serving_counts),
            min_hosts=min_hosts,
            slots_per_host=sum(serving_counts) / len(serving_counts)
            if serving_counts
            else 0.0,
            trend=self.demand_trends.get(pool.name, DemandTrend()),
            changed_s=self.last_changed_s.get(pool.name, self.leader_since_s or 0.0),
            arriving=0 if pool.spare else len(hosts) - len(serving_counts),
        )


def serving_slots(state: ClusterState, host: Host) -> int:
    """Return the slots of the host's serving targets."""
    targets = state.indexes.targets_by_host.groups.get(host.name, {})
    return sum(one.slots for one in targets.values() if one.phase == "serving")


def busy_slots(state: ClusterState, host: Host) -> int:
    """Return the slots in use on a host."""
    targets = state.indexes.targets_by_host.groups.get(host.name, {})
    return sum(slots_in_use(state, name) for name in targets)


def loss_scenarios(state: ClusterState) -> tuple[LossScenario, ...]:
    """
    Return the losses of a host, a rack and a zone, each for the most affected pool.

    A scenario needs spare hosts if a pool would have fewer hosts than the minimum
    that one of its services requires.
    """
    lost = {"host": 0, "rack": 0, "zone": 0}
    needed = {"host": 0, "rack": 0, "zone": 0}
    total = 0
    min_hosts: Counter[str] = Counter()
    for service in state.services.values():
        document = service.document
        pool = document.service.pool
        min_hosts[pool] = max(min_hosts[pool], document.availability.min_hosts_serving)
    for pool in state.pools.values():
        if pool.spare:
            continue
        hosts = state.indexes.hosts_by_pool.rows(pool.name)
        total += len(hosts)
        for name, count in worst_losses(hosts).items():
            lost[name] = max(lost[name], count)
            shortfall = min_hosts[pool.name] - (len(hosts) - count)
            needed[name] = max(needed[name], min(count, shortfall))
    rates = (
        ("host", HOSTS_LOST_PER_MONTH * total, HOST_REPAIR_H),
        ("rack", RACKS_LOST_PER_MONTH, RACK_REPAIR_H),
        ("zone", ZONES_LOST_PER_MONTH, ZONE_REPAIR_H),
    )
    return tuple(
        LossScenario(name, lost[name], per_month, repair_h, needed[name])
        for name, per_month, repair_h in rates
    )


def worst_losses(hosts: tuple[Host, ...]) -> dict[str, int]:
    """Return the maximum of hosts lost with a host, a rack or a zone."""
    racks = Counter((host.availability_zone, host.rack) for host in hosts)
    zones = Counter(host.availability_zone for host in hosts)
    return {
        "host": min(1, len(hosts)),
        "rack": max(racks.values(), default=0),
        "zone": max(zones.values(), default=0),
    }
