"""
mulberryledge_daemon.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of one daemon; each label has a bounded set of values.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric

from mulberryledge_core.outcomes import Code, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.labels import LATENCY_BUCKETS_S, OTHER, BoundedNames
from mulberryledge_daemon.observations import CallObservation
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Metrics"]

CODES = frozenset((*Code, "ok"))


class Metrics:
    """Owns the registry of one daemon."""

    def __init__(self, log: ReplicatedLog):
        self.log = log
        self.registry = CollectorRegistry()
        self.services = BoundedNames()
        self.teams = BoundedNames()
        self.calls = Counter(
            "mulberryledge_calls",
            "Finished calls.",
            ("service", "outcome", "code"),
            registry=self.registry,
        )
        self.team_calls = Counter(
            "mulberryledge_team_calls",
            "Finished calls by calling team.",
            ("team", "outcome"),
            registry=self.registry,
        )
        self.retries = Counter(
            "mulberryledge_call_retries",
            "Dispatches after the first one.",
            ("service",),
            registry=self.registry,
        )
        self.seconds = Histogram(
            "mulberryledge_call_seconds",
            "Time from admission to the reply.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(StateCollector(log))

    def observe(self, seen: CallObservation) -> None:
        """Count one finished call."""
        state = self.log.state
        service = self.services.label(seen.service, state.services)
        team = self.teams.label(seen.team, state.teams)
        outcome = RunOutcome(seen.run)
        code = seen.code if seen.code in CODES else OTHER
        self.calls.labels(service, outcome, code).inc()
        self.team_calls.labels(team, outcome).inc()
        self.seconds.labels(service).observe(seen.seconds)
        if seen.tries > 1:
            self.retries.labels(service).inc(seen.tries - 1)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)


class StateCollector:
    """Reads gauges from the applied state when they are asked for."""

    def __init__(self, log: ReplicatedLog):
        self.log = log

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges."""
        state = self.log.state
        plain = {
            "applied_index": ("Index of the last applied entry.", state.applied_index),
            "fresh": ("Whether the freshness lease holds.", self.log.is_fresh()),
            "leader": ("Whether this daemon leads.", self.log.is_leader()),
            "teams": ("Teams.", len(state.teams)),
            "keys": ("Team keys in force.", len(state.keys)),
            "services": ("Services.", len(state.services)),
        }
        for name, (text, value) in plain.items():
            yield GaugeMetricFamily(f"mulberryledge_{name}", text, float(value))
        for name, rows in phases(state).items():
            text = f"Number of {name} by phase."
            family = GaugeMetricFamily(f"mulberryledge_{name}", text, labels=("phase",))
            for phase, count in rows.items():
                family.add_metric((phase,), count)
            yield family


def phases(state: ClusterState) -> dict[str, dict[str, int]]:
    """Return the number of rows by phase, for each table that has phases."""
    counts: dict[str, dict[str, int]] = {}
    for name in ("hosts", "targets", "jobs", "waves"):
        rows = counts.setdefault(name, {})
        for row in getattr(state, name).values():
            rows[row.phase] = rows.get(row.phase, 0) + 1
    return counts
