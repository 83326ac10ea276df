"""
mulberryledge_core.batch.ordering
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The order in which steps are placed when a pool has too little capacity.

During a burst a queue requests more than its pool holds for some seconds, and further
hosts arrive only two seconds after they are requested. A job that meets its objective
is worth many late ones, and a late job more than one abandoned by its caller. Jobs that
can still meet their objective are therefore placed before late ones, and late jobs that
are about to be abandoned before both.
"""

from dataclasses import dataclass
from enum import IntEnum

from mulberryledge_core.batch.demand import DurationEstimates
from mulberryledge_core.batch.records import JobRecord
from mulberryledge_core.batch.state import BatchState

__all__ = [
    "Group",
    "OccurrenceTimes",
    "OrderPolicy",
    "occurrence_start_ms",
    "occurrence_times",
    "step_group",
]


class Group(IntEnum):
    """Urgency groups of steps; lower values are placed first."""

    LONG_RUNNING = 0
    EXPIRING = 1
    IN_TIME = 2
    LATE = 3
    ABANDONED = 4


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """
    Parameters of the order.

    Attributes
    ----------
    late_factor : float
        Multiple of its objective after which callers abandon a late job.
    expiring_factor, expiring_ms : float, int
        A late job is expiring once the time until it is abandoned is below this
        multiple of its remaining duration plus this many milliseconds.
    margin_factor : float
        Safety margin for estimates: a job counts as in time only if this share of its
        remaining duration is left as slack.
    """

    late_factor: float = 3.0
    expiring_factor: float = 1.3
    expiring_ms: int = 600
    margin_factor: float = 0.1


@dataclass(frozen=True, slots=True)
class OccurrenceTimes:
    """
    Deadlines of one occurrence of a job, in milliseconds of log time.

    Attributes
    ----------
    due_ms : int
        Latest end that meets the objective.
    abandon_ms : int
        Time at which callers abandon the job.
    remaining_ms : tuple of float
        By step: the longest chain of steps that starts with it.
    """

    due_ms: int
    abandon_ms: int
    remaining_ms: tuple[float, ...]


def occurrence_times(
    state: BatchState,
    durations: DurationEstimates,
    job: JobRecord,
    start_ms: int,
    policy: OrderPolicy,
) -> OccurrenceTimes:
    """Return the deadlines of an occurrence that was due at ``start_ms``."""
    queue = state.queue_of(job)
    steps = job.spec.steps
    expected = [durations.expected_ms(queue.name, step) for step in steps]
    remaining = list(expected)
    for position in range(len(steps) - 1, -1, -1):
        for dependency in steps[position].after:
            remaining[dependency] = max(
                remaining[dependency], expected[dependency] + remaining[position]
            )
    objective_ms = queue.stretch * max(remaining) + queue.target_latency_ms
    return OccurrenceTimes(
        int(start_ms + objective_ms),
        int(start_ms + policy.late_factor * objective_ms),
        tuple(remaining),
    )


def step_group(
    times: OccurrenceTimes, step: int, now_ms: int, policy: OrderPolicy
) -> Group:
    """Return the group of a step that is not long-running."""
    remaining_ms = times.remaining_ms[step]
    if now_ms + remaining_ms * (1 + policy.margin_factor) <= times.due_ms:
        return Group.IN_TIME
    if now_ms + remaining_ms > times.abandon_ms:
        return Group.ABANDONED
    limit_ms = policy.expiring_factor * remaining_ms + policy.expiring_ms
    return Group.EXPIRING if now_ms + limit_ms > times.abandon_ms else Group.LATE


def occurrence_start_ms(job: JobRecord, occurrence: int) -> int:
    """Return the log time at which an occurrence was submitted, or was due."""
    if job.spec.schedule is None:
        return job.submitted_ms
    return job.spec.schedule.due_ms(occurrence)
