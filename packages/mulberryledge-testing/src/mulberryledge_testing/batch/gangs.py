"""
mulberryledge_testing.batch.gangs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gangs: tasks that make progress only while all members of a run are up, on any targets.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from mulberryledge_core.batch.commands import RunEnd
from mulberryledge_core.batch.specs import StepId, TaskId

__all__ = ["Gangs"]

TIMEOUT_S = 3.0


@dataclass(slots=True)
class Gang:
    """
    One run of a gang.

    Attributes
    ----------
    members : dict of TaskId to SimulatedTarget
        Running members.
    complete : bool
        Whether all members were present at the same time.
    """

    members: dict[TaskId, object] = field(default_factory=dict)
    complete: bool = False


class Gangs:
    """Owns the gangs of a fleet."""

    def __init__(self, clock):
        self.clock = clock
        self.gangs: dict[tuple[StepId, int], Gang] = defaultdict(Gang)

    def join(self, target, task: TaskId, run: int, count: int) -> None:
        """Add a member; all start their work once the gang is complete."""
        gang = self.gangs[task.step_id, run]
        gang.members[task] = target
        self.clock.callLater(TIMEOUT_S, self.time_out, task, run)
        if len(gang.members) == count:
            gang.complete = True
            for member, member_target in gang.members.items():
                member_target.start_gang_work(member, run)

    def time_out(self, task: TaskId, run: int) -> None:
        """End a member whose gang was not complete within the time-out."""
        gang = self.gangs[task.step_id, run]
        target = gang.members.get(task)
        if target is not None and not gang.complete:
            target.end(task, run, RunEnd.GANG_TIMED_OUT)

    def leave(self, task: TaskId, run: int, how: RunEnd) -> None:
        """Remove a member; the others end as done with it, or are aborted."""
        gang = self.gangs[task.step_id, run]
        if gang.members.pop(task, None) is None or how == RunEnd.GANG_TIMED_OUT:
            return
        others = RunEnd.DONE if how == RunEnd.DONE else RunEnd.GANG_ABORTED
        for member, target in list(gang.members.items()):
            target.end(member, run, others)
