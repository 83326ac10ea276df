"""
mulberryledge_daemon.batch.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task for waves: empties hosts, orders their upkeep from the cloud, and
records their return. A host that may be down counts as down until it has returned.
"""

import logging
from collections import Counter

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import EndIncarnation, MarkUpkeep
from mulberryledge_core.batch.evacuation import choose_evacuations
from mulberryledge_core.batch.placing import fits_elsewhere
from mulberryledge_core.batch.records import HostUpkeep, UpkeepPhase, WaveRecord
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
        scheduler.takeover_callbacks.append(self.on_takeover)
        scheduler.tick_callbacks.append(self.tick)

    def on_takeover(self) -> None:
        """Discard the calls and the times of an earlier term."""
        self.calling.clear()
        self.away_since_ms.clear()

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
            if upkeep.phase == UpkeepPhase.WAITING and host not in self.emptying
        ]
        sizes = Counter(target.pool for target in self.state.targets.values())
        emptied = Counter(self.load_of(host).pool for host in out)
        self.emptying.update(choose_hosts(waiting, emptied, sizes, count, self.timing))

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
