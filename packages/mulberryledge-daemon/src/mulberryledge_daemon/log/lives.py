"""
mulberryledge_daemon.log.lives
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which life of each daemon a leader has granted leases to, and until when.
"""

from mulberryledge_core.consensus.leases import held_until_ms
from mulberryledge_core.consensus.node import Node

__all__ = ["Lives"]

MAX_PAST_LIVES = 1_000
MS = 1_000


class Lives:
    """Owns the session of each connected daemon, and the leases of earlier ones."""

    def __init__(self):
        self.present: dict[str, str] = {}
        self.past: dict[str, int] = {}

    def note(self, node: Node, name: str, session: str) -> None:
        """Keep until when the lease of an earlier life of a daemon may hold."""
        earlier = self.present.get(name, session)
        if earlier != session:
            self.past[earlier] = held_until_ms(node, name)
            while len(self.past) > MAX_PAST_LIVES:
                self.past.pop(next(iter(self.past)))
        self.present[name] = session

    def lease_ended_s(self, node: Node, name: str, session: str, now: int) -> float:
        """Return for how long the lease of a daemon's session has surely ended."""
        until = node.elected_ms + node.timing.lease_held_ms
        if self.present.get(name) == session:
            until = max(until, held_until_ms(node, name))
        else:
            until = max(until, self.past.get(session, 0))
        return max(0, now - until) / MS
