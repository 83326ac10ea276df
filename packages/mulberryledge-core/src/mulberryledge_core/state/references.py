"""
mulberryledge_core.state.references
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks of a service document against teams, pools and hosts.
"""

from collections.abc import Iterator
from difflib import get_close_matches

from mulberryledge_core.documents import DocumentReading, is_name
from mulberryledge_core.model.hosts import Host, Resources
from mulberryledge_core.outcomes import Fault
from mulberryledge_core.state.tables import ClusterState

__all__ = ["reference_faults"]

SIZE_FIELDS = ("processors", "memory_mb", "accelerators")


def reference_faults(
    state: ClusterState, reading: DocumentReading
) -> tuple[Fault, ...]:
    """
    Return the faults of a document that only the state can reveal.

    Hosts of a spare pool count for every pool. A pool without hosts is no fault,
    because hosts may be assigned later.
    """
    section = reading.section("service")
    return (
        *_missing_name("team", section.get("team"), state.teams),
        *_missing_name("pool", section.get("pool"), state.pools),
        *_limit_faults(reading, _usable_hosts(state, section.get("pool"))),
    )


def _missing_name(kind: str, name: object, table: dict) -> Iterator[Fault]:
    if not isinstance(name, str) or not is_name(name) or name in table:
        return
    near = get_close_matches(name, table, n=1)
    hint = f"did you mean {near[0]!r}?" if near else f"create the {kind} first"
    yield Fault(f"service.{kind}", f"{kind} {name!r} does not exist; {hint}")


def _usable_hosts(state: ClusterState, pool: object) -> tuple[Host, ...]:
    pools = {name for name, row in state.pools.items() if row.spare} | {pool}
    if not any(host.pool == pool for host in state.hosts.values()):
        return ()
    return tuple(host for host in state.hosts.values() if host.pool in pools)


def _limit_faults(reading: DocumentReading, hosts: tuple[Host, ...]) -> Iterator[Fault]:
    if not hosts or reading.document is None:
        return
    required = reading.document.availability.min_hosts_serving
    if required > len(hosts):
        yield Fault(
            "availability.min_hosts_serving",
            f"{required} can't be met: the pool and the spare pools hold {len(hosts)}"
            f" hosts; use {len(hosts)} at most",
        )
    yield from _size_faults(reading.document.size, hosts)


def _size_faults(size: Resources, hosts: tuple[Host, ...]) -> Iterator[Fault]:
    for field in SIZE_FIELDS:
        if any(_is_undeclared(host.resources, field) for host in hosts):
            continue  # a host of undeclared capacity may fit any size
        required = getattr(size, field)
        largest = max(getattr(host.resources, field) for host in hosts)
        if required > largest:
            problem = f"{required} exceeds every host; use {largest} at most"
            yield Fault(f"size.{field}", problem)


def _is_undeclared(resources: Resources, field: str) -> bool:
    """Return whether a zero is undeclared; a host may declare no accelerators."""
    if field == "accelerators":
        return resources == Resources()
    return getattr(resources, field) == 0
