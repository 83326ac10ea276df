"""
mulberryledge_core.batch.evacuation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which lasting runs may be stopped so that they start elsewhere, within the budget of
their step for tasks that are away.
"""

from collections.abc import Callable, Iterable

from mulberryledge_core.batch.specs import StepId
from mulberryledge_core.batch.state import BatchState, RunKey

__all__ = ["choose_evacuations"]


def choose_evacuations(
    state: BatchState,
    lives: Iterable[str],
    at_work: Callable[[RunKey], bool],
    has_room: Callable[[RunKey], bool],
) -> list[RunKey]:
    """
    Return the lasting runs to stop now.

    Parameters
    ----------
    lives : iterable of str
        Lives of targets that are to be emptied.
    at_work : callable
        Returns whether a run does its work, as far as is known.
    has_room : callable
        Returns whether another target can take the task of a run.
    """
    chosen: list[RunKey] = []
    stopped: dict[StepId, int] = {}
    for life in lives:
        for key in state.live_runs(life):
            task_id = key[0]
            spec = state.spec_of(task_id.step_id)
            if not spec.long_running or key in state.unwanted_runs:
                continue
            away = stopped.get(task_id.step_id, 0)
            away += away_besides(state, key, at_work)
            allowed = spec.max_unavailable
            if allowed is not None and away >= allowed:
                continue
            if has_room(key):
                chosen.append(key)
                stopped[task_id.step_id] = stopped.get(task_id.step_id, 0) + 1
    return chosen


def away_besides(
    state: BatchState, key: RunKey, at_work: Callable[[RunKey], bool]
) -> int:
    """Return how many other tasks of a run's step are not at work."""
    task_id = key[0]
    step = state.step(task_id.step_id)
    away = 0
    for index, task in enumerate(step.tasks):
        if index == task_id.index:
            continue
        runs = ((task_id._replace(index=index), run) for run in task.live)
        away += not any(at_work(run) for run in runs)
    return away
