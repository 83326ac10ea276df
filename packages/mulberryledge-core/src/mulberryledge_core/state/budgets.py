"""
mulberryledge_core.state.budgets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Availability budgets: one count of planned and unplanned outages for each service.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.maintenance import AbsenceCause
from mulberryledge_core.model.services import AvailabilitySection, Service
from mulberryledge_core.model.targets import Target
from mulberryledge_core.state.absences import DAY_MS, absence_of
from mulberryledge_core.state.tables import ClusterState

__all__ = [
    "EXPECTED_OUTAGE_MS",
    "LOSS_WAIT_MS",
    "PROBATION_SLOTS",
    "BudgetViolation",
    "OutageCounts",
    "ServiceCount",
    "budget_refusal",
    "is_out",
    "service_hosts",
    "usable_slots",
]

EXPECTED_OUTAGE_MS = 300_000
LOSS_WAIT_MS = 600_000
MINUTE_MS = 60_000
PROBATION_SLOTS = 1
UNPLANNED_LOSS = "unplanned_loss"


@dataclass(frozen=True, slots=True)
class BudgetViolation:
    """
    A budget that taking one host out would exceed.

    Attributes
    ----------
    field : str
        Name in the section ``[availability]``, or ``unplanned_loss``.
    bound, value : int
        Allowed value and resulting value; for an unplanned loss, the log times in
        milliseconds of the loss and of the end of the wait.
    """

    service: str
    field: str
    bound: int
    value: int

    def text(self) -> str:
        """Return the reason as shown to operators."""
        if self.field == UNPLANNED_LOSS:
            return (
                f"service {self.service!r}: {self.field} is at {self.bound} ms,"
                f" wait until {self.value} ms or until the host is proved"
            )
        return (
            f"service {self.service!r}: {self.field} is {self.bound},"
            f" taking the host out gives {self.value}"
        )


@dataclass(slots=True)
class ServiceCount:
    """
    Hosts of one service, and how many of them are out.

    Attributes
    ----------
    out_by_zone, out_by_rack : Counter
        Hosts out by availability zone, and by zone and rack.
    outage_ms : int
        Time out within the window in milliseconds, summed over the hosts.
    loss_ms : int
        Log time in milliseconds of the latest unplanned loss whose host is not yet
        proved, zero if none.
    """

    service: Service
    host_count: int = 0
    out_count: int = 0
    out_by_zone: Counter[str] = field(default_factory=Counter)
    out_by_rack: Counter[tuple[str, str]] = field(default_factory=Counter)
    outage_ms: int = 0
    loss_ms: int = 0

    @property
    def budget(self) -> AvailabilitySection:
        """Budget in force."""
        return self.service.document.availability

    def add_out(self, host: Host) -> None:
        """Count a host as out."""
        self.out_count += 1
        self.out_by_zone[host.availability_zone] += 1
        self.out_by_rack[host.availability_zone, host.rack] += 1

    def remove_out(self, host: Host) -> None:
        """Count a host as serving again."""
        self.out_count -= 1
        self.out_by_zone[host.availability_zone] -= 1
        self.out_by_rack[host.availability_zone, host.rack] -= 1


class OutageCounts:
    """
    Outages of services, counted in one pass over the hosts.

    Parameters
    ----------
    state : ClusterState
        State to count in.
    services : collection of str or None
        Services to count; all if None.
    """

    def __init__(self, state: ClusterState, services: Collection[str] | None = None):
        self.now_ms = state.now_ms
        names = state.services if services is None else services
        self.counts = {
            name: ServiceCount(state.services[name])
            for name in names
            if name in state.services
        }
        for host in state.hosts.values():
            for name in host.upkeep.services:
                if name in self.counts:
                    self.add_host(host, self.counts[name])

    def add_host(self, host: Host, count: ServiceCount) -> None:
        """Count one host for one service."""
        count.host_count += 1
        if is_out(host, count.service.name):
            count.add_out(host)
        count.outage_ms += outage_ms(host, count.service, self.now_ms)
        absence = absence_of(host, count.service.name)
        if absence is not None and absence.cause == AbsenceCause.LOST:
            count.loss_ms = max(count.loss_ms, host.upkeep.lost_ms)

    def first_violation(self, host: Host) -> BudgetViolation | None:
        """Return the first budget that taking the host out would exceed, or None."""
        for name in host.upkeep.services:
            count = self.counts.get(name)
            if count is None or is_out(host, name):
                continue
            for violation in self.violations(host, count):
                return violation
        return None

    def violations(self, host: Host, count: ServiceCount) -> Iterable[BudgetViolation]:
        """Yield the budgets of one service that taking the host out would exceed."""
        budget = count.budget
        name = count.service.name
        zone = count.out_by_zone[host.availability_zone] + 1
        rack = count.out_by_rack[host.availability_zone, host.rack] + 1
        checks = (
            ("max_hosts_out", budget.max_hosts_out, count.out_count + 1),
            ("max_hosts_out_per_zone", budget.max_hosts_out_per_zone, zone),
            ("max_hosts_out_per_rack", budget.max_hosts_out_per_rack, rack),
        )
        for bound_name, bound, value in checks:
            if value > bound:
                yield BudgetViolation(name, bound_name, bound, value)
        serving = count.host_count - count.out_count - 1
        if serving < budget.min_hosts_serving:
            yield BudgetViolation(
                name, "min_hosts_serving", budget.min_hosts_serving, serving
            )
        minutes = -(-(count.outage_ms + EXPECTED_OUTAGE_MS) // MINUTE_MS)
        if budget.outage_minutes and minutes > budget.outage_minutes:
            yield BudgetViolation(
                name, "outage_minutes", budget.outage_minutes, minutes
            )

    def recent_loss(self, host: Host) -> BudgetViolation | None:
        """Return the recent unplanned loss that makes waves wait, or None."""
        for name in host.upkeep.services:
            count = self.counts.get(name)
            if count is None or not count.loss_ms:
                continue
            until_ms = count.loss_ms + LOSS_WAIT_MS
            if self.now_ms < until_ms:
                return BudgetViolation(name, UNPLANNED_LOSS, count.loss_ms, until_ms)
        return None

    def count_out(self, host: Host) -> None:
        """Count a host as out for all its services."""
        for name in host.upkeep.services:
            if name in self.counts and not is_out(host, name):
                self.counts[name].add_out(host)

    def undo_count_out(self, host: Host) -> None:
        """Undo :meth:`count_out`."""
        for name in host.upkeep.services:
            if name in self.counts and not is_out(host, name):
                self.counts[name].remove_out(host)


def is_out(host: Host, service: str) -> bool:
    """Return whether the host counts as out for the service."""
    return host.phase != HostPhase.SERVING or absence_of(host, service) is not None


def outage_ms(host: Host, service: Service, now_ms: int) -> int:
    """Return how long the host was out within the service's window, in milliseconds."""
    first_day = now_ms // DAY_MS - service.document.availability.window_days
    total = sum(
        outage.out_ms
        for outage in host.upkeep.outages
        if outage.service == service.name and outage.day > first_day
    )
    absence = absence_of(host, service.name)
    return total + (now_ms - absence.since_ms if absence is not None else 0)


def service_hosts(state: ClusterState, service: str) -> tuple[Host, ...]:
    """Return the hosts that count for the service, whether or not they run it now."""
    return tuple(
        host for host in state.hosts.values() if service in host.upkeep.services
    )


def budget_refusal(
    state: ClusterState, host: Host, exempt_pool: str = ""
) -> str | None:
    """
    Return which budget taking the host out would exceed, or None.

    Services of the pool ``exempt_pool`` keep the host and are not checked.
    """
    services = [
        name
        for name in host.upkeep.services
        if name in state.services
        and state.services[name].document.service.pool != exempt_pool
    ]
    violation = OutageCounts(state, services).first_violation(host)
    return violation.text() if violation is not None else None


def usable_slots(state: ClusterState, target: Target) -> int:
    """Return the usable slots of a target, ``PROBATION_SLOTS`` at most on probation."""
    host = state.hosts.get(target.host)
    if host is not None and host.phase == HostPhase.PROBATION:
        return min(PROBATION_SLOTS, target.slots)
    return target.slots
