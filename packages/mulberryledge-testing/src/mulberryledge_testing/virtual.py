"""
mulberryledge_testing.virtual
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Several entries in virtual time: the daemons' own tasks on one shared log, with
targets that check every limit as they run the calls.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, LoopingCall, deferLater

from mulberryledge_core.commands import Command
from mulberryledge_core.model.jobs import Answer
from mulberryledge_core.model.targets import Target
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import ApplyResult, RunOutcome
from mulberryledge_daemon.entry.calls import Call, CallDispatcher, CallResult
from mulberryledge_daemon.entry.demand import DemandReporter
from mulberryledge_daemon.entry.health import TargetHealth
from mulberryledge_daemon.entry.loans import Loans
from mulberryledge_daemon.entry.queues import CallQueues
from mulberryledge_daemon.entry.reservations import Reservations
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.http.headers import Header
from mulberryledge_daemon.leader.loan_allocator import LoanAllocator
from mulberryledge_daemon.leader.sessions import SessionLeases
from mulberryledge_daemon.ports import CallRequest, DispatchOutcome
from mulberryledge_testing.views import LogView, SharedLog

__all__ = ["SlowView", "VirtualEntry", "VirtualFleet", "VirtualTargets"]

LATENCY_S = 0.004  # of a proposal or a request to the leader
HOP_S = 0.0015
TICK_S = 0.1
START_S = 1_000.0
TEAM_HEADER = "X-Team"

Behave = Callable[[CallRequest], tuple[float, RunOutcome]]


class SlowView(LogView):
    """A view whose proposals and requests take time."""

    def __init__(self, clock: Clock, log: SharedLog, session: str, leads: bool):
        super().__init__(log, session, leads)
        self.clock = clock

    async def propose(self, command: Command) -> ApplyResult:
        """Propose after a while."""
        await deferLater(self.clock, LATENCY_S)
        return await super().propose(command)

    async def ask(self, message: object):
        """Ask after a while."""
        await deferLater(self.clock, LATENCY_S)
        return await super().ask(message)


@dataclass(slots=True)
class VirtualTargets:
    """
    Implements the port TargetClient without a network, and checks the limits.

    Attributes
    ----------
    behave : callable
        Returns how long a call runs, in seconds, and how it ends.
    limits : dict of str to int
        Upper limit of each team.
    runs : Counter of str
        Runs by request id.
    """

    clock: Clock
    behave: Behave
    limits: dict[str, int]
    runs: Counter = field(default_factory=Counter)
    running: Counter = field(default_factory=Counter)
    team_running: Counter = field(default_factory=Counter)
    tries: int = 0

    async def call(self, target: Target, request: CallRequest) -> DispatchOutcome:
        """Run a call."""
        self.tries += 1
        run_s, end = self.behave(request)
        await deferLater(self.clock, HOP_S)
        if end == RunOutcome.NOT_RUN:
            return DispatchOutcome(end, problem="no connection")
        team = next(h.value for h in request.headers if h.name == TEAM_HEADER)
        key = (target.name, target.generation)
        self.runs[request.request_id] += 1
        self.running[key] += 1
        self.team_running[team] += 1
        assert self.running[key] <= target.slots, f"{key} over its slots"
        limit = self.limits[team]
        assert self.team_running[team] <= limit, f"{team} over its upper limit"
        left_s = max(0.0, request.timeout_s - HOP_S)
        late = run_s >= left_s
        ended = deferLater(self.clock, min(run_s, left_s))
        ended.addCallback(lambda _: self.count_out(key, team))
        if end == RunOutcome.UNKNOWN and not late:
            await deferLater(self.clock, run_s / 2)
            return DispatchOutcome(
                end, problem="connection reset", target_finished=False
            )
        await ended
        if late:
            return DispatchOutcome(RunOutcome.UNKNOWN, problem="too late")
        return DispatchOutcome(RunOutcome.RAN, Answer(200, "text/plain", request.body))

    def count_out(self, key: tuple[str, int], team: str) -> None:
        """Count a call as ended."""
        self.running[key] -= 1
        self.team_running[team] -= 1

    async def close(self) -> None:
        """Do nothing."""


class VirtualEntry:
    """The tasks of one entry, and those of the leader on the first one."""

    def __init__(
        self,
        clock: Clock,
        log: SharedLog,
        number: int,
        client: VirtualTargets,
        random: Random,
        zone: str,
    ):
        name = f"entry-{number}"
        self.name = name
        self.clock = clock
        self.view = view = SlowView(clock, log, f"life-{number}", leads=number == 1)
        self.session = EntrySession(clock, view, name, view.session)
        self.loans = Loans(clock, view, self.session, TargetHealth(), zone)
        self.queues = CallQueues(clock, view, self.loans)
        self.demand = DemandReporter(
            clock, view, view, self.session, self.loans, self.queues
        )
        self.reservations = Reservations(clock, view, self.session)
        self.calls = CallDispatcher(
            clock, view, self.queues, self.reservations, client, random.random
        )
        self.sessions = SessionLeases(clock, view)
        self.loan_allocator = LoanAllocator(clock, view, view, self.sessions)
        self.loop = LoopingCall(lambda: Deferred.fromCoroutine(self.tick()))
        self.loop.clock = clock

    async def tick(self) -> None:
        """Run the periodic tasks."""
        await self.demand.tick()
        if self.view.is_leader():
            await self.sessions.tick()
            await self.loan_allocator.tick()

    async def start(self) -> None:
        """Open the session and start the periodic tasks."""
        await self.session.ensure_open()
        self.loop.start(TICK_S)


class VirtualFleet:
    """
    Entries, targets and callers in virtual time.

    Attributes
    ----------
    entries : tuple of VirtualEntry
        The first one leads.
    failures : list
        Failures of tasks that nobody awaits; a run with one has failed.
    """

    def __init__(self, entries: int, behave: Behave, limits: dict[str, int], seed: int):
        self.clock = Clock()
        self.clock.advance(START_S)
        self.log = SharedLog(self.clock.seconds)
        self.random = Random(seed)
        self.targets = VirtualTargets(self.clock, behave, limits)
        self.failures: list = []
        self.entries = tuple(
            VirtualEntry(
                self.clock, self.log, n, self.targets, self.random, f"z{(n - 1) % 4}"
            )
            for n in range(1, entries + 1)
        )

    def spawn(self, awaitable: Awaitable) -> Deferred:
        """Run a coroutine in virtual time; its failure fails the run."""
        running = Deferred.fromCoroutine(awaitable)
        running.addErrback(self.failures.append)
        return running

    def advance(self, seconds: float) -> None:
        """Let time pass from event to event; stop at the first failure."""
        until = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= until:
            self.clock.advance(
                max(0.0, self.clock.calls[0].getTime() - self.clock.seconds())
            )
            if self.failures:
                self.failures[0].raiseException()
        self.clock.advance(max(0.0, until - self.clock.seconds()))

    async def call(
        self,
        entry: VirtualEntry,
        key: TeamKey,
        service: str,
        request_id: str,
        idempotent: bool,
    ) -> CallResult:
        """Send one call through an entry."""
        body = request_id.encode()
        call = Call(
            request_id=request_id,
            service=service,
            method="POST",
            path="/",
            headers=(Header(TEAM_HEADER, key.team),),
            body=body,
            length=len(body),
            has_idempotency_key=idempotent,
        )
        outcome, _ = await entry.calls.run(key, call)
        return outcome
