"""
mulberryledge_testing.batch.witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the invariants at each start and end of a run on the targets.
"""

from collections import defaultdict

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.sizes import Tally
from mulberryledge_core.batch.specs import StepId, TaskId
from mulberryledge_core.batch.state import BatchState

__all__ = ["InvariantChecker"]

EARLY_MS = 250
MAX_HARM_S = 4.0
STARTUP_S = 0.7  # until a long-running task works
NOTICE_S = 4.5  # after which a task that doesn't work counts against its step's budget


class InvariantChecker:
    """
    Owns the record of starts and ends on all targets.

    Attributes
    ----------
    problems : list of str
        Violated invariants, each with its time.
    gang_timeouts : list of str
        Members of gangs that timed out waiting for the others; a fault at that time
        may be the cause.
    cancel_sent : set of str
        Jobs whose cancellation was sent; it may take effect before its answer, or
        without one.
    cancelled : dict of str to float
        By job: when its cancellation was acknowledged, in seconds.
    """

    def __init__(self, clock, state: BatchState, wall_ms):
        self.clock = clock
        self.state = state
        self.wall_ms = wall_ms
        self.problems: list[str] = []
        self.live: dict[TaskId, set[tuple[str, int]]] = defaultdict(set)
        self.done: set[TaskId] = set()
        self.noted: set[TaskId] = set()
        self.last_start_s: dict[TaskId, float] = {}
        self.done_s: dict[tuple[TaskId, int, str], float] = {}
        self.failures: dict[TaskId, int] = defaultdict(int)
        self.team_used: dict[str, Tally] = defaultdict(Tally)
        self.submitted: dict[str, object] = {}
        self.cancel_sent: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.starts = 0
        self.gang_timeouts: list[str] = []
        self.above_bound_since_s: dict[tuple[TaskId, int], float] = {}
        self.stopped: set[TaskId] = set()
        self.last_end_s: dict[TaskId, float] = {}

    def problem(self, text: str) -> None:
        """Record a violated invariant."""
        self.problems.append(f"{self.clock.seconds():.3f} s: {text}")

    def on_event(self, what: str, target, task: TaskId, run: int, how) -> None:
        """Check a start, an end or an acknowledged end on a target."""
        if what == "start":
            self.on_start(target, task, run)
        elif what == "noted":
            self.on_noted(target, task, run, how)
        else:
            self.on_end(target, task, run, how)

    def on_start(self, target, task: TaskId, run: int) -> None:
        """Check a start against order, exclusiveness, capacity and limits."""
        self.starts += 1
        job = self.submitted.get(task.job_id)
        if job is None:
            self.problem(f"{task} was never submitted")
            return
        spec = job.spec.steps[task.step]
        self.check_order(job, task)
        if self.live[task] and not spec.speculative:
            self.problem(f"{task} runs twice: {self.live[task]}, {run}")
        if task in self.noted and not spec.long_running:
            self.problem(f"{task} starts again after its acknowledged end")
        self.last_start_s[task] = self.clock.seconds()
        if spec.required_label and spec.required_label not in target.target.labels:
            self.problem(f"{task} starts without its label")
        self.check_capacity(target, task)
        self.check_spread(target, task, spec)
        self.live[task].add((target.target.incarnation, run))
        if job.team:
            self.team_used[job.team].add(spec.size)
            self.check_team(job.team, spec)
        if task.job_id in self.cancelled:
            late_s = self.clock.seconds() - self.cancelled[task.job_id]
            if late_s > 3.0:
                self.problem(f"{task} starts {late_s:.1f} s after its cancellation")

    def on_noted(self, target, task: TaskId, run: int, how: RunEnd) -> None:
        """Check that a task was not started again after an acknowledged completion."""
        job = self.submitted.get(task.job_id)
        if how != RunEnd.DONE or job is None or job.spec.steps[task.step].long_running:
            return
        if job.spec.steps[task.step].speculative:
            return
        self.noted.add(task)
        ended_s = self.done_s[task, run, target.target.incarnation]
        if self.last_start_s.get(task, 0) > ended_s:
            self.problem(f"{task} was started again after its acknowledged end")

    def check_tail_latency(self, incarnation) -> None:
        """Check that fillers don't hold a tail latency above its bound."""
        now = self.clock.seconds()
        for task, run in incarnation.running.items():
            bound_ms = run.truth.spec.latency_target_ms
            if not bound_ms:
                continue
            exceeded = (
                incarnation.tail_ms(run)
                > bound_ms
                >= incarnation.tail_ms(run, fillers=False)
            )
            if not exceeded:
                self.above_bound_since_s.pop((task, run.run), None)
            elif (
                now - self.above_bound_since_s.setdefault((task, run.run), now)
                > MAX_HARM_S
            ):
                self.problem(f"fillers hold {task} above its latency bound")

    def check_lease(self, incarnation, counted_end_ms: int) -> None:
        """Check that no run outlasts the lease that the leader counts."""
        left_ms = (incarnation.lease_ms - incarnation.now_ms()) / incarnation.rate
        excess_ms = 1_000 * self.clock.seconds() + left_ms - counted_end_ms
        if incarnation.running and excess_ms > 0:
            name = incarnation.target.incarnation
            self.problem(f"the lease of {name} lasts {excess_ms:.0f} ms longer")

    def check_order(self, job, task: TaskId) -> None:
        """Check that the previous steps are done and the occurrence is due."""
        for before in job.spec.steps[task.step].after:
            for index in range(job.spec.steps[before].count):
                if TaskId(task.job_id, task.occurrence, before, index) not in self.done:
                    self.problem(f"{task} starts before step {before} is done")
                    return
        if job.spec.schedule is not None:
            due_ms = job.spec.schedule.due_ms(task.occurrence)
            if self.wall_ms() < due_ms - EARLY_MS:
                self.problem(f"{task} starts before it is due")

    def check_capacity(self, target, task: TaskId) -> None:
        """Check that the running tasks fit the capacity of a target."""
        used = Tally()
        for run in target.running.values():
            used.add(run.truth.spec.reserved)
        capacity = target.target.capacity
        if (
            used.cpu_millis > capacity.cpu_millis
            or used.memory_mb > capacity.memory_mb
            or used.accelerators > capacity.accelerators
        ):
            self.problem(f"{task} brings {target.target.incarnation} over its capacity")

    def check_spread(self, target, task: TaskId, spec) -> None:
        """Check the limit of tasks of a step on one target."""
        if not spec.max_per_target:
            return
        same: StepId = task.step_id
        count = sum(one.step_id == same for one in target.running)
        if count > spec.max_per_target:
            self.problem(f"{count} tasks of {same} on {target.target.incarnation}")

    def check_team(self, team: str, spec) -> None:
        """Check a team's upper limit, with the allowed overrun."""
        config = self.state.configuration.teams_by_name.get(team)
        if config is None or not config.upper_limit.cpu_millis:
            return
        max_cpu_millis = 1.1 * config.upper_limit.cpu_millis + spec.size.cpu_millis
        if self.team_used[team].cpu_millis > max_cpu_millis:
            self.problem(f"team {team} exceeds its upper limit")

    def check_budget(self, target, task: TaskId, spec) -> None:
        """Check that the stop of a task that works leaves enough others at work."""
        unsound = target.target.draining or target.behaviour.hangs
        if unsound or task.job_id in self.cancel_sent or not self.works(task):
            return
        others = (task._replace(index=index) for index in range(spec.count))
        away = [other for other in others if other != task and self.is_away(other)]
        if len(away) >= spec.max_unavailable:
            self.problem(f"{task} is stopped while {len(away)} others are away")

    def works(self, task: TaskId) -> bool:
        """Return whether a long-running task has a run that has started up."""
        started_s = self.last_start_s.get(task, self.clock.seconds())
        return bool(self.live[task]) and self.clock.seconds() - started_s >= STARTUP_S

    def is_away(self, task: TaskId) -> bool:
        """Return whether a task counts against the budget of its step."""
        if self.works(task):
            self.stopped.discard(task)
            return False
        now = self.clock.seconds()
        return task in self.stopped or now - self.last_end_s.get(task, now) >= NOTICE_S

    def on_end(self, target, task: TaskId, run: int, how: RunEnd) -> None:
        """Record an end."""
        job = self.submitted.get(task.job_id)
        spec = None if job is None else job.spec.steps[task.step]
        if spec is not None and spec.long_running and self.works(task):
            self.stopped.discard(task)
            if how == RunEnd.STOPPED and spec.max_unavailable is not None:
                self.check_budget(target, task, spec)
                self.stopped.add(task)
        self.last_end_s[task] = self.clock.seconds()
        self.live[task].discard((target.target.incarnation, run))
        if job is None:
            return
        if job.team:
            self.team_used[job.team].add(spec.size, -1)
        if how == RunEnd.DONE:
            self.done.add(task)
            self.done_s[task, run, target.target.incarnation] = self.clock.seconds()
        if how == RunEnd.GANG_TIMED_OUT and task.job_id not in self.cancelled:
            self.gang_timeouts.append(
                f"{self.clock.seconds():.3f} s: {task} timed out waiting for its gang"
            )
        if how == RunEnd.FAILED:
            self.failures[task] += 1
