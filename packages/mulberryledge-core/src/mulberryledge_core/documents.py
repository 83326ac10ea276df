"""
mulberryledge_core.documents
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parsing of service documents, and the checks that need no cluster state.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import unified_diff

from result import Err, Ok, Result

from mulberryledge_core.codec import from_plain
from mulberryledge_core.conversion import summary_of
from mulberryledge_core.model.services import ServiceDocument
from mulberryledge_core.outcomes import Code, Fault, Refusal

__all__ = [
    "MAX_DEADLINE_MS",
    "NAME_RULE",
    "RANGES",
    "DocumentReading",
    "document_diff",
    "invalid_document",
    "is_in_range",
    "is_name",
    "parse_document",
    "read_document",
]

MAX_DOCUMENT_CHARS = 65_536
MS_PER_S = 1_000

NAME_RULE = "use 1 to 64 lower-case letters, digits and hyphens"
MAX_NAME_CHARS = 64
MAX_DEADLINE_MS = 120_000
NAME_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")

RANGES = (
    ("calls", "deadline_ms", 1, MAX_DEADLINE_MS),
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
    ("objective", "success_share", 0.5, 0.99999),
    ("objective", "latency_ms", 0, 120_000),
    ("objective", "window_days", 1, 90),
)


def is_name(text: str) -> bool:
    """Return whether the text may name a pool, host, team or service."""
    return 0 < len(text) <= MAX_NAME_CHARS and NAME_CHARS.issuperset(text)


def is_in_range(value: object, minimum: float, maximum: float) -> bool:
    """Return whether a number is in a range; other types pass."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return True
    return minimum <= value <= maximum


@dataclass(frozen=True, slots=True)
class DocumentReading:
    """
    Content and faults of the text of a service document.

    Attributes
    ----------
    plain : dict
        TOML values; empty if the text is not valid TOML.
    document : ServiceDocument or None
        The document, if every value has the right type.
    faults : tuple of Fault
        All faults found without cluster state.
    """

    plain: dict[str, object]
    document: ServiceDocument | None
    faults: tuple[Fault, ...]

    def section(self, name: str) -> dict[str, object]:
        """Return the values of a section, empty if there is no such section."""
        value = self.plain.get(name)
        return value if isinstance(value, dict) else {}


def read_document(text: str) -> DocumentReading:
    """Parse and check a service document, collecting all faults."""
    if len(text) > MAX_DOCUMENT_CHARS:
        problem = f"{len(text)} characters; use {MAX_DOCUMENT_CHARS} at most"
        return DocumentReading({}, None, (Fault("(whole)", problem),))
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return DocumentReading({}, None, (Fault("(whole)", f"not TOML: {error}"),))
    parsed = from_plain(plain, ServiceDocument)
    document = parsed.ok_value if isinstance(parsed, Ok) else None
    type_faults = () if isinstance(parsed, Ok) else parsed.err_value.faults
    draft = DocumentReading(plain, document, ())
    return DocumentReading(plain, document, (*type_faults, *document_faults(draft)))


def parse_document(text: str) -> Result[ServiceDocument, Refusal]:
    """
    Parse and check one service document; any fault is a refusal.

    Parameters
    ----------
    text : str
        TOML text.

    Returns
    -------
    Result of ServiceDocument and Refusal
        The refusal lists every fault with its place.
    """
    reading = read_document(text)
    if reading.faults or reading.document is None:
        return Err(invalid_document(reading.faults))
    return Ok(reading.document)


def invalid_document(faults: tuple[Fault, ...]) -> Refusal:
    """Return the refusal of a document that has faults."""
    return Refusal(Code.INVALID_DOCUMENT, summary_of(faults), faults)


def document_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified diff of two texts, empty if they are equal."""
    lines = unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


def document_faults(reading: DocumentReading) -> Iterator[Fault]:
    """Yield faults of names, sections, ranges and combinations of values."""
    section = reading.section("service")
    for field in ("name", "team", "pool"):
        value = section.get(field)
        if isinstance(value, str) and not is_name(value):
            yield Fault(f"service.{field}", f"{value!r} is no name: {NAME_RULE}")
    if "calls" not in reading.plain and "queue" not in reading.plain:
        yield Fault("calls", "missing: a service has [calls], [queue] or both")
    yield from _range_faults(reading)
    if reading.document is not None:
        yield from _contradiction_faults(reading.document)


def _range_faults(reading: DocumentReading) -> Iterator[Fault]:
    for section, field, minimum, maximum in RANGES:
        value = reading.section(section).get(field, minimum)
        if not is_in_range(value, minimum, maximum):
            problem = f"{value} is out of range: use {minimum} to {maximum}"
            yield Fault(f"{section}.{field}", problem)


def _contradiction_faults(document: ServiceDocument) -> Iterator[Fault]:
    calls, queue = document.calls, document.queue
    if queue is not None and queue.lease_ms > queue.max_run_s * MS_PER_S:
        yield Fault(
            "queue.lease_ms",
            f"{queue.lease_ms} ms is longer than the longest run, queue.max_run_s"
            f" {queue.max_run_s} s: use {queue.max_run_s * MS_PER_S} at most",
        )
    latency_ms = document.objective.latency_ms
    if calls is not None and latency_ms > calls.deadline_ms:
        yield Fault(
            "objective.latency_ms",
            f"{latency_ms} ms is longer than calls.deadline_ms {calls.deadline_ms}:"
            f" use {calls.deadline_ms} at most",
        )
