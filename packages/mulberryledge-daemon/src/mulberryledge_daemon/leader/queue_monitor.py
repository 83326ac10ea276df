"""
mulberryledge_daemon.leader.queue_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Run times and urgent-job rates of queues, and the slots reserved for urgent jobs.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.queues import urgent_reserve
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.views import targets_of

__all__ = ["QueueMonitor", "QueueStatistics"]

SMOOTHING_FACTOR = 0.1
URGENT_DECAY_S = 600.0


@dataclass(frozen=True, slots=True)
class QueueStatistics:
    """
    Run time and urgent-job rate of a queue.

    Attributes
    ----------
    run_s : float
        Smoothed run time of its jobs in seconds.
    urgent_rate_per_s : float
        Smoothed arrival rate of urgent jobs.
    last_urgent_s : float
        Time of the last urgent job in seconds.
    """

    run_s: float = 1.0
    urgent_rate_per_s: float = 0.0
    last_urgent_s: float = 0.0

    def current_urgent_rate_per_s(self, now_s: float) -> float:
        """Return the rate of urgent jobs, which decays linearly after the last one."""
        return self.urgent_rate_per_s * max(
            0.0, 1 - (now_s - self.last_urgent_s) / URGENT_DECAY_S
        )


class QueueMonitor:
    """Owns the statistics of each queue."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.statistics: dict[str, QueueStatistics] = defaultdict(QueueStatistics)

    def observe_run(self, service: str, run_s: float) -> None:
        """Update the run time of a queue from an ended job."""
        before = self.statistics[service]
        smoothed_s = before.run_s + SMOOTHING_FACTOR * (run_s - before.run_s)
        self.statistics[service] = replace(before, run_s=smoothed_s)

    def observe_urgent(self, service: str) -> None:
        """Update the rate of urgent jobs from an arrival."""
        before = self.statistics[service]
        now_s = self.clock.seconds()
        interval_s = (
            max(0.01, now_s - before.last_urgent_s)
            if before.last_urgent_s
            else URGENT_DECAY_S
        )
        rate_per_s = before.urgent_rate_per_s + SMOOTHING_FACTOR * (
            1 / interval_s - before.urgent_rate_per_s
        )
        self.statistics[service] = replace(
            before, urgent_rate_per_s=rate_per_s, last_urgent_s=now_s
        )

    def urgent_hold_reason(self, index: JobIndex, service: str, starting: int) -> str:
        """
        Return why the free slots of a service are reserved, or an empty string.

        Parameters
        ----------
        index : JobIndex
            Running jobs.
        service : str
            Service of the queue.
        starting : int
            Number of pending starts.
        """
        rate_per_s = self.statistics[service].current_urgent_rate_per_s(
            self.clock.seconds()
        )
        if rate_per_s <= 0:
            return ""
        state = index.state
        serving = [one for one in targets_of(state, service) if one.phase == "serving"]
        slots = sum(one.slots for one in serving)
        free = slots - sum(slots_in_use(state, one.name) for one in serving)
        queue = state.services[service].document.queue
        may_preempt = queue is not None and (queue.may_stop or queue.may_checkpoint)
        preemptible = index.service_jobs[service] if may_preempt else 0
        reserve = urgent_reserve(
            slots, self.statistics[service].run_s, rate_per_s, preemptible
        )
        if not reserve or free - starting > reserve:
            return ""
        return f"{reserve} of {slots} slots are kept for urgent jobs"
