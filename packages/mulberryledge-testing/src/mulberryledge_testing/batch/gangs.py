"""
mulberryledge_testing.batch.gangs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that work only while all members of one run are there, on any targets.
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
        Members that run.
    works : bool
        Whether all have been present.
    """

    members: dict[TaskId, object] = field(default_factory=dict)
    works: bool = False


class Gangs:
    """Owns the gangs of a fleet."""

    def __init__(self, clock):
        self.clock = clock
        self.gangs: dict[tuple[StepId, int], Gang] = defaultdict(Gang)

    def join(self, target, task: TaskId, run: int, count: int) -> None:
        """Add a member; all begin to work once the last one is there."""
        gang = self.gangs[task.step_id, run]
        gang.members[task] = target
        self.clock.callLater(TIMEOUT_S, self.give_up, task, run)
        if len(gang.members) == count:
            gang.works = True
            for member, place in gang.members.items():
                place.work(member, run)

    def give_up(self, task: TaskId, run: int) -> None:
        """End a member that has waited for the others in vain."""
        gang = self.gangs[task.step_id, run]
        target = gang.members.get(task)
        if target is not None and not gang.works:
            target.end(task, run, RunEnd.GANG_TIMED_OUT)

    def leave(self, task: TaskId, run: int, how: RunEnd) -> None:
        """Remove a member: the others are done with it, or broken."""
        gang = self.gangs[task.step_id, run]
        if gang.members.pop(task, None) is None or how == RunEnd.GANG_TIMED_OUT:
            return
        others = RunEnd.DONE if how == RunEnd.DONE else RunEnd.GANG_ABORTED
        for member, target in list(gang.members.items()):
            target.end(member, run, others)
