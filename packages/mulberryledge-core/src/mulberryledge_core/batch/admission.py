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

from mulberryledge_core.batch.configuration import TeamConfig
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = ["MAX_OPEN_TASKS", "HostCapacity", "retry_after_ms", "unschedulable_reason"]

# A queued task takes about 300 bytes of the leader's 296 MB of memory.
MAX_OPEN_TASKS = 200_000
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
