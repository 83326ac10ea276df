"""
mulberryledge_daemon.leader.job_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's index of queued and running jobs, updated after applied commands.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mulberryledge_core.commands.work import (
    CancelJobs,
    EndJob,
    ExpireJob,
    StartJob,
    SubmitJob,
)
from mulberryledge_core.decisions.queues import JobQueues
from mulberryledge_core.model.jobs import Job, JobPhase
from mulberryledge_core.state import ClusterState

__all__ = ["JobIndex", "RunningAttempt", "changed_job_ids"]

CHANGED_JOB_IDS: dict[type, Callable[[object], tuple[str, ...]]] = {
    SubmitJob: lambda command: (command.job_id,),
    StartJob: lambda command: (command.job_id,),
    EndJob: lambda command: (command.job_id,),
    ExpireJob: lambda command: (command.job_id,),
    CancelJobs: lambda command: command.job_ids,
}


def changed_job_ids(command: object) -> tuple[str, ...]:
    """Return the jobs that a command may have changed."""
    job_ids_of = CHANGED_JOB_IDS.get(type(command))
    return job_ids_of(command) if job_ids_of is not None else ()


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """Where an attempt runs; kept until the index is refreshed after its end."""

    job_id: str
    attempt: int
    service: str
    team: str
    target: str
    host: str
    urgent: bool


class JobIndex:
    """
    Indexes the jobs of one state.

    Attributes
    ----------
    state : ClusterState
        State that the index was built from.
    queues : JobQueues
        Queued jobs that may be chosen.
    unplaced : dict of str to str
        Queued jobs that can't be placed now, and why.
    unplaceable : dict of str to str
        Queued jobs that exceed the capacity of every host, and what they need.
    running : dict of str to RunningAttempt
        Running jobs.
    host_job_counts : dict of tuple to Counter
        Running jobs by host, for each service and team.
    team_jobs, service_jobs, urgent_jobs : Counter of str
        Running jobs by team and by service, and urgent ones by team.
    """

    def __init__(self, state: ClusterState):
        self.state = state
        self.queues = JobQueues()
        self.unplaced: dict[str, str] = {}
        self.unplaceable: dict[str, str] = {}
        self.running: dict[str, RunningAttempt] = {}
        self.host_job_counts: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        self.team_jobs: Counter[str] = Counter()
        self.service_jobs: Counter[str] = Counter()
        self.urgent_jobs: Counter[str] = Counter()
        for job in state.jobs.values():
            self.refresh(job.job_id)

    def refresh(self, job_id: str) -> RunningAttempt | None:
        """Update one job; return its attempt if that has ended."""
        job = self.state.jobs.get(job_id)
        phase = job.phase if job is not None else None
        if phase != JobPhase.QUEUED:
            self.queues.discard(job_id, started=phase == JobPhase.RUNNING)
            self.unplaced.pop(job_id, None)
            self.unplaceable.pop(job_id, None)
        elif job_id not in self.unplaced and job_id not in self.unplaceable:
            self.queues.add(job)
        present = self.running.get(job_id)
        running = phase == JobPhase.RUNNING
        if present is not None and running and present.attempt == job.attempt:
            return None
        ended = self.remove_running(job_id)
        if running:
            self.add_running(job)
        return ended

    def add_running(self, job: Job) -> None:
        """Add a running job."""
        target = self.state.targets.get(job.target)
        host = target.host if target is not None else ""
        self.running[job.job_id] = RunningAttempt(
            job.job_id,
            job.attempt,
            job.service,
            job.team,
            job.target,
            host,
            job.urgent,
        )
        self.host_job_counts[job.service, job.team][host] += 1
        self.team_jobs[job.team] += 1
        self.service_jobs[job.service] += 1
        self.urgent_jobs[job.team] += job.urgent

    def remove_running(self, job_id: str) -> RunningAttempt | None:
        """Remove a running job; return its attempt."""
        entry = self.running.pop(job_id, None)
        if entry is None:
            return None
        hosts = self.host_job_counts[entry.service, entry.team]
        hosts[entry.host] -= 1
        if not hosts[entry.host]:
            del hosts[entry.host]
        self.team_jobs[entry.team] -= 1
        self.service_jobs[entry.service] -= 1
        self.urgent_jobs[entry.team] -= entry.urgent
        return entry

    def mark_unplaced(self, job_id: str, cause: str) -> None:
        """Exclude a queued job from the choice until :meth:`requeue_unplaced`."""
        self.queues.discard(job_id)
        self.unplaced[job_id] = cause

    def mark_unplaceable(self, job_id: str, cause: str) -> None:
        """Exclude a job that exceeds every host until the hosts change."""
        self.queues.discard(job_id)
        self.unplaceable[job_id] = cause

    def retry_unplaceable(self) -> None:
        """Treat the unplaceable jobs as unplaced, after a change of the hosts."""
        self.unplaced |= self.unplaceable
        self.unplaceable = {}

    def requeue_unplaced(self, max_jobs: int) -> None:
        """Return the oldest unplaced jobs to their positions in the queues."""
        for job_id in list(islice(self.unplaced, max_jobs)):
            del self.unplaced[job_id]
            job = self.state.jobs.get(job_id)
            if job is not None and job.phase == JobPhase.QUEUED:
                self.queues.add(job)
