"""
mulberryledge_daemon.leader.paces
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How fast queues move, and the slots that are kept free for urgent jobs.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.decisions.queues import urgent_reserve
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_daemon.leader.job_index import JobIndex
from mulberryledge_daemon.leader.views import targets_of

__all__ = ["Paces", "QueuePace"]

SMOOTHING = 0.1
URGENT_MEMORY_S = 600.0


@dataclass(frozen=True, slots=True)
class QueuePace:
    """
    How fast a queue moves.

    Attributes
    ----------
    run_s : float
        Smoothed run time of its jobs in seconds.
    urgent_per_s : float
        Recent rate of urgent jobs.
    at_s : float
        Time of the last urgent job in seconds.
    """

    run_s: float = 1.0
    urgent_per_s: float = 0.0
    at_s: float = 0.0

    def rate(self, now_s: float) -> float:
        """Return the rate of urgent jobs; it fades after the last one."""
        return self.urgent_per_s * max(0.0, 1 - (now_s - self.at_s) / URGENT_MEMORY_S)


class Paces:
    """Owns the pace of each queue."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.paces: dict[str, QueuePace] = defaultdict(QueuePace)

    def observe_run(self, service: str, run_s: float) -> None:
        """Learn from the run time of a job."""
        pace = self.paces[service]
        learnt = pace.run_s + SMOOTHING * (run_s - pace.run_s)
        self.paces[service] = replace(pace, run_s=learnt)

    def observe_urgent(self, service: str) -> None:
        """Learn from the arrival of an urgent job."""
        pace = self.paces[service]
        now = self.clock.seconds()
        gap = max(0.01, now - pace.at_s) if pace.at_s else URGENT_MEMORY_S
        rate = pace.urgent_per_s + SMOOTHING * (1 / gap - pace.urgent_per_s)
        self.paces[service] = replace(pace, urgent_per_s=rate, at_s=now)

    def held_for_urgent(self, index: JobIndex, service: str, starting: int) -> str:
        """
        Return why the free slots of a service are kept, or an empty string.

        Parameters
        ----------
        index : JobIndex
            Running jobs.
        service : str
            Service to look at.
        starting : int
            Starts under way.
        """
        rate = self.paces[service].rate(self.clock.seconds())
        if rate <= 0:
            return ""
        state = index.state
        serving = [one for one in targets_of(state, service) if one.phase == "serving"]
        slots = sum(one.slots for one in serving)
        free = slots - sum(slots_in_use(state, one.name) for one in serving)
        queue = state.services[service].document.queue
        stops = queue is not None and (queue.may_stop or queue.may_checkpoint)
        stoppable = index.service_jobs[service] if stops else 0
        reserve = urgent_reserve(slots, self.paces[service].run_s, rate, stoppable)
        if not reserve or free - starting > reserve:
            return ""
        return f"{reserve} of {slots} slots are kept for urgent jobs"
