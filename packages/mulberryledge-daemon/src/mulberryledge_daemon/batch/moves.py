"""
mulberryledge_daemon.batch.moves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that moves hosts between pools to match the current demand of each
pool's queues. Only empty hosts are moved.
"""

import logging
from collections import Counter, defaultdict, deque
from dataclasses import replace

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import EndIncarnation, SubmitJob
from mulberryledge_core.batch.demand import ArrivalRate
from mulberryledge_core.batch.loads import pool_loads
from mulberryledge_core.batch.ordering import OrderPolicy
from mulberryledge_core.batch.pools import PoolPolicy, requested_hosts
from mulberryledge_core.batch.sizes import NOTHING, Size
from mulberryledge_core.batch.state import BatchState
from mulberryledge_daemon.batch.hosts import HostTable, KnownHost
from mulberryledge_daemon.batch.ports import Cloud, CloudOutcome
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["HostMover"]

BALANCE_INTERVAL_MS = 100
ARRIVAL_TIMEOUT_MS = 5_000  # after which a moved host counts as lost in transit
RETRY_S = 0.5  # before an order without an answer is repeated
LIST_RETRY_MS = 2_000
CALL_WINDOW_S = 0.2  # of orders at the cloud's rate that may be under way
MIN_CALLS = 8
SURPLUS_CALL_SHARE = 0.5  # of the orders under way, for hosts that only leave a pool

# Before another order for a host, after a refusal.
RETRY_DELAYS_MS = {
    CloudOutcome.BUSY: 2_000,
    CloudOutcome.NOT_OF_WAVE: 2_000,
    CloudOutcome.THROTTLED: 500,
}

logger = logging.getLogger(__name__)


class HostMover:
    """
    Owns the moves while this daemon leads.

    Parameters
    ----------
    calls_per_s : float
        Rate of orders that the cloud accepts.

    Attributes
    ----------
    max_calls : int
        Maximum number of hosts in ``calling``: further hosts stay in use until the
        cloud can take their orders.
    calling : set of str
        Hosts with a call to the cloud in progress, or whose outcome is unknown.
    replaced : dict of str to str
        By host in ``calling``: incarnation on it when its move was first ordered.
    arrival_rates : dict of str to ArrivalRate
        By queue: work that arrives per unit of time.
    recent_requests : dict of str to deque
        By pool: times and numbers of hosts requested within the surplus period.
    emptying : set of str
        Cordon of hosts that are to leave their pool.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        cloud: Cloud,
        table: HostTable,
        handover_ms: int,
        policy: PoolPolicy,
        calls_per_s: float = 64.0,
    ):
        self.scheduler = scheduler
        self.max_calls = max(MIN_CALLS, int(calls_per_s * CALL_WINDOW_S))
        self.state: BatchState = scheduler.state
        self.cloud = cloud
        self.table = table
        self.handover_ms = handover_ms
        self.policy = policy
        self.arrival_rates: dict[str, ArrivalRate] = defaultdict(ArrivalRate)
        self.calling: set[str] = set()
        self.replaced: dict[str, str] = {}
        self.recent_requests: dict[str, deque[tuple[int, int]]] = defaultdict(deque)
        self.last_balance_ms = self.last_listing_ms = 0
        self.emptying = scheduler.cordon()
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.tick_callbacks.append(self.tick)
        scheduler.commit_callbacks.append(self.on_changes)

    def on_changes(self, changes: tuple[object, ...]) -> None:
        """Add submitted jobs to the arrival rates."""
        for change in changes:
            if isinstance(change, SubmitJob):
                work = self.scheduler.durations.expected_work(change.queue, change.spec)
                self.arrival_rates[change.queue].add(work, self.scheduler.wall_ms())

    def on_takeover(self) -> None:
        """Discard what other leaders may have changed."""
        self.calling.clear()
        self.replaced.clear()
        self.recent_requests.clear()
        self.table.reset()

    def tick(self) -> None:
        """Balance the pools at intervals, once the hosts are known."""
        now = self.scheduler.now()
        if now - self.last_balance_ms < BALANCE_INTERVAL_MS:
            return
        if not self.scheduler.may_order_cloud(self.handover_ms):
            return
        self.last_balance_ms = now
        if not self.table.complete:
            self.list_hosts(now)
            return
        self.table.apply_announcements()
        self.balance(now)

    def list_hosts(self, now: int) -> None:
        """Read the cloud's list, and retry at intervals if that fails."""
        if (
            now - self.last_listing_ms >= LIST_RETRY_MS
            and self.state.configuration.version
        ):
            self.last_listing_ms = now
            ensureDeferred(self.table.read_list()).addErrback(self.on_error)

    def balance(self, now: int) -> None:
        """Move hosts from pools with a surplus to pools with a shortage."""
        spare = self.spare_pool()
        if spare is None:
            return
        serving = self.serving_hosts(now)
        spare_count = sum(
            known.pool == spare and self.is_idle_spare(known, now)
            for known in self.table.hosts.values()
        )
        requested = self.requested_hosts(serving, spare_count)
        shortage = {
            pool: count - len(serving.get(pool, ()))
            for pool, count in requested.items()
        }
        self.limit_surplus(requested, serving, shortage, now)
        self.lift_cordons(shortage)
        free = self.free_hosts(serving, shortage, spare, now)
        for pool in sorted(shortage, key=lambda one: -shortage[one]):
            for _ in range(min(shortage[pool], self.max_calls - len(self.calling))):
                source = self.take_host(free, serving, spare, pool)
                if source is None:
                    break
                self.start_move(source, pool)
        leaving = [
            host for pool, hosts in free.items() if pool != spare for host in hosts
        ]
        max_leaving = int(self.max_calls * SURPLUS_CALL_SHARE) - len(self.calling)
        for host in leaving[: max(0, max_leaving)]:
            self.start_move(host, spare)

    def spare_pool(self) -> str | None:
        """Return the spare pool, whose hosts cost nothing."""
        for pool in self.state.configuration.pools:
            if pool.spare:
                return pool.name
        return None

    def requested_hosts(
        self, serving: dict[str, list[KnownHost]], spare_count: int
    ) -> dict[str, int]:
        """
        Return how many hosts each pool with a queue needs.

        While the load of a pool requires more hosts and none is spare, requests apart
        from load do not count: a pool that always asks for one more would keep all.
        """
        loads = pool_loads(
            self.state,
            self.scheduler.durations,
            self.arrival_rates,
            self.scheduler.wall_ms(),
            OrderPolicy(),
        )
        requested = {
            pool: requested_hosts(replace(load, host=self.host_size(pool)), self.policy)
            for pool, load in loads.items()
        }
        if not self.state.jobs:
            requested = dict.fromkeys(requested, self.policy.initial_hosts)
        is_short = any(
            count > len(serving.get(pool, ())) for pool, count in requested.items()
        )
        if is_short and not spare_count:
            return requested
        for request in self.scheduler.host_requests:
            for pool, extra in request().items():
                have = len(serving.get(pool, ()))
                requested[pool] = max(requested.get(pool, 0), have + extra)
        return requested

    def host_size(self, pool: str) -> Size:
        """Return the capacity of a host of a pool, or of any host if it has none."""
        sizes = [
            one.place.capacity for one in self.table.hosts.values() if one.pool == pool
        ]
        sizes = sizes or [one.place.capacity for one in self.table.hosts.values()]
        return sizes[0] if sizes else NOTHING

    def serving_hosts(self, now: int) -> dict[str, list[KnownHost]]:
        """
        Return the hosts that serve each pool, or are moving to it.

        A host whose move is ordered serves its pool no more: while the cloud is slow it
        would be counted as surplus again, and the pool's last hosts would be emptied.
        Hosts whose targets are excluded serve it again soon, so they count as long as
        the pool has another one.
        """
        serving = defaultdict(list)
        for known in self.table.hosts.values():
            if known.host in self.calling and not self.has_arrived(known.host):
                continue
            incarnation = self.table.incarnation_on(known.host)
            if known.moved_ms is not None:
                if now - known.moved_ms < ARRIVAL_TIMEOUT_MS:
                    serving[known.pool].append(known)
            elif (
                incarnation
                and incarnation != known.former_incarnation
                and self.serves(known, incarnation)
            ):
                serving[known.pool].append(known)
        for pool, hosts in serving.items():
            if all(self.is_excluded(known, now) for known in hosts):
                serving[pool] = []
        return serving

    def is_excluded(self, known: KnownHost, now: int) -> bool:
        """Return whether the target on a host is excluded from placement."""
        session = self.scheduler.sessions.get(self.table.incarnation_on(known.host))
        return session is not None and session.health.excluded(now)

    def serves(self, known: KnownHost, incarnation: str) -> bool:
        """Return whether a host takes new work, ignoring this task's own cordon."""
        session = self.scheduler.sessions.get(incarnation)
        return (
            session is not None
            and session.silent_since_ms is None
            and not session.target.draining
            and not self.scheduler.is_cordoned(known.host, self.emptying)
        )

    def limit_surplus(
        self,
        requested: dict[str, int],
        serving: dict[str, list[KnownHost]],
        shortage: dict[str, int],
        now: int,
    ) -> None:
        """Reduce the surplus to hosts that no recent request has included."""
        for pool, count in requested.items():
            recent = self.recent_requests[pool]
            recent.append((now, count))
            while recent[0][0] < now - self.policy.surplus_ms:
                recent.popleft()
            if shortage[pool] < 0:
                max_recent = max(count for _, count in recent)
                shortage[pool] = min(0, max_recent - len(serving.get(pool, ())))

    def lift_cordons(self, shortage: dict[str, int]) -> None:
        """
        Lift the cordon of hosts whose pool has no surplus any more.

        A host whose move is ordered keeps it until it has arrived: its runs would end
        with the move.
        """
        for host in list(self.emptying):
            if host in self.calling and not self.has_arrived(host):
                continue
            known = self.table.hosts.get(host)
            if known is None or shortage.get(known.pool, 0) >= 0:
                self.emptying.discard(host)

    def has_arrived(self, host: str) -> bool:
        """Return whether a host has a new target since its move was ordered."""
        incarnation = self.table.incarnation_on(host)
        return incarnation not in ("", self.replaced.get(host, incarnation))

    def free_hosts(
        self,
        serving: dict[str, list[KnownHost]],
        shortage: dict[str, int],
        spare: str,
        now: int,
    ) -> dict[str, list[str]]:
        """Return the empty hosts that may leave, by pool, and cordon further ones."""
        free: dict[str, list[str]] = defaultdict(list)
        for known in self.table.hosts.values():
            if known.pool == spare and self.is_idle_spare(known, now):
                free[spare].append(known.host)
        for pool, hosts in serving.items():
            surplus = -shortage.get(pool, 0) if pool != spare else 0
            if surplus > 0:
                free[pool] = self.empty_surplus(hosts, surplus, now)
        return free

    def is_idle_spare(self, known: KnownHost, now: int) -> bool:
        """Return whether a host of the spare pool can be moved now."""
        return not self.table.in_transit(known.host) and self.is_movable(known, now)

    def is_movable(self, known: KnownHost, now: int) -> bool:
        """Return whether nothing forbids an order for a host now."""
        return (
            known.host not in self.calling
            and known.blocked_until_ms <= now
            and not self.scheduler.is_cordoned(known.host, self.emptying)
            and not self.scheduler.in_upkeep(known.host)
        )

    def empty_surplus(self, hosts: list[KnownHost], count: int, now: int) -> list[str]:
        """Return empty hosts from a pool's surplus, and cordon the busy ones."""
        ranked = []
        for known in hosts:
            if known.moved_ms is not None or not self.is_movable(known, now):
                continue
            runs = self.state.live_runs(self.table.incarnation_on(known.host))
            long_running = any(
                self.state.spec_of(key[0].step_id).long_running for key in runs
            )
            if not long_running:
                ranked.append((len(runs), known.host))
        ranked.sort()
        leaving = ranked[:count]
        for runs, host in leaving:
            if runs:
                self.emptying.add(host)
        return [host for runs, host in leaving if not runs]

    def take_host(
        self,
        free: dict[str, list[str]],
        serving: dict[str, list[KnownHost]],
        spare: str,
        pool: str,
    ) -> str | None:
        """Take a host from another pool's surplus, otherwise from the spare pool."""
        racks = Counter(known.rack for known in serving.get(pool, ()))
        for source in sorted(free, key=lambda one: one == spare):
            if source != pool and free[source]:
                host = min(free[source], key=lambda one: racks[self.rack_of(one)])
                free[source].remove(host)
                return host
        return None

    def rack_of(self, host: str) -> str:
        """Return the rack of a known host."""
        return self.table.hosts[host].rack

    def start_move(self, host: str, pool: str) -> None:
        """Start to move an empty host."""
        if host in self.calling:
            return
        self.calling.add(host)
        self.emptying.add(host)
        self.call_cloud(host, pool)

    def call_cloud(self, host: str, pool: str) -> None:
        """Order a move, and repeat the order if it fails unexpectedly."""
        moved = ensureDeferred(self.run_move(host, pool))
        moved.addErrback(self.on_error)
        moved.addCallback(lambda failed: failed and self.retry_move(host, pool))

    def retry_move(self, host: str, pool: str) -> None:
        """Repeat an order that may have been carried out."""
        self.scheduler.call_later(RETRY_S, lambda: self.call_cloud(host, pool))

    def on_error(self, failure) -> bool:
        """Log an unexpected error, and return that there was one."""
        logger.critical("moves failed", extra={"failure": failure.getTraceback()})
        return True

    async def run_move(self, host: str, pool: str) -> None:
        """Order a move, and process the outcome."""
        term = self.scheduler.term
        await self.scheduler.cycles.when_idle()
        if term != self.scheduler.term:
            return
        incarnation = self.table.incarnation_on(host)
        replaced = self.replaced.setdefault(host, incarnation)
        if (
            host not in self.table.hosts
            or not self.scheduler.may_order()
            or self.state.live_runs(incarnation)
        ):
            self.release(host)
            return
        source = self.table.hosts[host].pool
        outcome = await self.cloud.move(host, pool, self.scheduler.fence)
        if term != self.scheduler.term:
            return
        extra = {"host": host, "from": source, "to": pool, "outcome": outcome}
        logger.info("host moved", extra=extra)
        if outcome == CloudOutcome.DONE:
            if replaced:
                self.scheduler.cycles.submit(EndIncarnation(replaced))
            self.table.record_move(host, pool, replaced, self.scheduler.now())
            self.release(host)
        elif outcome == CloudOutcome.FENCED:
            self.scheduler.fenced_off(host)
        elif outcome == CloudOutcome.UNKNOWN:
            self.retry_move(host, pool)
        else:
            self.release(host)
            if outcome == CloudOutcome.INVALID:
                self.table.remove(host)
            else:
                delay_ms = RETRY_DELAYS_MS[outcome]
                self.table.block(host, self.scheduler.now() + delay_ms)

    def release(self, host: str) -> None:
        """Allow other orders and new runs on a host again."""
        self.calling.discard(host)
        self.emptying.discard(host)
        self.replaced.pop(host, None)
