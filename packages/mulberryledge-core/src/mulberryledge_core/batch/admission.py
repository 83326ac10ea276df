"""
mulberryledge_core.batch.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission control: which jobs are rejected at submission.

Rejects jobs that no host could ever run, and submissions that would exhaust the
leader's memory. A job that would merely be late is accepted: a late result is worth
more to its caller than none, and jobs that can still meet their objective are placed
before it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mulberryledge_core.batch.commands import OpenOccurrence
from mulberryledge_core.batch.configuration import TeamConfig
from mulberryledge_core.batch.records import JobRecord
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = [
    "MAX_OPEN_TASKS",
    "HostCapacity",
    "occurrences_to_open",
    "retry_after_ms",
    "unschedulable_reason",
]

# A queued task takes about 300 bytes of the leader's 296 MB of memory.
MAX_OPEN_TASKS = 200_000
MAX_OCCURRENCE_TASKS = 10_000  # open tasks of one job with further occurrences
MIN_RETRY_MS, MAX_RETRY_MS = 1_000, 30_000
RETRY_JITTER_SHARE = 0.5  # spreads out callers that were rejected together


@dataclass(frozen=True, slots=True)
class HostCapacity:
    """
    Capacity and labels of a host in a job's pool, or that could be moved to it.

    Attributes
    ----------
    labels : frozenset of str
        Empty if unknown; any label is then assumed to be present.
    """

    capacity: Size
    labels: frozenset[str] = frozenset()

    def can_run(self, step: StepSpec) -> bool:
        """Return whether one task of a step fits on the host when it is empty."""
        size, capacity = step.reserved, self.capacity
        fits = (
            size.cpu_millis <= capacity.cpu_millis
            and size.memory_mb <= capacity.memory_mb
            and size.accelerators <= capacity.accelerators
        )
        label = step.required_label
        return fits and (not label or not self.labels or label in self.labels)


def unschedulable_reason(
    spec: JobSpec, places: Iterable[HostCapacity], team: TeamConfig | None
) -> str | None:
    """
    Return why the fleet and its current limits can never run a job, or None.

    Parameters
    ----------
    places : iterable of HostCapacity
        All known hosts; if there are none, size and labels are not checked.
    """
    known = tuple(places)
    for number, step in enumerate(spec.steps):
        if known and not any(place.can_run(step) for place in known):
            return f"steps[{number}]: no host has the capacity and label it requires"
        if (
            step.gang
            and team is not None
            and gang_exceeds_limit(step, team.upper_limit)
        ):
            return f"steps[{number}]: the gang exceeds the team's upper limit"
    return None


def gang_exceeds_limit(step: StepSpec, limit: Size) -> bool:
    """Return whether all but one task of a gang exceed a limit; 0 means no limit."""
    required = step.size.times(step.count - 1)
    return (
        0 < limit.cpu_millis < required.cpu_millis
        or 0 < limit.memory_mb < required.memory_mb
        or 0 < limit.accelerators < required.accelerators
    )


def retry_after_ms(excess: int, ends_per_s: float, random: Random) -> int:
    """
    Return how long a rejected caller should wait before it retries.

    Parameters
    ----------
    excess : int
        Tasks that have to end before capacity is available again.
    ends_per_s : float
        Recent rate at which tasks end.
    """
    drain_ms = 1_000 * excess / ends_per_s if ends_per_s > 0 else math.inf
    base_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, drain_ms))
    return int(base_ms * random.uniform(1.0, 1.0 + RETRY_JITTER_SHARE))


def occurrences_to_open(
    scheduled: Iterable[JobRecord], now_ms: int
) -> list[OpenOccurrence]:
    """
    Return the next occurrence of each job for which it is due.

    Addresses schedules whose occurrences become due faster than they end: further
    occurrences wait while a job has too many open tasks, so that one caller's schedule
    cannot take the leader's time from all others.

    Parameters
    ----------
    now_ms : int
        Time of day.
    """
    return [
        OpenOccurrence(job.job_id, job.next_occurrence)
        for job in scheduled
        if job.spec.schedule.due_ms(job.next_occurrence) <= now_ms
        and may_open_occurrence(job)
    ]


def may_open_occurrence(job: JobRecord) -> bool:
    """Return whether a job's open tasks leave room for another occurrence."""
    tasks = sum(step.count for step in job.spec.steps)
    open_tasks = len(job.occurrences) * tasks
    return not open_tasks or open_tasks + tasks <= MAX_OCCURRENCE_TASKS
