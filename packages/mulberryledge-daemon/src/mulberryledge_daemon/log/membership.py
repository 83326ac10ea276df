"""
mulberryledge_daemon.log.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's task that maintains the number of voters without an operator.
"""

import logging
from collections.abc import Awaitable, Callable

from result import Err
from twisted.internet.defer import ensureDeferred

from mulberryledge_core.consensus.membership_policy import JoiningDaemon, next_change
from mulberryledge_core.consensus.membership_summary import (
    MembershipSummary,
    summarise_members,
)
from mulberryledge_core.consensus.node import Node
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_daemon.peers.messages import Hello

__all__ = ["MembershipController"]

CHECK_INTERVAL_MS = 200  # one membership change takes several checks

logger = logging.getLogger(__name__)


class MembershipController:
    """
    Proposes membership changes and owns the list of daemons that may join.

    Attributes
    ----------
    joining_daemons : dict of str to JoiningDaemon
        Connected daemons with a data folder, by name.
    borne_enough : bool
        Whether the voters that are heard bear as many losses as promised, as it was
        logged last in this term.
    """

    def __init__(
        self,
        node: Node,
        min_voters: int,
        propose: Callable[[object], Awaitable[ApplyResult]],
        now: Callable[[], int],
    ):
        self.node = node
        self.min_voters = min_voters
        self.propose = propose
        self.now = now
        self.joining_daemons: dict[str, JoiningDaemon] = {}
        self.last_check_ms = 0
        self.busy = False
        self.borne_enough = True
        self.checked_term = 0

    def on_hello(self, hello: Hello) -> None:
        """Record a connected daemon if it could be a member."""
        if hello.folder and hello.address:
            self.joining_daemons[hello.name] = JoiningDaemon(
                hello.name,
                hello.address,
                hello.port,
                hello.availability_zone,
                hello.folder,
            )

    def on_closed(self, name: str) -> None:
        """Remove a disconnected daemon."""
        self.joining_daemons.pop(name, None)

    def tick(self) -> None:
        """Propose the next membership change if one is due."""
        now = self.now()
        if self.busy or now - self.last_check_ms < CHECK_INTERVAL_MS:
            return
        self.last_check_ms = now
        self.check_losses_borne()
        change = next_change(
            self.node, self.joining_daemons.values(), self.min_voters, now
        )
        if change is not None:
            self.busy = True
            ensureDeferred(self.propose_change(change))

    def summary(self) -> MembershipSummary:
        """Return the numbers of the members as this leader sees them."""
        return summarise_members(self.node, self.min_voters, self.now())

    def check_losses_borne(self) -> None:
        """Log when fewer losses are borne than promised, and when enough are again."""
        if self.node.term != self.checked_term:
            self.checked_term = self.node.term
            self.borne_enough = True
        summary = self.summary()
        promised = self.min_voters // 2
        borne_enough = summary.losses_borne >= promised
        if borne_enough != self.borne_enough:
            self.borne_enough = borne_enough
            log = logger.info if borne_enough else logger.warning
            text = "as many losses are borne as promised"
            log(
                text if borne_enough else "fewer losses are borne than promised",
                extra=summary_fields(summary) | {"promised": promised},
            )

    async def propose_change(self, change: object) -> None:
        """Propose a membership change and log its outcome."""
        try:
            outcome = await self.propose(change)
        except Exception:  # a later check decides anew
            logger.exception("members check failed")
            return
        finally:
            self.busy = False
        extra = {"change": repr(change)} | summary_fields(self.summary())
        if isinstance(outcome, Err):
            extra["why"] = outcome.err_value.message
            logger.warning("members not changed", extra=extra)
        else:
            logger.info("members changed", extra=extra)


def summary_fields(summary: MembershipSummary) -> dict[str, object]:
    """Return a summary as the fields of a log line."""
    return {
        "voters": summary.voters,
        "missing": " ".join(summary.missing),
        "learners": summary.learners,
        "target_voters": summary.target,
        "quorum": summary.quorum,
        "losses_borne": summary.losses_borne,
    }
