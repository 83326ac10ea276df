"""
mulberryledge_daemon.accounting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hands each finished call to the metrics and to the service-level counts.
"""

import logging
from pathlib import Path

from result import Err

from mulberryledge_daemon.burn.recorder import BurnRecorder
from mulberryledge_daemon.burn.store import load_counts, save_counts
from mulberryledge_daemon.metrics import Metrics
from mulberryledge_daemon.observations import CallObservation
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["Accounting"]

SAVE_INTERVAL_MS = 60_000

logger = logging.getLogger(__name__)


class Accounting:
    """
    Owns the metrics and the service-level counts of one daemon.

    A daemon without a data folder keeps its counts in memory only.
    """

    def __init__(self, log: ReplicatedLog, daemon: str, data_folder: str):
        self.log = log
        self.folder = Path(data_folder) if data_folder else None
        now_ms = log.time_ms()
        self.metrics = Metrics(log)
        self.burn = BurnRecorder(daemon, log.state, now_ms)
        self.saved_ms = now_ms
        stored = load_counts(self.folder) if self.folder else None
        if stored is not None:
            self.burn.restore(stored)

    def observe(self, seen: CallObservation) -> None:
        """Count one finished call."""
        self.metrics.observe(seen)
        self.burn.observe(seen, self.log.time_ms())

    def tick(self) -> None:
        """Save the counts if there are new ones and a minute has passed."""
        now_ms = self.log.time_ms()
        if now_ms - self.saved_ms >= SAVE_INTERVAL_MS:
            self.saved_ms = now_ms
            self.save()

    def save(self) -> None:
        """Write the counts to the data folder, if there are new ones."""
        if self.folder is None or not self.burn.changed:
            return
        self.burn.fold(self.log.time_ms())
        saved = save_counts(self.folder, self.burn.stored())
        if isinstance(saved, Err):
            self.burn.changed = True
            extra = {"why": saved.err_value}
            logger.warning("service-level counts not saved", extra=extra)
