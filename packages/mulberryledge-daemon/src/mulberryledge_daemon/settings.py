"""
mulberryledge_daemon.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The daemon's TOML settings as frozen dataclasses. All faults of a file are reported
together.
"""

import tomllib
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from result import Err, Ok, Result

from mulberryledge_core.codec import from_plain
from mulberryledge_core.conversion import summary_of
from mulberryledge_core.decisions.pools import Weights
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.settings_checks import settings_faults

__all__ = [
    "DaemonSection",
    "ListenSection",
    "LogsSection",
    "MaintenanceSection",
    "OperatorSection",
    "PeerSection",
    "PlatformSection",
    "Settings",
    "TimingSection",
    "TlsSection",
    "load_settings",
]


class LogLevel(StrEnum):
    """Minimum level of log records."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class DaemonSection:
    """
    Identity of the daemon.

    Attributes
    ----------
    name : str
        Unique name among the daemons.
    region, availability_zone : str
        Failure domains of the daemon.
    data_folder : str
        Folder of the durable state; empty for an entry without a disk.
    """

    name: str
    region: str = ""
    availability_zone: str = ""
    data_folder: str = ""


@dataclass(frozen=True, slots=True)
class ListenSection:
    """IP address and TCP ports; port 0 selects a free one."""

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
    """Identifier, hexadecimal salt and salted hash of the operators' key."""

    key_id: str = ""
    salt: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """URL of the platform's HTTP interface; empty for none."""

    url: str = ""


@dataclass(frozen=True, slots=True)
class TimingSection:
    """
    Leases, intervals and time-outs of the daemon.

    Attributes
    ----------
    target_lease_s : float
        Silence after which a target counts as lost.
    tick_s : float
        Period of the leader's planner.
    probation_s : float
        Time that a rebooted host must stay healthy before its probation ends.
    stop_timeout_s : float
        Maximum wait for running calls in a planned stop.
    reboot_slow_s : float
        Time after which a rebooting host stops its wave.
    reboot_timeout_s : float
        Time after which a rebooting host counts as lost.
    long_drain_s : float
        Time after which a drain counts as delayed by a long job.
    repair_confirm_s : float
        Silence after which a host is cordoned.
    repair_reboot_s, repair_replace_s : float
        Silence after which a host is rebooted, and after which a spare replaces it.
    """

    target_lease_s: float = 10.0
    tick_s: float = 0.1
    probation_s: float = 5.0
    stop_timeout_s: float = 130.0
    reboot_slow_s: float = 300.0
    reboot_timeout_s: float = 900.0
    long_drain_s: float = 30.0
    repair_confirm_s: float = 30.0
    repair_reboot_s: float = 300.0
    repair_replace_s: float = 900.0


@dataclass(frozen=True, slots=True)
class MaintenanceSection:
    """
    Maintenance that the leader starts without an operator.

    Attributes
    ----------
    calendar : bool
        Whether the leader starts a wave for each pool in turn, so that each host is
        maintained once every eight weeks.
    """

    calendar: bool = False


@dataclass(frozen=True, slots=True)
class LogsSection:
    """Log level: ``debug``, ``info``, ``warning`` or ``error``."""

    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class TlsSection:
    """
    PEM files for mutual TLS between daemons; all empty to disable TLS.

    Attributes
    ----------
    certificate, private_key : str
        Files of this daemon; the certificate contains the daemon's name.
    authority : str
        CA certificates that must have signed the peers' certificates.
    operators : bool
        Whether the operators' port requires client certificates too; this
        daemon's certificate must then also contain its IP address.
    """

    certificate: str = ""
    private_key: str = ""
    authority: str = ""
    operators: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    daemon: DaemonSection
    listen: ListenSection = ListenSection()
    operator: OperatorSection = OperatorSection()
    platform: PlatformSection = PlatformSection()
    timing: TimingSection = TimingSection()
    maintenance: MaintenanceSection = MaintenanceSection()
    logs: LogsSection = LogsSection()
    tls: TlsSection = TlsSection()
    weights: Weights = Weights()
    peers: tuple[PeerSection, ...] = field(default=())


def load_settings(path: Path) -> Result[Settings, Refusal]:
    """
    Read and validate a settings file.

    Returns
    -------
    Result of Settings and Refusal
        The refusal lists every fault with its place.
    """
    try:
        plain = tomllib.loads(path.read_text())
    except OSError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"{path}: {error.strerror}"))
    except ValueError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"{path}: not TOML: {error}"))
    parsed = from_plain(plain, Settings)
    type_faults = () if isinstance(parsed, Ok) else parsed.err_value.faults
    faults = (*type_faults, *settings_faults(plain))
    if faults:
        text = f"{path}: {summary_of(faults)}"
        return Err(Refusal(Code.BAD_REQUEST, text, faults))
    return parsed
