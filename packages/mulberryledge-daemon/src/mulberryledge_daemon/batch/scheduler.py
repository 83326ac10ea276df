"""
mulberryledge_daemon.batch.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's scheduler: it takes the lead over, plans starts, and gives them as orders
once they are durable.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable
from random import Random

from twisted.internet.task import LoopingCall

from mulberryledge_core.batch.commands import (
    CancelJob,
    EndLife,
    EndRun,
    ForgetJobs,
    NoteTarget,
    OpenOccurrence,
    StartRun,
)
from mulberryledge_core.batch.demand import Durations
from mulberryledge_core.batch.machine import earlier_lives
from mulberryledge_core.batch.placing import PlacingView, plan_starts
from mulberryledge_core.batch.specs import TaskId
from mulberryledge_core.batch.state import BatchState, RunKey
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.batch.tickets import Tickets
from mulberryledge_daemon.batch.ports import TargetOrders
from mulberryledge_daemon.batch.rounds import Rounds
from mulberryledge_daemon.batch.sessions import SessionTiming, TargetSession
from mulberryledge_daemon.log.replicated import ReplicatedLog

__all__ = ["Scheduler"]

TICK_S = 0.05  # how late a due occurrence or a new lead may be noticed
FORGET_INTERVAL_MS = 5_000
REPORT_INTERVAL_MS = 1_000  # between two lines on the load
LEASE_MARGIN_MS = 300  # clocks may differ in rate by 2%, and calls take a while

logger = logging.getLogger(__name__)


class Scheduler:
    """
    Owns the sessions with targets while this daemon leads.

    Attributes
    ----------
    term : int or None
        Term in which this daemon leads, None while it does not.
    fence : int
        Fencing token of the orders; it is the term.
    beginnings : list of callable
        Called when this daemon takes the lead over: what was known before is stale.
    followers : list of callable
        Called on each tick while this daemon leads.
    cordons : list of set of str
        Sets of hosts on which nothing is started, one for each task that empties
        hosts.
    watchers : list of callable
        Called with the changes of each committed round.
    wishes : list of callable
        Each returns, by pool, how many hosts it lacks for reasons other than its load.
    durations : Durations
        How long tasks take, learned from the runs that end.
    failed_on : dict of str to set of str
        By job: lives of targets on which runs of it have failed.
    tickets : Tickets or None
        Answers of the placement advisor, None if there is none to ask.
    """

    def __init__(
        self,
        reactor,
        log: ReplicatedLog,
        orders: TargetOrders,
        timing: SessionTiming,
        kept_ms: int,
        remote_factor: float,
        wall_ms: Callable[[], int],
        random: Random,
    ):
        self.reactor = reactor
        self.log = log
        self.state: BatchState = log.state
        self.orders = orders
        self.timing = timing
        self.kept_ms = kept_ms
        self.remote_factor = remote_factor
        self.wall_ms = wall_ms
        self.random = random
        self.rounds = Rounds(reactor, log.propose, self.plan, self.on_committed)
        self.sessions: dict[str, TargetSession] = {}
        self.term: int | None = None
        self.since_ms = 0
        self.fenced_term = 0
        self.forgot_ms = 0
        self.reported_ms = 0
        self.beginnings: list[Callable[[], None]] = []
        self.followers: list[Callable[[], None]] = []
        self.cordons: list[set[str]] = []
        self.wishes: list[Callable[[], Counter[str]]] = []
        self.watchers: list[Callable[[tuple[object, ...]], None]] = []
        self.durations = Durations()
        self.failed_on: dict[str, set[str]] = defaultdict(set)
        self.tickets: Tickets | None = None
        self.loop = LoopingCall(self.tick)
        self.loop.clock = reactor

    @property
    def fence(self) -> int:
        """Fencing token of this leader's orders."""
        return self.term or 0

    def start(self) -> None:
        """Begin to watch who leads."""
        self.loop.start(TICK_S)

    def stop(self) -> None:
        """Give no more orders."""
        if self.loop.running:
            self.loop.stop()
        self.stand_down()

    def now(self) -> int:
        """Return milliseconds of the log's clock."""
        return self.log.now()

    def may_order(self) -> bool:
        """Return whether nobody else can lead yet."""
        return self.term is not None and self.log.is_leader()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later, unless the lead is lost before."""
        term = self.term

        def act() -> None:
            if self.term == term:
                action()

        self.reactor.callLater(delay_s, act)

    # Who leads.

    def tick(self) -> None:
        """Take over or stand down, and do what is due."""
        leads = self.log.is_leader() and self.log.term > self.fenced_term
        if self.term is not None and (not leads or self.log.term != self.term):
            self.stand_down()
        if leads and self.term is None:
            self.take_over()
        if self.term is None:
            return
        if self.sessions.keys() != self.state.targets.keys():
            self.follow_targets()  # a round may be applied though its outcome was lost
        for session in self.sessions.values():
            session.check_quiet()
        for follower in self.followers:
            follower()
        if self.now() - self.reported_ms >= REPORT_INTERVAL_MS:
            self.reported_ms = self.now()
            self.report()
        self.rounds.wake()

    def report(self) -> None:
        """Log how full the pools and how long the queues are."""
        pools = {}
        for session in self.sessions.values():
            target = session.target
            used, total = self.state.used[target.life], target.capacity
            row = pools.setdefault(target.pool, [0, 0, 0, 0, 0, 0])
            row[0] += session.usable() and not self.is_cordoned(target.host)
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
        """Learn from each target what runs there, and begin to plan."""
        self.term, self.since_ms = self.log.term, self.now()
        lapse_ms = self.now() + self.timing.lease_ms + LEASE_MARGIN_MS
        for target in self.state.targets.values():
            self.open_session(target, lapse_ms)
        extra = {"term": self.term, "targets": len(self.sessions)}
        logger.info("scheduling begins", extra=extra)
        for begin in self.beginnings:
            begin()
        self.rounds.begin(self.term)

    def stand_down(self) -> None:
        """Give no more orders."""
        if self.term is None:
            return
        logger.info("scheduling ends", extra={"term": self.term})
        self.term = None
        for session in self.sessions.values():
            session.close()
        self.sessions.clear()
        self.failed_on.clear()
        for cordon in self.cordons:
            cordon.clear()
        self.rounds.end()

    def on_fenced(self, target: Target) -> None:
        """Stand down: a target has seen another leader's orders."""
        self.fenced_off(target.life)

    def fenced_off(self, place: str) -> None:
        """Stand down: another leader has given orders at a target or a host."""
        if self.term is not None:
            extra = {"place": place, "term": self.term}
            logger.warning("fenced off", extra=extra)
            self.fenced_term = self.term
            self.stand_down()

    def may_order_cloud(self, holder_ms: int) -> bool:
        """
        Return whether the orders of another holder of the hosts are long over.

        A leader that was lost gives no more; one that follows us now may have given
        some a moment ago.
        """
        if not self.log.predecessor_answers():
            return True
        return self.now() - self.since_ms >= holder_ms

    # Targets.

    def open_session(self, target: Target, lapse_ms: int) -> None:
        """Begin to deal with a target."""
        session = TargetSession(target, self, self.timing, lapse_ms)
        self.sessions[target.life] = session
        session.wake()

    def follow_targets(self) -> None:
        """Open and close sessions as targets come and go."""
        for life, target in self.state.targets.items():
            session = self.sessions.get(life)
            if session is None:
                self.open_session(target, self.now())
            else:
                session.target = target
        gone = [life for life in self.sessions if life not in self.state.targets]
        for life in gone:
            self.sessions.pop(life).close()

    # Rounds.

    def plan(self, waiting: tuple[object, ...]) -> list[object]:
        """
        Return the changes that the committed state calls for.

        Parameters
        ----------
        waiting : tuple
            Changes that are made before, in the same round.
        """
        changes: list[object] = self.due_occurrences()
        changes += plan_starts(self.view(self.ending_lives(waiting)))
        changes += self.forgettable()
        return changes

    def ending_lives(self, changes: tuple[object, ...]) -> set[str]:
        """Return the lives that are over with some changes: nothing starts there."""
        ending = {change.life for change in changes if isinstance(change, EndLife)}
        for change in changes:
            if isinstance(change, NoteTarget):
                ending.update(earlier_lives(self.state, change.target))
        return ending

    def view(self, without: frozenset[str] | set[str] = frozenset()) -> PlacingView:
        """Return what starts are planned from, without some lives of targets."""
        usable = [
            one.target
            for one in self.sessions.values()
            if one.usable()
            and one.life in self.state.targets
            and one.life not in without
            and not self.is_cordoned(one.target.host)
        ]
        trials = frozenset(
            one.life for one in self.sessions.values() if one.health.on_trial
        )
        return PlacingView(
            self.state,
            usable,
            self.wall_ms(),
            self.durations,
            trials=trials,
            tickets=self.tickets,
            log_ms=self.now(),
            paced=frozenset(one.life for one in self.sessions.values() if one.paced),
            leaving=self.leaving_lives(),
        )

    def leaving_lives(self) -> frozenset[str]:
        """Return the lives on hosts whose upkeep is due."""
        lives = self.state.lives_by_host
        return frozenset(
            lives[host]
            for wave in self.state.waves.values()
            if not wave.completed
            for host, upkeep in wave.hosts.items()
            if host in lives and not (upkeep.away or upkeep.over)
        )

    def cordon(self) -> set[str]:
        """Return a new set of hosts on which nothing is started."""
        cordon: set[str] = set()
        self.cordons.append(cordon)
        return cordon

    def is_cordoned(self, host: str, but: set[str] | None = None) -> bool:
        """Return whether a host is in one of the sets, but for the one given."""
        return any(host in cordon for cordon in self.cordons if cordon is not but)

    def in_upkeep(self, host: str) -> bool:
        """Return whether a host may be down for its upkeep."""
        return any(
            wave.hosts[host].away
            for wave in self.state.waves.values()
            if host in wave.hosts
        )

    def evacuate(self, key: RunKey) -> None:
        """Stop a lasting run, so that it starts on another target."""
        life = self.state.task(key[0]).live.get(key[1])
        session = self.sessions.get(life)
        if session is not None and not session.stopping(key):
            extra = {"job": key[0].job_id, "task": key[0][1:], "target": life}
            logger.info("evacuated", extra=extra)
            session.stop(key)

    def due_occurrences(self) -> list[object]:
        """Return the occurrences whose time has come."""
        now = self.wall_ms()
        return [
            OpenOccurrence(job.job_id, job.next_occurrence)
            for job in self.state.scheduled.values()
            if job.spec.schedule.due_ms(job.next_occurrence) <= now
        ]

    def forgettable(self) -> list[object]:
        """Return what drops the jobs that nobody asks for any more."""
        now = self.state.now_ms
        if now - self.forgot_ms < FORGET_INTERVAL_MS:
            return []
        self.forgot_ms = now
        old = tuple(
            job.job_id
            for job in self.state.jobs.values()
            if job.ended and not job.occurrences and now - job.ended_ms > self.kept_ms
        )
        for job_id in [one for one in self.failed_on if one not in self.state.jobs]:
            del self.failed_on[job_id]
        return [ForgetJobs(old)] if old else []

    def on_committed(self, changes: tuple[object, ...]) -> None:
        """Give the orders that a durable round calls for."""
        for watcher in self.watchers:
            watcher(changes)
        kinds = {type(change) for change in changes}
        if kinds - {StartRun, EndRun, CancelJob}:
            self.follow_targets()
        for change in changes:
            if isinstance(change, StartRun):
                self.order_start(change)
        if CancelJob in kinds or EndRun in kinds:
            self.stop_unwanted()

    def order_start(self, change: StartRun) -> None:
        """Order a durable start."""
        session = self.sessions.get(change.life)
        task_id = TaskId(change.job_id, change.occurrence, change.step, change.index)
        task = self.state.task(task_id)
        if session is None or task is None or change.run not in task.live:
            return
        job = self.state.jobs[change.job_id]
        ticket = ""
        if self.tickets is not None:
            ticket = self.tickets.text(task_id.step_id, change.life, self.now())
        session.start(task_id, change.run, job.spec.body, task.checkpoint, ticket)

    def stop_unwanted(self) -> None:
        """Stop what must not run any more."""
        for life in set(self.state.unwanted_runs.values()):
            session = self.sessions.get(life)
            if session is not None:
                session.stop_unwanted()

    def ticket_refused(self, session: TargetSession, task_id: TaskId) -> None:
        """Forget a ticket that a target has refused."""
        if self.tickets is not None:
            self.tickets.drop(task_id.step_id, session.life)

    def run_done(self, key: RunKey, real_ms: int) -> None:
        """Learn how long the tasks of a queue run."""
        job = self.state.jobs.get(key[0].job_id)
        if job is None:
            return
        step = job.spec.steps[key[0].step]
        if not step.long_running and not step.filler:
            self.durations.learn(job.queue, step.estimated_ms, real_ms)

    def run_failed(self, session: TargetSession, task_id: TaskId) -> None:
        """Take a failed run against its target, unless the job fails anywhere."""
        job = self.state.jobs.get(task_id.job_id)
        if job is None:
            return
        places = self.failed_on[task_id.job_id]
        places.add(session.life)
        if session.health.on_failed(task_id.job_id, len(places) > 1, self.now()):
            extra = {"target": session.life, "strikes": session.health.strikes}
            logger.warning("target fails what it starts", extra=extra)

    def note_target(self, target: Target, clock_ms: int | None):
        """
        Take note of a target that announces itself.

        Returns
        -------
        Deferred of Committed or None
            None if nothing about it is new.
        """
        session = self.sessions.get(target.life)
        if session is not None and self.state.targets.get(target.life) == target:
            session.on_announced(target, clock_ms)
            return None
        return self.rounds.submit(NoteTarget(target))
