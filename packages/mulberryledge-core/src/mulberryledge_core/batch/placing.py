"""
mulberryledge_core.batch.placing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which tasks start now, and where. Nothing is started beyond a target's capacity or a
team's upper limit; a gang starts whole or not at all.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from mulberryledge_core.batch.admission import beyond_limit
from mulberryledge_core.batch.commands import StartRun
from mulberryledge_core.batch.configuration import Queue
from mulberryledge_core.batch.demand import Durations
from mulberryledge_core.batch.ordering import (
    Group,
    OrderPolicy,
    Times,
    begin_of,
    group_of,
    times_of,
)
from mulberryledge_core.batch.records import JobRecord, StepRecord
from mulberryledge_core.batch.sizes import Size, Tally
from mulberryledge_core.batch.specs import StepId, StepSpec, TaskId
from mulberryledge_core.batch.state import BatchState
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.batch.tickets import Tickets

__all__ = [
    "PlacingView",
    "has_room_elsewhere",
    "permitted_rooms",
    "plan_starts",
    "ready_steps",
    "rooms_with_space",
]


@dataclass(slots=True)
class Room:
    """
    What is used of a target, with the starts planned so far.

    Attributes
    ----------
    closed : bool
        Whether it gets no more.
    filled_millis : int
        What its fillers would use if they could.
    paced : bool
        Whether its fillers work below their full pace.
    leaving : bool
        Whether its host will be emptied soon.
    """

    target: Target
    used: Tally
    closed: bool = False
    filled_millis: int = 0
    paced: bool = False
    leaving: bool = False


@dataclass(slots=True)
class PlacingView:
    """
    What a plan is made from.

    Attributes
    ----------
    targets : sequence of Target
        Targets on which tasks may be started now.
    now_ms : int
        Time of day, by which jobs are in time or late.
    durations : Durations
        How long tasks take.
    trials : frozenset of str
        Lives of targets that get one run at a time.
    tickets : Tickets or None
        Answers of the placement advisor; None if there is no advisor.
    log_ms : int
        Time of the log, by which tickets expire.
    paced : frozenset of str
        Lives of targets where fillers work below their full pace.
    leaving : frozenset of str
        Lives of targets on hosts that will be emptied soon.
    """

    state: BatchState
    targets: Sequence[Target]
    now_ms: int
    durations: Durations
    order: OrderPolicy = OrderPolicy()
    trials: frozenset[str] = frozenset()
    tickets: Tickets | None = None
    log_ms: int = 0
    paced: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    rooms: dict[str, list[Room]] = field(default_factory=dict)
    team_used: dict[str, Tally] = field(default_factory=dict)
    times: dict[tuple[str, int], Times] = field(default_factory=dict)

    def __post_init__(self):
        for target in self.targets:
            if target.life in self.trials and self.state.live_runs(target.life):
                continue
            used = self.state.used[target.life].copy()
            room = Room(
                target,
                used,
                filled_millis=self.state.filling[target.life],
                paced=target.life in self.paced,
                leaving=target.life in self.leaving,
            )
            self.rooms.setdefault(target.pool, []).append(room)

    def team_tally(self, team: str) -> Tally:
        """Return what a team has running, with the starts planned so far."""
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


def ready_steps(view: PlacingView) -> list[tuple[StepId, StepRecord]]:
    """Return the steps with idle tasks, the most urgent first."""
    ready = []
    for name, steps in view.state.open_steps.items():
        if not steps:
            continue
        queue = view.state.queue_named(name)
        if queue.pool not in view.rooms:
            continue
        for step_id, step in steps.items():
            if step.idle:
                ready.append((rank_of(view, queue, step_id), step_id, step))
    ready.sort(key=lambda one: one[0])
    return [(step_id, step) for _, step_id, step in ready]


def rank_of(view: PlacingView, queue: Queue, step_id: StepId) -> tuple:
    """Return the rank of a step; lower ones go first."""
    job = view.state.jobs[step_id.job_id]
    if job.spec.steps[step_id.step].long_running:
        return (Group.LASTING, queue.priority, job.submitted_ms)
    key = step_id[:2]
    times = view.times.get(key)
    if times is None:
        begin_ms = begin_of(job, step_id.occurrence)
        times = times_of(view.state, view.durations, job, begin_ms, view.order)
        view.times[key] = times
    group = group_of(times, step_id.step, view.now_ms, view.order)
    end_ms = times.due_ms if group == Group.IN_TIME else times.last_ms
    return (group, queue.priority, end_ms - times.left_ms[step_id.step])


def place_step(
    view: PlacingView, job: JobRecord, step_id: StepId, step: StepRecord
) -> list[StartRun]:
    """Return the runs of one step to start now."""
    spec = job.spec.steps[step_id.step]
    rooms = permitted_rooms(view, job, step_id)
    if spec.gang:
        return place_gang(view, job, step_id, step, rooms)
    starts = []
    taken = taken_by_life(step)
    for index in list(step.idle):
        if not within_limit(view, job.team, spec.size):
            break
        avoid = step.tasks[index].avoid
        room = choose_room(rooms, spec, taken, avoid, view.trials)
        if room is None:
            break
        starts.append(book(view, job, step_id, step, index, room))
        taken[room.target.life] += 1
    return starts


def labelled_rooms(view: PlacingView, job: JobRecord, spec: StepSpec) -> list[Room]:
    """Return the targets of a job's pool with the label that a step requires."""
    return [
        room
        for room in view.rooms.get(view.state.queue_of(job).pool, ())
        if not spec.required_label or spec.required_label in room.target.labels
    ]


def permitted_rooms(view: PlacingView, job: JobRecord, step_id: StepId) -> list[Room]:
    """Return the targets on which a step may run."""
    rooms = labelled_rooms(view, job, job.spec.steps[step_id.step])
    if view.tickets is None or view.state.queue_of(job).advice is None:
        return rooms
    return [
        room
        for room in rooms
        if view.tickets.text(step_id, room.target.life, view.log_ms)
    ]


def rooms_with_space(
    view: PlacingView, job: JobRecord, step_id: StepId, step: StepRecord
) -> list[Room]:
    """Return where a step has room, whether or not it may run there, widest first."""
    spec = job.spec.steps[step_id.step]
    taken = taken_by_life(step)
    rooms = [
        room
        for room in labelled_rooms(view, job, spec)
        if room.used.fits(spec.reserved, room.target.capacity)
        and not room.closed
        and not (spec.max_per_target and taken[room.target.life] >= spec.max_per_target)
    ]
    return sorted(rooms, key=lambda room: room.used.cpu_millis)


def has_room_elsewhere(view: PlacingView, task_id: TaskId) -> bool:
    """Return whether a task that runs could be started on one of the targets."""
    job = view.state.jobs[task_id.job_id]
    spec = job.spec.steps[task_id.step]
    step = view.state.step(task_id.step_id)
    rooms = permitted_rooms(view, job, task_id.step_id)
    return choose_room(rooms, spec, taken_by_life(step), "") is not None


def taken_by_life(step: StepRecord) -> Counter[str]:
    """Return how many live runs of a step each life has."""
    return Counter(life for task in step.tasks for life in task.live.values())


def within_limit(view: PlacingView, team: str, size: Size) -> bool:
    """Return whether a team may have so much more running."""
    config = view.state.configuration.teams_by_name.get(team)
    if not team or config is None:
        return True
    used, limit = view.team_tally(team), config.upper_limit
    if not (used.cpu_millis or used.memory_mb or used.accelerators):
        return True  # the limit allows for one task more, or it would never run
    return not (
        (limit.cpu_millis and used.cpu_millis + size.cpu_millis > limit.cpu_millis)
        or (limit.memory_mb and used.memory_mb + size.memory_mb > limit.memory_mb)
        or (
            limit.accelerators
            and used.accelerators + size.accelerators > limit.accelerators
        )
    )


def choose_room(
    rooms: Sequence[Room],
    spec: StepSpec,
    taken: Counter[str],
    avoid: str,
    trials: frozenset[str] = frozenset(),
) -> Room | None:
    """
    Return where a task runs best, None if there is no room.

    Lasting tasks are spread over racks and hosts, so that a lost one takes few of a
    step, and are kept off hosts that they would have to leave soon; others are packed,
    so that hosts without work can leave the pool.
    """
    best, best_rank = None, None
    size, most = spec.reserved, spec.max_per_target
    racks: Counter[str] = Counter()
    if spec.long_running:
        for room in rooms:
            racks[room.target.rack] += taken[room.target.life]
    for room in rooms:
        target = room.target
        if not room.used.fits(size, target.capacity) or room.closed:
            continue
        if most and taken[target.life] >= most:
            continue
        rank = (
            target.life == avoid,
            target.life in trials,
            racks[target.rack],
            room.leaving if spec.long_running else False,
            taken[target.life] if spec.long_running else 0,
            bool(spec.data_rack) and target.rack != spec.data_rack,
            filler_rank(room) if spec.filler else -busy_share(room),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = room, rank
    return best


def busy_share(room: Room) -> float:
    """Return how much of a target's processors is reserved."""
    return room.used.cpu_millis / max(1, room.target.capacity.cpu_millis)


def filler_rank(room: Room) -> float:
    """Rank targets for a filler: where most is left over, and others are not harmed."""
    filled = room.filled_millis / max(1, room.target.capacity.cpu_millis)
    return busy_share(room) + filled + 2.0 * room.paced


def place_gang(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    rooms: Sequence[Room],
) -> list[StartRun]:
    """Return the starts of a whole gang, or none."""
    spec = job.spec.steps[step_id.step]
    if len(step.idle) < spec.count:
        return []
    if not within_limit(view, job.team, spec.size.times(spec.count)):
        return []
    team = view.state.configuration.teams_by_name.get(job.team)
    if team is not None and beyond_limit(spec, team.upper_limit):
        return []
    for group in rack_groups(rooms, spec):
        chosen = fill_group(group, spec)
        if chosen is not None:
            run = max(task.run for task in step.tasks) + 1
            return [
                book(view, job, step_id, step, index, room, run)
                for index, room in enumerate(chosen)
            ]
    return []


def rack_groups(rooms: Sequence[Room], spec: StepSpec) -> list[list[Room]]:
    """Return the sets of targets that a gang may be placed on, the best first."""
    groups: list[list[Room]] = []
    if spec.tightly_coupled or spec.data_rack:
        racks: dict[str, list[Room]] = {}
        for room in rooms:
            racks.setdefault(room.target.rack, []).append(room)
        names = sorted(racks, key=lambda name: (name != spec.data_rack, name))
        groups = [racks[name] for name in names]
    return [*groups, list(rooms)]


def fill_group(rooms: Sequence[Room], spec: StepSpec) -> list[Room] | None:
    """Return a place for each member of a gang, None if not all fit."""
    trial = [Room(room.target, room.used.copy()) for room in rooms]
    by_life = {room.target.life: room for room in rooms}
    taken: Counter[str] = Counter()
    chosen = []
    for _ in range(spec.count):
        room = choose_room(trial, spec, taken, "")
        if room is None:
            return None
        room.used.add(spec.reserved)
        taken[room.target.life] += 1
        chosen.append(by_life[room.target.life])
    return chosen


def book(
    view: PlacingView,
    job: JobRecord,
    step_id: StepId,
    step: StepRecord,
    index: int,
    room: Room,
    run: int | None = None,
) -> StartRun:
    """Count a start, and return it."""
    spec = job.spec.steps[step_id.step]
    room.used.add(spec.reserved)
    if spec.filler:
        room.filled_millis += spec.size.cpu_millis
    room.closed = room.target.life in view.trials
    if job.team:
        view.team_tally(job.team).add(spec.size)
    run = step.tasks[index].run + 1 if run is None else run
    return StartRun(*step_id, index, run, room.target.life)
