"""
mulberryledge_core.batch.placing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement: which tasks start now, and on which targets. No start exceeds the capacity
of a target or the upper limit of a team; a gang starts completely or not at all.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from mulberryledge_core.batch.admission import gang_exceeds_limit
from mulberryledge_core.batch.commands import StartRun
from mulberryledge_core.batch.configuration import Queue
from mulberryledge_core.batch.demand import DurationEstimates
from mulberryledge_core.batch.ordering import (
    Group,
    OccurrenceTimes,
    OrderPolicy,
    occurrence_start_ms,
    occurrence_times,
    step_group,
)
from mulberryledge_core.batch.records import JobRecord, StepRecord
from mulberryledge_core.batch.sizes import Size, Tally
from mulberryledge_core.batch.specs import StepId, StepSpec, TaskId
from mulberryledge_core.batch.state import BatchState
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.batch.tickets import Tickets

__all__ = [
    "PlacingView",
    "candidates_with_capacity",
    "fits_elsewhere",
    "permitted_candidates",
    "plan_starts",
    "pools_with_idle_tasks",
    "ready_steps",
]


@dataclass(slots=True)
class Candidate:
    """
    A target considered for placement, with its usage including the planned starts.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target.
    reserved_share : float
        Reserved share of its processors.
    closed : bool
        Whether no further task may be placed on it.
    filler_millis : int
        Millicores that its fillers would use if available.
    throttled : bool
        Whether its fillers run below full speed.
    leaving : bool
        Whether its host is about to be emptied.
    """

    target: Target
    used: Tally
    closed: bool = False
    filler_millis: int = 0
    throttled: bool = False
    leaving: bool = False
    incarnation: str = ""
    reserved_share: float = 0.0

    def __post_init__(self):
        self.incarnation = self.target.incarnation
        self.update_share()

    def update_share(self) -> None:
        """Recompute the reserved share of the processors."""
        capacity = self.target.capacity.cpu_millis
        self.reserved_share = self.used.cpu_millis / max(1, capacity)

    def reserve(self, size: Size) -> None:
        """Add a planned start to the usage."""
        self.used.add(size)
        self.update_share()

    def has_room(self, size: Size) -> bool:
        """Return whether a further task of a size may be placed on it."""
        return not self.closed and self.used.fits(size, self.target.capacity)


@dataclass(slots=True)
class PlacingView:
    """
    The input of a plan, and the usage by the starts planned so far.

    Attributes
    ----------
    targets : sequence of Target
        Targets on which tasks may be started now.
    now_ms : int
        Time of day, against which objectives of jobs are evaluated.
    durations : DurationEstimates
        Estimated durations of tasks.
    trials : frozenset of str
        Incarnations on which the plan may start one run only.
    tickets : Tickets or None
        Answers of the placement advisor; None if there is no advisor.
    log_ms : int
        Log time, by which tickets expire.
    throttled : frozenset of str
        Incarnations of targets whose fillers run below full speed.
    leaving : frozenset of str
        Incarnations of targets on hosts that are about to be emptied.
    candidates : dict of str to list of Candidate
        Candidates by pool.
    unplaceable : dict of str to list of Size
        By pool: sizes for which no candidate had room earlier in the plan.
    """

    state: BatchState
    targets: Sequence[Target]
    now_ms: int
    durations: DurationEstimates
    order: OrderPolicy = OrderPolicy()
    trials: frozenset[str] = frozenset()
    tickets: Tickets | None = None
    log_ms: int = 0
    throttled: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    candidates: dict[str, list[Candidate]] = field(default_factory=dict)
    unplaceable: dict[str, list[Size]] = field(default_factory=dict)
    team_used: dict[str, Tally] = field(default_factory=dict)
    times: dict[tuple[str, int], OccurrenceTimes] = field(default_factory=dict)

    def __post_init__(self):
        for target in self.targets:
            incarnation = target.incarnation
            candidate = Candidate(
                target,
                self.state.used[incarnation].copy(),
                filler_millis=self.state.filler_millis[incarnation],
                throttled=incarnation in self.throttled,
                leaving=incarnation in self.leaving,
            )
            self.candidates.setdefault(target.pool, []).append(candidate)

    def team_tally(self, team: str) -> Tally:
        """Return the size of a team's live runs and planned starts."""
        if team not in self.team_used:
            self.team_used[team] = self.state.team_used[team].copy()
        return self.team_used[team]


def plan_starts(view: PlacingView) -> list[StartRun]:
    """Return the runs to start now."""
    starts: list[StartRun] = []
    for step_id, step in ready_steps(view):
        job = view.state.jobs[step_id.job_id]
        starts += place_step(view, job, step_id, step)
    return starts


def pools_with_idle_tasks(state: BatchState) -> set[str]:
    """Return the pools for which a task waits."""
    return {
        state.queue_named(name).pool
        for name, steps in state.open_steps.items()
        if any(step.idle for step in steps.values())
    }


def ready_steps(view: PlacingView) -> list[tuple[StepId, StepRecord]]:
    """Return the steps with idle tasks, the most urgent first."""
    ready = []
    for name, steps in view.state.open_steps.items():
        if not steps:
            continue
        queue = view.state.queue_named(name)
        if queue.pool not in view.candidates:
            continue
        for step_id, step in steps.items():
            if step.idle:
                ready.append((rank_of(view, queue, step_id), step_id, step))
    ready.sort(key=lambda one: one[0])
    return [(step_id, step) for _, step_id, step in ready]


def rank_of(view: PlacingView, queue: Queue, step_id: StepId) -> tuple:
    """Return the rank of a step; lower ranks are placed first."""
    job = view.state.jobs[step_id.job_id]
    if job.spec.steps[step_id.step].long_running:
        return (Group.LONG_RUNNING, queue.priority, job.submitted_ms)
    key = step_id[:2]
    times = view.times.get(key)
    if times is None:
        start_ms = occurrence_start_ms(job, step_id.occurrence)
        times = occurrence_times(view.state, view.durations, job, start_ms, view.order)
        view.times[key] = times
    group = step_group(times, step_id.step, view.now_ms, view.order)
    end_ms = times.due_ms if group == Group.IN_TIME else times.abandon_ms
    return (group, queue.priority, end_ms - times.remaining_ms[step_id.step])


def place_step(
    view: PlacingView, job: JobRecord, step_id: StepId, step: StepRecord
) -> list[StartRun]:
    """Return the runs of one step to start now."""
    spec = job.spec.steps[step_id.step]
    pool = view.state.queue_of(job).pool
    if any(is_within(size, spec.reserved) for size in view.unplaceable.get(pool, ())):
        return []
    candidates = permitted_candidates(view, job, step_id)
    if spec.gang:
        return place_gang(view, job, step_id, step, candidates)
    fitting = [one for one in candidates if one.has_room(spec.reserved)]
    if not fitting:
        if not spec.required_label and view.state.queue_of(job).advice is None:
            view.unplaceable.setdefault(pool, []).append(spec.reserved)
        return []
    if can_fill_in_order(spec, step):
        return fill_in_order(view, job, step_id, step, fitting)
    return place_each(view, job, step_id, step, fitting)


def is_within(size: Size, other: Size) -> bool:
    """Return whether a size does not exceed another one in any resource."""
    return (
        size.cpu_millis <= other.cpu_millis
        and size.memory_mb <= other.memory_mb
        and size.accelerators <= other.accelerators
    )


def can_fill_in_order(spec: StepSpec, step: StepRecord) -> bool:
    """Return whether the tasks of a step rank the candidates alike, run after run."""
    return not (
        spec.long_running
        or spec.filler
        or any(step.tasks[index].avoided_incarnation for index in step.idle)
    )


def fill_in_order(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    fitting: Sequence[Candidate],
) -> list[StartRun]:
    """
    Return the starts of a step whose tasks are packed: one candidate after the other.

    A candidate that has got a task ranks before those behind it until it is full.
    """
    spec = job.spec.steps[step_id.step]
    size, max_runs = spec.reserved, spec.max_per_target
    run_counts = runs_by_incarnation(step) if max_runs else Counter()
    waiting = iter(list(step.idle))
    starts = []
    for candidate in sorted(fitting, key=lambda one: packing_rank(view, spec, one)):
        while candidate.has_room(size):
            if max_runs and run_counts[candidate.incarnation] >= max_runs:
                break
            if not within_team_limit(view, job.team, spec.size):
                return starts
            index = next(waiting, None)
            if index is None:
                return starts
            starts.append(record_start(view, job, step_id, step, index, candidate))
            run_counts[candidate.incarnation] += 1
    return starts


def packing_rank(view: PlacingView, spec: StepSpec, candidate: Candidate) -> tuple:
    """Rank a candidate for a task that is packed; lower ranks are filled first."""
    return (
        candidate.incarnation in view.trials,
        bool(spec.data_rack) and candidate.target.rack != spec.data_rack,
        -candidate.reserved_share,
    )


def place_each(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    fitting: Sequence[Candidate],
) -> list[StartRun]:
    """Return the starts of a step, with a candidate chosen for each task."""
    spec = job.spec.steps[step_id.step]
    starts = []
    run_counts = runs_by_incarnation(step)
    for index in list(step.idle):
        if not within_team_limit(view, job.team, spec.size):
            break
        avoided_incarnation = step.tasks[index].avoided_incarnation
        candidate = choose_candidate(
            fitting, spec, run_counts, avoided_incarnation, view.trials
        )
        if candidate is None:
            break
        starts.append(record_start(view, job, step_id, step, index, candidate))
        run_counts[candidate.incarnation] += 1
    return starts


def labelled_candidates(
    view: PlacingView, job: JobRecord, spec: StepSpec
) -> list[Candidate]:
    """Return the candidates of a job's pool with the label that a step requires."""
    return [
        candidate
        for candidate in view.candidates.get(view.state.queue_of(job).pool, ())
        if not spec.required_label or spec.required_label in candidate.target.labels
    ]


def permitted_candidates(
    view: PlacingView, job: JobRecord, step_id: StepId
) -> list[Candidate]:
    """Return the candidates on which a step may run."""
    candidates = labelled_candidates(view, job, job.spec.steps[step_id.step])
    if view.tickets is None or view.state.queue_of(job).advice is None:
        return candidates
    return [
        candidate
        for candidate in candidates
        if view.tickets.text(step_id, candidate.incarnation, view.log_ms)
    ]


def candidates_with_capacity(
    view: PlacingView, job: JobRecord, step_id: StepId, step: StepRecord
) -> list[Candidate]:
    """
    Return the candidates with capacity for a step, the least reserved first.

    Candidates for which the step has no ticket are included.
    """
    spec = job.spec.steps[step_id.step]
    run_counts = runs_by_incarnation(step)
    candidates = [
        candidate
        for candidate in labelled_candidates(view, job, spec)
        if candidate.has_room(spec.reserved)
        and not (
            spec.max_per_target
            and run_counts[candidate.incarnation] >= spec.max_per_target
        )
    ]
    return sorted(candidates, key=lambda candidate: candidate.used.cpu_millis)


def fits_elsewhere(view: PlacingView, task_id: TaskId) -> bool:
    """Return whether one of the targets has capacity for a task that runs."""
    job = view.state.jobs[task_id.job_id]
    spec = job.spec.steps[task_id.step]
    step = view.state.step(task_id.step_id)
    candidates = permitted_candidates(view, job, task_id.step_id)
    return choose_candidate(candidates, spec, runs_by_incarnation(step), "") is not None


def runs_by_incarnation(step: StepRecord) -> Counter[str]:
    """Return the number of live runs of a step by incarnation."""
    return Counter(
        incarnation for task in step.tasks for incarnation in task.live.values()
    )


def within_team_limit(view: PlacingView, team: str, size: Size) -> bool:
    """Return whether an additional size stays within a team's upper limit."""
    config = view.state.configuration.teams_by_name.get(team)
    if not team or config is None:
        return True
    used, limit = view.team_tally(team), config.upper_limit
    if not (used.cpu_millis or used.memory_mb or used.accelerators):
        return True  # a task above the limit runs alone, or it would never run
    return not (
        (limit.cpu_millis and used.cpu_millis + size.cpu_millis > limit.cpu_millis)
        or (limit.memory_mb and used.memory_mb + size.memory_mb > limit.memory_mb)
        or (
            limit.accelerators
            and used.accelerators + size.accelerators > limit.accelerators
        )
    )


def choose_candidate(
    candidates: Sequence[Candidate],
    spec: StepSpec,
    run_counts: Counter[str],
    avoided_incarnation: str,
    trials: frozenset[str] = frozenset(),
) -> Candidate | None:
    """
    Return the best candidate for a task, None if none has capacity.

    Long-running tasks are spread over racks and hosts, so that the loss of one affects
    few tasks of a step, and avoid hosts that are about to be emptied. Other tasks are
    packed, so that idle hosts can leave the pool.
    """
    best, best_rank = None, None
    size, max_runs = spec.reserved, spec.max_per_target
    racks: Counter[str] = Counter()
    if spec.long_running:
        for candidate in candidates:
            racks[candidate.target.rack] += run_counts[candidate.incarnation]
    for candidate in candidates:
        if not candidate.has_room(size):
            continue
        incarnation, rack = candidate.incarnation, candidate.target.rack
        if max_runs and run_counts[incarnation] >= max_runs:
            continue
        rank = (
            incarnation == avoided_incarnation,
            incarnation in trials,
            racks[rack],
            candidate.leaving if spec.long_running else False,
            run_counts[incarnation] if spec.long_running else 0,
            bool(spec.data_rack) and rack != spec.data_rack,
            filler_rank(candidate) if spec.filler else -candidate.reserved_share,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def filler_rank(candidate: Candidate) -> float:
    """Rank a candidate for a filler: most unused processor time, unthrottled first."""
    filler_share = candidate.filler_millis / max(
        1, candidate.target.capacity.cpu_millis
    )
    return candidate.reserved_share + filler_share + 2.0 * candidate.throttled


def place_gang(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    candidates: Sequence[Candidate],
) -> list[StartRun]:
    """Return the starts of a complete gang, or none."""
    spec = job.spec.steps[step_id.step]
    if len(step.idle) < spec.count:
        return []
    if not within_team_limit(view, job.team, spec.size.times(spec.count)):
        return []
    team = view.state.configuration.teams_by_name.get(job.team)
    if team is not None and gang_exceeds_limit(spec, team.upper_limit):
        return []
    for group in candidate_groups(candidates, spec):
        chosen = assign_gang(group, spec)
        if chosen is not None:
            run = max(task.run for task in step.tasks) + 1
            return [
                record_start(view, job, step_id, step, index, candidate, run)
                for index, candidate in enumerate(chosen)
            ]
    return []


def candidate_groups(
    candidates: Sequence[Candidate], spec: StepSpec
) -> list[list[Candidate]]:
    """Return the sets of candidates that a gang may be placed on, the best first."""
    groups: list[list[Candidate]] = []
    if spec.tightly_coupled or spec.data_rack:
        racks: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            racks.setdefault(candidate.target.rack, []).append(candidate)
        names = sorted(racks, key=lambda name: (name != spec.data_rack, name))
        groups = [racks[name] for name in names]
    return [*groups, list(candidates)]


def assign_gang(
    candidates: Sequence[Candidate], spec: StepSpec
) -> list[Candidate] | None:
    """Return a candidate for each member of a gang, None if not all fit."""
    scratch = [
        Candidate(candidate.target, candidate.used.copy()) for candidate in candidates
    ]
    by_incarnation = {candidate.incarnation: candidate for candidate in candidates}
    run_counts: Counter[str] = Counter()
    chosen = []
    for _ in range(spec.count):
        candidate = choose_candidate(scratch, spec, run_counts, "")
        if candidate is None:
            return None
        candidate.reserve(spec.reserved)
        run_counts[candidate.incarnation] += 1
        chosen.append(by_incarnation[candidate.incarnation])
    return chosen


def record_start(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    index: int,
    candidate: Candidate,
    run: int | None = None,
) -> StartRun:
    """Add a planned start to the usage, and return it."""
    spec = job.spec.steps[step_id.step]
    candidate.reserve(spec.reserved)
    if spec.filler:
        candidate.filler_millis += spec.size.cpu_millis
    candidate.closed = candidate.incarnation in view.trials
    if job.team:
        view.team_tally(job.team).add(spec.size)
    run = step.tasks[index].run + 1 if run is None else run
    return StartRun(*step_id, index, run, candidate.incarnation)
