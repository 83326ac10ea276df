"""
mulberryledge_daemon.peer_checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validation of the settings ``peers`` and ``tls``.
"""

from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

from mulberryledge_core.documents import NAME_RULE, is_name
from mulberryledge_core.outcomes import Fault

__all__ = ["is_ip_address", "peer_faults"]

MAX_PORT = 65_535
TLS_FIELDS = ("certificate", "private_key", "authority")

Section = dict[str, object]


def peer_faults(plain: Section) -> Iterator[Fault]:
    """Yield every fault of the sections ``peers`` and ``tls``."""
    peers = plain.get("peers")
    if isinstance(peers, list) and peers:
        daemon, listen = _section(plain, "daemon"), _section(plain, "listen")
        yield from _local_faults(daemon, listen, peers)
        yield from _peer_list_faults(daemon.get("name"), peers)
    yield from _tls_faults(_section(plain, "tls"))


def _section(plain: Section, name: str) -> Section:
    value = plain.get(name)
    return value if isinstance(value, dict) else {}


def _local_faults(daemon: Section, listen: Section, peers: list) -> Iterator[Fault]:
    if not listen.get("peers_port"):
        problem = "missing: the daemons in 'peers' dial this port"
        yield Fault("listen.peers_port", problem)
    voters = [one for one in peers if isinstance(one, dict) and one.get("voter")]
    if not daemon.get("data_folder") and not voters:
        problem = "no daemon votes: set 'voter = true' on 3 or 5 with a data folder"
        yield Fault("peers", problem)


def _peer_list_faults(own_name: object, peers: list) -> Iterator[Fault]:
    names = {own_name}
    for index, peer in enumerate(peers):
        if not isinstance(peer, dict):
            continue
        place = f"peers[{index}]"
        name, port = peer.get("name"), peer.get("port")
        if isinstance(name, str) and not is_name(name):
            yield Fault(f"{place}.name", f"{name!r} is not a valid name: {NAME_RULE}")
        if name in names:
            problem = f"{name!r} is taken: each daemon has a name of its own"
            yield Fault(f"{place}.name", problem)
        names.add(name)
        if isinstance(port, int) and not 0 < port <= MAX_PORT:
            problem = f"{port} is out of range: use 1 to {MAX_PORT}"
            yield Fault(f"{place}.port", problem)
        address = peer.get("address")
        if isinstance(address, str) and not is_ip_address(address):
            problem = f"{address!r} is no IP number: use for example 10.0.0.7"
            yield Fault(f"{place}.address", problem)


def is_ip_address(text: str) -> bool:
    """Return whether the text is an IPv4 or IPv6 address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _tls_faults(tls: Section) -> Iterator[Fault]:
    present = [field for field in TLS_FIELDS if tls.get(field)]
    for field in TLS_FIELDS:
        path = tls.get(field)
        if present and not path:
            yield Fault(f"tls.{field}", f"missing, but {present[0]} is set")
        elif isinstance(path, str) and path and not Path(path).is_file():
            yield Fault(f"tls.{field}", f"{path}: no such file")
    if tls.get("operators") is True and not present:
        yield Fault("tls.operators", "needs tls.certificate, private_key and authority")
