"""
mulberryledge_daemon.log.keeper
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that keeps the number of voters without an operator.
"""

import logging
from collections.abc import Awaitable, Callable

from result import Err
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.consensus.membership_policy import JoiningDaemon, next_change
from mulberryledge_core.consensus.node import Node
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_daemon.peers.messages import Hello

__all__ = ["MemberKeeper"]

INTERVAL_MS = 200  # between two looks at the members; one change takes a few of them

logger = logging.getLogger(__name__)


class MemberKeeper:
    """
    Owns the list of daemons that could be members.

    Attributes
    ----------
    applicants : dict of str to JoiningDaemon
        Connected daemons with a data folder, by name.
    """

    def __init__(
        self,
        node: Node,
        fewest: int,
        propose: Callable[[object], Awaitable[ApplyResult]],
        now: Callable[[], int],
    ):
        self.node = node
        self.fewest = fewest
        self.propose = propose
        self.now = now
        self.applicants: dict[str, JoiningDaemon] = {}
        self.looked_ms = 0
        self.busy = False

    def on_hello(self, hello: Hello) -> None:
        """Take note of a daemon that has connected."""
        if hello.folder and hello.address:
            self.applicants[hello.name] = JoiningDaemon(
                hello.name,
                hello.address,
                hello.port,
                hello.availability_zone,
                hello.folder,
            )

    def on_closed(self, name: str) -> None:
        """Forget a daemon that went away."""
        self.applicants.pop(name, None)

    def tick(self) -> None:
        """Make the next change, if one is due."""
        now = self.now()
        if self.busy or now - self.looked_ms < INTERVAL_MS:
            return
        self.looked_ms = now
        change = next_change(self.node, self.applicants.values(), self.fewest, now)
        if change is not None:
            self.busy = True
            ensureDeferred(self.make(change))

    async def make(self, change: object) -> None:
        """Propose a change of members."""
        outcome = await self.propose(change)
        self.busy = False
        extra = {"change": repr(change)}
        if isinstance(outcome, Err):
            extra["why"] = outcome.err_value.message
            logger.warning("members not changed", extra=extra)
        else:
            logger.info("members changed", extra=extra)
