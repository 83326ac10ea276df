"""
mulberryledge_core.decisions.loss_grouping
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Grouping of lost hosts into loss events of a host, a rack or an availability zone.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.model.hosts import Host

__all__ = [
    "FailureDomain",
    "LossEvent",
    "connected_regions",
    "get_grouping_by_name",
    "group_by_domain",
    "group_by_region",
]

RACK_LOST_FRACTION = 0.6
ZONE_LOST_FRACTION = 0.5
RACK_MIN_HOSTS = 2
ZONE_MIN_RACKS = 2


class FailureDomain(StrEnum):
    """Failure domain of a loss event."""

    HOST = "host"
    RACK = "rack"
    ZONE = "availability-zone"


@dataclass(frozen=True, slots=True)
class LossEvent:
    """Hosts lost together, and the failure domain that explains the loss."""

    domain: FailureDomain
    name: str
    hosts: tuple[str, ...]


def group_by_domain(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> tuple[LossEvent, ...]:
    """
    Group lost hosts by the widest failure domain of which most hosts are lost.

    A zone needs :data:`ZONE_LOST_FRACTION` of its hosts lost in at least
    :data:`ZONE_MIN_RACKS` racks, a rack :data:`RACK_LOST_FRACTION` and at least
    :data:`RACK_MIN_HOSTS` hosts; all other hosts are events of their own.
    """
    lost = sorted(lost, key=lambda host: host.name)
    if not lost:
        return ()
    zone_sizes = Counter(host.availability_zone for host in fleet.values())
    rack_sizes = Counter(rack_of(host) for host in fleet.values())
    events = []
    remaining: list[Host] = []
    for zone, hosts in group_by_key(lost, lambda host: host.availability_zone).items():
        racks = {rack_of(host) for host in hosts}
        fraction = len(hosts) / zone_sizes[zone]
        if zone and fraction >= ZONE_LOST_FRACTION and len(racks) >= ZONE_MIN_RACKS:
            events.append(loss_event(FailureDomain.ZONE, zone, hosts))
        else:
            remaining.extend(hosts)
    for rack, hosts in group_by_key(remaining, rack_of).items():
        fraction = len(hosts) / rack_sizes[rack]
        if rack[1] and fraction >= RACK_LOST_FRACTION and len(hosts) >= RACK_MIN_HOSTS:
            events.append(loss_event(FailureDomain.RACK, "/".join(rack), hosts))
        else:
            events.extend(
                loss_event(FailureDomain.HOST, host.name, [host]) for host in hosts
            )
    return tuple(events)


def group_by_region(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> tuple[LossEvent, ...]:
    """
    Group lost hosts by the connected components of a graph of adjacent racks.

    Hosts are adjacent within a rack, and between racks that are consecutive by name
    within an availability zone.
    """
    events = []
    for hosts in connected_regions(lost, fleet):
        zones = {host.availability_zone for host in hosts}
        racks = {rack_of(host) for host in hosts}
        if len(hosts) == 1:
            events.append(loss_event(FailureDomain.HOST, hosts[0].name, hosts))
        elif len(racks) == 1:
            events.append(loss_event(FailureDomain.RACK, "/".join(racks.pop()), hosts))
        else:
            events.append(loss_event(FailureDomain.ZONE, zones.pop(), hosts))
    return tuple(events)


def connected_regions(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> list[list[Host]]:
    """Return the connected components of the lost hosts."""
    by_rack = group_by_key(sorted(lost, key=lambda host: host.name), rack_of)
    racks = sorted({rack_of(host) for host in fleet.values()})
    regions: list[list[Host]] = []
    last = None
    for rack in racks:
        hosts = by_rack.get(rack)
        if hosts and last is not None and last[0] == rack[0]:
            regions[-1].extend(hosts)
        elif hosts:
            regions.append(list(hosts))
        last = rack if hosts else None
    return regions


def loss_event(domain: FailureDomain, name: str, hosts: list[Host]) -> LossEvent:
    """Return a loss event of the hosts."""
    return LossEvent(domain, name, tuple(host.name for host in hosts))


def rack_of(host: Host) -> tuple[str, str]:
    """Return availability zone and rack of a host."""
    return host.availability_zone, host.rack


def group_by_key(hosts: Iterable[Host], key: Callable) -> dict:
    """Return lists of hosts by key."""
    groups = defaultdict(list)
    for host in hosts:
        groups[key(host)].append(host)
    return groups


GROUPINGS = {"domain": group_by_domain, "region": group_by_region}


def get_grouping_by_name(name: str) -> Callable | None:
    """Return the grouping function with this name, or None."""
    return GROUPINGS.get(name)
