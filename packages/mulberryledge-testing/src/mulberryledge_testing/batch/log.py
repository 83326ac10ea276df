"""
mulberryledge_testing.batch.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulated replicated log in virtual time: one state, and daemons of which one leads.
Proposals of a former leader have no effect, as in the real log.
"""

from collections.abc import Callable

from result import Err
from twisted.internet.defer import Deferred

from mulberryledge_core.batch.commands import ChangeSet, StartRun
from mulberryledge_core.batch.machine import BatchMachine
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.tables import Context

__all__ = ["SimulatedLog", "SimulatedReplica"]

COMMIT_S = 0.012  # a sync of 9 ms and a round trip between zones
WALL_BASE_MS = 1_700_000_000_000


class SimulatedLog:
    """
    Owns the committed state and decides which daemon leads.

    Attributes
    ----------
    leader : str
        Name of the leading daemon, empty for none.
    void_starts : int
        Starts on incarnations that had ended when the start was applied.
    skew_ms : int
        Error of the wall clock.
    commit_s : float
        Delay from a proposal to its commit.
    """

    def __init__(self, clock):
        self.clock = clock
        self.machine = BatchMachine()
        self.index = 0
        self.term = 1
        self.leader = ""
        self.skew_ms = 0
        self.commit_s = COMMIT_S
        self.void_starts = 0
        self.frozen: set[str] = set()
        self.change_sets: list[ChangeSet] = []

    def now(self) -> int:
        """Return the daemons' monotonic clock, in milliseconds."""
        return int(self.clock.seconds() * 1_000)

    def wall_ms(self) -> int:
        """Return the wall clock, in milliseconds since the epoch."""
        return WALL_BASE_MS + self.now() + self.skew_ms

    def elect(self, name: str) -> None:
        """Make a daemon the leader, in a new term."""
        self.term += 1
        self.leader = name

    def apply(self, command: ChangeSet) -> object:
        """Append and apply a command, through its encoding."""
        self.index += 1
        data = self.machine.encode(command)
        context = Context(self.index, self.wall_ms(), self.term)
        self.change_sets.append(command)
        outcome = self.machine.apply(self.machine.decode(data), context)
        if command.term == self.term:
            self.void_starts += sum(
                isinstance(change, StartRun)
                and change.incarnation not in self.machine.state.targets
                for change in command.changes
            )
        return outcome


class SimulatedReplica:
    """One daemon's view of the log; implements the interface of ReplicatedLog."""

    def __init__(self, log: SimulatedLog, name: str):
        self.log = log
        self.name = name
        self.state = log.machine.state

    @property
    def term(self) -> int:
        """Return the term of the log."""
        return self.log.term

    def now(self) -> int:
        """Return the daemon's monotonic clock, in milliseconds."""
        return self.log.now()

    def is_leader(self) -> bool:
        """Return whether this daemon leads."""
        return self.log.leader == self.name and self.name not in self.log.frozen

    def previous_leader_follows(self) -> bool:
        """Return whether the previous leader follows this one now."""
        return False

    def serve(self, kind: type, handler: Callable) -> None:
        """Do nothing: tests call the handlers of requests directly."""

    def propose(self, command: ChangeSet) -> Deferred:
        """Propose a command; it is lost if there is no leader at commit."""
        done = Deferred()
        self.log.clock.callLater(self.log.commit_s, self.commit, command, done)
        return done

    def commit(self, command: ChangeSet, done: Deferred) -> None:
        """Commit a proposal, or refuse it if no daemon leads."""
        if not self.log.leader:
            refusal = Refusal(Code.NO_LEADER, "no leader")
            done.callback(Err(refusal))
            return
        done.callback(self.log.apply(command))
