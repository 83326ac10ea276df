"""
mulberryledge_daemon.leader.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of targets: a target that is silent for a whole lease is lost.
"""

from collections.abc import Callable
from itertools import accumulate

from result import Ok, Result
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.fleet import DropTarget
from mulberryledge_core.messages import Acknowledged, TargetsSeen
from mulberryledge_core.model.targets import Target, TargetPhase
from mulberryledge_core.outcomes import Refusal
from mulberryledge_daemon.ports import LeaderChannel, ReplicatedLog

__all__ = ["TargetLeases"]

CHECKS_PER_LEASE = 20


class TargetLeases:
    """
    Owns the times at which targets were last seen by any entry.

    Attributes
    ----------
    checked_s : float
        Time of the last check, in seconds; a long gap means that this daemon did
        not lead or did not run meanwhile, and then every lease begins anew.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        lease_s: float,
        witness: Callable[[str, list[Target]], None] = lambda daemon, heard: None,
    ):
        self.clock = clock
        self.log = log
        self.lease_s = lease_s
        self.witness = witness
        self.checked_s = clock.seconds()
        self.seen: dict[tuple[str, int], float] = {}
        channel.serve(TargetsSeen, self.on_seen)

    async def on_seen(self, message: TargetsSeen) -> Result[object, Refusal]:
        """Renew the leases of targets that an entry heard from."""
        now = self.clock.seconds()
        generations = set(accumulate(message.gaps))
        heard = [
            target
            for target in self.log.state.targets.values()
            if target.generation in generations
        ]
        for target in heard:
            self.seen[target.name, target.generation] = now
        self.witness(message.daemon, heard)
        return Ok(Acknowledged())

    async def tick(self) -> None:
        """Drop targets whose lease ran out; unseen ones begin a lease now."""
        now = self.clock.seconds()
        since_check_s = now - self.checked_s
        if since_check_s < self.lease_s / CHECKS_PER_LEASE:
            return
        if since_check_s > self.lease_s / 2:
            self.seen = {}
        self.checked_s = now
        seen: dict[tuple[str, int], float] = {}
        expired = []
        for target in self.log.state.targets.values():
            key = (target.name, target.generation)
            seen[key] = self.seen.get(key, now)
            if target.phase != TargetPhase.LOST and now - seen[key] > self.lease_s:
                lost = target.phase == TargetPhase.SERVING
                expired.append(DropTarget(*key, lost=lost))
        self.seen = seen
        for command in expired:
            await self.log.propose(command)
