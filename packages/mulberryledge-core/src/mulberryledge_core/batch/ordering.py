"""
mulberryledge_core.batch.ordering
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which step goes first when a pool has less room than its queues ask for.

The load it answers: for some seconds a queue asks for more than its pool holds, and
hosts arrive two seconds after they are called. A job that ends in time is worth many
that end late, and a late one is worth more than one that is given up. So jobs that
can still be in time go before those that can't; among the late ones, those that are
about to be given up go before all others.
"""

from dataclasses import dataclass
from enum import IntEnum

from mulberryledge_core.batch.demand import Durations
from mulberryledge_core.batch.records import JobRecord
from mulberryledge_core.batch.state import BatchState

__all__ = ["Group", "OrderPolicy", "Times", "begin_of", "group_of", "times_of"]


class Group(IntEnum):
    """Groups of steps; lower ones go first."""

    LASTING = 0
    RESCUE = 1
    IN_TIME = 2
    LATE = 3
    GIVEN_UP = 4


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """
    Weights of the order.

    Attributes
    ----------
    late_factor : float
        A job is late up to this multiple of its objective, then given up by callers.
    rescue_factor, rescue_ms : float, int
        A late job is rescued once the time left is below this multiple of the time
        it takes, and this much more.
    margin_factor : float
        A job counts as in time only if this share of what is left of its chain
        is left besides; durations are estimates.
    """

    late_factor: float = 3.0
    rescue_factor: float = 1.3
    rescue_ms: int = 600
    margin_factor: float = 0.1


@dataclass(frozen=True, slots=True)
class Times:
    """
    Times of one occurrence of a job, in milliseconds of log time.

    Attributes
    ----------
    due_ms : int
        Until then its end is in time.
    last_ms : int
        Until then its end is worth something.
    left_ms : tuple of float
        By step: the longest chain that begins with it.
    """

    due_ms: int
    last_ms: int
    left_ms: tuple[float, ...]


def times_of(
    state: BatchState,
    durations: Durations,
    job: JobRecord,
    begin_ms: int,
    policy: OrderPolicy,
) -> Times:
    """Return the times of an occurrence that was due at ``begin_ms``."""
    queue = state.queue_of(job)
    steps = job.spec.steps
    expected = [durations.expected_ms(queue.name, step) for step in steps]
    left = list(expected)
    for position in range(len(steps) - 1, -1, -1):
        for before in steps[position].after:
            left[before] = max(left[before], expected[before] + left[position])
    objective = queue.stretch * max(left) + queue.target_latency_ms
    return Times(
        int(begin_ms + objective),
        int(begin_ms + policy.late_factor * objective),
        tuple(left),
    )


def group_of(times: Times, step: int, now_ms: int, policy: OrderPolicy) -> Group:
    """Return the group of a step that does not last."""
    left_ms = times.left_ms[step]
    if now_ms + left_ms * (1 + policy.margin_factor) <= times.due_ms:
        return Group.IN_TIME
    if now_ms + left_ms > times.last_ms:
        return Group.GIVEN_UP
    rescue_ms = policy.rescue_factor * left_ms + policy.rescue_ms
    return Group.RESCUE if now_ms + rescue_ms > times.last_ms else Group.LATE


def begin_of(job: JobRecord, occurrence: int) -> int:
    """Return when an occurrence was handed in, or was due, in log time."""
    if job.spec.schedule is None:
        return job.submitted_ms
    return job.spec.schedule.due_ms(occurrence)
