"""
mulberryledge_daemon.batch.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of a daemon that serves jobs of steps; each label has a bounded set of values.
"""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric

from mulberryledge_daemon.labels import LATENCY_BUCKETS_S, BoundedLabel

__all__ = ["BatchMetrics", "Gauges"]

Gauges = Callable[[], dict[str, float]]


class BatchMetrics:
    """
    Owns the registry of one daemon.

    Parameters
    ----------
    gauges : callable
        Returns the present values of the gauges, by name.
    """

    def __init__(self, gauges: Gauges):
        self.registry = CollectorRegistry()
        self.queues = BoundedLabel()
        self.requests = Counter(
            "mulberryledge_requests",
            "Requests of callers by what became of them.",
            ("kind", "verdict"),
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "mulberryledge_request_seconds",
            "Time from reading a request of a caller to its answer.",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.starts = Counter(
            "mulberryledge_run_starts", "Runs started.", registry=self.registry
        )
        self.run_ends = Counter(
            "mulberryledge_run_ends",
            "Runs by how they ended.",
            ("how",),
            registry=self.registry,
        )
        self.jobs = Counter(
            "mulberryledge_jobs_ended",
            "Jobs by queue, phase, and whether their objective was met.",
            ("queue", "phase", "in_time"),
            registry=self.registry,
        )
        self.job_seconds = Histogram(
            "mulberryledge_job_seconds",
            "Time from the acceptance of a job to its end.",
            ("queue",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(GaugeCollector(gauges))

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)


class GaugeCollector:
    """Reads the gauges at each scrape."""

    def __init__(self, gauges: Gauges):
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges."""
        for name, value in self.gauges().items():
            text = name.replace("_", " ").capitalize() + "."
            yield GaugeMetricFamily(f"mulberryledge_{name}", text, float(value))
