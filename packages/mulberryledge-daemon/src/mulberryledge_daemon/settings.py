"""
mulberryledge_daemon.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The daemon's TOML settings as frozen data, checked as a whole.
"""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from result import Err, Result

from mulberryledge_core.codec import from_plain
from mulberryledge_core.decisions.pools import Weights
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "DaemonSection",
    "ListenSection",
    "OperatorSection",
    "PeerSection",
    "PlatformSection",
    "Settings",
    "TimingSection",
    "load_settings",
]


@dataclass(frozen=True, slots=True)
class DaemonSection:
    """
    Identity of the daemon.

    Attributes
    ----------
    name : str
        Unique name among the daemons.
    region, availability_zone : str
        Failure domains that the daemon stands in.
    data_folder : str
        Folder of the durable state; empty for a diskless entry.
    """

    name: str
    region: str = ""
    availability_zone: str = ""
    data_folder: str = ""


@dataclass(frozen=True, slots=True)
class ListenSection:
    """IP number and TCP ports; port zero takes any free one."""

    address: str = "127.0.0.1"
    callers_port: int = 0
    operators_port: int = 0
    peers_port: int = 0


@dataclass(frozen=True, slots=True)
class PeerSection:
    """Another daemon of the cluster."""

    name: str
    address: str
    port: int
    voter: bool = False
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class OperatorSection:
    """Hex salt and salted hash of the operators' key."""

    key_id: str = ""
    salt: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Where the platform's HTTP interface is; an empty URL means none."""

    url: str = ""


@dataclass(frozen=True, slots=True)
class TimingSection:
    """
    Times that the daemon goes by.

    Attributes
    ----------
    target_lease_s : float
        Silence after which a target counts as lost.
    tick_s : float
        Period of the leader's planner.
    probation_s : float
        Time for which a rebooted host must stay healthy.
    stop_timeout_s : float
        Longest wait for running calls in a planned stop.
    """

    target_lease_s: float = 10.0
    tick_s: float = 0.1
    probation_s: float = 5.0
    stop_timeout_s: float = 130.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    daemon: DaemonSection
    listen: ListenSection = ListenSection()
    operator: OperatorSection = OperatorSection()
    platform: PlatformSection = PlatformSection()
    timing: TimingSection = TimingSection()
    weights: Weights = Weights()
    peers: tuple[PeerSection, ...] = field(default=())


def load_settings(path: Path) -> Result[Settings, Refusal]:
    """
    Read and check a settings file.

    Returns
    -------
    Result of Settings and Refusal
        The refusal names every fault with its place.
    """
    try:
        plain = tomllib.loads(path.read_text())
    except OSError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"{path}: {error.strerror}"))
    except tomllib.TOMLDecodeError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"{path}: not TOML: {error}"))
    return from_plain(plain, Settings)
