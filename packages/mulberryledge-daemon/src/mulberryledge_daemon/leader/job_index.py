"""
mulberryledge_daemon.leader.job_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's index of queued and running jobs, kept up by applied commands.
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

__all__ = ["JobIndex", "RunningEntry", "changed_jobs"]

CHANGED: dict[type, Callable[[object], tuple[str, ...]]] = {
    SubmitJob: lambda command: (command.job_id,),
    StartJob: lambda command: (command.job_id,),
    EndJob: lambda command: (command.job_id,),
    ExpireJob: lambda command: (command.job_id,),
    CancelJobs: lambda command: command.job_ids,
}


def changed_jobs(command: object) -> tuple[str, ...]:
    """Return the jobs that a command may have changed."""
    changed = CHANGED.get(type(command))
    return changed(command) if changed is not None else ()


@dataclass(frozen=True, slots=True)
class RunningEntry:
    """Where a running job runs; kept after its end until the next look."""

    job_id: str
    attempt: int
    service: str
    team: str
    target: str
    host: str
    urgent: bool


class JobIndex:
    """
    Owns the index of the jobs of one state.

    Attributes
    ----------
    state : ClusterState
        State that the index was built from.
    queues : JobQueues
        Queued jobs that may be picked.
    aside : dict of str to str
        Queued jobs that can't be placed now, and why.
    refused : dict of str to str
        Queued jobs that no host can hold, and what they need.
    running : dict of str to RunningEntry
        Running jobs.
    kind_hosts : dict of tuple to Counter
        Running jobs by host, for each service and team.
    team_jobs, service_jobs, urgent_jobs : Counter of str
        Running jobs by team and by service, and urgent ones by team.
    """

    def __init__(self, state: ClusterState):
        self.state = state
        self.queues = JobQueues()
        self.aside: dict[str, str] = {}
        self.refused: dict[str, str] = {}
        self.running: dict[str, RunningEntry] = {}
        self.kind_hosts: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        self.team_jobs: Counter[str] = Counter()
        self.service_jobs: Counter[str] = Counter()
        self.urgent_jobs: Counter[str] = Counter()
        for job in state.jobs.values():
            self.refresh(job.job_id)

    def refresh(self, job_id: str) -> RunningEntry | None:
        """Bring one job up to date; return where it ran if that has ended."""
        job = self.state.jobs.get(job_id)
        phase = job.phase if job is not None else None
        if phase != JobPhase.QUEUED:
            self.queues.discard(job_id, started=phase == JobPhase.RUNNING)
            self.aside.pop(job_id, None)
            self.refused.pop(job_id, None)
        elif job_id not in self.aside and job_id not in self.refused:
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
        """Count a job that runs."""
        target = self.state.targets.get(job.target)
        host = target.host if target is not None else ""
        self.running[job.job_id] = RunningEntry(
            job.job_id,
            job.attempt,
            job.service,
            job.team,
            job.target,
            host,
            job.urgent,
        )
        self.kind_hosts[job.service, job.team][host] += 1
        self.team_jobs[job.team] += 1
        self.service_jobs[job.service] += 1
        self.urgent_jobs[job.team] += job.urgent

    def remove_running(self, job_id: str) -> RunningEntry | None:
        """Stop counting a job; return where it ran."""
        entry = self.running.pop(job_id, None)
        if entry is None:
            return None
        hosts = self.kind_hosts[entry.service, entry.team]
        hosts[entry.host] -= 1
        if not hosts[entry.host]:
            del hosts[entry.host]
        self.team_jobs[entry.team] -= 1
        self.service_jobs[entry.service] -= 1
        self.urgent_jobs[entry.team] -= entry.urgent
        return entry

    def set_aside(self, job_id: str, cause: str) -> None:
        """Keep a queued job from being picked until :meth:`offer_again`."""
        self.queues.discard(job_id)
        self.aside[job_id] = cause

    def refuse(self, job_id: str, cause: str) -> None:
        """Keep a job that no host can hold from being picked until hosts change."""
        self.queues.discard(job_id)
        self.refused[job_id] = cause

    def offer_refused(self) -> None:
        """Offer the jobs that no host could hold."""
        self.aside |= self.refused
        self.refused = {}

    def offer_again(self, most: int) -> None:
        """Offer jobs that were set aside, the first ones first, in their old places."""
        for job_id in list(islice(self.aside, most)):
            del self.aside[job_id]
            job = self.state.jobs.get(job_id)
            if job is not None and job.phase == JobPhase.QUEUED:
                self.queues.add(job)
