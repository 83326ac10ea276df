"""
mulberryledge_daemon.settings_checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validation of settings values beyond their types, and comparison of settings for a
reload.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from urllib.parse import urlsplit

from mulberryledge_core.documents import NAME_RULE, is_in_range, is_name
from mulberryledge_core.keys import KEY_ID_RULE, is_key_id
from mulberryledge_core.outcomes import Fault
from mulberryledge_daemon.peer_checks import is_ip_address, peer_faults

__all__ = ["ReloadPlan", "plan_reload", "settings_faults"]

MAX_PORT = 65_535
MAX_TIME_S = 86_400
MAX_WEIGHT = 1_000_000
DIGEST_HEX_DIGITS = 64
MAX_SALT_HEX_DIGITS = 32
MIN_LEASE_TICKS = 5

RANGES = (
    ("listen", "callers_port", 0, MAX_PORT),
    ("listen", "operators_port", 0, MAX_PORT),
    ("listen", "peers_port", 0, MAX_PORT),
    ("timing", "target_lease_s", 0.5, 3_600),
    ("timing", "tick_s", 0.01, 10),
    ("timing", "probation_s", 0, MAX_TIME_S),
    ("timing", "stop_timeout_s", 0.1, 3_600),
    ("timing", "reboot_slow_s", 0.1, MAX_TIME_S),
    ("timing", "reboot_timeout_s", 0.1, MAX_TIME_S),
    ("timing", "long_drain_s", 0.1, MAX_TIME_S),
    ("timing", "repair_confirm_s", 0, MAX_TIME_S),
    ("timing", "repair_reboot_s", 0.1, MAX_TIME_S),
    ("timing", "repair_replace_s", 0.1, MAX_TIME_S),
    ("weights", "roll_out", 0, MAX_WEIGHT),
    ("weights", "buffer", 0, MAX_WEIGHT),
    ("weights", "moves", 0, MAX_WEIGHT),
    ("weights", "share", 0, MAX_WEIGHT),
)
RELOADABLE = frozenset(
    (
        "operator.key_id",
        "operator.salt",
        "operator.digest",
        "platform.url",
        "timing.stop_timeout_s",
        "timing.target_lease_s",
        "logs.level",
    )
)

Section = dict[str, object]


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """
    Changed settings of a reload, as dotted keys.

    Attributes
    ----------
    applied : tuple of str
        Settings that take effect immediately.
    needs_restart : tuple of str
        Settings that keep their old value until the next start.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


def plan_reload(old: object, new: object) -> ReloadPlan:
    """Compare two settings key by key."""
    before, after = dict(dotted_items(asdict(old))), dict(dotted_items(asdict(new)))
    changed = sorted(
        key for key in before.keys() | after.keys() if before.get(key) != after.get(key)
    )
    return ReloadPlan(
        applied=tuple(key for key in changed if key in RELOADABLE),
        needs_restart=tuple(key for key in changed if key not in RELOADABLE),
    )


def dotted_items(sections: Section) -> Iterator[tuple[str, object]]:
    """Yield each value with its dotted key."""
    for section, value in sections.items():
        if isinstance(value, dict):
            yield from ((f"{section}.{name}", item) for name, item in value.items())
        else:
            yield section, value


def settings_faults(plain: Section) -> Iterator[Fault]:
    """
    Yield every fault of parsed TOML settings except type errors.

    Values of a wrong type are skipped; the conversion to ``Settings`` reports them.
    """
    yield from _range_faults(plain)
    yield from _daemon_faults(_section(plain, "daemon"))
    yield from _listen_faults(_section(plain, "listen"))
    yield from _operator_faults(_section(plain, "operator"))
    yield from _platform_faults(_section(plain, "platform"))
    yield from _timing_faults(_section(plain, "timing"))
    yield from peer_faults(plain)


def _section(plain: Section, name: str) -> Section:
    value = plain.get(name)
    return value if isinstance(value, dict) else {}


def _text(section: Section, name: str) -> str:
    value = section.get(name)
    return value if isinstance(value, str) else ""


def _range_faults(plain: Section) -> Iterator[Fault]:
    for section, field, minimum, maximum in RANGES:
        value = _section(plain, section).get(field, minimum)
        if not is_in_range(value, minimum, maximum):
            problem = f"{value} is out of range: use {minimum} to {maximum}"
            yield Fault(f"{section}.{field}", problem)


def _daemon_faults(daemon: Section) -> Iterator[Fault]:
    name = daemon.get("name")
    if isinstance(name, str) and not is_name(name):
        yield Fault("daemon.name", f"{name!r} is not a valid name: {NAME_RULE}")


def _listen_faults(listen: Section) -> Iterator[Fault]:
    address = _text(listen, "address")
    if address and not is_ip_address(address):
        problem = f"{address!r} is no IP number: use for example 10.0.0.7"
        yield Fault("listen.address", problem)
    ports = ("callers_port", "operators_port", "peers_port")
    field_by_port: dict[object, str] = {}
    for field in ports:
        port = listen.get(field)
        if port and port in field_by_port:
            problem = (
                f"{port} is already used by {field_by_port[port]}: use another port"
            )
            yield Fault(f"listen.{field}", problem)
        field_by_port[port] = field


def _operator_faults(operator: Section) -> Iterator[Fault]:
    hint = 'make one with "mulberryledged make-key"'
    if not operator:
        return
    if not is_key_id(_text(operator, "key_id")):
        yield Fault("operator.key_id", f"not a valid identifier: {KEY_ID_RULE}")
    salt, digest = _text(operator, "salt"), _text(operator, "digest")
    if not _is_hex(salt) or not 0 < len(salt) <= MAX_SALT_HEX_DIGITS:
        problem = f"not 2 to {MAX_SALT_HEX_DIGITS} hexadecimal digits: {hint}"
        yield Fault("operator.salt", problem)
    if not _is_hex(digest) or len(digest) != DIGEST_HEX_DIGITS:
        problem = f"not {DIGEST_HEX_DIGITS} hexadecimal digits: {hint}"
        yield Fault("operator.digest", problem)


def _is_hex(text: str) -> bool:
    try:
        bytes.fromhex(text)
    except ValueError:
        return False
    return True


def _platform_faults(platform: Section) -> Iterator[Fault]:
    url = _text(platform, "url")
    parts = urlsplit(url)
    if url and (parts.scheme not in ("http", "https") or not parts.netloc):
        problem = f"{url!r} is not an HTTP URL: use for example http://10.0.0.9:8080"
        yield Fault("platform.url", problem)


def _timing_faults(timing: Section) -> Iterator[Fault]:
    lease_s = _number(timing, "target_lease_s", 10.0)
    min_s = MIN_LEASE_TICKS * _number(timing, "tick_s", 0.1)
    if lease_s < min_s:
        problem = f"{lease_s} is under {MIN_LEASE_TICKS} ticks: use {min_s:g} or more"
        yield Fault("timing.target_lease_s", problem)
    slow_s = _number(timing, "reboot_slow_s", 300.0)
    timeout_s = _number(timing, "reboot_timeout_s", 900.0)
    if slow_s > timeout_s:
        problem = f"{slow_s:g} is above reboot_timeout_s {timeout_s:g}: use less"
        yield Fault("timing.reboot_slow_s", problem)


def _number(section: Section, name: str, default: float) -> float:
    value = section.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else default
