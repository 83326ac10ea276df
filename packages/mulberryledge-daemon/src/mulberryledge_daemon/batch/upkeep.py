"""
mulberryledge_daemon.batch.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task for waves: empties hosts, orders their upkeep from the cloud, and
records their return. A host that may be down counts as down until it has returned.

A host that is being emptied takes no work, but it may have long-running tasks that
can't leave it, or wait for its turn. It is reopened for a while once tasks wait that
only such hosts have room for, unless the pool is so busy that none would become empty.
"""

import logging
from collections import Counter

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import EndIncarnation, MarkUpkeep
from mulberryledge_core.batch.evacuation import choose_evacuations
from mulberryledge_core.batch.placing import fits_elsewhere, plan_starts
from mulberryledge_core.batch.records import HostUpkeep, UpkeepPhase, WaveRecord
from mulberryledge_core.batch.sizes import Tally
from mulberryledge_core.batch.specs import StepId
from mulberryledge_core.batch.state import RunKey
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.batch.upkeep import (
    HostLoad,
    UpkeepTiming,
    choose_hosts,
    hosts_at_once,
)
from mulberryledge_daemon.batch.hosts import HostTable
from mulberryledge_daemon.batch.ports import Cloud, CloudOutcome
from mulberryledge_daemon.batch.scheduler import Scheduler
from mulberryledge_daemon.batch.scheduling_cycles import CommitOutcome

__all__ = ["WaveController"]

RETRY_S = 0.5  # before an order that was not carried out is repeated
RETURN_MARGIN_MS = 1_000  # beyond the duration of an upkeep
LOST_MARGIN_MS = 4_000  # the same, for a host whose target should have announced itself
REOPEN_CHECK_MS = 250  # between two looks for tasks that wait for an emptied host
MAX_TASK_WAIT_MS = 1_500  # of tasks that only a host that is being emptied has room for
REOPENED_MS = 6_000  # for which a reopened host takes work
MIN_REOPENED_MS = 500  # the same if it becomes empty; waiting tasks are started by then
BUSY_SHARE = 0.5  # reserved share of a pool above which waiting tasks reopen no host

logger = logging.getLogger(__name__)


class WaveController:
    """
    Owns the progress of waves while this daemon leads.

    Attributes
    ----------
    calling : set of str
        Hosts with a change or a call to the cloud in progress, or a retry pending.
    away_since_ms : dict of (int, str) to int
        By wave and host: when this leader first saw that its upkeep had started, on
        the steady clock, since the time of day may jump.
    emptying : set of str
        Cordon of hosts that are emptied for their upkeep.
    reopened_ms : dict of str to int
        When a host that was being emptied was last reopened.
    waiting_since_ms : dict of StepId to int
        Since when a step has had idle tasks, in pools with hosts that are being
        emptied.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        cloud: Cloud,
        table: HostTable,
        upkeep_ms: int,
        handover_ms: int,
        timing: UpkeepTiming,
    ):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.cloud = cloud
        self.table = table
        self.upkeep_ms = upkeep_ms
        self.handover_ms = handover_ms
        self.timing = timing
        self.calling: set[str] = set()
        self.away_since_ms: dict[tuple[int, str], int] = {}
        self.emptying = scheduler.cordon()
        self.reopened_ms: dict[str, int] = {}
        self.waiting_since_ms: dict[StepId, int] = {}
        self.last_reopen_check_ms = 0
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.tick_callbacks.append(self.tick)

    def on_takeover(self) -> None:
        """Discard the calls and the times of an earlier term."""
        self.calling.clear()
        self.away_since_ms.clear()
        self.reopened_ms.clear()
        self.waiting_since_ms.clear()

    def tick(self) -> None:
        """Advance each open wave."""
        open_waves = [wave for wave in self.state.waves.values() if not wave.completed]
        waiting = {
            host
            for wave in open_waves
            for host, upkeep in wave.hosts.items()
            if upkeep.phase in (UpkeepPhase.WAITING, UpkeepPhase.ORDERED)
        }
        self.emptying &= waiting
        self.reopen_hosts()
        for wave in open_waves:
            self.record_returns(wave)
            self.choose_further(wave)
            if self.scheduler.may_order_cloud(self.handover_ms):
                self.order_for_empty(wave)
        self.evacuate()

    def record_returns(self, wave: WaveRecord) -> None:
        """Mark the hosts that have returned as done."""
        for host, upkeep in wave.hosts.items():
            if upkeep.phase != UpkeepPhase.STARTED:
                continue
            now = self.scheduler.now()
            away_ms = now - self.away_since_ms.setdefault((wave.wave, host), now)
            incarnation = self.state.incarnations_by_host.get(host, "")
            if incarnation and incarnation != upkeep.incarnation:
                # An earlier announcement predates the upkeep.
                back = away_ms >= self.upkeep_ms
            elif not upkeep.incarnation:
                back = away_ms > self.upkeep_ms + RETURN_MARGIN_MS
            else:
                back = away_ms > self.upkeep_ms + LOST_MARGIN_MS
            if back:
                self.mark(wave, host, UpkeepPhase.DONE)

    def mark(
        self, wave: WaveRecord, host: str, phase: UpkeepPhase, incarnation: str = ""
    ) -> None:
        """Record the phase of a host, unless a call for it is in progress."""
        if host in self.calling:
            return
        self.calling.add(host)
        done = self.scheduler.cycles.submit(
            MarkUpkeep(wave.wave, host, phase, incarnation)
        )
        done.addCallback(lambda _: self.calling.discard(host))
        extra = {"wave": wave.wave, "host": host, "phase": phase}
        logger.info("upkeep", extra=extra)

    def choose_further(self, wave: WaveRecord) -> None:
        """Choose further hosts to empty."""
        out = [
            host
            for host, upkeep in wave.hosts.items()
            if upkeep.may_be_down or host in self.emptying
        ]
        count = hosts_at_once(wave, self.state.now_ms, self.timing) - len(out)
        if count <= 0:
            return
        waiting = [
            self.load_of(host)
            for host, upkeep in wave.hosts.items()
            if upkeep.phase == UpkeepPhase.WAITING
            and host not in self.emptying
            and not self.is_reopened(host)
        ]
        sizes = Counter(target.pool for target in self.state.targets.values())
        emptied = Counter(self.load_of(host).pool for host in out)
        self.emptying.update(choose_hosts(waiting, emptied, sizes, count, self.timing))

    def is_reopened(self, host: str) -> bool:
        """Return whether a host was reopened lately, and may still get or have runs."""
        if host not in self.reopened_ms:
            return False
        open_ms = self.scheduler.now() - self.reopened_ms[host]
        incarnation = self.state.incarnations_by_host.get(host, "")
        limit_ms = REOPENED_MS if self.state.live_runs(incarnation) else MIN_REOPENED_MS
        return open_ms < limit_ms

    def reopen_hosts(self) -> None:
        """Reopen the hosts being emptied that tasks have waited for too long."""
        now = self.scheduler.now()
        if now - self.last_reopen_check_ms < REOPEN_CHECK_MS:
            return
        self.last_reopen_check_ms = now
        pools = self.pools_being_emptied()
        self.update_waiting_steps(pools, now)
        overdue = {
            step_id
            for step_id, since_ms in self.waiting_since_ms.items()
            if now - since_ms >= MAX_TASK_WAIT_MS
        }
        if overdue:
            overdue = self.steps_that_may_reopen(overdue)
        if not overdue:
            return
        view = self.scheduler.view(pools, ignored_cordon=self.emptying)
        for start in plan_starts(view):
            step_id = StepId(start.job_id, start.occurrence, start.step)
            host = self.state.targets[start.incarnation].host
            if (
                step_id in overdue
                and host in self.emptying - self.calling
                and not self.scheduler.in_upkeep(host)
            ):
                self.emptying.discard(host)
                self.reopened_ms[host] = now
                extra = {"host": host, "job": step_id.job_id}
                logger.info("host reopened", extra=extra)

    def pools_being_emptied(self) -> set[str]:
        """Return the pools of the hosts that are being emptied."""
        incarnations = self.state.incarnations_by_host
        return {
            self.state.targets[incarnations[host]].pool
            for host in self.emptying
            if host in incarnations
        }

    def update_waiting_steps(self, pools: set[str], now: int) -> None:
        """Record since when the steps of some pools have had idle tasks."""
        self.waiting_since_ms = {
            step_id: self.waiting_since_ms.get(step_id, now)
            for name, steps in self.state.open_steps.items()
            if pools and self.state.queue_named(name).pool in pools
            for step_id, step in steps.items()
            if step.idle
        }

    def steps_that_may_reopen(self, waiting: set[StepId]) -> set[StepId]:
        """
        Return the waiting steps for which hosts may be reopened.

        In a busy pool these are the long-running ones: other tasks wait for the end of
        others there.
        """
        pools = {
            step_id: self.state.queue_of(self.state.jobs[step_id.job_id]).pool
            for step_id in waiting
        }
        busy = {pool for pool in set(pools.values()) if self.is_busy(pool)}
        return {
            step_id
            for step_id, pool in pools.items()
            if pool not in busy or self.state.spec_of(step_id).long_running
        }

    def is_busy(self, pool: str) -> bool:
        """Return whether a large share of a pool's capacity is reserved."""
        used, capacity = Tally(), Tally()
        for target in self.state.targets_of_pool(pool):
            if not target.draining:
                used.add(self.state.used[target.incarnation])
                capacity.add(target.capacity)
        shares = (
            used.cpu_millis / max(1, capacity.cpu_millis),
            used.memory_mb / max(1, capacity.memory_mb),
            used.accelerators / max(1, capacity.accelerators),
        )
        return max(shares) >= BUSY_SHARE

    def load_of(self, host: str) -> HostLoad:
        """Return the load of a host."""
        incarnation = self.state.incarnations_by_host.get(host)
        if incarnation is None:
            return HostLoad(host)
        runs = self.state.live_runs(incarnation)
        long_running = sum(
            self.state.spec_of(key[0].step_id).long_running for key in runs
        )
        return HostLoad(
            host, self.state.targets[incarnation].pool, long_running, len(runs)
        )

    def order_for_empty(self, wave: WaveRecord) -> None:
        """Order the upkeep of hosts that have become empty."""
        away = sum(
            upkeep.may_be_down
            or (upkeep.phase == UpkeepPhase.WAITING and host in self.calling)
            for host, upkeep in wave.hosts.items()
        )  # an intent that is not durable yet will take its host down too
        for host, upkeep in wave.hosts.items():
            if host in self.calling:
                continue
            if upkeep.phase == UpkeepPhase.ORDERED:
                self.start_order(wave, host, upkeep)
            elif upkeep.phase == UpkeepPhase.WAITING and away < wave.limit:
                incarnation = self.state.incarnations_by_host.get(host, "")
                empty = not self.state.live_runs(incarnation)
                empty = empty and not self.table.in_transit(host)
                if host in self.emptying and empty:
                    away += 1
                    self.start_order(wave, host, upkeep)

    def start_order(self, wave: WaveRecord, host: str, upkeep: HostUpkeep) -> None:
        """Start to order the upkeep of a host; it is repeated while it is due."""
        self.calling.add(host)
        term = self.scheduler.term

        def allow_retry(result: object) -> None:
            if term == self.scheduler.term:
                self.scheduler.call_later(RETRY_S, lambda: self.calling.discard(host))

        ordered = ensureDeferred(self.order(wave, host, upkeep))
        ordered.addErrback(self.on_error)
        ordered.addCallback(allow_retry)

    def on_error(self, failure) -> None:
        """Log an unexpected error."""
        logger.critical("upkeep failed", extra={"failure": failure.getTraceback()})

    async def order(self, wave: WaveRecord, host: str, upkeep: HostUpkeep) -> None:
        """Order the upkeep of a host once the intent is durable."""
        cycles, term = self.scheduler.cycles, self.scheduler.term
        incarnation = upkeep.incarnation or self.state.incarnations_by_host.get(
            host, ""
        )
        if upkeep.phase == UpkeepPhase.WAITING:
            intent = MarkUpkeep(wave.wave, host, UpkeepPhase.ORDERED, incarnation)
            if await cycles.submit(intent) != CommitOutcome.YES:
                return
        if not self.scheduler.may_order() or term != self.scheduler.term:
            return
        if self.state.live_runs(incarnation):
            return
        outcome = await self.cloud.upkeep(host, wave.wave, self.scheduler.fence)
        if term != self.scheduler.term:
            return
        extra = {"wave": wave.wave, "host": host, "outcome": outcome}
        logger.info("upkeep ordered", extra=extra)
        await self.on_outcome(wave, host, incarnation, outcome)

    async def on_outcome(
        self, wave: WaveRecord, host: str, incarnation: str, outcome: CloudOutcome
    ) -> None:
        """Process the cloud's answer."""
        cycles = self.scheduler.cycles
        if outcome == CloudOutcome.DONE:
            if incarnation:
                cycles.submit(EndIncarnation(incarnation))
            change = MarkUpkeep(wave.wave, host, UpkeepPhase.STARTED, incarnation)
            await cycles.submit(change)
        elif outcome in (CloudOutcome.INVALID, CloudOutcome.NOT_OF_WAVE):
            await cycles.submit(MarkUpkeep(wave.wave, host, UpkeepPhase.GONE))
        elif outcome == CloudOutcome.FENCED:
            self.scheduler.fenced_off(host)
        # After BUSY, THROTTLED or no answer the order is repeated.

    def evacuate(self) -> None:
        """Stop long-running tasks on hosts being emptied, within their budgets."""
        targets = [
            target
            for target in self.state.targets.values()
            if target.host in self.emptying or target.draining
        ]
        incarnations = [
            target.incarnation for target in targets if self.runs_long(target)
        ]
        if not incarnations:
            return
        view = self.scheduler.view({target.pool for target in targets})

        def can_restart(key: RunKey) -> bool:
            return fits_elsewhere(view, key[0])

        for key in choose_evacuations(
            self.state, incarnations, self.at_work, can_restart
        ):
            self.scheduler.evacuate(key)

    def runs_long(self, target: Target) -> bool:
        """Return whether a target has long-running tasks."""
        return any(
            self.state.spec_of(key[0].step_id).long_running
            for key in self.state.live_runs(target.incarnation)
        )

    def at_work(self, key: RunKey) -> bool:
        """Return whether a long-running task is certain to be at work."""
        task = self.state.task(key[0])
        session = self.scheduler.sessions.get(task.live.get(key[1], ""))
        return session is not None and session.works(key)
