"""
mulberryledge_testing.views
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Several in-process daemons on one log: each sees it through a view that can be cut
off, made stale, or made to lose proposals.
"""

import os
import time
from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget, CreatePool
from mulberryledge_core.commands.table import encode_command
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.documents import parse_document
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState, Context, apply
from mulberryledge_daemon.http.cluster import ClusterStatus
from mulberryledge_daemon.ports import AppliedEvent, InForceResult, ReplicatedLog

__all__ = ["LogView", "SharedLog", "set_up_service"]

NOT_APPLIED = "not-applied"
APPLIED = "applied"


class SharedLog:
    """
    A log in memory that applies each proposal at once.

    Attributes
    ----------
    bytes : int
        Encoded size of all proposals applied.
    """

    def __init__(self, now_s: Callable[[], float] = time.time):
        self.now_s = now_s
        self.bytes = 0
        self.state = ClusterState()
        self.listeners: list[Callable[[AppliedEvent], None]] = []
        self.handlers: dict[type, Callable] = {}

    def time_ms(self) -> int:
        """Return wall-clock time, never below an earlier log time."""
        return max(self.state.now_ms, int(1_000 * self.now_s()))

    async def propose(self, command: Command) -> ApplyResult:
        """Apply a command and announce it."""
        self.bytes += len(encode_command(command))
        context = Context(self.state.applied_index + 1, self.time_ms())
        outcome = apply(self.state, command, context)
        for listener in self.listeners:
            listener(AppliedEvent(context.index, command, outcome))
        return outcome

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Hand a request to the tasks of the daemon that leads."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Err(Refusal(Code.NO_LEADER, f"nobody serves {message!r}"))
        return await handler(message)


class LogView:
    """
    One daemon's view of a shared log; implements ReplicatedLog and LeaderChannel.

    Attributes
    ----------
    fresh : bool
        Whether the freshness lease holds.
    reachable : bool
        Whether proposals and requests get through.
    lose : dict of type to list of str
        For each kind of command, what becomes of the next proposals whose outcome
        is lost: ``not-applied`` or ``applied``.
    """

    def __init__(self, log: SharedLog, session: str, leads: bool):
        self.log = log
        self.session = session
        self.leads = leads
        self.fresh = True
        self.reachable = True
        self.lose: dict[type, list[str]] = {}
        self.proposed: Counter[str] = Counter()

    @property
    def state(self) -> ClusterState:
        """State of the shared log."""
        return self.log.state

    async def propose(self, command: Command) -> ApplyResult:
        """Propose to the shared log unless the proposal or its outcome is lost."""
        unknown = Err(Refusal(Code.NO_LEADER, "the outcome is lost"))
        if not self.reachable:
            return unknown
        fates = self.lose.get(type(command))
        fate = fates.pop(0) if fates else None
        if fate == NOT_APPLIED:
            return unknown
        self.proposed[type(command).__name__] += 1
        outcome = await self.log.propose(command)
        return unknown if fate == APPLIED else outcome

    def is_leader(self) -> bool:
        """Return whether this view's daemon leads."""
        return self.leads and self.reachable

    def is_fresh(self) -> bool:
        """Return whether the freshness lease holds."""
        return self.fresh

    def time_ms(self) -> int:
        """Return the time of the shared log."""
        return self.log.time_ms()

    async def catch_up(self, timeout_s: float) -> bool:
        """Return True: all views share one state."""
        return True

    async def wait_in_force(self, index: int, timeout_s: float) -> InForceResult:
        """Return at once."""
        return InForceResult(index)

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Watch the shared log."""
        self.log.listeners.append(listener)

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Ask the tasks of the daemon that leads."""
        if not self.reachable:
            return Err(Refusal(Code.NO_LEADER, "this entry is cut off"))
        return await self.log.ask(message)

    def serve(self, kind: type, handler: Callable) -> None:
        """Register a handler if this view's daemon leads."""
        if self.leads:
            self.log.handlers[kind] = handler

    def status(self) -> ClusterStatus:
        """Return what operators see of the cluster."""
        index = self.state.applied_index
        return ClusterStatus(
            daemon=self.session,
            cluster="shared",
            generation=1,
            folder="",
            role="voter" if self.leads else "learner",
            term=1,
            leader="",
            leads=self.is_leader(),
            fresh=self.fresh,
            removed=False,
            disk="none",
            commit=index,
            applied=index,
            last_index=index,
            members=(),
        )

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


async def set_up_service(
    log: ReplicatedLog, document: str, ports: list[int], upper_limit: int = 64
) -> str:
    """
    Create what a service needs, with a target at each port.

    Each target is on a host of its own, and the hosts are in zones ``z0``, ``z1``
    and so on.

    Returns
    -------
    str
        Text of a key of the service's team.
    """
    section = parse_document(document).ok_value.service
    key = make_key(os.urandom(KEY_BYTES))
    commands = [
        CreatePool(section.pool),
        CreateTeam(section.team, upper_limit=upper_limit),
        ApplyDocument(document, 1),
        GiveKey(key.key_id, section.team, key.salt, key.digest),
    ]
    for number, port in enumerate(ports):
        host = f"{section.name}-h{number}"
        commands.append(AddHost(host, section.pool, availability_zone=f"z{number}"))
        commands.append(
            AnnounceTarget(
                name=f"{section.name}-t{number}",
                host=host,
                service=section.name,
                address="127.0.0.1",
                port=port,
                key=key.key_id,
            )
        )
    for command in commands:
        outcome = await log.propose(command)
        assert isinstance(outcome, Ok), outcome
    return key.text
