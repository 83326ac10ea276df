"""
mulberryledge_daemon.entry.tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Wiring of an entry's tasks and their HTTP routes.
"""

from collections.abc import Callable
from random import Random

from mulberryledge_daemon.entry.calls import CallDispatcher
from mulberryledge_daemon.entry.client import PooledClient
from mulberryledge_daemon.entry.demand import DemandReporter
from mulberryledge_daemon.entry.health import TargetHealth
from mulberryledge_daemon.entry.loans import Loans
from mulberryledge_daemon.entry.queues import CallQueues
from mulberryledge_daemon.entry.reservations import Reservations
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.http.callers import CallerInterface, caller_routes
from mulberryledge_daemon.http.cancellations import Cancellations, cancellation_routes
from mulberryledge_daemon.http.routing import Route
from mulberryledge_daemon.http.targets import TargetInterface, target_routes
from mulberryledge_daemon.http.usage import UsageInterface, usage_routes
from mulberryledge_daemon.observations import CallObserver
from mulberryledge_daemon.ports import ReplicatedLog
from mulberryledge_daemon.settings import Settings

__all__ = ["EntryTasks"]


class EntryTasks:
    """The tasks that admit and dispatch work on one daemon."""

    def __init__(
        self,
        reactor,
        log: ReplicatedLog,
        settings: Settings,
        stopping: Callable[[], bool],
        observe: CallObserver,
    ):
        name = settings.daemon.name
        zone = settings.daemon.availability_zone
        self.stopping = stopping
        self.client = PooledClient(reactor)
        self.session = EntrySession(reactor, log, name, log.session)
        self.loans = Loans(reactor, log, self.session, TargetHealth(), zone)
        self.queues = CallQueues(reactor, log, self.loans)
        self.demand = DemandReporter(
            reactor, log, log, self.session, self.loans, self.queues
        )
        self.reservations = Reservations(reactor, log, self.session)
        self.calls = CallDispatcher(
            reactor,
            log,
            self.queues,
            self.reservations,
            self.client,
            Random(log.session).random,
        )
        self.targets = TargetInterface(
            reactor, log, log, name, settings.timing.target_lease_s
        )
        self.usage_reports = UsageInterface(reactor, self.targets, log, name)
        self.cancellations = Cancellations(reactor, log)
        self.callers = CallerInterface(reactor, log, self.calls, stopping, observe)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for callers and targets."""
        return (
            *caller_routes(self.callers),
            *target_routes(self.targets),
            *usage_routes(self.usage_reports),
            *cancellation_routes(self.cancellations),
        )

    async def tick(self) -> None:
        """Run the periodic tasks."""
        await self.targets.tick()
        await self.usage_reports.tick()
        await self.demand.tick(self.stopping())

    def count_unfinished(self) -> int:
        """Return a lower bound of the unfinished calls and settlements; 0 if none."""
        return max(self.loans.count_in_use(), self.reservations.unsettled_count)

    async def shut_down(self, cut_off: int) -> None:
        """Return free loans, and close the session unless requests were cut off."""
        await self.demand.return_free(everything=True)
        if not cut_off:
            await self.session.close()

    def set_target_lease(self, lease_s: float) -> None:
        """Set the duration of target leases, in seconds."""
        self.targets.lease_s = lease_s
