"""
mulberryledge_daemon.entry.loans
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The capacity lent to this entry, and what the running calls use of it.
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

__all__ = ["Claim", "LentPermits", "LentTarget", "Loans"]

IRRELEVANT: tuple[type[Command], ...] = (
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
class LentTarget:
    """
    Slots of one target on loan.

    Attributes
    ----------
    lent, used, returning : int
        Slots on loan, used by calls, and on their way back.
    serving : bool
        Whether the target may be given new work.
    near : bool
        Whether it stands in this entry's availability zone.
    """

    target: Target
    zone: str = ""
    lent: int = 0
    used: int = 0
    returning: int = 0
    serving: bool = False
    near: bool = False

    @property
    def key(self) -> TargetKey:
        """Name and generation."""
        return (self.target.name, self.target.generation)

    @property
    def free(self) -> int:
        """Slots that no call uses."""
        return self.lent - self.used - self.returning


@dataclass(slots=True)
class LentPermits:
    """Permits of one team on loan, used by calls, and on their way back."""

    lent: int = 0
    used: int = 0
    returning: int = 0

    @property
    def free(self) -> int:
        """Permits that no call uses."""
        return self.lent - self.used - self.returning


@dataclass(frozen=True, slots=True, eq=False)
class Claim:
    """One slot and one permit in use by a call."""

    service: str
    team: str
    slot: LentTarget
    permits: LentPermits

    @property
    def target(self) -> Target:
        """Target whose slot it is."""
        return self.slot.target


@dataclass(slots=True)
class Index:
    """The loans as they stand in the log, arranged for look-ups by service."""

    state: object = None
    lent: dict[str, list[LentTarget]] = field(default_factory=dict)
    pools: dict[str, list[TargetKey]] = field(default_factory=dict)


class Loans:
    """Owns the counts of what the running calls of this entry use."""

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
        self.slots: dict[TargetKey, LentTarget] = {}
        self.permits: dict[str, LentPermits] = {}
        self.running: Counter[tuple[str, str]] = Counter()
        self.index = Index()
        self.stale = True
        log.watch(self.on_applied)

    def on_applied(self, event: AppliedEvent) -> None:
        """Look at the loans anew if the command may have changed them."""
        if not isinstance(event.command, IRRELEVANT):
            self.stale = True

    def refresh(self) -> Index:
        """Return the index of the loans as they stand."""
        if self.stale or self.index.state is not self.log.state:
            self.rebuild()
        return self.index

    def rebuild(self) -> None:
        """Read the loans from the log's state; counts of use stay."""
        state = self.log.state
        record = state.sessions.get(self.session.name)
        for slot in self.slots.values():
            slot.lent = 0
            slot.serving = False
        for permits in self.permits.values():
            permits.lent = 0
        for grant in record.slots if record else ():
            self.read_slots(grant.target, grant.generation, grant.slots)
        for grant in record.permits if record else ():
            self.permits.setdefault(grant.team, LentPermits()).lent = grant.permits
        self.slots = {
            key: slot
            for key, slot in self.slots.items()
            if slot.lent or slot.used or slot.returning
        }
        self.index = Index(state)
        for slot in self.slots.values():
            if slot.serving:
                self.index.lent.setdefault(slot.target.service, []).append(slot)
        for target in state.targets.values():
            if state.target_accepts_work(target.name):
                key = (target.name, target.generation)
                self.index.pools.setdefault(target.service, []).append(key)
        self.health.keep({key for pool in self.index.pools.values() for key in pool})
        self.stale = False

    def read_slots(self, name: str, generation: int, count: int) -> None:
        """Take over one grant; slots of a target that has gone stay unusable."""
        state = self.log.state
        target = state.targets.get(name)
        current = target is not None and target.generation == generation
        slot = self.slots.get((name, generation))
        if slot is None:
            known = target if current else Target(name, "", "", "", 0, 0, 0, generation)
            slot = self.slots[name, generation] = LentTarget(known)
        slot.lent = count
        if not current:
            return
        slot.target = target
        host = state.hosts.get(target.host)
        slot.zone = host.availability_zone if host else ""
        slot.near = slot.zone == self.availability_zone
        slot.serving = target.port != 0 and state.target_accepts_work(name)

    def may_use(self) -> bool:
        """Return whether the loans may be used at all now."""
        return self.log.is_fresh() and self.session.holds()

    def pick(self, service: str, tried: tuple[LentTarget, ...] = ()) -> LentTarget:
        """
        Return the slot that a call should take, or None if none is free.

        Targets that failed the call come last, then those of the zones in which
        it failed; near ones go before far ones, and idle before busy ones.
        """
        now_s = self.clock.seconds()
        best, best_rank = None, None
        zones = {slot.zone for slot in tried}
        for slot in self.refresh().lent.get(service, ()):
            free = slot.lent - slot.used - slot.returning
            if free < 1 or not self.health.usable(slot.key, now_s):
                continue
            rank = (slot in tried, slot.zone in zones, not slot.near, -free)
            if best is None or rank < best_rank:
                best, best_rank = slot, rank
        return best

    def claim(
        self, service: str, team: str, tried: tuple[LentTarget, ...] = ()
    ) -> Claim | None:
        """Take a slot and a permit if both are free."""
        index = self.refresh()
        permits = self.permits.get(team)
        if permits is None or permits.free < 1 or service not in index.lent:
            return None
        slot = self.pick(service, tried)
        if slot is None or not self.may_use():
            return None
        slot.used += 1
        permits.used += 1
        self.running[service, team] += 1
        assert slot.used + slot.returning <= slot.lent, "slots stay within the loan"
        assert permits.used + permits.returning <= permits.lent, "permits too"
        self.health.begin(slot.key, self.clock.seconds())
        return Claim(service, team, slot, permits)

    def release(self, claim: Claim) -> None:
        """Give a slot and a permit back to the entry."""
        claim.slot.used -= 1
        claim.permits.used -= 1
        self.running[claim.service, claim.team] -= 1

    def unusable(self, service: str) -> int:
        """Return slots on loan on targets that are ejected."""
        now_s = self.clock.seconds()
        return sum(
            slot.free
            for slot in self.refresh().lent.get(service, ())
            if not self.health.usable(slot.key, now_s)
        )

    def in_use(self) -> int:
        """Return the number of calls that use a slot."""
        return sum(slot.used for slot in self.slots.values())
