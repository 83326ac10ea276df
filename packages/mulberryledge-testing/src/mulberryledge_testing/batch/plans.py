"""
mulberryledge_testing.batch.plans
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulation runs by a description that can be passed to a worker process, optionally with
parts of the scheduler replaced.
"""

import logging
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from unittest.mock import patch

from mulberryledge_core.batch import machine, placing, target_health, tickets
from mulberryledge_core.batch.sizes import Tally
from mulberryledge_daemon.batch import filler_throttle, host_losses, sessions, watchdog
from mulberryledge_testing.batch.demand import site_named
from mulberryledge_testing.batch.play import POOL_POLICY, Day
from mulberryledge_testing.batch.troubles import schedule_fault

__all__ = ["REPLACED", "Outcome", "Plan", "simulate"]

TAIL_S = 20.0  # for the last jobs submitted, with the delays that a fault causes


@dataclass(frozen=True, slots=True)
class Plan:
    """
    Description of a simulation run.

    Attributes
    ----------
    faults : tuple of (str, float)
        Names of faults, and their start times in seconds.
    moves : bool
        Whether hosts move between pools.
    without : tuple of str
        Parts of the scheduler to disable, by their names in ``REPLACED``.
    tail_s : float
        How long the run continues after the last submission.
    """

    site: str
    seed: int
    seconds: float
    faults: tuple[tuple[str, float], ...] = ()
    load: float = 1.0
    moves: bool = True
    without: tuple[str, ...] = ()
    tail_s: float = TAIL_S


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    Results of a simulation run.

    Attributes
    ----------
    in_time : float
        Share of the jobs that ended in time.
    long_running_share : float
        Share of the long-running tasks that were working, mean over the run.
    problems, unfinished, waves : tuple of str
        Violated invariants, jobs that never ended, and waves that exceeded their
        limit or were not completed.
    misplaced : tuple of str
        Hosts that the leader assigns to a wrong pool at the end.
    obsolete_starts : int
        Starts on incarnations that had ended when the start was applied.
    late_waves : tuple of str
        Waves that took longer than their planned duration.
    gang_timeouts : tuple of str
        Members of gangs that timed out waiting for the others.
    starved : tuple of str
        Tasks that waited for seconds while sound targets had room.
    """

    plan: Plan
    in_time: float
    long_running_share: float
    given_up: int
    host_seconds: float
    failed_runs: int
    problems: tuple[str, ...]
    unfinished: tuple[str, ...]
    waves: tuple[str, ...] = ()
    misplaced: tuple[str, ...] = ()
    late_waves: tuple[str, ...] = ()
    obsolete_starts: int = 0
    gang_timeouts: tuple[str, ...] = ()
    starved: tuple[str, ...] = ()


def first_in_first_out(view, queue, step_id) -> tuple:
    """Rank long-running steps first, then by priority and submission time."""
    job = view.state.jobs[step_id.job_id]
    long_running = job.spec.steps[step_id.step].long_running
    return (not long_running, queue.priority, job.submitted_ms)


def expire_lease(self) -> None:
    """Treat the lease of a silent target as expired at once."""
    self.lease_end_ms = 0
    ORIGINAL_ON_SILENCE(self)


ORIGINAL_ON_SILENCE = sessions.TargetSession.on_silence
REPLACED = {
    "order": lambda: patch.object(placing, "rank_of", first_in_first_out),
    "capacity": lambda: patch.object(Tally, "fits", lambda self, size, capacity: (
        self.cpu_millis + size.cpu_millis <= 10 * capacity.cpu_millis
    )),
    "leases": lambda: patch.object(sessions.TargetSession, "on_silence", expire_lease),
    "judgement": lambda: patch.object(
        target_health.Health, "exclude", lambda self, *arguments: None
    ),
    "pacing": lambda: patch.object(
        filler_throttle.FillerThrottle, "tick", lambda self: None
    ),
    "tickets": lambda: patch.object(
        tickets.Tickets, "text", lambda self, *arguments: "none"
    ),
    "losses": lambda: patch.object(host_losses.LossDetector, "tick", lambda self: None),
    "restarts": lambda: patch.object(
        machine, "return_to_queue", lambda *arguments: None
    ),
    "watchdog": lambda: patch.object(watchdog.Watchdog, "tick", lambda self: None),
}  # fmt: skip


def simulate(plan: Plan, prepare: Callable[[Day], object] | None = None) -> Outcome:
    """
    Simulate a plan, and return its results.

    Parameters
    ----------
    prepare : callable or None
        Called with the day before it begins.
    """
    with ExitStack() as stack:
        stack.callback(logging.disable, logging.root.manager.disable)
        logging.disable(logging.CRITICAL)
        for name in plan.without:
            stack.enter_context(REPLACED[name]())
        policy = POOL_POLICY if plan.moves else None
        day = Day(site_named(plan.site), plan.seed, policy)
        if prepare is not None:
            prepare(day)
        for name, at_s in plan.faults:
            schedule_fault(day, name, at_s)
        report = day.run(plan.seconds, plan.load, tail_s=plan.tail_s)
    state = day.log.machine.state
    unfinished = [
        job.job_id
        for job in state.jobs.values()
        if not job.ended and not job.spec.steps[0].long_running
    ]
    waves, late = [], []
    for wave in state.waves.values():
        down_at_once = day.fleet.cloud.max_down.get(wave.wave, 0)
        if down_at_once > wave.limit or not wave.completed:
            waves.append(
                f"wave {wave.wave}: {down_at_once} of {wave.limit} down at once"
            )
        took_ms = max(host.at_ms for host in wave.hosts.values()) - wave.started_ms
        if took_ms > wave.duration_ms:
            late.append(f"wave {wave.wave}: {took_ms} of {wave.duration_ms} ms")
    return Outcome(
        plan,
        report.share_in_time(),
        sum(report.long_running_shares) / max(1, len(report.long_running_shares)),
        sum(report.given_up.values()),
        report.host_seconds,
        sum(day.checker.failures.values()),
        tuple(report.problems),
        tuple(unfinished),
        tuple(waves),
        tuple(day.misplaced()),
        tuple(late),
        day.log.void_starts,
        tuple(day.checker.gang_timeouts),
        tuple(day.starvation.problems),
    )
