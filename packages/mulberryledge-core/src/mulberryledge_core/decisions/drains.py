"""
mulberryledge_core.decisions.drains
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Progress of a host's drain, and the running job expected to end last.
"""

from dataclasses import dataclass

from mulberryledge_core.model.jobs import Job
from mulberryledge_core.state.limits import slots_in_use
from mulberryledge_core.state.tables import ClusterState

__all__ = ["Drain", "drain_state"]


@dataclass(frozen=True, slots=True)
class Drain:
    """
    State of a drain, derived from the replicated state alone.

    Attributes
    ----------
    slots : int
        Slots of the host that are on loan to entries or in use by jobs.
    job : str
        Identifier of the running job that is expected to end last, or empty.
    end_ms : int
        Log time by which that job ends, given its service's maximum run time; zero
        if no job runs.
    jobs : tuple of Job
        All running jobs.
    """

    slots: int
    job: str = ""
    end_ms: int = 0
    jobs: tuple[Job, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether nothing runs on the host and nothing can start there."""
        return self.slots == 0


def drain_state(state: ClusterState, host: str) -> Drain:
    """Return the state of the drain of the host with this name."""
    target_names = [target.name for target in state.indexes.targets_by_host.rows(host)]
    slots = sum(slots_in_use(state, name) for name in target_names)
    running = state.indexes.running_by_target
    jobs = [job for name in target_names for job in running.rows(name)]
    if not jobs:
        return Drain(slots)
    last_job = max(jobs, key=lambda job: expected_end_ms(state, job))
    end_ms = expected_end_ms(state, last_job)
    return Drain(slots, last_job.job_id, end_ms, tuple(jobs))


def expected_end_ms(state: ClusterState, job: Job) -> int:
    """Return the log time at which a job reaches its maximum run time."""
    service = state.services.get(job.service)
    queue = service.document.queue if service is not None else None
    return job.started_ms + (queue.max_run_s * 1_000 if queue is not None else 0)
