"""
mulberryledge_daemon.labels
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the metrics of all programs share: bounded labels, and buckets of latencies.
"""

__all__ = ["LATENCY_BUCKETS_S", "OTHER", "BoundedNames"]

MAX_NAMES = 512  # of a label; a scrape stays under a megabyte
OTHER = "(other)"
LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 120,
)  # fmt: skip


class BoundedNames:
    """Keeps the first names of a table that it sees, and gives the rest one name."""

    def __init__(self, limit: int = MAX_NAMES):
        self.limit = limit
        self.names: set[str] = set()

    def label(self, name: str, table: dict[str, object]) -> str:
        """Return the name if it is in the table and there is room for it."""
        if name in self.names:
            return name
        if name not in table or len(self.names) >= self.limit:
            return OTHER
        self.names.add(name)
        return name
