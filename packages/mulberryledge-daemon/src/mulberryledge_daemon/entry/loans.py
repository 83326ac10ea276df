"""
mulberryledge_daemon.entry.loans
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Loans of this entry's session and their use by running calls. A loan is capacity,
slots of a target or permits of a team, that is granted to a session until it is
returned or recalled.
"""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.work import (
    CancelJobs,
    EndJob,
    ExpireJob,
    ForgetAnswers,
    ForgetWork,
    Recall,
    Reserve,
    SettleReservation,
    StartJob,
    SubmitJob,
)
from mulberryledge_core.model.targets import Target
from mulberryledge_daemon.entry.health import TargetHealth, TargetKey
from mulberryledge_daemon.entry.sessions import EntrySession
from mulberryledge_daemon.ports import AppliedEvent, ReplicatedLog

__all__ = ["Claim", "Loans", "PermitLoan", "TargetLoan"]

UNRELATED_COMMANDS: tuple[type[Command], ...] = (
    CancelJobs,
    EndJob,
    ExpireJob,
    ForgetAnswers,
    ForgetWork,
    Recall,
    Reserve,
    SettleReservation,
    StartJob,
    SubmitJob,
)


@dataclass(slots=True)
class TargetLoan:
    """
    Loan of slots of one target.

    Attributes
    ----------
    granted, used, returning : int
        Slots on loan, used by calls, and being returned.
    serving : bool
        Whether the target accepts new work.
    in_local_zone : bool
        Whether the target is in this entry's availability zone.
    """

    target: Target
    zone: str = ""
    granted: int = 0
    used: int = 0
    returning: int = 0
    serving: bool = False
    in_local_zone: bool = False

    @property
    def key(self) -> TargetKey:
        """Name and generation of the target."""
        return (self.target.name, self.target.generation)

    @property
    def free(self) -> int:
        """Slots available to calls."""
        return self.granted - self.used - self.returning


@dataclass(slots=True)
class PermitLoan:
    """Loan of permits of one team: on loan, used by calls, and being returned."""

    granted: int = 0
    used: int = 0
    returning: int = 0

    @property
    def free(self) -> int:
        """Permits available to calls."""
        return self.granted - self.used - self.returning


@dataclass(frozen=True, slots=True, eq=False)
class Claim:
    """One slot and one permit in use by a call."""

    service: str
    team: str
    loan: TargetLoan
    permits: PermitLoan

    @property
    def target(self) -> Target:
        """Target of the slot."""
        return self.loan.target


@dataclass(slots=True)
class LoanIndex:
    """Usable loans and serving targets by service, from one applied state."""

    state: object = None
    loans_by_service: dict[str, list[TargetLoan]] = field(default_factory=dict)
    targets_by_service: dict[str, list[TargetKey]] = field(default_factory=dict)


class Loans:
    """Loans of this entry, with counts of what its running calls use."""

    def __init__(
        self,
        clock: IReactorTime,
        log: ReplicatedLog,
        session: EntrySession,
        health: TargetHealth,
        availability_zone: str,
    ):
        self.clock = clock
        self.log = log
        self.session = session
        self.health = health
        self.availability_zone = availability_zone
        self.target_loans: dict[TargetKey, TargetLoan] = {}
        self.permit_loans: dict[str, PermitLoan] = {}
        self.running: Counter[tuple[str, str]] = Counter()
        self.index = LoanIndex()
        self.stale = True
        log.watch(self.on_applied)

    def on_applied(self, event: AppliedEvent) -> None:
        """Invalidate the index if the command may have changed the loans."""
        if not isinstance(event.command, UNRELATED_COMMANDS):
            self.stale = True

    def refresh(self) -> LoanIndex:
        """Return the index, rebuilt if it is out of date."""
        if self.stale or self.index.state is not self.log.state:
            self.rebuild()
        return self.index

    def rebuild(self) -> None:
        """Rebuild the loans from the applied state; counts of use are kept."""
        state = self.log.state
        record = state.sessions.get(self.session.name)
        for loan in self.target_loans.values():
            loan.granted = 0
            loan.serving = False
        for permits in self.permit_loans.values():
            permits.granted = 0
        for grant in record.slots if record else ():
            self.apply_slot_grant(grant.target, grant.generation, grant.slots)
        for grant in record.permits if record else ():
            self.permit_loans.setdefault(
                grant.team, PermitLoan()
            ).granted = grant.permits
        self.target_loans = {
            key: loan
            for key, loan in self.target_loans.items()
            if loan.granted or loan.used or loan.returning
        }
        self.index = LoanIndex(state)
        for loan in self.target_loans.values():
            if loan.serving:
                self.index.loans_by_service.setdefault(loan.target.service, []).append(
                    loan
                )
        for target in state.targets.values():
            if state.target_accepts_work(target.name):
                key = (target.name, target.generation)
                self.index.targets_by_service.setdefault(target.service, []).append(key)
        self.health.retain(
            {
                key
                for service_targets in self.index.targets_by_service.values()
                for key in service_targets
            }
        )
        self.stale = False

    def apply_slot_grant(self, name: str, generation: int, count: int) -> None:
        """Apply one slot grant; slots of a replaced or removed target stay unusable."""
        state = self.log.state
        target = state.targets.get(name)
        is_current = target is not None and target.generation == generation
        loan = self.target_loans.get((name, generation))
        if loan is None:
            loaned_target = (
                target if is_current else Target(name, "", "", "", 0, 0, 0, generation)
            )
            loan = self.target_loans[name, generation] = TargetLoan(loaned_target)
        loan.granted = count
        if not is_current:
            return
        loan.target = target
        host = state.hosts.get(target.host)
        loan.zone = host.availability_zone if host else ""
        loan.in_local_zone = loan.zone == self.availability_zone
        loan.serving = target.port != 0 and state.target_accepts_work(name)

    def can_use(self) -> bool:
        """Return whether the state is fresh and the session holds its lease."""
        return self.log.is_fresh() and self.session.is_valid()

    def pick_loan(self, service: str, tried: tuple[TargetLoan, ...] = ()) -> TargetLoan:
        """
        Return the best loan with a free slot for a call, or None.

        Targets that the call has not tried come first, then untried zones, then the
        local zone, then the target with the most free slots.
        """
        now_s = self.clock.seconds()
        best, best_rank = None, None
        zones = {loan.zone for loan in tried}
        for loan in self.refresh().loans_by_service.get(service, ()):
            free = loan.granted - loan.used - loan.returning
            if free < 1 or not self.health.is_usable(loan.key, now_s):
                continue
            rank = (loan in tried, loan.zone in zones, not loan.in_local_zone, -free)
            if best is None or rank < best_rank:
                best, best_rank = loan, rank
        return best

    def claim(
        self, service: str, team: str, tried: tuple[TargetLoan, ...] = ()
    ) -> Claim | None:
        """Claim a slot and a permit if both are free."""
        index = self.refresh()
        permits = self.permit_loans.get(team)
        if permits is None or permits.free < 1 or service not in index.loans_by_service:
            return None
        loan = self.pick_loan(service, tried)
        if loan is None or not self.can_use():
            return None
        loan.used += 1
        permits.used += 1
        self.running[service, team] += 1
        assert loan.used + loan.returning <= loan.granted, (
            "more slots in use than on loan"
        )
        assert permits.used + permits.returning <= permits.granted, (
            "more permits in use than on loan"
        )
        self.health.record_dispatch(loan.key, self.clock.seconds())
        return Claim(service, team, loan, permits)

    def release(self, claim: Claim) -> None:
        """Release the slot and the permit of a call."""
        claim.loan.used -= 1
        claim.permits.used -= 1
        self.running[claim.service, claim.team] -= 1

    def ejected_slots(self, service: str) -> int:
        """Return the number of free slots on loan on ejected targets."""
        now_s = self.clock.seconds()
        return sum(
            loan.free
            for loan in self.refresh().loans_by_service.get(service, ())
            if not self.health.is_usable(loan.key, now_s)
        )

    def count_in_use(self) -> int:
        """Return the number of calls that use a slot."""
        return sum(loan.used for loan in self.target_loans.values())
