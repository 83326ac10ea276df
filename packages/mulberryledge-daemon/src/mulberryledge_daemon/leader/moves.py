"""
mulberryledge_daemon.leader.moves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves hosts between pools: chosen by demand, drained, then moved by compare-and-set.
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
from mulberryledge_daemon.leader.jobs import Jobs
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Moves", "loss_scenarios"]

OBSERVE_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 10.0
GIVE_UP_S = 900.0
MAX_QUEUED_DEMAND = 5.0  # times the pool's capacity
MAX_BUFFER_HOSTS = 64

HOSTS_LOST_PER_MONTH = 0.63  # of one host: 21 of 1,000 hosts on a day
RACKS_LOST_PER_MONTH = 0.7
ZONES_LOST_PER_MONTH = 0.33
HOST_REPAIR_H = 4.0
RACK_REPAIR_H = 4.0
ZONE_REPAIR_H = 1.0


@dataclass(frozen=True, slots=True)
class OpenMove:
    """A move that drains its host, and when it began, in seconds."""

    move: HostMove
    since_s: float


class Moves:
    """
    Owns the demand trends and the moves under way.

    A move under way is not in the log: a host drains because its targets are
    told to leave, and after a change of leader they just come back. So no host
    is left out of service half-way.
    """

    def __init__(
        self, clock: IReactorTime, log: ReplicatedLog, jobs: Jobs, weights: Weights
    ):
        self.clock = clock
        self.log = log
        self.jobs = jobs
        self.weights = weights
        self.trends: dict[str, DemandTrend] = {}
        self.changed_s: dict[str, float] = {}
        self.open: dict[str, OpenMove] = {}
        self.began_s: float | None = None
        self.observed_s = 0.0
        self.planned_s = 0.0

    def step_down(self) -> None:
        """Forget what only a leader may know."""
        self.trends = {}
        self.changed_s = {}
        self.open = {}
        self.began_s = None

    async def tick(self) -> None:
        """Observe demand, carry the open moves on, and plan new ones."""
        now_s = self.clock.seconds()
        if self.began_s is None:
            self.began_s = self.planned_s = now_s
        if now_s - self.observed_s >= OBSERVE_INTERVAL_S:
            self.observed_s = now_s
            self.observe(now_s)
        for one in list(self.open.values()):
            await self.carry_on(one, now_s)
        if now_s - self.planned_s >= PLAN_INTERVAL_S:
            self.planned_s = now_s
            self.plan(now_s)

    def observe(self, now_s: float) -> None:
        """Record the demand of each pool."""
        state = self.log.state
        demand: Counter[str] = Counter()
        for service in state.services.values():
            demand[service.document.service.pool] += self.demand(service)
        self.trends = {
            name: observe_demand(
                self.trends.get(name, DemandTrend()), demand[name], now_s
            )
            for name in state.pools
        }

    def demand(self, service: Service) -> float:
        """Return the slots that a service uses and waits for."""
        state = self.log.state
        queued = state.indexes.queued_by_service.count(service.name)
        targets = state.indexes.targets_by_service.groups.get(service.name, {})
        used = sum(slots_in_use(state, name) for name in targets)
        slots = sum(target.slots for target in targets.values())
        return used + min(queued, MAX_QUEUED_DEMAND * slots)

    def plan(self, now_s: float) -> None:
        """Begin the moves that the decision asks for."""
        state = self.log.state
        spare = any(pool.spare for pool in state.pools.values())
        buffer = buffer_size(
            loss_scenarios(state), MAX_BUFFER_HOSTS if spare else 0, self.weights
        )
        moves = plan_moves(self.views(state), buffer.hosts, now_s, self.weights)
        for move in moves:
            self.begin(move, buffer, now_s)

    def begin(self, move: HostMove, buffer: BufferChoice, now_s: float) -> None:
        """Begin a move unless a promise of availability is against it."""
        subject = f"host/{move.host}"
        refusal = budget_refusal(self.log.state, self.log.state.hosts[move.host])
        if refusal is not None:
            text = f"not moved to {move.to_pool!r}: {refusal}"
            self.jobs.note(DecisionKind.HOLD, subject, text)
            return
        self.open[move.host] = OpenMove(move, now_s)
        self.changed_s[move.from_pool] = self.changed_s[move.to_pool] = now_s
        text = f"from {move.from_pool!r} to {move.to_pool!r}: {move.cause}"
        self.jobs.note(DecisionKind.MOVE, subject, text)
        if buffer.cause:
            self.jobs.note(DecisionKind.MOVE, "buffer", buffer.cause)

    async def carry_on(self, one: OpenMove, now_s: float) -> None:
        """Drain a host, then move it if it still is where it was."""
        move = one.move
        state = self.log.state
        host = state.hosts.get(move.host)
        gone = host is None or host.pool != move.from_pool
        if gone or host.phase != HostPhase.SERVING or now_s - one.since_s > GIVE_UP_S:
            del self.open[move.host]
            text = f"move to {move.to_pool!r} given up"
            self.jobs.note(DecisionKind.HOLD, f"host/{move.host}", text)
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
        self.open.pop(move.host, None)
        if isinstance(outcome, Ok):
            self.changed_s[move.to_pool] = now_s

    def views(self, state: ClusterState) -> Iterator[PoolView]:
        """Yield the pools as the decision sees them."""
        least: Counter[str] = Counter()
        for service in state.services.values():
            document = service.document
            name = document.service.pool
            least[name] = max(least[name], document.availability.min_hosts_serving)
        for pool in state.pools.values():
            yield self.view(state, pool, least[pool.name])

    def view(self, state: ClusterState, pool: Pool, least: int) -> PoolView:
        """Return one pool as the decision sees it."""
        hosts = [
            host
            for host in state.indexes.hosts_by_pool.rows(pool.name)
            if host.phase == HostPhase.SERVING and host.name not in self.open
        ]
        slots = {host.name: serving_slots(state, host) for host in hosts}
        filled = [count for count in slots.values() if count]
        busy = {host.name: busy_slots(state, host) for host in hosts}
        movable = sorted(slots, key=lambda name: (busy[name], name))
        return PoolView(
            pool=pool.name,
            spare=pool.spare,
            hosts=tuple(movable),
            serving=len(hosts) if pool.spare else len(filled),
            min_hosts=least,
            slots_per_host=sum(filled) / len(filled) if filled else 0.0,
            trend=self.trends.get(pool.name, DemandTrend()),
            changed_s=self.changed_s.get(pool.name, self.began_s or 0.0),
            arriving=0 if pool.spare else len(hosts) - len(filled),
        )


def serving_slots(state: ClusterState, host: Host) -> int:
    """Return the slots of the host's targets that take new work."""
    targets = state.indexes.targets_by_host.groups.get(host.name, {})
    return sum(one.slots for one in targets.values() if one.phase == "serving")


def busy_slots(state: ClusterState, host: Host) -> int:
    """Return the slots in use on a host."""
    targets = state.indexes.targets_by_host.groups.get(host.name, {})
    return sum(slots_in_use(state, name) for name in targets)


def loss_scenarios(state: ClusterState) -> tuple[LossScenario, ...]:
    """
    Return the losses of a host, a rack and a zone, the worst pool's for each.

    A scenario needs spare hosts where a pool would be left with fewer hosts than
    one of its services promises to keep.
    """
    lost = {"host": 0, "rack": 0, "zone": 0}
    needed = {"host": 0, "rack": 0, "zone": 0}
    total = 0
    least: Counter[str] = Counter()
    for service in state.services.values():
        document = service.document
        pool = document.service.pool
        least[pool] = max(least[pool], document.availability.min_hosts_serving)
    for pool in state.pools.values():
        if pool.spare:
            continue
        hosts = state.indexes.hosts_by_pool.rows(pool.name)
        total += len(hosts)
        for name, count in worst_losses(hosts).items():
            lost[name] = max(lost[name], count)
            short = least[pool.name] - (len(hosts) - count)
            needed[name] = max(needed[name], min(count, short))
    rates = (
        ("host", HOSTS_LOST_PER_MONTH * total, HOST_REPAIR_H),
        ("rack", RACKS_LOST_PER_MONTH, RACK_REPAIR_H),
        ("zone", ZONES_LOST_PER_MONTH, ZONE_REPAIR_H),
    )
    return tuple(
        LossScenario(name, lost[name], per_month, lasts_h, needed[name])
        for name, per_month, lasts_h in rates
    )


def worst_losses(hosts: tuple[Host, ...]) -> dict[str, int]:
    """Return the most hosts that a pool loses with a host, a rack or a zone."""
    racks = Counter((host.availability_zone, host.rack) for host in hosts)
    zones = Counter(host.availability_zone for host in hosts)
    return {
        "host": min(1, len(hosts)),
        "rack": max(racks.values(), default=0),
        "zone": max(zones.values(), default=0),
    }
