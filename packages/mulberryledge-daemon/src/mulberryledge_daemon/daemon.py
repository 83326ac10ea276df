"""
mulberryledge_daemon.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~~~

One daemon from its start to its planned stop.
"""

import logging
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from importlib.metadata import version

from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred
from twisted.internet.task import LoopingCall, deferLater

from mulberryledge_daemon.accounting import Accounting
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
from mulberryledge_daemon.journal import Journal
from mulberryledge_daemon.leader.tasks import LeaderTasks
from mulberryledge_daemon.log.opening import open_log
from mulberryledge_daemon.peers.tls import PeerContext
from mulberryledge_daemon.periodic import run_periodically
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
        self.hurried = False
        self.loops: list[LoopingCall] = []
        self.ports: list = []
        self.routers: list[Router] = []
        self.sites: list = []
        name = settings.daemon.name
        self.journal = Journal()
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
        """Open the session, listen, and start the periodic tasks."""
        listen = self.settings.listen
        await self.log.start()
        health = health_routes(self.is_ready, self.accounting.metrics.text)
        self.listen(listen.callers_port, (*health, *self.entry.routes()))
        tls = self.settings.tls
        context = PeerContext(tls) if tls.operators else None
        self.listen(listen.operators_port, self.operator_side(), context)
        while not await self.entry.session.ensure_open():
            logger.warning("no leader yet")
        tick_s = self.settings.timing.tick_s
        for task in (self.entry_tick, *self.leader.ticks()):
            self.loops.append(run_periodically(self.reactor, tick_s, task))
        extra = {
            "callers_port": self.callers_port,
            "session": self.entry.session.name,
        }
        logger.info("started", extra=extra)

    def operator_side(self) -> tuple[Route, ...]:
        """Return the routes for operators."""
        return (
            *operator_routes(self.operators),
            *report_routes(self.reports, self.operators),
            *cluster_routes(self.operators.admit, self.log.status),
        )

    def listen(
        self, port: int, routes: tuple[Route, ...], tls: PeerContext | None = None
    ) -> None:
        """Serve routes on a TCP port, with mutual TLS if there is a context."""
        router = Router(routes, lambda: self.stopping)
        site = make_site(router, self.reactor)
        self.routers.append(router)
        self.sites.append(site)
        address = self.settings.listen.address
        if tls is None:
            opened = self.reactor.listenTCP(port, site, interface=address)
        else:
            opened = self.reactor.listenSSL(port, site, tls, interface=address)
        self.ports.append(opened)

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
        known = self.entry.session.name in self.log.state.sessions
        return known and not self.stopping and self.log.is_fresh()

    async def entry_tick(self) -> None:
        """Run the periodic tasks of an entry."""
        await self.entry.tick()
        self.accounting.tick()

    def log_position(self) -> dict[str, int]:
        """Return the term and the applied index, which each log line carries."""
        return {
            "term": self.log.node.term,
            "index": self.log.state.applied_index,
        }

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
        self.leader.set_lease(settings.timing.target_lease_s)
        self.entry.set_lease(settings.timing.target_lease_s)
        return planned

    def hurry(self) -> None:
        """Cut short a stop that waits for running requests."""
        self.hurried = True

    def unfinished(self) -> int:
        """Return how many requests, calls and settlements have not ended."""
        requests = sum(router.running for router in self.routers)
        return max(requests, self.entry.unfinished())

    async def stop(self) -> int:
        """
        Stop gracefully.

        Returns
        -------
        int
            Number of requests that the stop cut off.
        """
        self.stopping = True
        cut_off = await self.finish_requests()
        running = dict(self.entry.calls.running)
        for loop in self.loops:
            loop.stop()
        for site in self.sites:
            site.close_idle()
        settled = Deferred.fromCoroutine(self.entry.settle(cut_off))
        settled.addTimeout(SETTLE_TIMEOUT_S, self.reactor)
        await settled.addErrback(lambda failure: failure.trap(TimeoutError))
        for port in self.ports:
            await maybeDeferred(port.stopListening)
        self.accounting.save()
        await self.entry.client.close()
        await self.platform.close()
        await self.log.stop()
        logger.info("stopped", extra={"cut_off": cut_off, "calls": running})
        return cut_off

    async def finish_requests(self) -> int:
        """Wait for running requests; return how many did not end in time."""
        until = self.reactor.seconds() + self.settings.timing.stop_timeout_s
        while self.unfinished() and self.reactor.seconds() < until:
            if self.hurried:
                break
            await deferLater(self.reactor, STOP_POLL_S)
        return self.unfinished()


@contextmanager
def open_daemon(reactor, settings: Settings) -> Iterator[Daemon]:
    """Open the data folder of a daemon and put the daemon together."""
    with ExitStack() as stack:
        log = stack.enter_context(open_log(reactor, settings))
        yield Daemon(reactor, settings, log)
