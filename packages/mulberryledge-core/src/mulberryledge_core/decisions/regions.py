"""
mulberryledge_core.decisions.regions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lost hosts grouped to events: one host, one rack, one availability zone.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.model.hosts import Host

__all__ = [
    "Domain",
    "LossEvent",
    "connected_regions",
    "get_grouping_by_name",
    "group_by_domain",
    "group_by_region",
]

RACK_SHARE = 0.6
ZONE_SHARE = 0.5
RACK_MIN_HOSTS = 2
ZONE_MIN_RACKS = 2


class Domain(StrEnum):
    """Failure domain of an event."""

    HOST = "host"
    RACK = "rack"
    ZONE = "availability-zone"


@dataclass(frozen=True, slots=True)
class LossEvent:
    """Hosts that were lost together, and the failure domain that explains it."""

    domain: Domain
    name: str
    hosts: tuple[str, ...]


def group_by_domain(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> tuple[LossEvent, ...]:
    """Group lost hosts by the widest failure domain of which most hosts are lost."""
    lost = sorted(lost, key=lambda host: host.name)
    if not lost:
        return ()
    zone_sizes = Counter(host.availability_zone for host in fleet.values())
    rack_sizes = Counter(rack_of(host) for host in fleet.values())
    events = []
    rest: list[Host] = []
    for zone, hosts in split(lost, lambda host: host.availability_zone).items():
        racks = {rack_of(host) for host in hosts}
        share = len(hosts) / zone_sizes[zone]
        if zone and share >= ZONE_SHARE and len(racks) >= ZONE_MIN_RACKS:
            events.append(event(Domain.ZONE, zone, hosts))
        else:
            rest.extend(hosts)
    for rack, hosts in split(rest, rack_of).items():
        share = len(hosts) / rack_sizes[rack]
        if rack[1] and share >= RACK_SHARE and len(hosts) >= RACK_MIN_HOSTS:
            events.append(event(Domain.RACK, "/".join(rack), hosts))
        else:
            events.extend(event(Domain.HOST, host.name, [host]) for host in hosts)
    return tuple(events)


def group_by_region(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> tuple[LossEvent, ...]:
    """
    Group lost hosts to the connected regions of a graph of neighbouring racks.

    Hosts are neighbours within a rack and between racks that follow one another by
    name within an availability zone.
    """
    events = []
    for hosts in connected_regions(lost, fleet):
        zones = {host.availability_zone for host in hosts}
        racks = {rack_of(host) for host in hosts}
        if len(hosts) == 1:
            events.append(event(Domain.HOST, hosts[0].name, hosts))
        elif len(racks) == 1:
            events.append(event(Domain.RACK, "/".join(racks.pop()), hosts))
        else:
            events.append(event(Domain.ZONE, zones.pop(), hosts))
    return tuple(events)


def connected_regions(
    lost: Iterable[Host], fleet: Mapping[str, Host]
) -> list[list[Host]]:
    """Return the connected sets of lost hosts."""
    by_rack = split(sorted(lost, key=lambda host: host.name), rack_of)
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


def event(domain: Domain, name: str, hosts: list[Host]) -> LossEvent:
    """Return an event over hosts."""
    return LossEvent(domain, name, tuple(host.name for host in hosts))


def rack_of(host: Host) -> tuple[str, str]:
    """Return availability zone and rack of a host."""
    return host.availability_zone, host.rack


def split(hosts: Iterable[Host], key: Callable) -> dict:
    """Return hosts by key."""
    groups = defaultdict(list)
    for host in hosts:
        groups[key(host)].append(host)
    return groups


GROUPINGS = {"domain": group_by_domain, "region": group_by_region}


def get_grouping_by_name(name: str) -> Callable | None:
    """Return a way to group lost hosts, or None."""
    return GROUPINGS.get(name)
