"""
mulberryledge_daemon.leader.worker_health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Job history of each target; those that fail jobs which others complete are quarantined.
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

__all__ = ["RecordDecision", "WorkerHealth"]

FIRST_TRIAL_DELAY_S = 10.0

RecordDecision = Callable[[DecisionKind, str, str], None]

logger = logging.getLogger(__name__)


class WorkerHealth:
    """Owns the job history of targets and their quarantines."""

    def __init__(self, record_decision: RecordDecision):
        self.record_decision = record_decision
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

    def record_start(self, target: str, job_id: str) -> None:
        """Record a job that a quarantined target starts as its trial."""
        if target in self.quarantined:
            self.trials[target] = job_id

    def discard_trial(self, target: str, job_id: str) -> None:
        """Discard a trial that ended without evidence on the target."""
        if self.trials.get(target) == job_id:
            del self.trials[target]

    def record_end(self, target: str, job_id: str, failed: bool, now_s: float) -> None:
        """Record the outcome of a job on a target."""
        self.history.record(target, job_id, failed)
        self.review_due |= failed
        quarantine = self.quarantined.get(target)
        if quarantine is None or self.trials.get(target) != job_id:
            return
        del self.trials[target]
        outcome, updated = after_trial(quarantine, failed, now_s)
        self.quarantined[target] = updated
        if outcome == TrialOutcome.RELEASED:
            del self.quarantined[target]
            self.history.remove(target)
        text = f"trial job {job_id!r} {'failed' if failed else 'succeeded'}: {outcome}"
        self.record_decision(DecisionKind.QUARANTINE, f"target/{target}", text)

    def review(self, state: ClusterState, now_s: float) -> None:
        """Quarantine the targets that fail jobs which others complete."""
        if not self.review_due:
            return
        self.review_due = False
        peers: dict[str, list[str]] = defaultdict(list)
        for target in state.targets.values():
            peers[target.service].append(target.name)
        for records in (self.quarantined, self.trials, self.history.endings):
            for removed in [name for name in records if name not in state.targets]:
                del records[removed]
        for names in peers.values():
            rates = [self.history.rate(name) for name in names]
            for finding in workers_to_quarantine(rates, self.quarantined):
                until_s = now_s + FIRST_TRIAL_DELAY_S
                self.quarantined[finding.worker] = Quarantine(finding.worker, until_s)
                text = (
                    f"{finding.blame:.1f} of its last {finding.endings} jobs failed"
                    " here and not elsewhere;"
                    f" next trial in {FIRST_TRIAL_DELAY_S:.0f} s"
                )
                self.record_decision(
                    DecisionKind.QUARANTINE, f"target/{finding.worker}", text
                )
