"""
mulberryledge_daemon.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Start, reload and planned stop of one daemon.
"""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from importlib.metadata import version

from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred
from twisted.internet.task import LoopingCall, deferLater

from mulberryledge_daemon.accounting import Accounting
from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.entry.tasks import EntryTasks
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
from mulberryledge_daemon.leader.tasks import LeaderTasks
from mulberryledge_daemon.log.opening import open_log
from mulberryledge_daemon.peers.tls import PeerContext
from mulberryledge_daemon.periodic import run_periodically
from mulberryledge_daemon.platform import HttpPlatform
from mulberryledge_daemon.settings import Settings
from mulberryledge_daemon.settings_checks import ReloadPlan, plan_reload

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
        self.stop_expedited = False
        self.loops: list[LoopingCall] = []
        self.ports: list = []
        self.routers: list[Router] = []
        self.sites: list = []
        name = settings.daemon.name
        self.journal = DecisionJournal()
        self.platform = HttpPlatform(reactor, settings.platform.url)
        self.accounting = Accounting(log, name, settings.daemon.data_folder)
        self.entry = EntryTasks(
            reactor, log, settings, lambda: self.stopping, self.accounting.observe
        )
        self.leader = LeaderTasks(reactor, log, settings, self.platform, self.journal)
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
        """Start the log, listen, open a session and start the periodic tasks."""
        listen = self.settings.listen
        await self.log.start()
        health = health_routes(self.is_ready, self.accounting.metrics.text)
        self.listen(listen.callers_port, (*health, *self.entry.routes()))
        tls = self.settings.tls
        context = PeerContext(tls) if tls.operators else None
        self.listen(listen.operators_port, self.all_operator_routes(), context)
        while not await self.entry.session.ensure_open():
            logger.warning("session not opened, retrying")
        tick_s = self.settings.timing.tick_s
        for task in (self.entry_tick, *self.leader.periodic_tasks()):
            self.loops.append(run_periodically(self.reactor, tick_s, task))
        extra = {
            "callers_port": self.callers_port,
            "session": self.entry.session.name,
        }
        logger.info("started", extra=extra)

    def all_operator_routes(self) -> tuple[Route, ...]:
        """Return all routes of the operators' port."""
        return (
            *operator_routes(self.operators),
            *report_routes(self.reports, self.operators),
            *cluster_routes(self.operators.admit, self.log.status),
        )

    def listen(
        self, port: int, routes: tuple[Route, ...], tls: PeerContext | None = None
    ) -> None:
        """Serve routes on a TCP port, with mutual TLS if a context is given."""
        router = Router(routes, lambda: self.stopping)
        site = make_site(router, self.reactor)
        self.routers.append(router)
        self.sites.append(site)
        address = self.settings.listen.address
        if tls is None:
            listening = self.reactor.listenTCP(port, site, interface=address)
        else:
            listening = self.reactor.listenSSL(port, site, tls, interface=address)
        self.ports.append(listening)

    @property
    def callers_port(self) -> int:
        """TCP port for callers and targets."""
        return self.ports[0].getHost().port

    @property
    def operators_port(self) -> int:
        """TCP port for operators."""
        return self.ports[1].getHost().port

    def is_ready(self) -> bool:
        """Return whether the load balancer should send traffic to this daemon."""
        has_session = self.entry.session.name in self.log.state.sessions
        return has_session and not self.stopping and self.log.is_fresh()

    async def entry_tick(self) -> None:
        """Run the periodic tasks of an entry."""
        await self.entry.tick()
        self.accounting.tick()

    def log_position(self) -> dict[str, int]:
        """Return the term and the applied index, added to each log line."""
        return {
            "term": self.log.node.term,
            "index": self.log.state.applied_index,
        }

    def reload(self, settings: Settings) -> ReloadPlan:
        """Apply the settings that do not need a restart."""
        plan = plan_reload(self.settings, settings)
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
        self.leader.set_lease(settings.timing.target_lease_s)
        self.entry.set_target_lease(settings.timing.target_lease_s)
        return plan

    def expedite_stop(self) -> None:
        """Stop waiting for running requests in a planned stop."""
        self.stop_expedited = True

    def unfinished(self) -> int:
        """Return the number of unfinished requests, calls or settlements."""
        requests = sum(router.running_handlers for router in self.routers)
        return max(requests, self.entry.count_unfinished())

    async def stop(self) -> int:
        """
        Stop gracefully.

        Returns
        -------
        int
            Number of requests that were aborted.
        """
        self.stopping = True
        cut_off = await self.finish_requests()
        running = dict(self.entry.calls.target_by_request_id)
        for loop in self.loops:
            loop.stop()
        for site in self.sites:
            site.close_idle()
        settlement = Deferred.fromCoroutine(self.entry.shut_down(cut_off))
        settlement.addTimeout(SETTLE_TIMEOUT_S, self.reactor)
        await settlement.addErrback(lambda failure: failure.trap(TimeoutError))
        for port in self.ports:
            await maybeDeferred(port.stopListening)
        self.accounting.save()
        await self.entry.client.close()
        await self.platform.close()
        await self.log.stop()
        logger.info("stopped", extra={"cut_off": cut_off, "calls": running})
        return cut_off

    async def finish_requests(self) -> int:
        """Wait for running requests; return the number that did not end in time."""
        deadline_s = self.reactor.seconds() + self.settings.timing.stop_timeout_s
        while self.unfinished() and self.reactor.seconds() < deadline_s:
            if self.stop_expedited:
                break
            await deferLater(self.reactor, STOP_POLL_S)
        return self.unfinished()


@contextmanager
def open_daemon(reactor, settings: Settings) -> Iterator[Daemon]:
    """Open a daemon's data folder and construct the daemon."""
    with ExitStack() as stack:
        log = stack.enter_context(open_log(reactor, settings))
        yield Daemon(reactor, settings, log)
