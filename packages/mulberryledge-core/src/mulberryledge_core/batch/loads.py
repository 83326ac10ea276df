"""
mulberryledge_core.batch.loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The demand on each pool, summed up from the jobs and from what arrives.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberryledge_core.batch.configuration import Queue
from mulberryledge_core.batch.demand import ArrivalRate, Durations
from mulberryledge_core.batch.pools import PoolLoad
from mulberryledge_core.batch.sizes import NOTHING, Size, Tally
from mulberryledge_core.batch.specs import StepSpec
from mulberryledge_core.batch.state import BatchState

__all__ = ["pool_loads"]

LASTING_HOSTS = 2  # so that one lost host does not take all tasks of a step
LEAST_SLACK_MS = 300.0  # below it a delay is not worth planning for


@dataclass(slots=True)
class PoolSums:
    """Sums over the jobs of one pool."""

    lasting: Tally = field(default_factory=Tally)
    lasting_hosts: int = 0
    ready: Tally = field(default_factory=Tally)
    arriving_millis: float = 0.0
    work: float = 0.0
    chain_ms: float = 0.0
    slack_ms: float = 0.0
    weight: float = 0.0

    def load(self) -> PoolLoad:
        """Return the sums as frozen data."""
        weight = self.weight or 1.0
        return PoolLoad(
            lasting=as_size(self.lasting),
            lasting_hosts=self.lasting_hosts,
            ready=as_size(self.ready),
            arriving_millis=self.arriving_millis,
            work=self.work,
            chain_ms=self.chain_ms / weight,
            slack_ms=max(LEAST_SLACK_MS, self.slack_ms / weight),
            host=NOTHING,
        )


def pool_loads(
    state: BatchState,
    durations: Durations,
    rates: Mapping[str, ArrivalRate],
    now_ms: int,
) -> dict[str, PoolLoad]:
    """
    Return the demand on each pool that has a queue; the size of hosts is left out.

    Parameters
    ----------
    rates : mapping of str to ArrivalRate
        What arrives at each queue.
    now_ms : int
        Milliseconds of the clock that the rates go by.
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
                add_job(one, state, durations, queue, job_id)
    return {pool: one.load() for pool, one in sums.items()}


def add_job(
    sums: PoolSums, state: BatchState, durations: Durations, queue: Queue, job_id: str
) -> None:
    """Add what is left of a job."""
    job = state.jobs[job_id]
    chain_ms = durations.chain_ms(queue.name, job.spec)
    for occurrence in job.occurrences.values():
        work = 0.0
        for spec, step in zip(job.spec.steps, occurrence.steps, strict=True):
            if spec.long_running:
                add_lasting(sums, spec)
                continue
            expected_ms = durations.expected_ms(queue.name, spec)
            work += step.left * spec.size.cpu_millis * expected_ms
            if not step.blockers:
                sums.ready.add(spec.reserved.times(step.left))
        sums.work += work
        sums.weight += work
        sums.chain_ms += work * chain_ms
        slack_ms = (queue.stretch - 1) * chain_ms + queue.target_latency_ms
        sums.slack_ms += work * slack_ms


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
