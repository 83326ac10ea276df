"""
mulberryledge_core.codec
~~~~~~~~~~~~~~~~~~~~~~~~

CBOR encoding of frozen data, and its conversion to and from plain values.
"""

from typing import Any, TypeVar

import cbor2
from cattrs import ClassValidationError
from cattrs.preconf.cbor2 import make_converter as make_cbor_converter
from result import Err, Ok, Result

from mulberryledge_core.conversion import PLAIN, conversion_faults, summary_of
from mulberryledge_core.outcomes import Code, Refusal

__all__ = [
    "decode",
    "encode",
    "from_plain",
    "to_plain",
]

T = TypeVar("T")

CBOR = make_cbor_converter()


def encode(value: object) -> bytes:
    """Encode frozen data as CBOR."""
    return cbor2.dumps(CBOR.unstructure(value))


def decode(data: bytes, kind: type[T]) -> T:
    """
    Decode frozen data that :func:`encode` wrote.

    Raises
    ------
    ValueError
        If the data is damaged; callers check integrity beforehand.
    """
    return CBOR.structure(cbor2.loads(data), kind)


def to_plain(value: object) -> Any:
    """Convert frozen data to values that JSON can hold."""
    return PLAIN.unstructure(value)


def from_plain(value: object, kind: type[T]) -> Result[T, Refusal]:
    """Convert plain values to frozen data; a refusal lists every fault."""
    try:
        return Ok(PLAIN.structure(value, kind))
    except ClassValidationError as error:
        return Err(_refusal(error))
    except ValueError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"not a {kind.__name__}: {error}"))


def _refusal(error: ClassValidationError) -> Refusal:
    faults = tuple(conversion_faults(error))
    return Refusal(Code.BAD_REQUEST, summary_of(faults), faults)
