"""
mulberryledge_core.decisions.fair_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Start-time fair queueing of waiting calls, weighted by the teams' shares.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

T = TypeVar("T")


class FairQueue(Generic[T]):
    """
    Bounded FIFO queues, one per team, served by start-time fair queueing.

    Each item taken from a team advances the team's virtual time by the inverse of
    its share; the team with the lowest virtual time is next. A team that was idle
    starts at the current virtual time, so it accumulates no credit.

    Attributes
    ----------
    limit : int
        Maximum number of waiting items per team.
    waiting : dict of str to deque
        Waiting items by team; teams without items have no key.
    virtual_times : dict of str to float
        Virtual time at which each team's next item starts.
    virtual_now : float
        Virtual start time of the last item taken.
    size : int
        Waiting items of all teams.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.waiting: dict[str, deque[T]] = {}
        self.virtual_times: dict[str, float] = {}
        self.virtual_now = 0.0
        self.size = 0

    def push(self, team: str, item: T) -> bool:
        """Add an item; return False if the team's queue is full."""
        queue = self.waiting.get(team)
        if queue is None:
            queue = self.waiting[team] = deque()
            self.virtual_times[team] = max(
                self.virtual_now, self.virtual_times.get(team, 0.0)
            )
        if len(queue) >= self.limit:
            return False
        queue.append(item)
        self.size += 1
        return True

    def pop(
        self, share_of: Callable[[str], float], may_run: Callable[[str], bool]
    ) -> T | None:
        """
        Take the next item of the eligible team with the lowest virtual time.

        Parameters
        ----------
        share_of : callable
            Share of a team, greater than zero.
        may_run : callable
            Whether a team may run one more item.
        """
        teams = [team for team in self.waiting if may_run(team)]
        if not teams:
            return None
        team = min(teams, key=self.virtual_times.__getitem__)
        self.virtual_now = max(self.virtual_now, self.virtual_times[team])
        self.virtual_times[team] += 1.0 / share_of(team)
        item = self.waiting[team].popleft()
        self._record_removal(team)
        return item

    def items(self) -> list[T]:
        """Return all waiting items."""
        return [item for queue in self.waiting.values() for item in queue]

    def remove(self, team: str, item: T) -> bool:
        """Remove an item; return False if it is no longer queued."""
        queue = self.waiting.get(team)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._record_removal(team)
        return True

    def depth(self, team: str) -> int:
        """Return the number of waiting items of a team."""
        return len(self.waiting.get(team, ()))

    def depths(self) -> Iterator[tuple[str, int]]:
        """Yield each team with waiting items, and their number."""
        for team, queue in self.waiting.items():
            yield team, len(queue)

    def _record_removal(self, team: str) -> None:
        self.size -= 1
        if not self.waiting[team]:
            del self.waiting[team]
        if not self.waiting:
            self.virtual_times.clear()
            self.virtual_now = 0.0
