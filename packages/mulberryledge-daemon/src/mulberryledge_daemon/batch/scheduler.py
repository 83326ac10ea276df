"""
mulberryledge_daemon.batch.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's scheduler: takes over leadership, plans starts, and sends them to
targets as orders once they are durable.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from random import Random

from twisted.internet.task import LoopingCall

from mulberryledge_core.batch.admission import occurrences_to_open
from mulberryledge_core.batch.commands import (
    CancelJob,
    EndIncarnation,
    EndRun,
    RecordTarget,
    RemoveJobs,
    StartRun,
)
from mulberryledge_core.batch.demand import DurationEstimates
from mulberryledge_core.batch.machine import conflicting_incarnations
from mulberryledge_core.batch.placing import (
    PlacingView,
    plan_starts,
    pools_with_idle_tasks,
)
from mulberryledge_core.batch.specs import StepId, TaskId
from mulberryledge_core.batch.state import BatchState, RunKey
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.batch.tickets import Tickets
from mulberryledge_daemon.batch.ports import TargetOrders
from mulberryledge_daemon.batch.scheduling_cycles import SchedulingCycles
from mulberryledge_daemon.batch.sessions import SessionTiming, TargetSession
from mulberryledge_daemon.log.replicated import ReplicatedLog

__all__ = ["Scheduler"]

TICK_S = 0.05  # bounds the delay of a due occurrence or a takeover
REMOVAL_INTERVAL_MS = 5_000
REPORT_INTERVAL_MS = 1_000  # between two log lines on the load
IDLE_CHECK_INTERVAL_MS = 250  # between two checks for targets that announce nothing
LEASE_MARGIN_MS = 300  # covers a clock rate difference of 2% and call latency

logger = logging.getLogger(__name__)


class Scheduler:
    """
    Owns the sessions with targets while this daemon leads.

    Attributes
    ----------
    term : int or None
        Term in which this daemon leads, None while it does not.
    takeovers : int
        How often it has taken over, which may be more than once in a term.
    fence : int
        Fencing token of the orders; it is the term.
    retention_ms : int
        How long the record of an ended job is kept.
    term_start_ms : int
        When this daemon took over leadership.
    fenced_term : int
        Latest term that ended because another leader's orders were seen.
    start_deadlines_ms : dict of str to int
        By incarnation: latest deadline of the starts that it was ordered, on its clock,
        when this daemon last stepped down, in ``orders_term``.
    stops_ms : dict of RunKey to int
        When the last stop of a run was sent in that term.
    orders_term : int
        Term of these orders; a target obeys them as long as it sees no higher one.
    end_seen_ms : dict of str to int
        When this leader has first seen that a job had ended, by job.
    takeover_callbacks : list of callable
        Called when this daemon takes over leadership: earlier knowledge is stale.
    tick_callbacks : list of callable
        Called on each tick while this daemon leads.
    cordons : list of set of str
        Sets of hosts on which nothing is started, one for each task that empties
        hosts.
    commit_callbacks : list of callable
        Called with the changes of each committed change set.
    host_requests : list of callable
        Each returns, by pool, how many more hosts it needs, apart from its load.
    durations : DurationEstimates
        Durations of tasks, learned from the runs that end.
    failed_on : dict of str to set of str
        By job: incarnations of targets on which runs of it have failed.
    step_durations : dict of StepId to dict
        By step: how long a task took, in milliseconds, by incarnation of the target.
    tickets : Tickets or None
        Answers of the placement advisor, None without an advisor.
    """

    def __init__(
        self,
        reactor,
        log: ReplicatedLog,
        orders: TargetOrders,
        timing: SessionTiming,
        retention_ms: int,
        remote_factor: float,
        wall_ms: Callable[[], int],
        random: Random,
    ):
        self.reactor = reactor
        self.log = log
        self.state: BatchState = log.state
        self.orders = orders
        self.timing = timing
        self.retention_ms = retention_ms
        self.remote_factor = remote_factor
        self.wall_ms = wall_ms
        self.random = random
        self.cycles = SchedulingCycles(
            reactor, log.propose, self.plan, self.on_committed
        )
        self.sessions: dict[str, TargetSession] = {}
        self.term: int | None = None
        self.takeovers = 0
        self.term_start_ms = 0
        self.fenced_term = 0
        self.start_deadlines_ms: dict[str, int] = {}
        self.stops_ms: dict[RunKey, int] = {}
        self.orders_term = 0
        self.last_removal_ms = 0
        self.end_seen_ms: dict[str, int] = {}
        self.last_report_ms = 0
        self.last_idle_check_ms = 0
        self.takeover_callbacks: list[Callable[[], None]] = []
        self.tick_callbacks: list[Callable[[], None]] = []
        self.cordons: list[set[str]] = []
        self.host_requests: list[Callable[[], Counter[str]]] = []
        self.commit_callbacks: list[Callable[[tuple[object, ...]], None]] = []
        self.durations = DurationEstimates()
        self.failed_on: dict[str, set[str]] = defaultdict(set)
        self.step_durations: dict[StepId, dict[str, float]] = defaultdict(dict)
        self.tickets: Tickets | None = None
        self.loop = LoopingCall(run_isolated, self.tick)  # an error would end it
        self.loop.clock = reactor

    @property
    def fence(self) -> int:
        """Fencing token of this leader's orders."""
        return self.term or 0

    def start(self) -> None:
        """Start the periodic check for leadership."""
        self.loop.start(TICK_S)

    def stop(self) -> None:
        """Stop the check, and step down."""
        if self.loop.running:
            self.loop.stop()
        self.step_down()

    def now(self) -> int:
        """Return milliseconds of the log's clock."""
        return self.log.now()

    def may_order(self) -> bool:
        """Return whether this daemon leads and no other can lead yet."""
        return self.term is not None and self.log.is_leader()

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule a call that is dropped if leadership is lost first."""
        takeovers = self.takeovers

        def call() -> None:
            if self.term is not None and self.takeovers == takeovers:
                action()

        self.reactor.callLater(delay_s, call)

    def tick(self) -> None:
        """Take over or step down, and run the periodic work."""
        leads = self.log.is_leader() and self.log.term > self.fenced_term
        if self.term is not None and (not leads or self.log.term != self.term):
            self.step_down()
        if leads and self.term is None:
            self.take_over()
        if self.term is None:
            return
        if self.sessions.keys() != self.state.targets.keys():
            self.sync_sessions()  # a change set whose outcome was lost may be applied
        now = self.now()
        if now - self.last_idle_check_ms >= IDLE_CHECK_INTERVAL_MS:
            self.last_idle_check_ms = now
            for session in self.sessions.values():
                session.check_idle(now)
        for callback in self.tick_callbacks:
            run_isolated(callback)
        if now - self.last_report_ms >= REPORT_INTERVAL_MS:
            self.last_report_ms = now
            self.log_load()
        self.cycles.wake()

    def log_load(self) -> None:
        """Log the usage of the pools and the lengths of the queues."""
        pools, now = {}, self.now()
        for session in self.sessions.values():
            target = session.target
            used, total = self.state.used[session.incarnation], target.capacity
            row = pools.setdefault(target.pool, [0, 0, 0, 0, 0, 0])
            row[0] += session.usable(now) and not self.is_cordoned(target.host)
            row[1] += 1
            row[2] += used.cpu_millis // 1_000
            row[3] += total.cpu_millis // 1_000
            row[4] += used.memory_mb // 1_024
            row[5] += total.memory_mb // 1_024
        queues = {
            name: [len(steps), sum(len(step.idle) for step in steps.values())]
            for name, steps in self.state.open_steps.items()
            if steps
        }
        logger.info("pools", extra={"pools": pools, "queues": queues})

    def take_over(self) -> None:
        """Open a session with each target to learn its runs, and start to plan."""
        self.term, self.term_start_ms = self.log.term, self.now()
        self.takeovers += 1
        lease_end_ms = self.now() + self.timing.lease_ms + LEASE_MARGIN_MS
        if self.term != self.orders_term:
            self.start_deadlines_ms.clear()
            self.stops_ms.clear()
        for target in self.state.targets.values():
            self.open_session(target, lease_end_ms)
        extra = {"term": self.term, "targets": len(self.sessions)}
        logger.info("scheduling begins", extra=extra)
        for callback in self.takeover_callbacks:
            run_isolated(callback)
        self.cycles.start(self.term)

    def step_down(self) -> None:
        """Close all sessions, and propose no more changes."""
        if self.term is None:
            return
        logger.info("scheduling ends", extra={"term": self.term})
        self.orders_term = self.term
        self.term = None
        for incarnation, session in self.sessions.items():
            self.start_deadlines_ms[incarnation] = session.max_deadline_ms
            self.stops_ms |= session.last_stops_ms()
            session.close()
        self.sessions.clear()
        self.failed_on.clear()
        self.step_durations.clear()
        self.end_seen_ms.clear()
        for cordon in self.cordons:
            cordon.clear()
        self.cycles.stop()

    def on_fenced(self, target: Target) -> None:
        """Step down: a target has seen another leader's orders."""
        self.fenced_off(target.incarnation)

    def fenced_off(self, place: str) -> None:
        """Step down: another leader has sent orders to a target or for a host."""
        if self.term is not None:
            extra = {"place": place, "term": self.term}
            logger.warning("fenced off", extra=extra)
            self.fenced_term = self.term
            self.step_down()

    def may_order_cloud(self, handover_ms: int) -> bool:
        """
        Return whether orders by the previous leader can no longer be in effect.

        A leader that was lost sends no more; one that still answers may have sent
        some just before this daemon took over.

        Parameters
        ----------
        handover_ms : int
            Time after which another daemon may send orders for the same host.
        """
        if not self.log.previous_leader_follows():
            return True
        return self.now() - self.term_start_ms >= handover_ms

    def open_session(self, target: Target, lease_end_ms: int) -> None:
        """Open a session with a target."""
        deadline_ms = self.start_deadlines_ms.get(target.incarnation, -1)
        session = TargetSession(
            target, self, self.timing, lease_end_ms, deadline_ms, self.stops_ms
        )
        self.sessions[target.incarnation] = session
        session.wake()

    def sync_sessions(self) -> None:
        """Open and close sessions as targets come and go."""
        for incarnation, target in self.state.targets.items():
            session = self.sessions.get(incarnation)
            if session is None:
                self.open_session(target, self.now())
            else:
                session.target = target
        gone = [
            incarnation
            for incarnation in self.sessions
            if incarnation not in self.state.targets
        ]
        for incarnation in gone:
            session = self.sessions.pop(incarnation)
            session.close()
            session.log_end()

    def plan(self, waiting: tuple[object, ...]) -> list[object]:
        """
        Return the changes that the committed state requires.

        Parameters
        ----------
        waiting : tuple
            Changes that precede them in the same change set.
        """
        changes: list[object] = list(
            occurrences_to_open(self.state.scheduled.values(), self.wall_ms())
        )
        pools = pools_with_idle_tasks(self.state)
        if pools:
            ending = self.ending_incarnations(waiting)
            changes += plan_starts(self.view(pools, ending))
        changes += self.removals()
        return changes

    def ending_incarnations(self, changes: tuple[object, ...]) -> set[str]:
        """Return the incarnations that some changes end: nothing may start there."""
        ending = {
            change.incarnation
            for change in changes
            if isinstance(change, EndIncarnation)
        }
        for change in changes:
            if isinstance(change, RecordTarget):
                ending.update(conflicting_incarnations(self.state, change.target))
        return ending

    def view(
        self,
        pools: Collection[str],
        excluded: frozenset[str] | set[str] = frozenset(),
        ignored_cordon: set[str] | None = None,
    ) -> PlacingView:
        """
        Return the input for planning starts in pools.

        Parameters
        ----------
        excluded : set of str
            Incarnations without which it is planned.
        ignored_cordon : set of str or None
            Cordon whose hosts may get starts.
        """
        now = self.now()
        cordons = [one for one in self.cordons if one is not ignored_cordon]
        cordoned = set().union(*cordons)
        usable = [
            one.target
            for one in self.sessions.values()
            if one.target.pool in pools
            and one.usable(now)
            and not one.awaits_trial(now)
            and one.target.host not in cordoned
            and one.incarnation in self.state.targets
            and one.incarnation not in excluded
        ]
        trials = frozenset(
            one.incarnation for one in self.sessions.values() if one.health.on_trial
        )
        return PlacingView(
            self.state,
            usable,
            self.wall_ms(),
            self.durations,
            trials=trials,
            tickets=self.tickets,
            log_ms=now,
            throttled=frozenset(
                one.incarnation for one in self.sessions.values() if one.throttled
            ),
            leaving=self.leaving_incarnations(),
        )

    def leaving_incarnations(self) -> frozenset[str]:
        """Return the incarnations on hosts whose upkeep is due."""
        incarnations = self.state.incarnations_by_host
        return frozenset(
            incarnations[host]
            for wave in self.state.waves.values()
            if not wave.completed
            for host, upkeep in wave.hosts.items()
            if host in incarnations and not (upkeep.may_be_down or upkeep.finished)
        )

    def cordon(self) -> set[str]:
        """Return a new set of hosts on which nothing is started."""
        cordon: set[str] = set()
        self.cordons.append(cordon)
        return cordon

    def is_cordoned(self, host: str, ignored: set[str] | None = None) -> bool:
        """Return whether a host is in one of the cordons, ignoring the given one."""
        return any(host in cordon for cordon in self.cordons if cordon is not ignored)

    def in_upkeep(self, host: str) -> bool:
        """Return whether a host may be down for its upkeep."""
        return any(
            wave.hosts[host].may_be_down
            for wave in self.state.waves.values()
            if host in wave.hosts
        )

    def evacuate(self, key: RunKey) -> None:
        """Stop a long-running task so that it starts on another target."""
        incarnation = self.state.task(key[0]).live.get(key[1])
        session = self.sessions.get(incarnation)
        if session is not None and not session.is_stopping(key):
            extra = {"job": key[0].job_id, "task": key[0][1:], "target": incarnation}
            logger.info("evacuated", extra=extra)
            session.stop(key)

    def removals(self) -> list[object]:
        """
        Return the change that removes jobs past their retention time.

        It is measured on this daemon's monotonic clock since the leader has first seen
        the end: log time follows the time of day, which may jump ahead.
        """
        now = self.now()
        if now - self.last_removal_ms < REMOVAL_INTERVAL_MS:
            return []
        self.last_removal_ms = now
        self.end_seen_ms = {
            job.job_id: self.end_seen_ms.get(job.job_id, now)
            for job in self.state.jobs.values()
            if job.ended and not job.occurrences
        }
        expired = tuple(
            job_id
            for job_id, seen_ms in self.end_seen_ms.items()
            if now - seen_ms > self.retention_ms
        )
        for job_id in [one for one in self.failed_on if one not in self.state.jobs]:
            del self.failed_on[job_id]
        for step_id in [one for one in self.step_durations if self.has_ended(one)]:
            del self.step_durations[step_id]
        return [RemoveJobs(expired)] if expired else []

    def on_committed(self, changes: tuple[object, ...]) -> None:
        """Send the orders that committed changes require."""
        for callback in self.commit_callbacks:
            run_isolated(callback, changes)
        kinds = {type(change) for change in changes}
        if kinds - {StartRun, EndRun, CancelJob}:
            self.sync_sessions()
        for change in changes:
            if isinstance(change, StartRun):
                self.order_start(change)
        if CancelJob in kinds or EndRun in kinds:
            self.stop_unwanted()

    def order_start(self, change: StartRun) -> None:
        """Send a durable start to its target."""
        session = self.sessions.get(change.incarnation)
        task_id = TaskId(change.job_id, change.occurrence, change.step, change.index)
        task = self.state.task(task_id)
        if session is None or task is None:
            return
        if task.live.get(change.run) != change.incarnation:
            extra = {"job": change.job_id, "task": task_id[1:], "run": change.run}
            extra |= {"target": change.incarnation}
            extra |= {"recorded": task.live.get(change.run, "")}
            logger.info("start was not recorded", extra=extra)
            return
        job = self.state.jobs[change.job_id]
        ticket = ""
        if self.tickets is not None:
            ticket = self.tickets.text(task_id.step_id, change.incarnation, self.now())
        checkpoint = self.state.resumed_checkpoint(task_id)
        session.start(task_id, change.run, job.spec.body, checkpoint, ticket)

    def stop_unwanted(self) -> None:
        """Stop the runs that are no longer wanted."""
        for incarnation in set(self.state.unwanted_runs.values()):
            session = self.sessions.get(incarnation)
            if session is not None:
                session.stop_unwanted()

    def ticket_refused(self, session: TargetSession, task_id: TaskId) -> None:
        """Discard a ticket that a target has refused."""
        if self.tickets is not None:
            self.tickets.discard(task_id.step_id, session.incarnation)

    def run_done(self, key: RunKey, duration_ms: int) -> None:
        """Update the durations of a queue's tasks."""
        job = self.state.jobs.get(key[0].job_id)
        if job is None:
            return
        step = job.spec.steps[key[0].step]
        if not step.long_running and not step.filler:
            self.durations.learn(job.queue, step.estimated_ms, duration_ms)
            task = self.state.task(key[0])
            incarnation = None if task is None else task.live.get(key[1])
            if incarnation is not None:
                self.step_durations[key[0].step_id][incarnation] = duration_ms

    def has_ended(self, step_id: StepId) -> bool:
        """Return whether all tasks of a step are done, or its job has ended."""
        step = self.state.step(step_id)
        return step is None or not step.remaining

    def sibling_ms(self, step_id: StepId, incarnation: str) -> float | None:
        """Return the longest time that a task of a step took on other targets."""
        others = [
            duration_ms
            for other, duration_ms in self.step_durations.get(step_id, {}).items()
            if other != incarnation
        ]
        return max(others, default=None)

    def run_failed(self, session: TargetSession, task_id: TaskId) -> None:
        """Count a failed run against its target unless the job fails elsewhere too."""
        job = self.state.jobs.get(task_id.job_id)
        if job is None:
            return
        incarnations = self.failed_on[task_id.job_id]
        incarnations.add(session.incarnation)
        if session.health.on_failed(task_id.job_id, len(incarnations) > 1, self.now()):
            extra = {"target": session.incarnation, "strikes": session.health.strikes}
            logger.warning("target fails what it starts", extra=extra)

    def record_target(self, target: Target, clock_ms: int | None, sequence: int = 0):
        """
        Record the announcement of a target, unless a later one is known.

        Returns
        -------
        Deferred of CommitOutcome or None
            None if the announcement changes nothing.
        """
        incarnation = target.incarnation
        session = self.sessions.get(incarnation)
        outdated = self.state.is_outdated(incarnation, sequence)
        if outdated or (session is not None and sequence < session.sequence):
            logger.info("late announcement ignored", extra={"target": incarnation})
            return None
        if session is not None:
            session.sequence = sequence
            if self.state.targets.get(incarnation) == target:
                session.on_announced(target, clock_ms)
                return None
        return self.cycles.submit(RecordTarget(target, sequence))

    def record_leave(self, name: str, started_ms: int = 0):
        """
        Record that a target leaves, if the message is of its present incarnation.

        A message may arrive after the target has started again. It ends an incarnation
        that it names, or one that has announced that it drains; any other is called.

        Parameters
        ----------
        started_ms : int
            Start of the process that leaves, 0 if the message does not tell it.

        Returns
        -------
        Deferred of CommitOutcome or None
            None if the message changes nothing.
        """
        incarnation = self.state.incarnations_by_name.get(name, "")
        target = self.state.targets.get(incarnation)
        if target is None:
            return None
        extra = {"target": incarnation, "draining": target.draining}
        extra["started_ms"] = started_ms
        if started_ms not in (0, target.started_ms):
            logger.info("late leave ignored", extra=extra)
            return None
        logger.info("target leaves", extra=extra)
        if started_ms or target.draining:
            return self.cycles.submit(EndIncarnation(incarnation))
        session = self.sessions.get(incarnation)
        if session is not None:
            session.check_presence()
        return None


def run_isolated(callback: Callable[..., None], *arguments: object) -> None:
    """Call a task of the leader; an unexpected error there does not stop the others."""
    try:
        callback(*arguments)
    except Exception:
        name = getattr(callback, "__qualname__", repr(callback))
        logger.critical(
            "task of the leader failed", extra={"task": name}, exc_info=True
        )
