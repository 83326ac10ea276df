"""
mulberryledge_daemon.leader.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of targets: a target that no entry has seen for its lease time is dropped.
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
    Tracks when targets were last seen by any entry.

    Attributes
    ----------
    checked_s : float
        Time of the last check, in seconds. After a long gap, in which this daemon did
        not lead or did not run, every lease starts again.
    """

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        lease_s: float,
        on_contact: Callable[[str, list[Target]], None] = lambda daemon, targets: None,
    ):
        self.clock = clock
        self.log = log
        self.lease_s = lease_s
        self.on_contact = on_contact
        self.checked_s = clock.seconds()
        self.last_seen_s: dict[tuple[str, int], float] = {}
        channel.serve(TargetsSeen, self.on_seen)

    async def on_seen(self, message: TargetsSeen) -> Result[object, Refusal]:
        """Renew the leases of targets that contacted an entry."""
        now = self.clock.seconds()
        generations = set(accumulate(message.gaps))
        renewed = [
            target
            for target in self.log.state.targets.values()
            if target.generation in generations
        ]
        for target in renewed:
            self.last_seen_s[target.name, target.generation] = now
        self.on_contact(message.daemon, renewed)
        return Ok(Acknowledged())

    async def tick(self) -> None:
        """Drop targets with an expired lease; the lease of unseen ones starts now."""
        now = self.clock.seconds()
        since_check_s = now - self.checked_s
        if since_check_s < self.lease_s / CHECKS_PER_LEASE:
            return
        if since_check_s > self.lease_s / 2:
            self.last_seen_s = {}
        self.checked_s = now
        last_seen_s: dict[tuple[str, int], float] = {}
        expired = []
        for target in self.log.state.targets.values():
            key = (target.name, target.generation)
            last_seen_s[key] = self.last_seen_s.get(key, now)
            if (
                target.phase != TargetPhase.LOST
                and now - last_seen_s[key] > self.lease_s
            ):
                lost = target.phase == TargetPhase.SERVING
                expired.append(DropTarget(*key, lost=lost))
        self.last_seen_s = last_seen_s
        for command in expired:
            await self.log.propose(command)
