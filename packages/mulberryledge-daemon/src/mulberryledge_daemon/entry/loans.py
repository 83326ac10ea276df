"""
mulberryledge_daemon.entry.loans
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The capacity lent to this entry: who uses it, who waits, what goes back.
"""

import logging
from collections import Counter, deque
from dataclasses import dataclass

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands.work import ReturnLoan
from mulberryledge_core.messages import DemandReport, ServiceDemand, TeamDemand
from mulberryledge_core.model.sessions import Session, SlotGrant, TeamGrant
from mulberryledge_core.model.targets import Target
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.ports import AppliedEvent, LeaderChannel, ReplicatedLog

__all__ = ["Claim", "Loans"]

REPORT_INTERVAL_S = 0.05
IDLE_RETURN_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Claim:
    """One slot and one permit in use by a call."""

    team: str
    target: Target


@dataclass(frozen=True, slots=True)
class Waiter:
    """A call that waits for a slot and a permit."""

    service: str
    team: str
    done: Deferred


class Loans:
    """Owns the counts of what the running calls of this entry use."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        channel: LeaderChannel,
        session: str,
        availability_zone: str,
    ):
        self.clock = clock
        self.log = log
        self.channel = channel
        self.session = session
        self.availability_zone = availability_zone
        self.slots_used: Counter[tuple[str, int]] = Counter()
        self.permits_used: Counter[str] = Counter()
        self.slots_returning: Counter[tuple[str, int]] = Counter()
        self.permits_returning: Counter[str] = Counter()
        self.waiters: deque[Waiter] = deque()
        self.busy_at: dict[str, float] = {}
        self.reporting = False
        log.watch(self.on_applied)

    def lent(self) -> Session:
        """Return the loans of this session as the log has them."""
        empty = Session("", self.session)
        return self.log.state.sessions.get(self.session, empty)

    def acquire(self, service: str, team: str, timeout_s: float) -> Deferred:
        """
        Wait for a slot of the service and a permit of the team.

        Returns
        -------
        Deferred of Result of Claim and Refusal
        """
        waiter = Waiter(service, team, Deferred())
        self.waiters.append(waiter)
        timer = self.clock.callLater(timeout_s, self.give_up, waiter)
        waiter.done.addBoth(cancel_timer, timer)
        self.serve_waiters()
        return waiter.done

    def give_up(self, waiter: Waiter) -> None:
        """Refuse a waiter whose deadline has passed."""
        self.waiters.remove(waiter)
        text = f"no capacity for service {waiter.service!r} within the deadline"
        waiter.done.callback(Err(Refusal(Code.OVERLOADED, text)))

    def release(self, claim: Claim) -> None:
        """Give a slot and a permit back to the entry."""
        self.slots_used[claim.target.name, claim.target.generation] -= 1
        self.permits_used[claim.team] -= 1
        self.serve_waiters()

    def on_applied(self, event: AppliedEvent) -> None:
        """Look at the waiters again after each change of state."""
        if self.waiters:
            self.serve_waiters()

    def serve_waiters(self) -> None:
        """Hand free slots and permits to waiters in order of arrival."""
        for waiter in list(self.waiters):
            claim = self.try_claim(waiter)
            if claim is not None:
                self.waiters.remove(waiter)
                waiter.done.callback(Ok(claim))
        if self.waiters and not self.reporting:
            self.reporting = True
            self.clock.callLater(0, self.start_report)

    def try_claim(self, waiter: Waiter) -> Claim | None:
        """Take a slot and a permit if both are free."""
        if self.free_permits(waiter.team) < 1:
            return None
        target = self.pick_target(waiter.service)
        if target is None:
            return None
        self.slots_used[target.name, target.generation] += 1
        self.permits_used[waiter.team] += 1
        self.busy_at[target.name] = self.busy_at[waiter.team] = self.clock.seconds()
        return Claim(waiter.team, target)

    def free_permits(self, team: str) -> int:
        """Return permits on loan that no call uses."""
        lent = sum(g.permits for g in self.lent().permits if g.team == team)
        return lent - self.permits_used[team] - self.permits_returning[team]

    def free_slots(self, grant: SlotGrant) -> int:
        """Return slots on loan that no call uses."""
        key = (grant.target, grant.generation)
        return grant.slots - self.slots_used[key] - self.slots_returning[key]

    def pick_target(self, service: str) -> Target | None:
        """Return the serving target of the service with most free slots."""
        best, best_free = None, 0
        for grant in self.lent().slots:
            target = self.log.state.targets.get(grant.target)
            if target is None or target.generation != grant.generation:
                continue
            if target.service != service or not self.log.state.target_serves(
                target.name
            ):
                continue
            free = self.free_slots(grant)
            if free > best_free:
                best, best_free = target, free
        return best

    def start_report(self) -> None:
        """Report the demand that the loans do not meet."""
        ensureDeferred(self.report())

    async def report(self) -> None:
        """Ask the leader for more."""
        services = Counter(waiter.service for waiter in self.waiters)
        teams = Counter(waiter.team for waiter in self.waiters)
        message = DemandReport(
            self.session,
            self.availability_zone,
            tuple(ServiceDemand(name, n) for name, n in sorted(services.items())),
            tuple(TeamDemand(name, n) for name, n in sorted(teams.items())),
        )
        await self.channel.ask(message)
        self.clock.callLater(REPORT_INTERVAL_S, self.finish_report)

    def finish_report(self) -> None:
        """Allow the next report."""
        self.reporting = False
        self.serve_waiters()

    async def return_idle(self, everything: bool = False) -> None:
        """Return what is idle, or lent on targets that take no new work."""
        since = self.clock.seconds() - IDLE_RETURN_S
        session = self.lent()
        slots = []
        for grant in session.slots:
            free = self.free_slots(grant)
            leaving = not self.log.state.target_serves(grant.target)
            idle = self.busy_at.get(grant.target, 0) < since
            if free > 0 and (everything or leaving or idle):
                slots.append(SlotGrant(grant.target, grant.generation, free))
        permits = []
        for grant in session.permits:
            free = self.free_permits(grant.team)
            idle = self.busy_at.get(grant.team, 0) < since
            if free > 0 and (everything or idle):
                permits.append(TeamGrant(grant.team, free))
        if slots or permits:
            await self.give_back(tuple(slots), tuple(permits))

    async def give_back(
        self, slots: tuple[SlotGrant, ...], permits: tuple[TeamGrant, ...]
    ) -> None:
        """Return loans; they are out of use from now until the log says so."""
        for grant in slots:
            self.slots_returning[grant.target, grant.generation] += grant.slots
        for grant in permits:
            self.permits_returning[grant.team] += grant.permits
        outcome = await self.log.propose(ReturnLoan(self.session, slots, permits))
        if isinstance(outcome, Err):
            logger.warning("loan not returned", extra={"why": outcome.err_value})
        for grant in slots:
            self.slots_returning[grant.target, grant.generation] -= grant.slots
        for grant in permits:
            self.permits_returning[grant.team] -= grant.permits

    def running(self) -> int:
        """Return the number of calls that use a slot."""
        return sum(self.slots_used.values())


def cancel_timer(outcome: Result, timer) -> Result:
    """Cancel the timer of a waiter and pass its outcome on."""
    if timer.active():
        timer.cancel()
    return outcome
