"""
mulberryledge_testing.bench.log.usage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Processor time and traffic between daemons of one daemon.
"""

import os
import time
from dataclasses import dataclass
from pathlib import Path

from mulberryledge_testing.processes import DaemonProcess, status

__all__ = ["Usage", "usage_of"]

PERCENT = 100
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


@dataclass(frozen=True, slots=True)
class Usage:
    """
    What a daemon has used since it started, or between two moments.

    Attributes
    ----------
    at_s, cpu_s : float
        Moment, and processor time, in seconds.
    sent, received : int
        Bytes exchanged with other daemons.
    """

    at_s: float
    cpu_s: float
    sent: int
    received: int

    def __sub__(self, other: "Usage") -> "Usage":
        return Usage(
            self.at_s - other.at_s,
            self.cpu_s - other.cpu_s,
            self.sent - other.sent,
            self.received - other.received,
        )

    def bytes(self) -> int:
        """Return the bytes in both directions."""
        return self.sent + self.received

    def bytes_per_s(self) -> float:
        """Return the traffic in both directions, in bytes per second."""
        return self.bytes() / self.at_s

    def cpu_percent(self) -> float:
        """Return the processor time in percent of a core."""
        return PERCENT * self.cpu_s / self.at_s


def usage_of(daemon: DaemonProcess) -> Usage:
    """Return what a daemon has used."""
    seen = status(f"{daemon.operators_url}/v1/cluster")
    text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return Usage(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        seen["bytes_sent"],
        seen["bytes_received"],
    )
