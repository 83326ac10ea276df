"""
mulberryledge_testing.upkeep.fakes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fakes for the ports of the leader's tasks: clock, log and platform.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Coroutine
from itertools import count

from result import Err
from twisted.internet.defer import Deferred

from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_daemon.ports import AppliedEvent, RebootState

__all__ = ["FakeClock", "FakeCluster", "FakeLog", "FakePlatform", "run_now"]


class FakeClock:
    """Virtual time in milliseconds, with scheduled calls."""

    def __init__(self, now_ms: int):
        self.now_ms = now_ms
        self.event_numbers = count()
        self.due: list[tuple[int, int, Callable[[], None]]] = []

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_ms / 1_000

    def later(self, delay_ms: int, run: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(
            self.due, (self.now_ms + int(delay_ms), next(self.event_numbers), run)
        )

    def advance(self, step_ms: int) -> None:
        """Advance the time and run the calls that are due, in order."""
        end_ms = self.now_ms + step_ms
        while self.due and self.due[0][0] <= end_ms:
            at_ms, _, run = heapq.heappop(self.due)
            self.now_ms = max(self.now_ms, at_ms)
            run()
        self.now_ms = end_ms


class FakeCluster:
    """One replicated state, shared by the logs of several daemons."""

    def __init__(self, clock: FakeClock):
        self.clock = clock
        self.state = ClusterState()
        self.listeners: list[Callable[[AppliedEvent], None]] = []
        self.refusals: Counter[str] = Counter()

    def apply(self, command: object) -> ApplyResult:
        """Apply a command at once and notify the listeners."""
        context = Context(self.state.applied_index + 1, self.clock.now_ms)
        outcome = apply(self.state, command, context)
        if isinstance(outcome, Err):
            self.refusals[outcome.err_value.code] += 1
        event = AppliedEvent(context.index, command, outcome)
        for listener in self.listeners:
            listener(event)
        return outcome


class FakeLog:
    """
    The log as one daemon sees it.

    Attributes
    ----------
    leading, connected : bool
        Whether the daemon considers itself the leader, and whether its proposals
        reach the cluster.
    """

    def __init__(self, cluster: FakeCluster, session: str):
        self.cluster = cluster
        self.state = cluster.state
        self.session = session
        self.leading = True
        self.connected = True

    async def propose(self, command: object) -> ApplyResult:
        """Apply a command, or drop it while disconnected."""
        if not self.connected:
            return Err(Refusal(Code.NO_LEADER, "no answer"))
        return self.cluster.apply(command)

    def is_leader(self) -> bool:
        """Return whether the daemon considers itself the leader."""
        return self.leading

    def time_ms(self) -> int:
        """Return the log time."""
        return max(self.state.now_ms, self.cluster.clock.now_ms)

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Call the listener after each applied command."""
        self.cluster.listeners.append(listener)


class FakePlatform:
    """
    Reboots hosts, once a permit; requests and answers may be lost.

    Attributes
    ----------
    requests : Counter of str
        Requests by permit, including resends.
    carried_out : list of str
        Permits in the order in which their reboots started.
    lose_request, lose_answer : callable
        Return whether the next request or answer is lost.
    """

    def __init__(self, start_reboot: Callable[[str, str], None]):
        self.is_configured = True
        self.start_reboot = start_reboot
        self.requests: Counter[str] = Counter()
        self.states: dict[str, RebootState] = {}
        self.carried_out: list[str] = []
        self.lose_request: Callable[[], bool] = lambda: False
        self.lose_answer: Callable[[], bool] = lambda: False

    async def reboot(self, host: str, permit_id: str) -> RebootState:
        """Start the reboot of a permit, or return the state of an earlier start."""
        self.requests[permit_id] += 1
        if self.lose_request():
            return RebootState.UNREACHABLE
        if permit_id not in self.states:
            self.states[permit_id] = RebootState.REBOOTING
            self.carried_out.append(permit_id)
            self.start_reboot(host, permit_id)
        if self.lose_answer():
            return RebootState.UNREACHABLE
        return self.states[permit_id]

    async def reboot_state(self, host: str, permit_id: str) -> RebootState:
        """Return the state of a reboot."""
        return self.states.get(permit_id, RebootState.PENDING)


def run_now(coroutine: Coroutine) -> object:
    """Run a coroutine that never suspends, and return its result."""
    done: list[object] = []
    failed: list[object] = []
    Deferred.fromCoroutine(coroutine).addCallbacks(done.append, failed.append)
    if failed:
        failed[0].raiseException()
    assert done, "the coroutine is suspended"
    return done[0]
