"""
mulberryledge_daemon.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Puts the tasks and adapters of one daemon together and runs them.
"""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from importlib.metadata import version
from random import Random

from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred
from twisted.internet.task import LoopingCall, deferLater

from mulberryledge_daemon.accounting import Accounting
from mulberryledge_daemon.entry.calls import Calls
from mulberryledge_daemon.entry.client import PooledClient
from mulberryledge_daemon.entry.demand import Demand
from mulberryledge_daemon.entry.health import TargetHealth
from mulberryledge_daemon.entry.loans import Loans
from mulberryledge_daemon.entry.queues import Queues
from mulberryledge_daemon.entry.reservations import Reservations
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.http.callers import CallerInterface, caller_routes
from mulberryledge_daemon.http.cancellations import (
    Cancellations,
    cancellation_routes,
)
from mulberryledge_daemon.http.cluster import cluster_routes
from mulberryledge_daemon.http.health import health_routes
from mulberryledge_daemon.http.operators import OperatorInterface, operator_routes
from mulberryledge_daemon.http.reports import (
    DaemonIdentity,
    ReportInterface,
    report_routes,
)
from mulberryledge_daemon.http.routing import Route, Router
from mulberryledge_daemon.http.server import make_site
from mulberryledge_daemon.http.targets import TargetInterface, target_routes
from mulberryledge_daemon.http.usage import UsageInterface, usage_routes
from mulberryledge_daemon.journal import Journal
from mulberryledge_daemon.leader.jobs import Jobs
from mulberryledge_daemon.leader.leases import TargetLeases
from mulberryledge_daemon.leader.lender import Lender
from mulberryledge_daemon.leader.maintenance import Maintenance
from mulberryledge_daemon.leader.moves import Moves
from mulberryledge_daemon.leader.planner import Planner
from mulberryledge_daemon.leader.policies import maintenance_policy, repair_policy
from mulberryledge_daemon.leader.repair import Repair
from mulberryledge_daemon.leader.retention import Retention
from mulberryledge_daemon.leader.sessions import SessionLeases
from mulberryledge_daemon.leader.usage import Usage
from mulberryledge_daemon.log import open_log
from mulberryledge_daemon.platform import HttpPlatform
from mulberryledge_daemon.settings import Settings
from mulberryledge_daemon.settings_checks import Reload, plan_reload

__all__ = ["Daemon", "open_daemon"]

STOP_POLL_S = 0.02
SETTLE_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class Daemon:
    """One running daemon."""

    def __init__(self, reactor, settings: Settings, log):
        self.reactor = reactor
        self.settings = settings
        self.log = log
        self.stopping = False
        self.loops: list[LoopingCall] = []
        self.ports: list = []
        self.routers: list[Router] = []
        self.sites: list = []
        self.hurried = False
        name = settings.daemon.name
        timing = settings.timing
        self.journal = Journal()
        zone = settings.daemon.availability_zone
        self.client = PooledClient(reactor)
        self.platform = HttpPlatform(reactor, settings.platform.url)
        self.session = EntrySession(reactor, log, name, log.session)
        self.loans = Loans(reactor, log, self.session, TargetHealth(), zone)
        self.queues = Queues(reactor, log, self.loans)
        self.demand = Demand(reactor, log, log, self.session, self.loans, self.queues)
        self.reservations = Reservations(reactor, log, self.session)
        self.calls = Calls(
            reactor,
            log,
            self.queues,
            self.reservations,
            self.client,
            Random(log.session).random,
        )
        self.usage = Usage(reactor, log, log)
        self.jobs = Jobs(reactor, log, log, self.journal, self.usage)
        self.planner = Planner(reactor, log, self.jobs, self.usage)
        self.moves = Moves(reactor, log, self.jobs, settings.weights)
        self.retention = Retention(reactor, log)
        self.sessions = SessionLeases(reactor, log)
        self.lender = Lender(reactor, log, log, self.sessions)
        self.repair = Repair(
            reactor,
            log,
            self.platform,
            repair_policy(timing),
            timing.target_lease_s,
            self.journal.note,
        )
        self.leases = TargetLeases(
            reactor, log, log, timing.target_lease_s, self.repair.witness
        )
        self.maintenance = Maintenance(
            log,
            self.platform,
            maintenance_policy(timing),
            log.session,
            self.journal.note,
        )
        self.targets = TargetInterface(reactor, log, log, name, timing.target_lease_s)
        self.usage_reports = UsageInterface(reactor, self.targets, log, name)
        self.cancellations = Cancellations(reactor, log)
        self.accounting = Accounting(log, name, settings.daemon.data_folder)
        self.callers = CallerInterface(
            reactor, log, self.calls, lambda: self.stopping, self.accounting.observe
        )
        self.operators = OperatorInterface(log, settings.operator)
        self.reports = ReportInterface(
            log,
            DaemonIdentity(
                name,
                settings.daemon.region,
                settings.daemon.availability_zone,
                version("mulberryledge-daemon"),
            ),
            self.journal,
            self.accounting.burn,
            self.is_ready,
        )

    async def start(self) -> None:
        """Open the session, listen, and start the periodic tasks."""
        listen = self.settings.listen
        await self.log.start()
        routes = (
            *health_routes(self.is_ready, self.accounting.metrics.text),
            *caller_routes(self.callers),
            *target_routes(self.targets),
            *usage_routes(self.usage_reports),
            *cancellation_routes(self.cancellations),
        )
        self.listen(listen.callers_port, routes)
        self.listen(listen.operators_port, self.operator_side())
        await self.open_session()
        for task in (
            self.entry_tick,
            self.leader_tick,
        ):
            loop = LoopingCall(lambda run=task: Deferred.fromCoroutine(run()))
            loop.clock = self.reactor
            loop.start(self.settings.timing.tick_s).addErrback(log_failure)
            self.loops.append(loop)
        extra = {"callers_port": self.callers_port, "session": self.session.name}
        logger.info("started", extra=extra)

    def operator_side(self) -> tuple[Route, ...]:
        """Return the routes for operators."""
        return (
            *operator_routes(self.operators),
            *report_routes(self.reports, self.operators),
            *cluster_routes(self.operators.admit, self.log.status),
        )

    async def open_session(self) -> None:
        """Begin this life of the daemon as an entry, as soon as there is a leader."""
        while not await self.session.ensure_open():
            logger.warning("no leader yet")

    async def settle_session(self, cut_off: int) -> None:
        """Return the loans, and end the session unless a call was cut off."""
        await self.demand.return_free(everything=True)
        if not cut_off:
            await self.session.close()

    def listen(self, port: int, routes: tuple) -> None:
        """Serve routes on a TCP port."""
        router = Router(routes, lambda: self.stopping)
        site = make_site(router, self.reactor)
        self.routers.append(router)
        self.sites.append(site)
        address = self.settings.listen.address
        self.ports.append(self.reactor.listenTCP(port, site, interface=address))

    @property
    def callers_port(self) -> int:
        """TCP port for callers and targets."""
        return self.ports[0].getHost().port

    @property
    def operators_port(self) -> int:
        """TCP port for operators."""
        return self.ports[1].getHost().port

    def is_ready(self) -> bool:
        """Return whether the balancer should send traffic here."""
        known = self.session.name in self.log.state.sessions
        return known and not self.stopping and self.log.is_fresh()

    async def entry_tick(self) -> None:
        """Run the periodic tasks of an entry."""
        await self.targets.tick()
        await self.usage_reports.tick()
        await self.demand.tick(self.stopping)
        self.accounting.tick()

    async def leader_tick(self) -> None:
        """Run the periodic tasks of the leader."""
        if not self.log.is_leader():
            self.jobs.step_down()
            self.moves.step_down()
            self.sessions.resign()
            self.repair.step_down()
            return
        await self.sessions.tick()
        await self.lender.tick()
        await self.leases.tick()
        await self.jobs.tick()
        await self.planner.tick()
        await self.moves.tick()
        await self.retention.tick()
        await self.repair.tick()
        await self.maintenance.tick()

    def log_position(self) -> dict[str, int]:
        """Return the term, where the log has terms, and the applied index."""
        position = {"index": self.log.state.applied_index}
        if hasattr(self.log, "term"):
            position["term"] = self.log.term
        return position

    def reload(self, settings: Settings) -> Reload:
        """Take over what may change without a restart."""
        planned = plan_reload(self.settings, settings)
        self.settings = replace(
            self.settings,
            operator=settings.operator,
            platform=settings.platform,
            timing=replace(
                self.settings.timing,
                target_lease_s=settings.timing.target_lease_s,
                stop_timeout_s=settings.timing.stop_timeout_s,
            ),
            logs=settings.logs,
        )
        self.operators.set_key(settings.operator)
        self.platform.url = settings.platform.url
        self.leases.lease_s = settings.timing.target_lease_s
        self.targets.lease_s = settings.timing.target_lease_s
        return planned

    def hurry(self) -> None:
        """Cut short a stop that waits for running requests."""
        self.hurried = True

    def unfinished(self) -> int:
        """Return how many requests, calls and settlements have not ended."""
        requests = sum(router.running for router in self.routers)
        return max(requests, self.loans.in_use(), self.reservations.unsettled)

    async def stop(self) -> int:
        """
        Stop gracefully.

        Returns
        -------
        int
            Number of requests that the stop cut off.
        """
        self.stopping = True
        until = self.reactor.seconds() + self.settings.timing.stop_timeout_s
        while self.unfinished() and self.reactor.seconds() < until:
            if self.hurried:
                break
            await deferLater(self.reactor, STOP_POLL_S)
        cut_off = self.unfinished()
        running = dict(self.calls.running)
        for loop in self.loops:
            loop.stop()
        for site in self.sites:
            site.close_idle()
        settled = Deferred.fromCoroutine(self.settle_session(cut_off))
        settled.addTimeout(SETTLE_TIMEOUT_S, self.reactor)
        await settled.addErrback(lambda failure: failure.trap(TimeoutError))
        for port in self.ports:
            await maybeDeferred(port.stopListening)
        self.accounting.save()
        await self.client.close()
        await self.platform.close()
        await self.log.stop()
        logger.info("stopped", extra={"cut_off": cut_off, "calls": running})
        return cut_off


@contextmanager
def open_daemon(reactor, settings: Settings) -> Iterator[Daemon]:
    """Open the data folder of a daemon and put the daemon together."""
    with ExitStack() as stack:
        log = stack.enter_context(open_log(reactor, settings))
        yield Daemon(reactor, settings, log)


def log_failure(failure) -> None:
    """Log the failure of a periodic task."""
    logger.critical("task failed", extra={"failure": failure.getTraceback()})
