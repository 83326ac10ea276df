"""
mulberryledge_core.batch.loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The demand on each pool, summed over its jobs and the expected arrivals.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberryledge_core.batch.demand import ArrivalRate, DurationEstimates
from mulberryledge_core.batch.ordering import (
    OrderPolicy,
    occurrence_start_ms,
    occurrence_times,
)
from mulberryledge_core.batch.pools import PoolLoad
from mulberryledge_core.batch.records import JobRecord
from mulberryledge_core.batch.sizes import NOTHING, Size, Tally
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_core.batch.state import BatchState

__all__ = ["pool_loads"]

MIN_LONG_RUNNING_HOSTS = 2  # so that one lost host does not take all tasks


@dataclass(slots=True)
class PoolSums:
    """Running sums over the jobs of one pool."""

    long_running: Tally = field(default_factory=Tally)
    long_running_hosts: int = 0
    due_millis: float = 0.0
    due_mb: float = 0.0
    arriving_millis: float = 0.0
    slack_ms: float = 0.0
    work: float = 0.0

    def load(self) -> PoolLoad:
        """Return the sums as a load; the host size is left to the caller."""
        return PoolLoad(
            long_running=as_size(self.long_running),
            long_running_hosts=self.long_running_hosts,
            due=Size(int(self.due_millis), int(self.due_mb)),
            arriving_millis=self.arriving_millis,
            slack_ms=self.slack_ms / self.work if self.work else 0.0,
            host=NOTHING,
        )


def pool_loads(
    state: BatchState,
    durations: DurationEstimates,
    rates: Mapping[str, ArrivalRate],
    now_ms: int,
    order: OrderPolicy,
) -> dict[str, PoolLoad]:
    """
    Return the demand on each pool that has a queue, without the size of its hosts.

    Parameters
    ----------
    rates : mapping of str to ArrivalRate
        Arrival rate of each queue.
    now_ms : int
        Time of day.
    """
    sums: dict[str, PoolSums] = {}
    for queue in state.configuration.queues:
        pool_sums = sums.setdefault(queue.pool, PoolSums())
        if queue.name in rates:
            pool_sums.arriving_millis += rates[queue.name].rate_millis(now_ms)
    for name, steps in state.open_steps.items():
        if steps:
            queue = state.queue_named(name)
            pool_sums = sums.setdefault(queue.pool, PoolSums())
            for job_id in dict.fromkeys(step_id.job_id for step_id in steps):
                job = state.jobs[job_id]
                for number in job.occurrences:
                    add_occurrence(
                        pool_sums, state, durations, job, number, now_ms, order
                    )
    return {pool: pool_sums.load() for pool, pool_sums in sums.items()}


def add_occurrence(
    sums: PoolSums,
    state: BatchState,
    durations: DurationEstimates,
    job: JobRecord,
    number: int,
    now_ms: int,
    order: OrderPolicy,
) -> None:
    """Add the remaining work of one occurrence, spread evenly until it is due."""
    times = occurrence_times(
        state, durations, job, occurrence_start_ms(job, number), order
    )
    cpu_work = memory_work = critical_path_ms = 0.0
    for position, spec in enumerate(job.spec.steps):
        step = job.occurrences[number].steps[position]
        if spec.long_running:
            add_long_running(sums, spec)
        elif step.remaining:
            expected_ms = durations.expected_ms(job.queue, spec)
            cpu_work += step.remaining * spec.size.cpu_millis * expected_ms
            memory_work += step.remaining * spec.size.memory_mb * expected_ms
            critical_path_ms = max(critical_path_ms, times.remaining_ms[position])
    if not critical_path_ms:
        return
    in_time = now_ms + critical_path_ms <= times.due_ms
    end_ms = times.due_ms if in_time else times.abandon_ms
    remaining_ms = max(critical_path_ms, end_ms - now_ms)
    sums.due_millis += cpu_work / remaining_ms
    sums.due_mb += memory_work / remaining_ms
    sums.work += cpu_work
    sums.slack_ms += cpu_work * (
        times.due_ms - occurrence_start_ms(job, number) - max(times.remaining_ms)
    )


def add_long_running(sums: PoolSums, spec: StepSpec) -> None:
    """Add a long-running step."""
    sums.long_running.add(spec.reserved.times(spec.count))
    needed = min(spec.count, MIN_LONG_RUNNING_HOSTS)
    if spec.max_per_target:
        needed = max(needed, -(-spec.count // spec.max_per_target))
    sums.long_running_hosts = max(sums.long_running_hosts, needed)


def as_size(tally: Tally) -> Size:
    """Return a tally as a size."""
    return Size(tally.cpu_millis, tally.memory_mb, tally.accelerators)
