"""
mulberryledge_testing.upkeep.fleets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fleets of the two users' sizes and of the design size.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey

__all__ = ["FALAJ", "LARGE", "YAYLA", "Fleet", "fleet_commands", "service_of"]

RACK_HOSTS = 4
QUIET_MIN = 240
DAY_MIN = 1_440
DOCUMENT = """
[service]
name = "{service}"
team = "team"
pool = "{pool}"
[calls]
deadline_ms = 10000
[queue]
max_run_s = 3600
[availability]
max_hosts_out = {out}
max_hosts_out_per_zone = {out}
max_hosts_out_per_rack = 1
min_hosts_serving = {serving}
outage_minutes = {minutes}
"""


@dataclass(frozen=True, slots=True)
class Fleet:
    """
    Size and shape of a fleet.

    Attributes
    ----------
    services, hosts : int
        Services per pool, and hosts per service.
    spares : int
        Hosts of the spare pool.
    out : int
        Hosts of a service that may be out at once.
    serving : int
        Hosts of a service that must keep serving.
    always_quiet : bool
        Whether the quiet time of the pools covers the whole day.
    shared : bool
        Whether every other host runs a service of the first pool.
    """

    name: str
    zones: tuple[str, ...]
    pools: int
    services: int
    hosts: int
    spares: int
    out: int = 1
    serving: int = 2
    outage_minutes: int = 0
    always_quiet: bool = True
    shared: bool = False


FALAJ = Fleet("falaj", ("nizwa", "bahla", "izki", "samail"), 1, 5, 8, 4)
YAYLA = Fleet("yayla", ("north-valley", "plateau", "river-side"), 1, 5, 6, 3)
LARGE = Fleet(
    "large", tuple(f"zone-{n}" for n in range(7)), 20, 5, 10, 0, always_quiet=False
)


def service_of(pool: int, service: int) -> str:
    """Return the name of a pool's service by their numbers."""
    return f"service-{pool}-{service}"


def fleet_commands(fleet: Fleet) -> Iterator[object]:
    """Yield the commands that create a fleet."""
    yield CreateTeam("team", upper_limit=100_000)
    yield GiveKey("key", "team", b"salt", b"digest")
    yield CreatePool("office", spare=True)
    for number in range(fleet.spares):
        zone = fleet.zones[number % len(fleet.zones)]
        yield AddHost(f"spare-{number}", "office", "region", zone, "office")
    for pool in range(fleet.pools):
        yield from pool_commands(fleet, pool)


def pool_commands(fleet: Fleet, pool: int) -> Iterator[object]:
    """Yield the commands that create one pool."""
    name = f"pool-{pool}"
    start = 0 if fleet.always_quiet else (pool * 137) % DAY_MIN
    end = 0 if fleet.always_quiet else (start + QUIET_MIN) % DAY_MIN
    yield CreatePool(name, start, end)
    for service in range(fleet.services):
        text = DOCUMENT.format(
            service=service_of(pool, service),
            pool=name,
            out=fleet.out,
            serving=fleet.serving,
            minutes=fleet.outage_minutes,
        )
        yield ApplyDocument(text, 1)
    for number in range(fleet.services * fleet.hosts):
        zone = fleet.zones[number % len(fleet.zones)]
        rack = number // len(fleet.zones) // RACK_HOSTS
        host = f"host-{pool}-{number}"
        yield AddHost(host, name, "region", zone, f"rack-{pool}-{rack}")
