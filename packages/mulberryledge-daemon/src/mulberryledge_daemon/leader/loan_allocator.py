"""
mulberryledge_daemon.leader.loan_allocator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Grants loans of target slots and team permits to entries, and recalls them where others
have less than their share.

A loan is capacity granted to the session of an entry's daemon until it is returned or
recalled.
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

__all__ = ["LoanAllocator"]

PLAN_DELAY_S = 0.02
PLAN_INTERVAL_S = 0.1
REPORT_VALIDITY_S = 3.0
ROTATION_INTERVAL_S = 1.0
MIN_RECALL_INTERVAL_S = 0.2
RECALL_REPEAT_INTERVAL_S = 2.0
JOBS_HOLDER = ""  # stands for all running jobs in place of a session
# Commands that free no capacity.
NOT_FREEING = (CancelJobs, Lend, Recall, Reserve, SettleReservation)

logger = logging.getLogger(__name__)


class LoanAllocator:
    """Plans loans from the demand that entries report."""

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
        self.last_recalls: dict[str, tuple[Recall, float]] = {}
        self.plan_scheduled = False
        self.planning = False
        self.last_plan_s = 0.0
        self.has_shortage = False
        channel.serve(DemandReport, self.on_demand)
        log.watch(self.on_applied)

    async def on_demand(self, report: DemandReport) -> Result[object, Refusal]:
        """Renew the session of an entry; schedule a plan if its demand changed."""
        if not self.sessions.renew(report.session):
            text = f"session {report.session!r} is closed"
            return Err(Refusal(Code.STALE, text))
        before = self.reports.get(report.session)
        self.reports[report.session] = report
        if before != report or report.short:
            self.schedule_plan()
        return Ok(Acknowledged())

    def on_applied(self, event: AppliedEvent) -> None:
        """Schedule a plan if there is a shortage and capacity may have become free."""
        if isinstance(event.command, ReturnLoan):
            session = event.command.session
            _, recalled_s = self.last_recalls.get(
                session, (None, -RECALL_REPEAT_INTERVAL_S)
            )
            self.last_recalls[session] = (None, recalled_s)
        if self.has_shortage and not isinstance(event.command, NOT_FREEING):
            self.schedule_plan()

    def schedule_plan(self) -> None:
        """Schedule one plan for all changes that arrive before it runs."""
        if not self.plan_scheduled:
            self.plan_scheduled = True
            next_s = self.last_plan_s + PLAN_INTERVAL_S
            delay_s = max(PLAN_DELAY_S, next_s - self.clock.seconds())
            self.clock.callLater(delay_s, self.run_plan)

    def run_plan(self) -> None:
        """Run a plan and log its failure."""
        running = Deferred.fromCoroutine(self.plan())
        running.addErrback(
            lambda failure: logger.error(
                "loan planning failed", extra={"failure": failure.getTraceback()}
            )
        )

    async def tick(self) -> None:
        """Schedule a plan if jobs are queued, as they report no demand."""
        state = self.log.state
        for name in list(self.reports):
            if name not in state.sessions:
                del self.reports[name]
        if self.reports and state.indexes.queued_by_service.groups:
            self.schedule_plan()

    async def plan(self) -> None:
        """Propose the loans and recalls that the current demand requires."""
        self.plan_scheduled = False
        if self.planning:
            self.schedule_plan()
            return
        if not self.log.is_leader():
            self.reports.clear()
            return
        self.planning = True
        self.last_plan_s = self.clock.seconds()
        try:
            await gatherResults(
                [
                    Deferred.fromCoroutine(self.propose(command))
                    for command in self.planned_commands()
                ]
            )
        finally:
            self.planning = False

    async def propose(self, command: Lend | Recall) -> None:
        """Propose a loan or a recall."""
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            logger.info("loan change refused", extra={"why": outcome.err_value})

    def planned_commands(self) -> list[Lend | Recall]:
        """Return the commands for the current demand, at most two per session."""
        self.remove_silent_reports()
        services, teams = self.requested_services(), self.requested_teams()
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
        self.has_shortage = any(plan.shortage for plan in plans)
        allocated: Counter[str] = Counter()
        sessions = sorted(self.reports)
        commands = [
            self.lend_command(name, slots, permits, allocated) for name in sessions
        ]
        commands.extend(self.recall_command(name, slots, permits) for name in sessions)
        return [command for command in commands if command is not None]

    def remove_silent_reports(self) -> None:
        """Discard the demand of silent entries, which are granted nothing."""
        before_s = self.clock.seconds() - REPORT_VALIDITY_S
        for name in list(self.reports):
            if self.sessions.last_renewed_s.get(name, 0.0) < before_s:
                del self.reports[name]

    def requested_services(self) -> set[str]:
        """Return the services with reported call demand."""
        return {
            demand.service
            for report in self.reports.values()
            for demand in report.demands
        }

    def requested_teams(self) -> set[str]:
        """Return the teams with reported call demand."""
        return {
            demand.team for report in self.reports.values() for demand in report.demands
        }

    def available_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept calls and new work."""
        state = self.log.state
        return [
            target
            for target in state.indexes.targets_by_service.rows(service)
            if state.target_accepts_work(target.name)
        ]

    def plan_slots(self, service: str) -> LoanPlan:
        """Divide a service's slots among entries and jobs."""
        state = self.log.state
        targets = {target.name: target for target in self.available_targets(service)}
        held = {
            name: sum(grant.slots for grant in session.slots if grant.target in targets)
            for name, session in state.sessions.items()
        }
        running = Counter(
            job.team
            for name in targets
            for job in state.indexes.running_by_target.rows(name)
        )
        held[JOBS_HOLDER] = sum(running.values())
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
        """Return the rank of each entry: those with waiting calls first, rotated."""
        names = sorted(self.reports)
        offset = int(self.clock.seconds() / ROTATION_INTERVAL_S)
        ranks = {name: (n + offset) % len(names) for n, name in enumerate(names)}
        for name, report in self.reports.items():
            if not report.short:
                ranks[name] += len(names)
        return ranks

    def job_claims(self, service: str, running: Counter[str]) -> list[Claim]:
        """
        Return the slots that jobs could use, at most twice the running jobs plus one.

        A claim that grows in steps reserves capacity for jobs, and wastes little of it
        if no target requests them.
        """
        queued = Counter(
            job.team for job in self.log.state.indexes.queued_by_service.rows(service)
        )
        return [
            Claim(
                JOBS_HOLDER, team, running[team] + min(queued[team], 1 + running[team])
            )
            for team in sorted({*running, *queued})
        ]

    def silent_claims(self, held: dict[str, int]) -> list[Claim]:
        """Return claims of sessions without a report, for the loans that they hold."""
        return [
            Claim(name, "", count)
            for name, count in held.items()
            if count and name != JOBS_HOLDER and name not in self.reports
        ]

    def plan_permits(self, team: str, queued: int) -> LoanPlan:
        """Divide a team's permits among entries and jobs."""
        state = self.log.state
        record = state.teams.get(team)
        if record is None:
            return plan_loans(0, {}, (), {})
        held = {
            name: sum(g.permits for g in session.permits if g.team == team)
            for name, session in state.sessions.items()
        }
        running = state.indexes.permits_in_use[team] - sum(held.values())
        held[JOBS_HOLDER] = running
        claims = [Claim(JOBS_HOLDER, team, running + min(queued, 1 + running))]
        for report in self.reports.values():
            requested = sum(d.wanted for d in report.demands if d.team == team)
            if not report.short:
                requested = min(requested, held.get(report.session, 0))
            claims.append(Claim(report.session, team, requested))
        claims.extend(self.silent_claims(held))
        return plan_loans(record.upper_limit, held, claims, {}, self.ranks())

    def lend_command(
        self,
        session: str,
        slots: dict[str, LoanPlan],
        permits: dict[str, LoanPlan],
        allocated: Counter[str],
    ) -> Lend | None:
        """Return the command that grants one session its planned loan."""
        zone = self.reports[session].availability_zone
        grants = tuple(
            grant
            for service, plan in slots.items()
            for grant in self.pick_slots(
                service, plan.grants.get(session, 0), zone, allocated
            )
        )
        teams = tuple(
            TeamGrant(team, plan.grants[session])
            for team, plan in permits.items()
            if plan.grants.get(session)
        )
        return Lend(session, grants, teams) if grants or teams else None

    def pick_slots(
        self, service: str, count: int, zone: str, allocated: Counter[str]
    ) -> list[SlotGrant]:
        """
        Return free slots of a service, those in the session's zone first.

        Parameters
        ----------
        allocated : Counter of str
            Slots by target that this plan has already granted; is updated.
        """
        state = self.log.state
        free = {
            target: usable_slots(state, target)
            - slots_in_use(state, target.name)
            - allocated[target.name]
            for target in self.available_targets(service)
            if target.port and count
        }

        def rank(target: Target) -> tuple[bool, int, str]:
            is_remote = state.hosts[target.host].availability_zone != zone
            return (is_remote, -free[target], target.name)

        granted: Counter[Target] = Counter()
        while count > 0 and any(remaining > 0 for remaining in free.values()):
            target = min((one for one in free if free[one] > 0), key=rank)
            free[target] -= 1
            granted[target] += 1
            allocated[target.name] += 1
            count -= 1
        return [
            SlotGrant(target.name, target.generation, n)
            for target, n in granted.items()
        ]

    def recall_command(
        self, session: str, slots: dict[str, LoanPlan], permits: dict[str, LoanPlan]
    ) -> Recall | None:
        """Return the recall of loans that others need, at limited intervals."""
        services = tuple(
            ServiceSlots(service, plan.recalls[session])
            for service, plan in slots.items()
            if plan.recalls.get(session)
        )
        teams = tuple(
            TeamGrant(team, plan.recalls[session])
            for team, plan in permits.items()
            if plan.recalls.get(session)
        )
        if not (services or teams):
            return None
        now_s = self.clock.seconds()
        previous, recalled_s = self.last_recalls.get(
            session, (None, -RECALL_REPEAT_INTERVAL_S)
        )
        command = Recall(session, services, teams)
        interval_s = (
            RECALL_REPEAT_INTERVAL_S if command == previous else MIN_RECALL_INTERVAL_S
        )
        if now_s - recalled_s < interval_s:
            return None
        self.last_recalls[session] = (command, now_s)
        return command


def service_claims(report: DemandReport, service: str, held: int) -> list[Claim]:
    """
    Return an entry's claims on a service's slots.

    An entry without waiting calls claims no more than it holds.
    """
    claims = []
    for demand in report.demands:
        if demand.service == service:
            requested = demand.wanted if report.short else min(demand.wanted, held)
            held -= requested
            claims.append(Claim(report.session, demand.team, requested))
    return claims
