"""
mulberryledge_core.documents
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Service documents: parsing, and the checks that need no other state.
"""

import tomllib
from collections.abc import Iterator

from result import Err, Result

from mulberryledge_core.codec import from_plain
from mulberryledge_core.model.services import ServiceDocument
from mulberryledge_core.outcomes import Code, Fault, Refusal

__all__ = ["NAME_RULE", "RANGES", "document_faults", "is_name", "parse_document"]

NAME_RULE = "use 1 to 64 lower-case letters, digits and hyphens"
MAX_NAME_CHARS = 64
NAME_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")

RANGES = (
    ("calls", "deadline_ms", 1, 120_000),
    ("calls", "max_body_kb", 1, 65_536),
    ("queue", "lease_ms", 500, 600_000),
    ("queue", "max_attempts", 1, 100),
    ("queue", "max_run_s", 1, 604_800),
    ("queue", "max_queued", 1, 100_000),
    ("size", "processors", 0, 1_024),
    ("size", "memory_mb", 0, 16_777_216),
    ("size", "accelerators", 0, 64),
    ("availability", "max_hosts_out", 0, 100_000),
    ("availability", "max_hosts_out_per_zone", 0, 100_000),
    ("availability", "max_hosts_out_per_rack", 0, 100_000),
    ("availability", "min_hosts_serving", 0, 100_000),
    ("availability", "outage_minutes", 0, 10_000_000),
    ("availability", "window_days", 1, 366),
)


def is_name(text: str) -> bool:
    """Return whether the text may name a pool, host, team or service."""
    return 0 < len(text) <= MAX_NAME_CHARS and NAME_CHARS.issuperset(text)


def parse_document(text: str) -> Result[ServiceDocument, Refusal]:
    """
    Parse and check one service document.

    Parameters
    ----------
    text : str
        TOML text.

    Returns
    -------
    Result of ServiceDocument and Refusal
        The refusal holds every fault with its place.
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err(Refusal(Code.INVALID_DOCUMENT, f"not TOML: {error}"))
    parsed = from_plain(plain, ServiceDocument)
    if isinstance(parsed, Err):
        refusal = parsed.err_value
        return Err(Refusal(Code.INVALID_DOCUMENT, refusal.message, refusal.faults))
    faults = tuple(document_faults(parsed.ok_value))
    if faults:
        summary = "; ".join(f"{fault.place}: {fault.problem}" for fault in faults)
        return Err(Refusal(Code.INVALID_DOCUMENT, summary, faults))
    return parsed


def document_faults(document: ServiceDocument) -> Iterator[Fault]:
    """Yield every fault that the document has on its own."""
    for field in ("name", "team", "pool"):
        value = getattr(document.service, field)
        if not is_name(value):
            yield Fault(f"service.{field}", f"{value!r} is no name: {NAME_RULE}")
    if document.calls is None and document.queue is None:
        yield Fault("calls", "missing: a service has [calls], [queue] or both")
    yield from _range_faults(document)


def _range_faults(document: ServiceDocument) -> Iterator[Fault]:
    for section_name, field, least, most in RANGES:
        section = getattr(document, section_name)
        if section is None:
            continue
        value = getattr(section, field)
        if not least <= value <= most:
            place = f"{section_name}.{field}"
            yield Fault(place, f"{value} is out of range: use {least} to {most}")
