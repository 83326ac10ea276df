"""
mulberryledge_daemon.batch.moves
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that moves hosts between pools, so that each pool has as many as its
queues need now. Only empty hosts are moved.
"""

import logging
from collections import Counter, defaultdict, deque
from dataclasses import replace

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import EndLife, SubmitJob
from mulberryledge_core.batch.demand import ArrivalRate
from mulberryledge_core.batch.loads import pool_loads
from mulberryledge_core.batch.ordering import OrderPolicy
from mulberryledge_core.batch.pools import PoolPolicy, wanted_hosts
from mulberryledge_core.batch.sizes import NOTHING, Size
from mulberryledge_core.batch.state import BatchState
from mulberryledge_daemon.batch.hosts import HostTable, KnownHost
from mulberryledge_daemon.batch.ports import Cloud, CloudOutcome
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["Moves"]

INTERVAL_MS = 100  # between two looks at the pools
ARRIVAL_TIMEOUT_MS = 5_000  # after which a moved host counts as lost on its way
BUSY_MS = 2_000  # a host that the cloud calls busy is left alone for so long
RETRY_S = 0.5  # between two orders for one host, if the first got no answer
LIST_RETRY_MS = 2_000

logger = logging.getLogger(__name__)


class Moves:
    """
    Owns the moves while this daemon leads.

    Attributes
    ----------
    calling : set of str
        Hosts with a call to the cloud under way.
    recent : dict of str to deque
        By pool: how many hosts it asked for of late, with times.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        cloud: Cloud,
        table: HostTable,
        holder_ms: int,
        policy: PoolPolicy,
    ):
        self.scheduler = scheduler
        self.state: BatchState = scheduler.state
        self.cloud = cloud
        self.table = table
        self.holder_ms = holder_ms
        self.policy = policy
        self.rates: dict[str, ArrivalRate] = defaultdict(ArrivalRate)
        self.calling: set[str] = set()
        self.recent: dict[str, deque[tuple[int, int]]] = defaultdict(deque)
        self.looked_ms = self.listed_ms = 0
        self.emptying = scheduler.cordon()
        scheduler.beginnings.append(self.begin)
        scheduler.followers.append(self.tick)
        scheduler.watchers.append(self.on_changes)

    # What is learned.

    def on_changes(self, changes: tuple[object, ...]) -> None:
        """Take the jobs that arrive into account."""
        for change in changes:
            if isinstance(change, SubmitJob):
                work = self.scheduler.durations.work_of(change.queue, change.spec)
                self.rates[change.queue].add(work, self.scheduler.wall_ms())

    # What is decided.

    def begin(self) -> None:
        """Forget what other leaders may have changed."""
        self.calling.clear()
        self.recent.clear()
        self.table.forget()

    def tick(self) -> None:
        """Move what should be elsewhere."""
        now = self.scheduler.now()
        if now - self.looked_ms < INTERVAL_MS:
            return
        if not self.scheduler.may_order_cloud(self.holder_ms):
            return
        self.looked_ms = now
        if not self.table.complete:
            self.list_hosts(now)
            return
        self.table.follow_targets()
        self.balance(now)

    def list_hosts(self, now: int) -> None:
        """Read the cloud's list, again after a while if it can't be had."""
        if now - self.listed_ms >= LIST_RETRY_MS and self.state.configuration.version:
            self.listed_ms = now
            ensureDeferred(self.table.read_list()).addErrback(self.broken)

    def balance(self, now: int) -> None:
        """Fill the pools that lack hosts from those that have too many."""
        spare = self.spare_pool()
        if spare is None:
            return
        owned = self.owned(now)
        wanted = self.wanted(owned)
        lacking = {
            pool: count - len(owned.get(pool, ())) for pool, count in wanted.items()
        }
        self.keep_recent(wanted, owned, lacking, now)
        self.stop_emptying(lacking)
        free = self.movable(owned, lacking, spare, now)
        for pool in sorted(lacking, key=lambda one: -lacking[one]):
            for _ in range(lacking[pool]):
                source = self.take(free, owned, spare, pool)
                if source is None:
                    break
                self.move(source, pool)
        for pool, hosts in free.items():
            if pool != spare:
                for host in hosts:
                    self.move(host, spare)

    def spare_pool(self) -> str | None:
        """Return the pool whose hosts cost nothing."""
        for pool in self.state.configuration.pools:
            if pool.spare:
                return pool.name
        return None

    def wanted(self, owned: dict[str, list[KnownHost]]) -> dict[str, int]:
        """Return how many hosts each pool with a queue should have."""
        loads = pool_loads(
            self.state,
            self.scheduler.durations,
            self.rates,
            self.scheduler.wall_ms(),
            OrderPolicy(),
        )
        wanted = {
            pool: wanted_hosts(replace(load, host=self.host_size(pool)), self.policy)
            for pool, load in loads.items()
        }
        if not self.state.jobs:
            wanted = dict.fromkeys(wanted, self.policy.first)
        for wish in self.scheduler.wishes:
            for pool, more in wish().items():
                have = len(owned.get(pool, ()))
                wanted[pool] = max(wanted.get(pool, 0), have + more)
        return wanted

    def host_size(self, pool: str) -> Size:
        """Return what a host of a pool holds, or any host if it has none."""
        sizes = [
            one.place.capacity for one in self.table.hosts.values() if one.pool == pool
        ]
        sizes = sizes or [one.place.capacity for one in self.table.hosts.values()]
        return sizes[0] if sizes else NOTHING

    def owned(self, now: int) -> dict[str, list[KnownHost]]:
        """Return the hosts that serve each pool, or soon will."""
        owned = defaultdict(list)
        for known in self.table.hosts.values():
            life = self.table.life_of(known.host)
            if known.moved_ms is not None:
                if now - known.moved_ms < ARRIVAL_TIMEOUT_MS:
                    owned[known.pool].append(known)
            elif life and life != known.former_life and self.serves(known, life):
                owned[known.pool].append(known)
        return owned

    def serves(self, known: KnownHost, life: str) -> bool:
        """Return whether a host takes new work, or would but for a move."""
        session = self.scheduler.sessions.get(life)
        return (
            session is not None
            and session.silent_ms is None
            and not session.target.draining
            and not self.scheduler.is_cordoned(known.host, self.emptying)
        )

    def keep_recent(
        self,
        wanted: dict[str, int],
        owned: dict[str, list[KnownHost]],
        lacking: dict[str, int],
        now: int,
    ) -> None:
        """Count as surplus only what no moment of late has asked for."""
        for pool, count in wanted.items():
            recent = self.recent[pool]
            recent.append((now, count))
            while recent[0][0] < now - self.policy.surplus_ms:
                recent.popleft()
            if lacking[pool] < 0:
                most = max(count for _, count in recent)
                lacking[pool] = min(0, most - len(owned.get(pool, ())))

    def stop_emptying(self, lacking: dict[str, int]) -> None:
        """Use the hosts again that were to leave a pool that needs them now."""
        for host in list(self.emptying):
            known = self.table.hosts.get(host)
            if known is None or lacking.get(known.pool, 0) >= 0:
                self.emptying.discard(host)

    def movable(
        self,
        owned: dict[str, list[KnownHost]],
        lacking: dict[str, int],
        spare: str,
        now: int,
    ) -> dict[str, list[str]]:
        """Return the hosts that may leave, by pool; empties those that are not yet."""
        free: dict[str, list[str]] = defaultdict(list)
        for known in self.table.hosts.values():
            if known.pool == spare and self.is_idle_spare(known, now):
                free[spare].append(known.host)
        for pool, hosts in owned.items():
            surplus = -lacking.get(pool, 0) if pool != spare else 0
            if surplus > 0:
                free[pool] = self.empty(hosts, surplus, now)
        return free

    def is_idle_spare(self, known: KnownHost, now: int) -> bool:
        """Return whether a host of the spare pool can be moved."""
        return not self.table.in_transit(known.host) and self.is_movable(known, now)

    def is_movable(self, known: KnownHost, now: int) -> bool:
        """Return whether an order for a host makes sense now."""
        return (
            known.host not in self.calling
            and known.blocked_ms <= now
            and not self.scheduler.is_cordoned(known.host, self.emptying)
            and not self.scheduler.in_upkeep(known.host)
        )

    def empty(self, hosts: list[KnownHost], count: int, now: int) -> list[str]:
        """Return empty hosts out of a pool's surplus, and empty some more."""
        ranked = []
        for known in hosts:
            if known.moved_ms is not None or not self.is_movable(known, now):
                continue
            runs = self.state.live_runs(self.table.life_of(known.host))
            lasting = any(
                self.state.spec_of(key[0].step_id).long_running for key in runs
            )
            if not lasting:
                ranked.append((len(runs), known.host))
        ranked.sort()
        leaving = ranked[:count]
        for runs, host in leaving:
            if runs:
                self.emptying.add(host)
        return [host for runs, host in leaving if not runs]

    def take(
        self,
        free: dict[str, list[str]],
        owned: dict[str, list[KnownHost]],
        spare: str,
        pool: str,
    ) -> str | None:
        """Take a host from another pool's surplus, or else from the spare pool."""
        racks = Counter(known.rack for known in owned.get(pool, ()))
        for source in sorted(free, key=lambda one: one == spare):
            if source != pool and free[source]:
                host = min(free[source], key=lambda one: racks[self.rack_of(one)])
                free[source].remove(host)
                return host
        return None

    def rack_of(self, host: str) -> str:
        """Return the rack of a host."""
        return self.table.hosts[host].rack

    # What is ordered.

    def move(self, host: str, pool: str) -> None:
        """Begin to move an empty host."""
        if host in self.calling:
            return
        self.calling.add(host)
        self.emptying.add(host)
        ensureDeferred(self.order(host, pool)).addErrback(self.broken)

    def broken(self, failure) -> None:
        """Log a failure of the program."""
        logger.critical("moves failed", extra={"failure": failure.getTraceback()})

    async def order(self, host: str, pool: str) -> None:
        """Move a host, and take note of where it is."""
        term = self.scheduler.term
        await self.scheduler.rounds.settled()
        if term != self.scheduler.term or host not in self.table.hosts:
            return
        life = self.table.life_of(host)
        if not self.scheduler.may_order() or self.state.live_runs(life):
            self.release(host)
            return
        source = self.table.hosts[host].pool
        outcome = await self.cloud.move(host, pool, self.scheduler.fence)
        if term != self.scheduler.term:
            return
        extra = {"host": host, "from": source, "to": pool, "outcome": outcome}
        logger.info("host moved", extra=extra)
        if outcome == CloudOutcome.DONE:
            if life:
                self.scheduler.rounds.submit(EndLife(life))
            self.table.moved(host, pool, life, self.scheduler.now())
            self.release(host)
        elif outcome == CloudOutcome.FENCED:
            self.scheduler.fenced_off(host)
        elif outcome in (CloudOutcome.UNKNOWN, CloudOutcome.THROTTLED):
            self.calling.discard(host)
            self.scheduler.after(RETRY_S, lambda: self.move(host, pool))
        else:
            self.release(host)
            if outcome == CloudOutcome.INVALID:
                self.table.drop(host)
            else:
                self.table.block(host, self.scheduler.now() + BUSY_MS)

    def release(self, host: str) -> None:
        """Count a host as free for other orders again."""
        self.calling.discard(host)
        self.emptying.discard(host)
