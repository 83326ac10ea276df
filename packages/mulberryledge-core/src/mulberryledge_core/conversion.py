"""
mulberryledge_core.conversion
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Strict conversion of plain values (TOML, JSON) to frozen data, with all faults.

No type is coerced: a string or a boolean is not accepted as a number, nor a fraction
as an integer. All faults are reported at once, each with its place.
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

TYPE_DESCRIPTIONS = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    bytes: "base85 text",
    tuple: "a list",
    dict: "a section of keys and values",
}
UNITS_BY_SUFFIX = {
    "ms": "milliseconds",
    "s": "seconds",
    "min": "minutes",
    "minutes": "minutes",
    "days": "days",
    "kb": "kilobytes",
    "mb": "megabytes",
}
MAX_SHOWN_CHARS = 60
ROOT_PLACE = "(whole)"

PLAIN = make_converter(forbid_extra_keys=True)


class WrongTypeError(ValueError):
    """A plain value has the wrong type."""

    def __init__(self, value: object, kind: type):
        super().__init__(f"{shorten(value)} is not {TYPE_DESCRIPTIONS[kind]}")


def shorten(value: object) -> str:
    """Return a value as shown in messages, truncated to a maximum length."""
    shown = str(value).lower() if isinstance(value, bool) else repr(value)
    if len(shown) <= MAX_SHOWN_CHARS:
        return shown
    return shown[:MAX_SHOWN_CHARS] + "..."


def strict_int(value: object, _) -> int:
    """Accept an integer only."""
    if type(value) is not int:
        raise WrongTypeError(value, int)
    return value


def strict_float(value: object, _) -> float:
    """Accept a finite number only."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise WrongTypeError(value, float)
    return float(value)


def strict_text(value: object, kind: type[str]) -> str:
    """Accept a string only; for an enumeration, one of its values."""
    if type(value) is not str:
        raise WrongTypeError(value, str)
    if not issubclass(kind, Enum):
        return value
    values = {str(member): member for member in kind}
    if value not in values:
        raise ValueError(f"{shorten(value)} is unknown; use {', '.join(values)}")
    return values[value]


def strict_bool(value: object, _) -> bool:
    """Accept a boolean only."""
    if type(value) is not bool:
        raise WrongTypeError(value, bool)
    return value


def strict_bytes(value: object, _) -> bytes:
    """Accept a base85 string only."""
    if type(value) is not str:
        raise WrongTypeError(value, bytes)
    try:
        return b85decode(value)
    except ValueError as error:
        raise WrongTypeError(value, bytes) from error


def strict_section(kind: type, converter: Converter) -> Callable:
    """Return a hook that accepts a mapping of known keys only."""
    structure_value = make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True
    )

    def hook(value: object, _) -> object:
        if not isinstance(value, dict):
            raise WrongTypeError(value, dict)
        return structure_value(value, kind)

    return hook


def strict_tuple(kind: type, converter: Converter) -> Callable:
    """Return a hook that accepts a list of one item type only."""
    item = get_args(kind)[0]
    structure_value = list_structure_factory(list[item], converter)

    def hook(value: object, _) -> tuple:
        if not isinstance(value, list | tuple):
            raise WrongTypeError(value, tuple)
        return tuple(structure_value(value, list[item]))

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
    """Yield a fault for each cause of a conversion error."""
    if isinstance(error, ClassValidationError):
        located, others = error.group_exceptions()
        for cause, note in located:
            yield from conversion_faults(cause, join_place(place, note.name))
        for cause in others:
            yield from conversion_faults(cause, place)
    elif isinstance(error, IterableValidationError):
        located, others = error.group_exceptions()
        for cause, note in located:
            yield from conversion_faults(cause, f"{place}[{note.index}]")
        for cause in others:
            yield from conversion_faults(cause, place)
    elif isinstance(error, ForbiddenExtraKeysError):
        yield from _unknown_keys(error, place)
    elif isinstance(error, KeyError):
        yield Fault(place, "missing" + _unit_hint(place))
    elif isinstance(error, WrongTypeError):
        yield Fault(place or ROOT_PLACE, f"{error}{_unit_hint(place)}")
    else:
        yield Fault(place or ROOT_PLACE, str(error))


def _unknown_keys(error: ForbiddenExtraKeysError, place: str) -> Iterator[Fault]:
    known = list(error.cl.__dataclass_fields__)
    for key in sorted(error.extra_fields):
        matches = get_close_matches(key, known, n=1, cutoff=0.5)
        if matches:
            hint = f"unknown; did you mean {matches[0]}?" + _unit_hint(matches[0])
        else:
            hint = f"unknown; use {', '.join(known)}"
        yield Fault(join_place(place, key), hint)


def _unit_hint(place: str) -> str:
    unit = UNITS_BY_SUFFIX.get(place.rpartition("_")[2]) if "_" in place else None
    return f" ({unit})" if unit else ""


def join_place(place: str, name: str) -> str:
    """Return the dotted path of a name below a place."""
    return f"{place}.{name}" if place else name


def summary_of(faults: tuple[Fault, ...]) -> str:
    """Return all faults as one message."""
    return "; ".join(f"{fault.place}: {fault.problem}" for fault in faults)
