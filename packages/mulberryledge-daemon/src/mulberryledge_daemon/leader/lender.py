"""
mulberryledge_daemon.leader.lender
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lends target slots and team permits to the entries whose calls need them, and asks
them back where others are short of their share.
"""

import logging
from collections import Counter

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import (
    CancelJobs,
    Lend,
    Recall,
    Reserve,
    ReturnLoan,
    SettleReservation,
)
from mulberryledge_core.decisions.loan_planning import Claim, LoanPlan, plan_loans
from mulberryledge_core.messages import Acknowledged, DemandReport
from mulberryledge_core.model.sessions import ServiceSlots, SlotGrant, TeamGrant
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.sessions import SessionLeases
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["Lender"]

PLAN_DELAY_S = 0.02
PLAN_INTERVAL_S = 0.1
REPORT_LIFE_S = 3.0
TURN_S = 1.0
RECALL_INTERVAL_S = 0.2
RECALL_REPEAT_S = 2.0
JOBS = ""  # holder of what running jobs use
UNRELATED = (CancelJobs, Lend, Recall, Reserve, SettleReservation)

logger = logging.getLogger(__name__)


class Lender:
    """Owns the demand that entries reported, and plans loans by it."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        sessions: SessionLeases,
    ):
        self.clock = clock
        self.log = log
        self.sessions = sessions
        self.reports: dict[str, DemandReport] = {}
        self.recalled: dict[str, tuple[Recall, float]] = {}
        self.planned = False
        self.planning = False
        self.planned_s = 0.0
        self.short = False
        channel.serve(DemandReport, self.on_demand)
        log.watch(self.on_applied)

    async def on_demand(self, report: DemandReport) -> Result[object, Refusal]:
        """Renew the session of an entry and plan anew if its demand changed."""
        if not self.sessions.renew(report.session):
            text = f"session {report.session!r} is closed"
            return Err(Refusal(Code.STALE, text))
        before = self.reports.get(report.session)
        self.reports[report.session] = report
        if before != report or report.short:
            self.plan_soon()
        return Ok(Acknowledged())

    def on_applied(self, event: AppliedEvent) -> None:
        """Plan anew while an entry is short and something may have become free."""
        if isinstance(event.command, ReturnLoan):
            session = event.command.session
            _, asked_s = self.recalled.get(session, (None, -RECALL_REPEAT_S))
            self.recalled[session] = (None, asked_s)
        if self.short and not isinstance(event.command, UNRELATED):
            self.plan_soon()

    def plan_soon(self) -> None:
        """Collect what happens in a moment into one plan."""
        if not self.planned:
            self.planned = True
            next_s = self.planned_s + PLAN_INTERVAL_S
            wait_s = max(PLAN_DELAY_S, next_s - self.clock.seconds())
            self.clock.callLater(wait_s, self.start_plan)

    def start_plan(self) -> None:
        """Run a plan; its failure is logged."""
        running = Deferred.fromCoroutine(self.plan())
        running.addErrback(
            lambda failure: logger.error(
                "lending failed", extra={"failure": failure.getTraceback()}
            )
        )

    async def tick(self) -> None:
        """Plan for queued jobs, which report no demand of their own."""
        state = self.log.state
        for name in list(self.reports):
            if name not in state.sessions:
                del self.reports[name]
        if self.reports and state.indexes.queued_by_service.groups:
            self.plan_soon()

    async def plan(self) -> None:
        """Lend and ask back what the present demand calls for."""
        self.planned = False
        if self.planning:
            self.plan_soon()
            return
        if not self.log.is_leader():
            self.reports.clear()
            return
        self.planning = True
        self.planned_s = self.clock.seconds()
        try:
            await gatherResults(
                [
                    Deferred.fromCoroutine(self.propose(command))
                    for command in self.changes()
                ]
            )
        finally:
            self.planning = False

    async def propose(self, command: Lend | Recall) -> None:
        """Propose one change of the loans."""
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            logger.info("not lent", extra={"why": outcome.err_value})

    def changes(self) -> list[Lend | Recall]:
        """Return what the present demand calls for, one or two entries a session."""
        self.forget_silent()
        services, teams = self.wanted_services(), self.wanted_teams()
        queued = Counter(
            job.team
            for group in self.log.state.indexes.queued_by_service.groups.values()
            for job in group.values()
        )
        slots = {service: self.plan_slots(service) for service in sorted(services)}
        permits = {
            team: self.plan_permits(team, queued[team]) for team in sorted(teams)
        }
        plans = (*slots.values(), *permits.values())
        self.short = any(plan.shortage for plan in plans)
        taken: Counter[str] = Counter()
        sessions = sorted(self.reports)
        commands = [self.lend(name, slots, permits, taken) for name in sessions]
        commands.extend(self.recall(name, slots, permits) for name in sessions)
        return [command for command in commands if command is not None]

    def forget_silent(self) -> None:
        """Forget the demand of entries that are silent: they get nothing now."""
        before_s = self.clock.seconds() - REPORT_LIFE_S
        for name in list(self.reports):
            if self.sessions.heard_s.get(name, 0.0) < before_s:
                del self.reports[name]

    def wanted_services(self) -> set[str]:
        """Return the services that calls are reported for."""
        return {
            demand.service
            for report in self.reports.values()
            for demand in report.demands
        }

    def wanted_teams(self) -> set[str]:
        """Return the teams that calls are reported for."""
        return {
            demand.team for report in self.reports.values() for demand in report.demands
        }

    def serving(self, service: str) -> list[Target]:
        """Return the targets of a service that take calls and new work."""
        state = self.log.state
        return [
            target
            for target in state.indexes.targets_by_service.rows(service)
            if state.target_accepts_work(target.name)
        ]

    def plan_slots(self, service: str) -> LoanPlan:
        """Plan the loans of a service's slots over entries and jobs."""
        state = self.log.state
        targets = {target.name: target for target in self.serving(service)}
        held = {
            name: sum(grant.slots for grant in session.slots if grant.target in targets)
            for name, session in state.sessions.items()
        }
        running = Counter(
            job.team
            for name in targets
            for job in state.indexes.running_by_target.rows(name)
        )
        held[JOBS] = sum(running.values())
        claims = [
            claim
            for report in self.reports.values()
            for claim in service_claims(report, service, held.get(report.session, 0))
        ]
        claims.extend(self.job_claims(service, running))
        claims.extend(self.silent_claims(held))
        capacity = sum(usable_slots(state, target) for target in targets.values())
        shares = {team.name: team.share for team in state.teams.values()}
        return plan_loans(capacity, held, claims, shares, self.ranks())

    def ranks(self) -> dict[str, int]:
        """Return who goes first: entries with waiting calls, in changing order."""
        names = sorted(self.reports)
        turn = int(self.clock.seconds() / TURN_S)
        ranks = {name: (n + turn) % len(names) for n, name in enumerate(names)}
        for name, report in self.reports.items():
            if not report.short:
                ranks[name] += len(names)
        return ranks

    def job_claims(self, service: str, running: Counter[str]) -> list[Claim]:
        """
        Return what jobs could use: twice what runs, and at least one.

        A growing claim leaves room for jobs and wastes little where no target
        asks for them.
        """
        queued = Counter(
            job.team for job in self.log.state.indexes.queued_by_service.rows(service)
        )
        return [
            Claim(JOBS, team, running[team] + min(queued[team], 1 + running[team]))
            for team in sorted({*running, *queued})
        ]

    def silent_claims(self, held: dict[str, int]) -> list[Claim]:
        """Return claims of sessions that have not reported: what they hold."""
        return [
            Claim(name, "", count)
            for name, count in held.items()
            if count and name != JOBS and name not in self.reports
        ]

    def plan_permits(self, team: str, queued: int) -> LoanPlan:
        """Plan the loans of a team's permits over entries and jobs."""
        state = self.log.state
        record = state.teams.get(team)
        if record is None:
            return plan_loans(0, {}, (), {})
        held = {
            name: sum(g.permits for g in session.permits if g.team == team)
            for name, session in state.sessions.items()
        }
        running = state.indexes.permits_in_use[team] - sum(held.values())
        held[JOBS] = running
        claims = [Claim(JOBS, team, running + min(queued, 1 + running))]
        for report in self.reports.values():
            wanted = sum(d.wanted for d in report.demands if d.team == team)
            if not report.short:
                wanted = min(wanted, held.get(report.session, 0))
            claims.append(Claim(report.session, team, wanted))
        claims.extend(self.silent_claims(held))
        return plan_loans(record.upper_limit, held, claims, {}, self.ranks())

    def lend(
        self,
        session: str,
        slots: dict[str, LoanPlan],
        permits: dict[str, LoanPlan],
        taken: Counter[str],
    ) -> Lend | None:
        """Return the loan of what the plans give to one session."""
        zone = self.reports[session].availability_zone
        grants = tuple(
            grant
            for service, plan in slots.items()
            for grant in self.pick_slots(
                service, plan.grants.get(session, 0), zone, taken
            )
        )
        teams = tuple(
            TeamGrant(team, plan.grants[session])
            for team, plan in permits.items()
            if plan.grants.get(session)
        )
        return Lend(session, grants, teams) if grants or teams else None

    def pick_slots(
        self, service: str, count: int, zone: str, taken: Counter[str]
    ) -> list[SlotGrant]:
        """
        Return free slots of a service, those of the near zone first.

        Parameters
        ----------
        taken : Counter of str
            Slots by target that this round has given already; is counted up.
        """
        state = self.log.state
        free = {
            target: usable_slots(state, target)
            - slots_in_use(state, target.name)
            - taken[target.name]
            for target in self.serving(service)
            if target.port and count
        }

        def rank(target: Target) -> tuple[bool, int, str]:
            far = state.hosts[target.host].availability_zone != zone
            return (far, -free[target], target.name)

        given: Counter[Target] = Counter()
        while count > 0 and any(left > 0 for left in free.values()):
            target = min((one for one in free if free[one] > 0), key=rank)
            free[target] -= 1
            given[target] += 1
            taken[target.name] += 1
            count -= 1
        return [
            SlotGrant(target.name, target.generation, n) for target, n in given.items()
        ]

    def recall(
        self, session: str, slots: dict[str, LoanPlan], permits: dict[str, LoanPlan]
    ) -> Recall | None:
        """Return the request for what others are short of, made now and then."""
        wanted = tuple(
            ServiceSlots(service, plan.recalls[session])
            for service, plan in slots.items()
            if plan.recalls.get(session)
        )
        teams = tuple(
            TeamGrant(team, plan.recalls[session])
            for team, plan in permits.items()
            if plan.recalls.get(session)
        )
        if not (wanted or teams):
            return None
        now_s = self.clock.seconds()
        asked, asked_s = self.recalled.get(session, (None, -RECALL_REPEAT_S))
        command = Recall(session, wanted, teams)
        pause_s = RECALL_REPEAT_S if command == asked else RECALL_INTERVAL_S
        if now_s - asked_s < pause_s:
            return None
        self.recalled[session] = (command, now_s)
        return command


def service_claims(report: DemandReport, service: str, held: int) -> list[Claim]:
    """
    Return what an entry claims of a service's slots.

    An entry where no call waits claims no more than it holds.
    """
    claims = []
    for demand in report.demands:
        if demand.service == service:
            wanted = demand.wanted if report.short else min(demand.wanted, held)
            held -= wanted
            claims.append(Claim(report.session, demand.team, wanted))
    return claims
