"""
mulberryledge_daemon.entry.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the leader what this entry could use, and returns what others need more.
"""

import logging
from collections import Counter
from itertools import count as count_up

from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from mulberryledge_core.commands.work import CloseSession, Recall, ReturnLoan
from mulberryledge_core.messages import CallDemand, DemandReport
from mulberryledge_core.model.sessions import SlotGrant, TeamGrant
from mulberryledge_core.outcomes import Code
from mulberryledge_daemon.entry.loans import LentPermits, LentTarget, Loans
from mulberryledge_daemon.entry.queues import Queues
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["Demand"]

REPORT_INTERVAL_S = 0.05
REPORT_INTERVAL_MAX_S = 2.0
PEAK_WINDOW_S = 1.0
KEPT_WINDOWS = 2
IDLE_RETURN_S = 10.0
RECALL_TERM_S = 2.0
RETURN_DELAY_S = 0.02
RETRY_S = 0.05
RETRY_MAX_S = 1.0

logger = logging.getLogger(__name__)

Demands = dict[tuple[str, str], int]


class Demand:
    """Owns the peaks of demand, the reports to the leader, and the returns."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        session: EntrySession,
        loans: Loans,
        queues: Queues,
    ):
        self.clock = clock
        self.log = log
        self.channel = channel
        self.session = session
        self.loans = loans
        self.queues = queues
        self.windows: list[Demands] = [{}]
        self.window_s = clock.seconds()
        self.reported: Demands = {}
        self.reported_s = 0.0
        self.interval_s = REPORT_INTERVAL_S
        self.reporting = False
        self.short = False
        self.reported_short = False
        self.returning = False
        self.giving_back = False
        self.sequence = 0
        self.owed_slots: Counter[str] = Counter()
        self.owed_permits: Counter[str] = Counter()
        self.recalled_s = 0.0
        self.busy_s: dict[object, float] = {}
        queues.on_short = self.on_short
        queues.on_release = self.on_release
        log.watch(self.on_applied)

    def present(self) -> Demands:
        """Return what calls use or wait for now."""
        demands = Counter({key: n for key, n in self.loans.running.items() if n > 0})
        for service, queue in self.queues.queues.items():
            room = self.capacity(service)
            for team, count in queue.waiting.depths():
                demands[service, team] = min(room, demands[service, team] + count)
        return demands

    def capacity(self, service: str) -> int:
        """Return the slots of all targets of a service."""
        targets = self.log.state.targets
        pool = self.loans.refresh().pools.get(service, ())
        return sum(targets[name].slots for name, _ in pool if name in targets)

    def peak(self) -> Demands:
        """Return the highest demand of the latest windows."""
        self.note_peak()
        highest: Demands = {}
        for window in self.windows:
            for key, count in window.items():
                highest[key] = max(count, highest.get(key, 0))
        return highest

    def note_peak(self) -> None:
        """Take the present demand into the present window."""
        window = self.windows[-1]
        for key, count in self.present().items():
            window[key] = max(count, window.get(key, 0))

    def on_short(self) -> None:
        """Report soon, at once if nothing was short before."""
        if not self.reporting:
            self.reporting = True
            wait_s = self.reported_s + self.interval_s - self.clock.seconds()
            wait_s = max(0.0, wait_s) if self.short else 0.0
            self.short = True
            self.clock.callLater(wait_s, self.start, self.report)

    def start(self, task) -> None:
        """Run a coroutine; its failure is logged."""
        running = Deferred.fromCoroutine(task())
        running.addErrback(
            lambda failure: logger.error(
                "demand task failed", extra={"failure": failure.getTraceback()}
            )
        )

    async def report(self) -> None:
        """Renew the session and tell the leader the demand."""
        try:
            if await self.session.ensure_open():
                await self.send(self.peak())
        finally:
            self.reporting = False
        if self.queues.any_waiting():
            self.on_short()

    async def send(self, demands: Demands) -> None:
        """Send one report; unchanged demand makes the next one later."""
        now_s = self.clock.seconds()
        same = demands == self.reported
        widened_s = min(REPORT_INTERVAL_MAX_S, 2 * self.interval_s)
        self.interval_s = widened_s if same else REPORT_INTERVAL_S
        self.reported_s = now_s
        idle = {service: self.loans.unusable(service) for service, _ in demands}
        claims = tuple(
            CallDemand(service, team, count + idle.pop(service, 0))
            for (service, team), count in sorted(demands.items())
        )
        name = self.session.name
        zone, short = self.loans.availability_zone, self.queues.any_waiting()
        message = DemandReport(name, zone, claims, short)
        outcome = await self.channel.ask(message)
        if isinstance(outcome, Err):
            return
        self.reported = demands
        self.reported_short = short
        if name == self.session.name:
            self.session.renewed(now_s)

    async def tick(self, stopping: bool = False) -> None:
        """Renew the session, report a fall of demand, and return what is idle."""
        now_s = self.clock.seconds()
        self.short = self.queues.any_waiting()
        self.note_peak()
        if now_s - self.window_s >= PEAK_WINDOW_S:
            self.window_s = now_s
            self.windows = [*self.windows[1 - KEPT_WINDOWS :], {}]
            self.note_peak()
        if stopping:
            await self.return_free(everything=True)
            return
        overdue = now_s - self.reported_s >= REPORT_INTERVAL_MAX_S
        relieved = self.reported_short and not self.short
        if (overdue or relieved or self.has_fallen()) and not self.reporting:
            self.reporting = True
            await self.report()
        await self.return_free()

    def has_fallen(self) -> bool:
        """Return whether demand is under half of what was reported last."""
        if self.clock.seconds() - self.reported_s < PEAK_WINDOW_S:
            return False
        return 2 * sum(self.peak().values()) < sum(self.reported.values())

    def on_applied(self, event: AppliedEvent) -> None:
        """Take note of what the leader asks back, and of a closed session."""
        command = event.command
        if isinstance(command, CloseSession) and command.session == self.session.name:
            self.short = False
            self.on_short()
        if isinstance(command, Recall) and command.session == self.session.name:
            self.owed_slots = Counter(
                {one.service: one.slots for one in command.services}
            )
            self.owed_permits = Counter(
                {one.team: one.permits for one in command.permits}
            )
            self.recalled_s = self.clock.seconds()
            self.return_soon()

    def on_release(self) -> None:
        """Return what has become free if the leader asked for it."""
        if self.owed_slots or self.owed_permits:
            self.return_soon()

    def return_soon(self) -> None:
        """Collect what becomes free in a moment into one return."""
        if not self.returning:
            self.returning = True
            self.clock.callLater(RETURN_DELAY_S, self.start, self.return_owed)

    async def return_owed(self) -> None:
        """Return what the leader asked for and no call uses."""
        self.returning = False
        await self.return_free()

    async def return_free(self, everything: bool = False) -> None:
        """Return free capacity that is owed, idle, or of no use any more."""
        if self.giving_back:
            return
        if self.clock.seconds() - self.recalled_s > RECALL_TERM_S:
            self.owed_slots.clear()
            self.owed_permits.clear()
        self.loans.refresh()
        slots = []
        for slot in sorted(self.loans.slots.values(), key=self.last_wanted):
            count = slot.free if everything else self.slots_to_return(slot)
            if count > 0:
                slots.append((slot, count))
        permits = []
        for team, lent in self.loans.permits.items():
            count = lent.free if everything else self.permits_to_return(team, lent)
            if count > 0:
                permits.append((team, lent, count))
        if slots or permits:
            self.giving_back = True
            try:
                await self.give_back(slots, permits)
            finally:
                self.giving_back = False

    def last_wanted(self, slot: LentTarget) -> tuple[bool, bool]:
        """Return the order of return: ejected targets first, near ones last."""
        usable = self.loans.health.usable(slot.key, self.clock.seconds())
        return (usable, slot.near)

    def slots_to_return(self, slot: LentTarget) -> int:
        """Return how many slots of a target are not needed here."""
        if not slot.serving or self.is_idle(slot.key, slot.used):
            return slot.free
        service = slot.target.service
        count = min(slot.free, self.owed_slots[service])
        self.owed_slots[service] -= max(0, count)
        return count

    def permits_to_return(self, team: str, lent: LentPermits) -> int:
        """Return how many permits of a team are not needed here."""
        if self.is_idle(team, lent.used):
            return lent.free
        count = min(lent.free, self.owed_permits[team])
        self.owed_permits[team] -= max(0, count)
        return count

    def is_idle(self, key: object, used: int) -> bool:
        """Return whether nothing of a loan has been in use for a while."""
        now_s = self.clock.seconds()
        if used or key not in self.busy_s:
            self.busy_s[key] = now_s
        return now_s - self.busy_s[key] > IDLE_RETURN_S

    async def give_back(
        self,
        slots: list[tuple[LentTarget, int]],
        permits: list[tuple[str, LentPermits, int]],
    ) -> None:
        """Return loans; they are out of use from now until the log says so."""
        for slot, count in slots:
            slot.returning += count
        for _, lent, count in permits:
            lent.returning += count
        grants = tuple(SlotGrant(*slot.key, count) for slot, count in slots)
        teams = tuple(TeamGrant(team, count) for team, _, count in permits)
        await self.settle_return(grants, teams)
        for slot, count in slots:
            slot.returning -= count
        for _, lent, count in permits:
            lent.returning -= count
        self.loans.stale = True

    async def settle_return(
        self, slots: tuple[SlotGrant, ...], permits: tuple[TeamGrant, ...]
    ) -> None:
        """Propose a return until it is known what became of it."""
        self.sequence += 1
        name = self.session.name
        command = ReturnLoan(name, slots, permits, self.sequence)
        for tries in count_up():
            outcome = await self.log.propose(command)
            if not isinstance(outcome, Err):
                return
            if outcome.err_value.code != Code.NO_LEADER:
                logger.warning("loan not returned", extra={"why": outcome.err_value})
                return
            await deferLater(self.clock, min(RETRY_MAX_S, RETRY_S * 2**tries))
