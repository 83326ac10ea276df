"""
mulberryledge_testing.batch.starvation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that tasks whose turn has come do not wait while sound targets have room.
"""

from mulberryledge_core.batch.sizes import Tally
from mulberryledge_core.batch.specs import StepSpec, TaskId
from mulberryledge_testing.batch.target import SimulatedTarget

__all__ = ["StarvationChecker"]

MAX_WAIT_S = 3.0
RESTART_S = 6.0  # from the last run of a long-running task
CALM_S = 4.0  # before the wait
LAPSE_S = 8.0  # the longest lease after a loss, and the time to notice it
MIN_ROOMY_TARGETS = 2
MAX_USED_SHARE = 0.5  # of a pool, for tasks that are not long-running


class StarvationChecker:
    """
    Owns the waits of the tasks of one simulated day, observed at intervals.

    Attributes
    ----------
    problems : list of str
        Tasks that waited too long, each with its time.
    """

    def __init__(self, day):
        self.day = day
        self.problems: list[str] = []
        self.sound_since_s: dict[str, float] = {}
        self.unsound_since_s: dict[str, float] = {}
        self.leader = ("", 0)
        self.led_since_s = 0.0
        self.last_run_s: dict[TaskId, float] = {}
        self.waiting_since_s: dict[TaskId, float] = {}

    def observe(self) -> None:
        """Check all tasks that don't run; called several times a second."""
        now = self.day.clock.seconds()
        self.observe_leader(now)
        targets = self.calm_targets(now)
        running = {
            task
            for target in self.day.fleet.targets.values()
            for task in target.running
        }
        self.last_run_s.update(dict.fromkeys(running, now))
        waiting = {}
        for task, spec in self.ready_tasks(running):
            if not self.may_lapse(task, now) and self.has_room(task, spec, targets):
                since_s = self.waiting_since_s.get(task, now)
                waiting[task] = since_s
                self.check(task, spec, now, since_s)
        self.waiting_since_s = waiting

    def observe_leader(self, now: float) -> None:
        """Note when the leader or the delay of commits last changed."""
        log = self.day.log
        leader = (log.leader, log.term, log.leader in log.frozen, log.commit_s)
        if leader != self.leader:
            self.leader, self.led_since_s = leader, now

    def calm_targets(self, now: float) -> list[SimulatedTarget]:
        """Return the targets that have been sound for a while, if all else is calm."""
        fleet, sound = self.day.fleet, {}
        for host, target in fleet.targets.items():
            behaviour = target.behaviour
            ill = behaviour.fails or behaviour.hangs or behaviour.sheds
            ill = ill or behaviour.slow != 1.0 or target.target.draining
            if target.alive and not ill and host not in fleet.faults.cut:
                name = target.target.incarnation
                sound[name] = self.sound_since_s.get(name, now)
        if fleet.faults.late_share:
            sound = dict.fromkeys(sound, now)
        self.sound_since_s = sound
        if not self.leader[0] or now - self.led_since_s < CALM_S:
            return []
        return [
            target
            for target in fleet.targets.values()
            if now - sound.get(target.target.incarnation, now) >= CALM_S
        ]

    def may_lapse(self, task: TaskId, now: float) -> bool:
        """Return whether a run of a task may be under way on an unsound target."""
        record = self.day.log.machine.state.task(task)
        unsound = [one for one in record.live.values() if one not in self.sound_since_s]
        since_s = [self.unsound_since_s.setdefault(one, now) for one in unsound]
        return any(now - one < LAPSE_S for one in since_s)

    def ready_tasks(self, running: set[TaskId]) -> list[tuple[TaskId, StepSpec]]:
        """Return the tasks whose turn has come and that don't run."""
        state = self.day.log.machine.state
        ready = []
        for steps in state.open_steps.values():
            for step_id, step in steps.items():
                spec = state.spec_of(step_id)
                tasks = [TaskId(*step_id, index) for index in range(len(step.tasks))]
                idle = [
                    task
                    for task, record in zip(tasks, step.tasks, strict=True)
                    if task not in running and not record.done
                ]
                if spec.long_running or len(idle) == len(tasks):
                    ready += [(task, spec) for task in idle]
        return ready

    def has_room(
        self, task: TaskId, spec: StepSpec, targets: list[SimulatedTarget]
    ) -> bool:
        """Return whether at least two of the targets could take a task now."""
        state = self.day.log.machine.state
        queue = state.queue_of(state.jobs[task.job_id])
        if spec.gang or queue.advice is not None:
            return False
        pool = [one for one in targets if one.target.pool == queue.pool]
        if not spec.long_running and used_share(pool) > MAX_USED_SHARE:
            return False
        roomy = sum(takes(one, task, spec) for one in pool)
        return roomy >= MIN_ROOMY_TARGETS

    def check(self, task: TaskId, spec: StepSpec, now: float, since_s: float) -> None:
        """Record a problem if a task has waited too long."""
        due_s = since_s + MAX_WAIT_S
        if spec.long_running and task in self.last_run_s:
            due_s = max(due_s, self.last_run_s[task] + RESTART_S)
        if now > due_s:
            text = f"{task} waits though there is room since {since_s:.3f} s"
            self.problems.append(f"{now:.3f} s: {text}")


def used_share(targets: list[SimulatedTarget]) -> float:
    """Return the share of the processors of targets that their runs reserve."""
    used = sum(
        run.truth.spec.reserved.cpu_millis
        for target in targets
        for run in target.running.values()
    )
    total = sum(target.target.capacity.cpu_millis for target in targets)
    return used / max(1, total)


def takes(target: SimulatedTarget, task: TaskId, spec: StepSpec) -> bool:
    """Return whether a target has room for a task, and may run it."""
    if spec.required_label and spec.required_label not in target.target.labels:
        return False
    same = sum(one.step_id == task.step_id for one in target.running)
    if spec.max_per_target and same >= spec.max_per_target:
        return False
    used = Tally()
    for run in target.running.values():
        used.add(run.truth.spec.reserved)
    return used.fits(spec.reserved, target.target.capacity)
