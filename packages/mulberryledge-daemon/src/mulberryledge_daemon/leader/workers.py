"""
mulberryledge_daemon.leader.workers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The record of each worker: quarantined when it fails what its peers complete.
"""

import logging
from collections import defaultdict
from collections.abc import Callable

from mulberryledge_core.decisions.quarantine import (
    Quarantine,
    TrialOutcome,
    WorkerHistory,
    after_trial,
    may_start_trial,
    workers_to_quarantine,
)
from mulberryledge_core.model.decisions import DecisionKind
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.state import ClusterState

__all__ = ["Note", "Workers"]

FIRST_TRIAL_S = 10.0

Note = Callable[[DecisionKind, str, str], None]

logger = logging.getLogger(__name__)


class Workers:
    """Owns the history of the workers and those in quarantine."""

    def __init__(self, note: Note):
        self.note = note
        self.history = WorkerHistory()
        self.quarantined: dict[str, Quarantine] = {}
        self.trials: dict[str, str] = {}
        self.review_due = True

    def may_take(self, target: str, job: Job, now_s: float) -> bool:
        """Return whether the target may be given the job."""
        quarantine = self.quarantined.get(target)
        if quarantine is None:
            return True
        if target in self.trials or not may_start_trial(quarantine, now_s):
            return False
        return job.repeatable and not job.urgent

    def started(self, target: str, job_id: str) -> None:
        """Count a job given to a quarantined target as its trial."""
        if target in self.quarantined:
            self.trials[target] = job_id

    def withdrawn(self, target: str, job_id: str) -> None:
        """Forget a trial that ended without telling anything of the target."""
        if self.trials.get(target) == job_id:
            del self.trials[target]

    def ended(self, target: str, job_id: str, failed: bool, now_s: float) -> None:
        """Record how a job ended on a target."""
        self.history.record(target, job_id, failed)
        self.review_due |= failed
        quarantine = self.quarantined.get(target)
        if quarantine is None or self.trials.get(target) != job_id:
            return
        del self.trials[target]
        outcome, after = after_trial(quarantine, failed, now_s)
        self.quarantined[target] = after
        if outcome == TrialOutcome.RELEASED:
            del self.quarantined[target]
            self.history.remove(target)
        text = f"trial job {job_id!r} {'failed' if failed else 'went well'}: {outcome}"
        self.note(DecisionKind.QUARANTINE, f"target/{target}", text)

    def review(self, state: ClusterState, now_s: float) -> None:
        """Quarantine the workers that fail what their peers complete."""
        if not self.review_due:
            return
        self.review_due = False
        peers: dict[str, list[str]] = defaultdict(list)
        for target in state.targets.values():
            peers[target.service].append(target.name)
        for known in (self.quarantined, self.trials, self.history.endings):
            for gone in [name for name in known if name not in state.targets]:
                del known[gone]
        for names in peers.values():
            rates = [self.history.rate(name) for name in names]
            for bad in workers_to_quarantine(rates, self.quarantined):
                until_s = now_s + FIRST_TRIAL_S
                self.quarantined[bad.worker] = Quarantine(bad.worker, until_s)
                text = (
                    f"{bad.blame:.1f} of its last {bad.endings} jobs failed here and"
                    f" not elsewhere; next trial in {FIRST_TRIAL_S:.0f} s"
                )
                self.note(DecisionKind.QUARANTINE, f"target/{bad.worker}", text)
