"""
mulberryledge_daemon.leader.tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Creates the leader's tasks and runs them while this daemon leads.
"""

from collections.abc import Awaitable, Callable

from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.leader.calendar import Calendar
from mulberryledge_daemon.leader.drains import make_preempt_job
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.leader.leases import TargetLeases
from mulberryledge_daemon.leader.loan_allocator import LoanAllocator
from mulberryledge_daemon.leader.maintenance import Maintenance
from mulberryledge_daemon.leader.moves import PoolHostMover
from mulberryledge_daemon.leader.planner import ReclaimPlanner
from mulberryledge_daemon.leader.policies import maintenance_policy, repair_policy
from mulberryledge_daemon.leader.repair import Repair
from mulberryledge_daemon.leader.retention import Retention
from mulberryledge_daemon.leader.sessions import SessionLeases
from mulberryledge_daemon.leader.usage import ResourceUsage
from mulberryledge_daemon.ports import Platform, ReplicatedLog
from mulberryledge_daemon.settings import Settings

__all__ = ["LeaderTasks"]


class LeaderTasks:
    """Owns the tasks of the leading daemon."""

    def __init__(
        self,
        reactor,
        log: ReplicatedLog,
        settings: Settings,
        platform: Platform,
        journal: DecisionJournal,
    ):
        timing = settings.timing
        self.log = log
        self.sessions = SessionLeases(reactor, log)
        self.loan_allocator = LoanAllocator(reactor, log, log, self.sessions)
        self.repair = Repair(
            reactor,
            log,
            platform,
            repair_policy(timing),
            timing.target_lease_s,
            journal.record,
        )
        self.leases = TargetLeases(
            reactor, log, log, timing.target_lease_s, self.repair.record_contacts
        )
        self.usage = ResourceUsage(reactor, log, log)
        self.jobs = JobDispatcher(reactor, log, log, journal, self.usage)
        self.planner = ReclaimPlanner(reactor, log, self.jobs, self.usage)
        self.moves = PoolHostMover(reactor, log, self.jobs, settings.weights)
        self.retention = Retention(reactor, log)
        self.maintenance = Maintenance(
            log,
            platform,
            maintenance_policy(timing),
            log.session,
            journal.record,
            make_preempt_job(log, self.jobs),
        )
        self.calendar = Calendar(log, settings.maintenance.calendar, journal.record)

    def periodic_tasks(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the periodic tasks; those that await the platform run separately."""
        return (self.tick_work, self.tick_upkeep)

    async def tick_work(self) -> None:
        """Run the tasks for sessions, loans, leases, jobs and their retention."""
        if not self.log.is_leader():
            self.step_down()
            return
        for task in (
            self.sessions,
            self.loan_allocator,
            self.leases,
            self.jobs,
            self.planner,
            self.moves,
            self.retention,
        ):
            await task.tick()

    async def tick_upkeep(self) -> None:
        """Repair hosts and advance waves."""
        for task in (self.repair, self.maintenance, self.calendar):
            if self.log.is_leader():
                await task.tick()

    def step_down(self) -> None:
        """Discard leases, evidence and demand; a later term collects them again."""
        self.sessions.reset()
        self.repair.step_down()
        self.jobs.step_down()
        self.moves.step_down()

    def set_lease(self, lease_s: float) -> None:
        """Change the lease duration of targets, in seconds."""
        self.leases.lease_s = lease_s
