"""
mulberryledge_core.batch.loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The demand on each pool, summed up from the jobs and from what arrives.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberryledge_core.batch.demand import ArrivalRate, Durations
from mulberryledge_core.batch.ordering import OrderPolicy, begin_of, times_of
from mulberryledge_core.batch.pools import PoolLoad
from mulberryledge_core.batch.records import JobRecord
from mulberryledge_core.batch.sizes import NOTHING, Size, Tally
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_core.batch.state import BatchState

__all__ = ["pool_loads"]

LASTING_HOSTS = 2  # so that one lost host does not take all tasks of a step


@dataclass(slots=True)
class PoolSums:
    """Sums over the jobs of one pool."""

    lasting: Tally = field(default_factory=Tally)
    lasting_hosts: int = 0
    due_millis: float = 0.0
    due_mb: float = 0.0
    arriving_millis: float = 0.0
    slack_ms: float = 0.0
    work: float = 0.0

    def load(self) -> PoolLoad:
        """Return the sums as frozen data."""
        return PoolLoad(
            lasting=as_size(self.lasting),
            lasting_hosts=self.lasting_hosts,
            due=Size(int(self.due_millis), int(self.due_mb)),
            arriving_millis=self.arriving_millis,
            slack_ms=self.slack_ms / self.work if self.work else 0.0,
            host=NOTHING,
        )


def pool_loads(
    state: BatchState,
    durations: Durations,
    rates: Mapping[str, ArrivalRate],
    now_ms: int,
    order: OrderPolicy,
) -> dict[str, PoolLoad]:
    """
    Return the demand on each pool that has a queue; the size of hosts is left out.

    Parameters
    ----------
    rates : mapping of str to ArrivalRate
        What arrives at each queue.
    now_ms : int
        Time of day.
    """
    sums: dict[str, PoolSums] = {}
    for queue in state.configuration.queues:
        one = sums.setdefault(queue.pool, PoolSums())
        if queue.name in rates:
            one.arriving_millis += rates[queue.name].at(now_ms)
    for name, steps in state.open_steps.items():
        if steps:
            queue = state.queue_named(name)
            one = sums.setdefault(queue.pool, PoolSums())
            for job_id in dict.fromkeys(step_id.job_id for step_id in steps):
                job = state.jobs[job_id]
                for number in job.occurrences:
                    add_occurrence(one, state, durations, job, number, now_ms, order)
    return {pool: one.load() for pool, one in sums.items()}


def add_occurrence(
    sums: PoolSums,
    state: BatchState,
    durations: Durations,
    job: JobRecord,
    number: int,
    now_ms: int,
    order: OrderPolicy,
) -> None:
    """Add what is left of one occurrence of a job, spread until it is due."""
    times = times_of(state, durations, job, begin_of(job, number), order)
    cpu = memory = chain_ms = 0.0
    for position, spec in enumerate(job.spec.steps):
        step = job.occurrences[number].steps[position]
        if spec.long_running:
            add_lasting(sums, spec)
        elif step.left:
            expected_ms = durations.expected_ms(job.queue, spec)
            cpu += step.left * spec.size.cpu_millis * expected_ms
            memory += step.left * spec.size.memory_mb * expected_ms
            chain_ms = max(chain_ms, times.left_ms[position])
    if not chain_ms:
        return
    in_time = now_ms + chain_ms <= times.due_ms
    until_ms = times.due_ms if in_time else times.last_ms
    left_ms = max(chain_ms, until_ms - now_ms)
    sums.due_millis += cpu / left_ms
    sums.due_mb += memory / left_ms
    sums.work += cpu
    sums.slack_ms += cpu * (times.due_ms - begin_of(job, number) - max(times.left_ms))


def add_lasting(sums: PoolSums, spec: StepSpec) -> None:
    """Add a step that lasts."""
    sums.lasting.add(spec.reserved.times(spec.count))
    needed = min(spec.count, LASTING_HOSTS)
    if spec.max_per_target:
        needed = max(needed, -(-spec.count // spec.max_per_target))
    sums.lasting_hosts = max(sums.lasting_hosts, needed)


def as_size(tally: Tally) -> Size:
    """Return a sum as a size."""
    return Size(tally.cpu_millis, tally.memory_mb, tally.accelerators)
