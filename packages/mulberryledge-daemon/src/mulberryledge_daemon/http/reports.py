"""
mulberryledge_daemon.http.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP reports of one daemon: status, decisions, service-level counts.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from twisted.web.http import Request

from mulberryledge_core.codec import to_plain
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.burn.recorder import BurnRecorder
from mulberryledge_daemon.decision_journal import DecisionJournal
from mulberryledge_daemon.http.operators import OperatorInterface
from mulberryledge_daemon.http.routing import Reply, Route, json_reply, query_of
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["DaemonIdentity", "ReportInterface", "report_routes"]


@dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """Name, failure domains and release of a daemon."""

    name: str
    region: str
    availability_zone: str
    release: str


class ReportInterface:
    """Handlers of the report routes."""

    def __init__(
        self,
        log: ReplicatedLog,
        identity: DaemonIdentity,
        journal: DecisionJournal,
        burn: BurnRecorder,
        ready: Callable[[], bool],
    ):
        self.log = log
        self.identity = identity
        self.journal = journal
        self.burn = burn
        self.ready = ready

    async def status(self, request: Request) -> Reply:
        """Return the status of this daemon and the row counts of its state."""
        state = self.log.state
        own = to_plain(self.identity) | {
            "session": self.log.session,
            "index": state.applied_index,
            "fresh": self.log.is_fresh(),
            "leader": self.log.is_leader(),
            "ready": self.ready(),
        }
        return json_reply(own | {"counts": count_rows(state)})

    async def explain(self, request: Request) -> Reply:
        """Return the decisions of this daemon on a subject, newest first."""
        found = self.journal.decisions_on(query_of(request, "subject"))
        return json_reply(
            {
                "daemon": self.identity.name,
                "index": self.log.state.applied_index,
                "decisions": [to_plain(one) for one in found],
            }
        )

    async def report(self, request: Request) -> Reply:
        """Return the service-level counts of this daemon."""
        report = self.burn.report(self.log.time_ms())
        return json_reply(to_plain(report))


def count_rows(state: ClusterState) -> dict[str, dict[str, int]]:
    """Return the number of rows by phase, or in all, for each table."""
    return {
        "hosts": dict(Counter(one.phase for one in state.hosts.values())),
        "targets": dict(Counter(one.phase for one in state.targets.values())),
        "jobs": dict(Counter(one.phase for one in state.jobs.values())),
        "waves": dict(Counter(one.phase for one in state.waves.values())),
        "pools": {"all": len(state.pools)},
        "services": {"all": len(state.services)},
        "teams": {"all": len(state.teams)},
        "keys": {"all": len(state.keys)},
    }


def report_routes(
    interface: ReportInterface, operators: OperatorInterface
) -> tuple[Route, ...]:
    """Return the report routes, which require the operators' key."""
    require_key = operators.require_key
    return (
        Route("GET", "/v1/status", require_key(interface.status)),
        Route("GET", "/v1/explain", require_key(interface.explain)),
        Route("GET", "/v1/burn", require_key(interface.report)),
    )
