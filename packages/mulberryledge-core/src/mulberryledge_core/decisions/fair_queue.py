"""
mulberryledge_core.decisions.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Start-time fair queueing of waiting calls over teams by their shares.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")


class FairQueue(Generic[T]):
    """
    Bounded first-come queues, one a team, served in turns by share.

    Each item taken from a team moves the team's virtual time on by the inverse
    of its share; the team with the least virtual time is next. A team that was
    idle starts at the present virtual time, so it saves up no turns.

    Attributes
    ----------
    limit : int
        Most items that one team may have waiting.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.waiting: dict[str, deque[T]] = {}
        self.turn: dict[str, float] = {}
        self.now = 0.0
        self.size = 0

    def push(self, team: str, item: T) -> bool:
        """Add an item; return False if the team's queue is full."""
        queue = self.waiting.get(team)
        if queue is None:
            queue = self.waiting[team] = deque()
            self.turn[team] = max(self.now, self.turn.get(team, 0.0))
        if len(queue) >= self.limit:
            return False
        queue.append(item)
        self.size += 1
        return True

    def pop(
        self, share_of: Callable[[str], float], may_run: Callable[[str], bool]
    ) -> T | None:
        """
        Take the next item of the team whose turn it is.

        Parameters
        ----------
        share_of : callable
            Share of a team, greater than zero.
        may_run : callable
            Whether a team may have one more running.
        """
        teams = [team for team in self.waiting if may_run(team)]
        if not teams:
            return None
        team = min(teams, key=self.turn.__getitem__)
        self.now = max(self.now, self.turn[team])
        self.turn[team] += 1.0 / share_of(team)
        item = self.waiting[team].popleft()
        self._shrink(team)
        return item

    def items(self) -> list[T]:
        """Return all items that wait."""
        return [item for queue in self.waiting.values() for item in queue]

    def remove(self, team: str, item: T) -> bool:
        """Drop an item; return False if it no longer waits."""
        queue = self.waiting.get(team)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._shrink(team)
        return True

    def depth(self, team: str) -> int:
        """Return how many items of the team wait."""
        return len(self.waiting.get(team, ()))

    def depths(self) -> Iterator[tuple[str, int]]:
        """Yield the teams that wait, each with its number of items."""
        for team, queue in self.waiting.items():
            yield team, len(queue)

    def _shrink(self, team: str) -> None:
        self.size -= 1
        if not self.waiting[team]:
            del self.waiting[team]
        if not self.waiting:
            self.turn.clear()
            self.now = 0.0
