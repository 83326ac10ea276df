"""
mulberryledge_core.conversion
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Strict conversion of plain values (TOML, JSON) to frozen data, and its faults.

Nothing is coerced: text is no number, a truth value is no number, and a number
with a fraction is no whole number. Every fault is reported at once with its place.
"""

import math
from base64 import b85decode
from collections.abc import Callable, Iterator
from dataclasses import is_dataclass
from difflib import get_close_matches
from enum import Enum
from typing import get_args, get_origin

from cattrs import ClassValidationError, Converter
from cattrs.cols import list_structure_factory
from cattrs.errors import ForbiddenExtraKeysError, IterableValidationError
from cattrs.gen import make_dict_structure_fn
from cattrs.preconf.json import make_converter

from mulberryledge_core.outcomes import Fault

__all__ = ["PLAIN", "conversion_faults", "summary_of"]

KINDS = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    bytes: "base85 text",
    tuple: "a list",
    dict: "a section of keys and values",
}
UNITS = {
    "ms": "milliseconds",
    "s": "seconds",
    "min": "minutes",
    "minutes": "minutes",
    "days": "days",
    "kb": "kilobytes",
    "mb": "megabytes",
}
SHOWN_CHARS = 60
WHOLE = "(whole)"

PLAIN = make_converter(forbid_extra_keys=True)


class WrongKind(ValueError):
    """A plain value of the wrong kind."""

    def __init__(self, value: object, kind: type):
        super().__init__(f"{shorten(value)} is not {KINDS[kind]}")


def shorten(value: object) -> str:
    """Return a value as it stands in messages, cut to a bounded length."""
    shown = str(value).lower() if isinstance(value, bool) else repr(value)
    if len(shown) <= SHOWN_CHARS:
        return shown
    return shown[:SHOWN_CHARS] + "..."


def strict_int(value: object, _) -> int:
    """Accept a whole number only."""
    if type(value) is not int:
        raise WrongKind(value, int)
    return value


def strict_float(value: object, _) -> float:
    """Accept a finite number only."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise WrongKind(value, float)
    return float(value)


def strict_text(value: object, kind: type[str]) -> str:
    """Accept text only, or a value of the enumeration of texts."""
    if type(value) is not str:
        raise WrongKind(value, str)
    if not issubclass(kind, Enum):
        return value
    values = {str(member): member for member in kind}
    if value not in values:
        raise ValueError(f"{shorten(value)} is unknown; use {', '.join(values)}")
    return values[value]


def strict_bool(value: object, _) -> bool:
    """Accept a truth value only."""
    if type(value) is not bool:
        raise WrongKind(value, bool)
    return value


def strict_bytes(value: object, _) -> bytes:
    """Accept the base85 text of bytes only."""
    if type(value) is not str:
        raise WrongKind(value, bytes)
    try:
        return b85decode(value)
    except ValueError as error:
        raise WrongKind(value, bytes) from error


def strict_section(kind: type, converter: Converter) -> Callable:
    """Return a hook that accepts a mapping with known keys only."""
    structure = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True)

    def hook(value: object, _) -> object:
        if not isinstance(value, dict):
            raise WrongKind(value, dict)
        return structure(value, kind)

    return hook


def strict_tuple(kind: type, converter: Converter) -> Callable:
    """Return a hook that accepts a list of one kind only."""
    item = get_args(kind)[0]
    structure = list_structure_factory(list[item], converter)

    def hook(value: object, _) -> tuple:
        if not isinstance(value, list | tuple):
            raise WrongKind(value, tuple)
        return tuple(structure(value, list[item]))

    return hook


def is_tuple(kind: object) -> bool:
    """Return whether a type is a tuple of any length."""
    return get_origin(kind) is tuple


PLAIN.register_structure_hook_factory(is_dataclass, strict_section)
PLAIN.register_structure_hook_factory(is_tuple, strict_tuple)
PLAIN.register_structure_hook(bytes, strict_bytes)
PLAIN.register_structure_hook(int, strict_int)
PLAIN.register_structure_hook(float, strict_float)
PLAIN.register_structure_hook(str, strict_text)
PLAIN.register_structure_hook(bool, strict_bool)


def conversion_faults(error: BaseException, place: str = "") -> Iterator[Fault]:
    """Yield a fault for each cause inside a conversion error."""
    if isinstance(error, ClassValidationError):
        noted, others = error.group_exceptions()
        for cause, note in noted:
            yield from conversion_faults(cause, join(place, note.name))
        for cause in others:
            yield from conversion_faults(cause, place)
    elif isinstance(error, IterableValidationError):
        noted, others = error.group_exceptions()
        for cause, note in noted:
            yield from conversion_faults(cause, f"{place}[{note.index}]")
        for cause in others:
            yield from conversion_faults(cause, place)
    elif isinstance(error, ForbiddenExtraKeysError):
        yield from _unknown_keys(error, place)
    elif isinstance(error, KeyError):
        yield Fault(place, "missing" + _unit_hint(place))
    elif isinstance(error, WrongKind):
        yield Fault(place or WHOLE, f"{error}{_unit_hint(place)}")
    else:
        yield Fault(place or WHOLE, str(error))


def _unknown_keys(error: ForbiddenExtraKeysError, place: str) -> Iterator[Fault]:
    known = list(error.cl.__dataclass_fields__)
    for key in sorted(error.extra_fields):
        near = get_close_matches(key, known, n=1, cutoff=0.5)
        if near:
            hint = f"unknown; did you mean {near[0]}?" + _unit_hint(near[0])
        else:
            hint = f"unknown; use {', '.join(known)}"
        yield Fault(join(place, key), hint)


def _unit_hint(place: str) -> str:
    unit = UNITS.get(place.rpartition("_")[2]) if "_" in place else None
    return f" ({unit})" if unit else ""


def join(place: str, name: str) -> str:
    """Return the dotted place of a name inside a place."""
    return f"{place}.{name}" if place else name


def summary_of(faults: tuple[Fault, ...]) -> str:
    """Return all faults as one sentence for people."""
    return "; ".join(f"{fault.place}: {fault.problem}" for fault in faults)
