"""
mulberryledge_core.batch.evacuation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the long-running runs to stop so that they restart on other targets, within
the ``max_unavailable`` budget of their step.
"""

from collections.abc import Callable, Iterable

from mulberryledge_core.batch.specs import StepId
from mulberryledge_core.batch.state import BatchState, RunKey

__all__ = ["choose_evacuations"]


def choose_evacuations(
    state: BatchState,
    incarnations: Iterable[str],
    is_working: Callable[[RunKey], bool],
    fits_elsewhere: Callable[[RunKey], bool],
) -> list[RunKey]:
    """
    Return the long-running runs to stop now.

    Parameters
    ----------
    incarnations : iterable of str
        Incarnations of the targets that are to be emptied.
    is_working : callable
        Returns whether a run is reported as working.
    fits_elsewhere : callable
        Returns whether another target has capacity for the task of a run.
    """
    chosen: list[RunKey] = []
    stopped: dict[StepId, int] = {}
    for incarnation in incarnations:
        for key in state.live_runs(incarnation):
            task_id = key[0]
            spec = state.spec_of(task_id.step_id)
            if not spec.long_running or key in state.unwanted_runs:
                continue
            unavailable = stopped.get(task_id.step_id, 0)
            unavailable += other_unavailable_tasks(state, key, is_working)
            allowed = spec.max_unavailable
            if allowed is not None and unavailable >= allowed:
                continue
            if fits_elsewhere(key):
                chosen.append(key)
                stopped[task_id.step_id] = stopped.get(task_id.step_id, 0) + 1
    return chosen


def other_unavailable_tasks(
    state: BatchState, key: RunKey, is_working: Callable[[RunKey], bool]
) -> int:
    """Return how many other tasks of a run's step are not working."""
    task_id = key[0]
    step = state.step(task_id.step_id)
    unavailable = 0
    for index, task in enumerate(step.tasks):
        if index == task_id.index:
            continue
        runs = ((task_id._replace(index=index), run) for run in task.live)
        unavailable += not any(is_working(run) for run in runs)
    return unavailable
