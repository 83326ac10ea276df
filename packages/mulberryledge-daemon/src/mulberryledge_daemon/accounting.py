"""
mulberryledge_daemon.accounting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records finished calls in the metrics and in the service-level counts.
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
        self.last_save_ms = now_ms
        stored = load_counts(self.folder) if self.folder else None
        if stored is not None:
            self.burn.restore(stored)

    def observe(self, call: CallObservation) -> None:
        """Record one finished call."""
        self.metrics.observe(call)
        self.burn.observe(call, self.log.time_ms())

    def tick(self) -> None:
        """Save changed counts at most once per ``SAVE_INTERVAL_MS``."""
        now_ms = self.log.time_ms()
        if now_ms - self.last_save_ms >= SAVE_INTERVAL_MS:
            self.last_save_ms = now_ms
            self.save()

    def save(self) -> None:
        """Write the counts to the data folder if they changed."""
        if self.folder is None or not self.burn.has_unsaved_counts:
            return
        self.burn.downsample(self.log.time_ms())
        result = save_counts(self.folder, self.burn.to_stored())
        if isinstance(result, Err):
            self.burn.has_unsaved_counts = True
            extra = {"why": result.err_value}
            logger.warning("service-level counts not saved", extra=extra)
