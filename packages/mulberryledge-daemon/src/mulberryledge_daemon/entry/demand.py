"""
mulberryledge_daemon.entry.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports this entry's demand to the leader and returns loans it does not need.
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
from mulberryledge_daemon.entry.loans import Loans, PermitLoan, TargetLoan
from mulberryledge_daemon.entry.queues import CallQueues
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["DemandReporter"]

REPORT_INTERVAL_S = 0.05
REPORT_INTERVAL_MAX_S = 2.0
PEAK_WINDOW_S = 1.0
MAX_WINDOWS = 2
IDLE_RETURN_S = 10.0
RECALL_TIMEOUT_S = 2.0
RETURN_DELAY_S = 0.02
RETRY_S = 0.05
RETRY_MAX_S = 1.0

logger = logging.getLogger(__name__)

Demands = dict[tuple[str, str], int]


class DemandReporter:
    """Tracks peaks of demand, reports them to the leader, and returns loans."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        session: EntrySession,
        loans: Loans,
        queues: CallQueues,
    ):
        self.clock = clock
        self.log = log
        self.channel = channel
        self.session = session
        self.loans = loans
        self.queues = queues
        self.windows: list[Demands] = [{}]
        self.window_start_s = clock.seconds()
        self.reported: Demands = {}
        self.last_report_s = 0.0
        self.interval_s = REPORT_INTERVAL_S
        self.reporting = False
        self.has_shortage = False
        self.reported_shortage = False
        self.return_scheduled = False
        self.return_in_flight = False
        self.sequence = 0
        self.recalled_slots: Counter[str] = Counter()
        self.recalled_permits: Counter[str] = Counter()
        self.recalled_s = 0.0
        self.last_used_s: dict[object, float] = {}
        queues.on_shortage = self.on_shortage
        queues.on_release = self.on_release
        log.watch(self.on_applied)

    def current_demands(self) -> Demands:
        """Return running plus queued calls; with a queue, at most the total slots."""
        demands = Counter({key: n for key, n in self.loans.running.items() if n > 0})
        for service, queue in self.queues.queues.items():
            total_slots = self.total_slots(service)
            for team, count in queue.waiting.depths():
                demands[service, team] = min(
                    total_slots, demands[service, team] + count
                )
        return demands

    def total_slots(self, service: str) -> int:
        """Return the total slots of the serving targets of a service."""
        targets = self.log.state.targets
        serving_targets = self.loans.refresh().targets_by_service.get(service, ())
        return sum(
            targets[name].slots for name, _ in serving_targets if name in targets
        )

    def peak(self) -> Demands:
        """Return the highest demand of the latest windows, including now."""
        self.record_peak()
        highest: Demands = {}
        for window in self.windows:
            for key, count in window.items():
                highest[key] = max(count, highest.get(key, 0))
        return highest

    def record_peak(self) -> None:
        """Update the latest window with the current demand."""
        window = self.windows[-1]
        for key, count in self.current_demands().items():
            window[key] = max(count, window.get(key, 0))

    def on_shortage(self) -> None:
        """Schedule a report; the first one of a shortage is sent at once."""
        if not self.reporting:
            self.reporting = True
            wait_s = self.last_report_s + self.interval_s - self.clock.seconds()
            wait_s = max(0.0, wait_s) if self.has_shortage else 0.0
            self.has_shortage = True
            self.clock.callLater(wait_s, self.spawn, self.report)

    def spawn(self, task) -> None:
        """Run a coroutine in the background; its failure is logged."""
        running = Deferred.fromCoroutine(task())
        running.addErrback(
            lambda failure: logger.error(
                "demand task failed", extra={"failure": failure.getTraceback()}
            )
        )

    async def report(self) -> None:
        """Renew the session and report the demand to the leader."""
        try:
            if await self.session.ensure_open():
                await self.send(self.peak())
        finally:
            self.reporting = False
        if self.queues.any_waiting():
            self.on_shortage()

    async def send(self, demands: Demands) -> None:
        """Send one report; unchanged demand doubles the interval to the next one."""
        now_s = self.clock.seconds()
        unchanged = demands == self.reported
        doubled_s = min(REPORT_INTERVAL_MAX_S, 2 * self.interval_s)
        self.interval_s = doubled_s if unchanged else REPORT_INTERVAL_S
        self.last_report_s = now_s
        ejected_slots = {
            service: self.loans.ejected_slots(service) for service, _ in demands
        }
        call_demands = tuple(
            CallDemand(service, team, count + ejected_slots.pop(service, 0))
            for (service, team), count in sorted(demands.items())
        )
        name = self.session.name
        zone, has_shortage = self.loans.availability_zone, self.queues.any_waiting()
        message = DemandReport(name, zone, call_demands, has_shortage)
        outcome = await self.channel.ask(message)
        if isinstance(outcome, Err):
            return
        self.reported = demands
        self.reported_shortage = has_shortage
        if name == self.session.name:
            self.session.extend_lease(now_s)

    async def tick(self, stopping: bool = False) -> None:
        """Renew the session, report a drop in demand, and return idle loans."""
        now_s = self.clock.seconds()
        self.has_shortage = self.queues.any_waiting()
        self.record_peak()
        if now_s - self.window_start_s >= PEAK_WINDOW_S:
            self.window_start_s = now_s
            self.windows = [*self.windows[1 - MAX_WINDOWS :], {}]
            self.record_peak()
        if stopping:
            await self.return_free(everything=True)
            return
        overdue = now_s - self.last_report_s >= REPORT_INTERVAL_MAX_S
        shortage_ended = self.reported_shortage and not self.has_shortage
        if (overdue or shortage_ended or self.has_dropped()) and not self.reporting:
            self.reporting = True
            await self.report()
        await self.return_free()

    def has_dropped(self) -> bool:
        """Return whether demand is below half of the last report."""
        if self.clock.seconds() - self.last_report_s < PEAK_WINDOW_S:
            return False
        return 2 * sum(self.peak().values()) < sum(self.reported.values())

    def on_applied(self, event: AppliedEvent) -> None:
        """Handle a recall of loans and the closing of this entry's session."""
        command = event.command
        if isinstance(command, CloseSession) and command.session == self.session.name:
            self.has_shortage = False
            self.on_shortage()
        if isinstance(command, Recall) and command.session == self.session.name:
            self.recalled_slots = Counter(
                {one.service: one.slots for one in command.services}
            )
            self.recalled_permits = Counter(
                {one.team: one.permits for one in command.permits}
            )
            self.recalled_s = self.clock.seconds()
            self.return_soon()

    def on_release(self) -> None:
        """Schedule a return if the leader has recalled loans."""
        if self.recalled_slots or self.recalled_permits:
            self.return_soon()

    def return_soon(self) -> None:
        """Schedule a return that batches the capacity freed until then."""
        if not self.return_scheduled:
            self.return_scheduled = True
            self.clock.callLater(RETURN_DELAY_S, self.spawn, self.return_recalled)

    async def return_recalled(self) -> None:
        """Return recalled loans that no call uses."""
        self.return_scheduled = False
        await self.return_free()

    async def return_free(self, everything: bool = False) -> None:
        """Return free capacity that is recalled, idle, or on non-serving targets."""
        if self.return_in_flight:
            return
        if self.clock.seconds() - self.recalled_s > RECALL_TIMEOUT_S:
            self.recalled_slots.clear()
            self.recalled_permits.clear()
        self.loans.refresh()
        slots = []
        for target_loan in sorted(
            self.loans.target_loans.values(), key=self.return_order
        ):
            count = (
                target_loan.free if everything else self.slots_to_return(target_loan)
            )
            if count > 0:
                slots.append((target_loan, count))
        permits = []
        for team, permit_loan in self.loans.permit_loans.items():
            count = (
                permit_loan.free
                if everything
                else self.permits_to_return(team, permit_loan)
            )
            if count > 0:
                permits.append((team, permit_loan, count))
        if slots or permits:
            self.return_in_flight = True
            try:
                await self.return_loans(slots, permits)
            finally:
                self.return_in_flight = False

    def return_order(self, target_loan: TargetLoan) -> tuple[bool, bool]:
        """Return the sort key of returns: ejected targets first, local ones last."""
        usable = self.loans.health.is_usable(target_loan.key, self.clock.seconds())
        return (usable, target_loan.in_local_zone)

    def slots_to_return(self, target_loan: TargetLoan) -> int:
        """Return how many slots of a target to return."""
        if not target_loan.serving or self.is_idle(target_loan.key, target_loan.used):
            return target_loan.free
        service = target_loan.target.service
        count = min(target_loan.free, self.recalled_slots[service])
        self.recalled_slots[service] -= max(0, count)
        return count

    def permits_to_return(self, team: str, permit_loan: PermitLoan) -> int:
        """Return how many permits of a team to return."""
        if self.is_idle(team, permit_loan.used):
            return permit_loan.free
        count = min(permit_loan.free, self.recalled_permits[team])
        self.recalled_permits[team] -= max(0, count)
        return count

    def is_idle(self, key: object, used: int) -> bool:
        """Return whether a loan has been unused for longer than the idle time-out."""
        now_s = self.clock.seconds()
        if used or key not in self.last_used_s:
            self.last_used_s[key] = now_s
        return now_s - self.last_used_s[key] > IDLE_RETURN_S

    async def return_loans(
        self,
        slots: list[tuple[TargetLoan, int]],
        permits: list[tuple[str, PermitLoan, int]],
    ) -> None:
        """Return loans; they are unavailable until the log has recorded the return."""
        for target_loan, count in slots:
            target_loan.returning += count
        for _, permit_loan, count in permits:
            permit_loan.returning += count
        grants = tuple(
            SlotGrant(*target_loan.key, count) for target_loan, count in slots
        )
        teams = tuple(TeamGrant(team, count) for team, _, count in permits)
        await self.propose_return(grants, teams)
        for target_loan, count in slots:
            target_loan.returning -= count
        for _, permit_loan, count in permits:
            permit_loan.returning -= count
        self.loans.stale = True

    async def propose_return(
        self, slots: tuple[SlotGrant, ...], permits: tuple[TeamGrant, ...]
    ) -> None:
        """Propose a return until its outcome is known."""
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
