"""
mulberryledge_daemon.batch.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task for waves: it empties hosts, orders their upkeep from the cloud, and
takes note of their return. What may be down counts as down until it is seen again.
"""

import logging
from collections import Counter

from twisted.internet.defer import ensureDeferred

from mulberryledge_core.batch.commands import EndLife, MarkUpkeep
from mulberryledge_core.batch.evacuation import choose_evacuations
from mulberryledge_core.batch.placing import has_room_elsewhere
from mulberryledge_core.batch.records import HostUpkeep, UpkeepPhase, WaveRecord
from mulberryledge_core.batch.state import RunKey
from mulberryledge_core.batch.upkeep import (
    HostLoad,
    UpkeepTiming,
    choose_hosts,
    hosts_at_once,
)
from mulberryledge_daemon.batch.hosts import HostTable
from mulberryledge_daemon.batch.ports import Cloud, CloudOutcome
from mulberryledge_daemon.batch.rounds import Committed
from mulberryledge_daemon.batch.scheduler import Scheduler

__all__ = ["Upkeep"]

RETRY_S = 0.5  # between two orders for one host, if the first was not carried out
AT_WORK_PERCENT = 100
RETURN_MARGIN_MS = 1_000  # beyond the time that the upkeep of a host takes
LOST_MARGIN_MS = 4_000  # the same, for a host that should have announced itself

logger = logging.getLogger(__name__)


class Upkeep:
    """
    Owns the waves while this daemon leads.

    Attributes
    ----------
    calling : set of str
        Hosts with a call to the cloud under way, or a retry that is due later.
    away_since : dict of (int, str) to int
        By wave and host: when this leader first knew that its upkeep had begun, on its
        steady clock; the time of day may jump.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        cloud: Cloud,
        table: HostTable,
        upkeep_ms: int,
        holder_ms: int,
        timing: UpkeepTiming,
    ):
        self.scheduler = scheduler
        self.state = scheduler.state
        self.cloud = cloud
        self.table = table
        self.upkeep_ms = upkeep_ms
        self.holder_ms = holder_ms
        self.timing = timing
        self.calling: set[str] = set()
        self.away_since: dict[tuple[int, str], int] = {}
        self.emptying = scheduler.cordon()
        scheduler.beginnings.append(self.begin)
        scheduler.followers.append(self.tick)

    def begin(self) -> None:
        """Forget the calls and the times of an earlier lead."""
        self.calling.clear()
        self.away_since.clear()

    def tick(self) -> None:
        """Do what is due in each wave."""
        open_waves = [wave for wave in self.state.waves.values() if not wave.completed]
        waiting = {
            host
            for wave in open_waves
            for host, upkeep in wave.hosts.items()
            if upkeep.phase in (UpkeepPhase.WAITING, UpkeepPhase.ORDERED)
        }
        self.emptying &= waiting
        for wave in open_waves:
            self.notice_returns(wave)
            self.empty_more(wave)
            if self.scheduler.may_order_cloud(self.holder_ms):
                self.order_empty(wave)
        self.evacuate()

    def notice_returns(self, wave: WaveRecord) -> None:
        """Count the hosts as done that are back."""
        for host, upkeep in wave.hosts.items():
            if upkeep.phase != UpkeepPhase.BEGUN:
                continue
            now = self.scheduler.now()
            away_ms = now - self.away_since.setdefault((wave.wave, host), now)
            life = self.state.lives_by_host.get(host, "")
            if life and life != upkeep.life:
                back = away_ms >= self.upkeep_ms  # else a report from before it
            elif not upkeep.life:
                back = away_ms > self.upkeep_ms + RETURN_MARGIN_MS
            else:
                back = away_ms > self.upkeep_ms + LOST_MARGIN_MS
            if back:
                self.mark(wave, host, UpkeepPhase.DONE)

    def mark(
        self, wave: WaveRecord, host: str, phase: UpkeepPhase, life: str = ""
    ) -> None:
        """Record how far a host is, unless that is under way."""
        if host in self.calling:
            return
        self.calling.add(host)
        done = self.scheduler.rounds.submit(MarkUpkeep(wave.wave, host, phase, life))
        done.addCallback(lambda _: self.calling.discard(host))
        extra = {"wave": wave.wave, "host": host, "phase": phase}
        logger.info("upkeep", extra=extra)

    def empty_more(self, wave: WaveRecord) -> None:
        """Choose further hosts to be emptied."""
        out = [
            host
            for host, upkeep in wave.hosts.items()
            if upkeep.away or host in self.emptying
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
        """Return what runs on a host."""
        life = self.state.lives_by_host.get(host)
        if life is None:
            return HostLoad(host)
        runs = self.state.live_runs(life)
        lasting = sum(self.state.spec_of(key[0].step_id).long_running for key in runs)
        return HostLoad(host, self.state.targets[life].pool, lasting, len(runs))

    def order_empty(self, wave: WaveRecord) -> None:
        """Order the upkeep of the hosts that run nothing any more."""
        away = sum(
            upkeep.away
            or (upkeep.phase == UpkeepPhase.WAITING and host in self.calling)
            for host, upkeep in wave.hosts.items()
        )  # an intent that is not durable yet is about to take a host down
        for host, upkeep in wave.hosts.items():
            if host in self.calling:
                continue
            if upkeep.phase == UpkeepPhase.ORDERED:
                self.call(wave, host, upkeep)
            elif upkeep.phase == UpkeepPhase.WAITING and away < wave.limit:
                life = self.state.lives_by_host.get(host, "")
                empty = not self.state.live_runs(life)
                empty = empty and not self.table.in_transit(host)
                if host in self.emptying and empty:
                    away += 1
                    self.call(wave, host, upkeep)

    def call(self, wave: WaveRecord, host: str, upkeep: HostUpkeep) -> None:
        """Begin to order the upkeep of a host."""
        self.calling.add(host)
        ordered = ensureDeferred(self.order(wave, host, upkeep))
        ordered.addErrback(self.broken)

    def broken(self, failure) -> None:
        """Log a failure of the program."""
        logger.critical("upkeep failed", extra={"failure": failure.getTraceback()})

    async def order(self, wave: WaveRecord, host: str, upkeep: HostUpkeep) -> None:
        """Order the upkeep of a host, with the intent made durable before."""
        rounds, term = self.scheduler.rounds, self.scheduler.term
        life = upkeep.life or self.state.lives_by_host.get(host, "")
        if upkeep.phase == UpkeepPhase.WAITING:
            intent = MarkUpkeep(wave.wave, host, UpkeepPhase.ORDERED, life)
            if await rounds.submit(intent) != Committed.YES:
                return
        if not self.scheduler.may_order() or term != self.scheduler.term:
            return
        if self.state.live_runs(life):
            self.calling.discard(host)
            return
        outcome = await self.cloud.upkeep(host, wave.wave, self.scheduler.fence)
        if term != self.scheduler.term:
            return
        extra = {"wave": wave.wave, "host": host, "outcome": outcome}
        logger.info("upkeep ordered", extra=extra)
        await self.on_outcome(wave, host, life, outcome)
        self.scheduler.after(RETRY_S, lambda: self.calling.discard(host))

    async def on_outcome(
        self, wave: WaveRecord, host: str, life: str, outcome: CloudOutcome
    ) -> None:
        """Deal with the cloud's answer."""
        rounds = self.scheduler.rounds
        if outcome == CloudOutcome.DONE:
            if life:
                rounds.submit(EndLife(life))
            begun = MarkUpkeep(wave.wave, host, UpkeepPhase.BEGUN, life)
            await rounds.submit(begun)
        elif outcome in (CloudOutcome.INVALID, CloudOutcome.NOT_OF_WAVE):
            await rounds.submit(MarkUpkeep(wave.wave, host, UpkeepPhase.GONE))
        elif outcome == CloudOutcome.FENCED:
            self.scheduler.fenced_off(host)
        # After BUSY, THROTTLED or no answer the order is given again.

    def evacuate(self) -> None:
        """Stop lasting runs on hosts that are emptied, within their budgets."""
        lives = [
            target.life
            for target in self.state.targets.values()
            if target.host in self.emptying or target.draining
        ]
        if not lives:
            return
        view = self.scheduler.view()

        def has_room(key: RunKey) -> bool:
            return has_room_elsewhere(view, key[0])

        for key in choose_evacuations(self.state, lives, self.at_work, has_room):
            self.scheduler.evacuate(key)

    def at_work(self, key: RunKey) -> bool:
        """Return whether a lasting run does its work, by the target's last list."""
        task = self.state.task(key[0])
        session = self.scheduler.sessions.get(task.live.get(key[1], ""))
        if session is None or session.silent_ms is not None:
            return False
        listed = session.listed.get(key)
        return (
            listed is not None
            and listed.percent >= AT_WORK_PERCENT
            and not session.stopping(key)
        )
