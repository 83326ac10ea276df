"""
mulberryledge_core.batch.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which jobs are refused at once.

The load it answers: jobs that no host could ever run, and a flood that outgrows the
memory of the leader. A job that would only be late is accepted, as late is worth more
to its caller than never, and the ones that can be in time go before it anyway.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from mulberryledge_core.batch.configuration import TeamConfig
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec

__all__ = ["MOST_OPEN_TASKS", "Place", "hopeless", "retry_after_ms"]

# A task that waits takes about 300 bytes of the leader's memory, of 296 MB.
MOST_OPEN_TASKS = 200_000
RETRY_LEAST_MS, RETRY_MOST_MS = 1_000, 30_000
RETRY_SPREAD = 0.5  # so that those who were refused together do not return together


@dataclass(frozen=True, slots=True)
class Place:
    """
    A host that a job could run on, in its pool or once it is moved there.

    Attributes
    ----------
    labels : frozenset of str
        Empty if they are not known; then any label may be there.
    """

    capacity: Size
    labels: frozenset[str] = frozenset()

    def takes(self, step: StepSpec) -> bool:
        """Return whether one task of a step fits on the empty host."""
        size, whole = step.reserved, self.capacity
        fits = (
            size.cpu_millis <= whole.cpu_millis
            and size.memory_mb <= whole.memory_mb
            and size.accelerators <= whole.accelerators
        )
        label = step.required_label
        return fits and (not label or not self.labels or label in self.labels)


def hopeless(
    spec: JobSpec, places: Iterable[Place], team: TeamConfig | None
) -> str | None:
    """
    Return why a job can never be run by the fleet and the limits of now, or None.

    Parameters
    ----------
    places : iterable of Place
        All hosts; nothing is hopeless while none is known.
    """
    known = tuple(places)
    for number, step in enumerate(spec.steps):
        if known and not any(place.takes(step) for place in known):
            return f"steps[{number}]: no host has its size and label"
        if step.gang and team is not None and beyond_limit(step, team.upper_limit):
            return f"steps[{number}]: the gang is over the team's upper limit"
    return None


def beyond_limit(step: StepSpec, limit: Size) -> bool:
    """Return whether all but one task of a gang are over a limit; 0 is none."""
    most = step.size.times(step.count - 1)
    return (
        0 < limit.cpu_millis < most.cpu_millis
        or 0 < limit.memory_mb < most.memory_mb
        or 0 < limit.accelerators < most.accelerators
    )


def retry_after_ms(excess: int, ends_per_s: float, random: Random) -> int:
    """
    Return when a refused caller should come back.

    Parameters
    ----------
    excess : int
        Tasks that have to end before there is room again.
    ends_per_s : float
        How many end in a second, of late.
    """
    drain_ms = 1_000 * excess / ends_per_s if ends_per_s > 0 else math.inf
    base_ms = min(RETRY_MOST_MS, max(RETRY_LEAST_MS, drain_ms))
    return int(base_ms * random.uniform(1.0, 1.0 + RETRY_SPREAD))
