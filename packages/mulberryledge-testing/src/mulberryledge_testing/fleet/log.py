"""
mulberryledge_testing.fleet.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A log in memory that takes its time from a virtual clock.
"""

from collections.abc import Awaitable, Callable

from result import Err, Result

from mulberryledge_core.commands import Command
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_daemon.ports import AppliedEvent
from mulberryledge_testing.fleet.clock import ModelClock

__all__ = ["ModelLog"]

START_MS = 1_000_000


class ModelLog:
    """
    Implements the parts of ReplicatedLog and LeaderChannel that the tasks use.

    Attributes
    ----------
    leading : bool
        Whether this daemon leads.
    """

    def __init__(self, clock: ModelClock):
        self.clock = clock
        self.state = ClusterState()
        self.session = "session-1"
        self.leading = True
        self.listeners: list[Callable[[AppliedEvent], None]] = []
        self.handlers: dict[type, Callable] = {}

    async def propose(self, command: Command) -> ApplyResult:
        """Apply a command and notify the listeners."""
        context = Context(self.state.applied_index + 1, self.time_ms())
        outcome = apply(self.state, command, context)
        event = AppliedEvent(context.index, command, outcome)
        for listener in self.listeners:
            listener(event)
        return outcome

    def is_leader(self) -> bool:
        """Return whether this daemon leads."""
        return self.leading

    def is_fresh(self) -> bool:
        """Return True: the state is always that of the leader."""
        return True

    def time_ms(self) -> int:
        """Return the log time."""
        return max(self.state.now_ms, START_MS + int(self.clock.seconds() * 1_000))

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Call the listener after each applied command."""
        self.listeners.append(listener)

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Forward a request to the leader's tasks."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Err(Refusal(Code.NO_LEADER, f"nobody serves {message!r}"))
        return await handler(message)

    def serve(self, kind: type, handler: Callable[[object], Awaitable]) -> None:
        """Register the handler of a kind of request."""
        self.handlers[kind] = handler
