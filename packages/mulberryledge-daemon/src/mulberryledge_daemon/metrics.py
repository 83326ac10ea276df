"""
mulberryledge_daemon.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of one daemon. Each label has a bounded set of values.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric

from mulberryledge_core.outcomes import Code, RunOutcome
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.labels import LATENCY_BUCKETS_S, OTHER_LABEL, BoundedLabel
from mulberryledge_daemon.observations import CallObservation
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Metrics"]

KNOWN_CODES = frozenset((*Code, "ok"))


class Metrics:
    """Prometheus registry of one daemon."""

    def __init__(self, log: ReplicatedLog):
        self.log = log
        self.registry = CollectorRegistry()
        self.services = BoundedLabel()
        self.teams = BoundedLabel()
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

    def observe(self, call: CallObservation) -> None:
        """Record one finished call."""
        state = self.log.state
        service = self.services.label(call.service, state.services)
        team = self.teams.label(call.team, state.teams)
        outcome = RunOutcome(call.run_outcome)
        code = call.code if call.code in KNOWN_CODES else OTHER_LABEL
        self.calls.labels(service, outcome, code).inc()
        self.team_calls.labels(team, outcome).inc()
        self.seconds.labels(service).observe(call.duration_s)
        if call.dispatches > 1:
            self.retries.labels(service).inc(call.dispatches - 1)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class StateCollector:
    """Computes gauges from the applied state on each scrape."""

    def __init__(self, log: ReplicatedLog):
        self.log = log

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges."""
        state = self.log.state
        gauges = {
            "applied_index": ("Index of the last applied entry.", state.applied_index),
            "fresh": ("Whether the freshness lease holds.", self.log.is_fresh()),
            "leader": ("Whether this daemon leads.", self.log.is_leader()),
            "teams": ("Teams.", len(state.teams)),
            "keys": ("Team keys in force.", len(state.keys)),
            "services": ("Services.", len(state.services)),
        }
        for name, (text, value) in gauges.items():
            yield GaugeMetricFamily(f"mulberryledge_{name}", text, float(value))
        for name, rows in count_by_phase(state).items():
            text = f"Number of {name} by phase."
            family = GaugeMetricFamily(f"mulberryledge_{name}", text, labels=("phase",))
            for phase, count in rows.items():
                family.add_metric((phase,), count)
            yield family


def count_by_phase(state: ClusterState) -> dict[str, dict[str, int]]:
    """Return the number of rows by phase for each table with phases."""
    counts: dict[str, dict[str, int]] = {}
    for name in ("hosts", "targets", "jobs", "waves"):
        rows = counts.setdefault(name, {})
        for row in getattr(state, name).values():
            rows[row.phase] = rows.get(row.phase, 0) + 1
    return counts
