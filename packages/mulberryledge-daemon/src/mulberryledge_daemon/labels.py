"""
mulberryledge_daemon.labels
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Definitions shared by the metrics of all programs: labels with a bounded number of
values, and latency buckets.
"""

__all__ = ["LATENCY_BUCKETS_S", "OTHER_LABEL", "BoundedLabel"]

MAX_NAMES = 512  # per label; keeps a scrape below 1 MB
OTHER_LABEL = "(other)"
LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 120,
)  # fmt: skip


class BoundedLabel:
    """Limits a label to the first ``limit`` names; others become ``OTHER_LABEL``."""

    def __init__(self, limit: int = MAX_NAMES):
        self.limit = limit
        self.names: set[str] = set()

    def label(self, name: str, table: dict[str, object]) -> str:
        """Return a name of the table within the limit, else ``OTHER_LABEL``."""
        if name in self.names:
            return name
        if name not in table or len(self.names) >= self.limit:
            return OTHER_LABEL
        self.names.add(name)
        return name
