"""
mulberryledge_testing.views
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Several in-process daemons on one log: each sees it through a view that can be cut
off, made stale, or made to lose proposals.
"""

import os
from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import AddHost, AnnounceTarget, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.documents import parse_document
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_core.outcomes import ApplyResult, Code, Refusal
from mulberryledge_core.state import ClusterState
from mulberryledge_daemon.log.single import SingleLog
from mulberryledge_daemon.ports import AppliedEvent, InForce, ReplicatedLog

__all__ = ["LogView", "set_up_service"]

NOT_APPLIED = "not-applied"
APPLIED = "applied"


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

    def __init__(self, log: SingleLog, session: str, leads: bool):
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

    def lease_ended_s(self, session: str) -> float:
        """Return zero: no lease of this log ends."""
        return 0.0

    def time_ms(self) -> int:
        """Return the time of the shared log."""
        return self.log.time_ms()

    async def in_force(self, index: int, timeout_s: float) -> InForce:
        """Return at once."""
        return InForce(index)

    def watch(self, listener: Callable[[AppliedEvent], None]) -> None:
        """Watch the shared log."""
        self.log.watch(listener)

    async def ask(self, message: object) -> Result[object, Refusal]:
        """Ask the tasks of the daemon that leads."""
        if not self.reachable:
            return Err(Refusal(Code.NO_LEADER, "this entry is cut off"))
        return await self.log.ask(message)

    def serve(self, kind: type, handler: Callable) -> None:
        """Register a handler if this view's daemon leads."""
        if self.leads:
            self.log.serve(kind, handler)

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
