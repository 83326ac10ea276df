"""
mulberryledge_core.consensus.wire
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Positional CBOR encoding of typed messages, for frequent messages and for records on
disk. The order of classes and of their fields is the format.
"""

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from operator import attrgetter
from typing import Any, get_type_hints

import cbor2
from cattrs import BaseValidationError, Converter, UnstructureStrategy

__all__ = ["MessageTable"]

DECODE_ERRORS = (TypeError, LookupError, cbor2.CBORDecodeError, BaseValidationError)
CONVERTER = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
PLAIN_TYPES = (str, int, bool, float, bytes)


def make_unstructure(kind: type) -> Callable[[Any], tuple]:
    """Return a function that converts an instance of a data class to a tuple."""
    types = get_type_hints(kind)
    names = [field.name for field in fields(kind)]
    if len(names) > 1 and all(types[name] in PLAIN_TYPES for name in names):
        return attrgetter(*names)
    converters = [
        (name, None if types[name] in PLAIN_TYPES else CONVERTER.unstructure)
        for name in names
    ]

    def unstructure(value: Any) -> tuple:
        return tuple(
            getattr(value, name) if convert is None else convert(getattr(value, name))
            for name, convert in converters
        )

    return unstructure


def make_structure(kind: type) -> Callable[[Any, type], Any]:
    """Return a function that creates a data class; missing fields get defaults."""
    hints = get_type_hints(kind)
    types = [hints[field.name] for field in fields(kind)]

    def structure(row: Any, _: type) -> Any:
        values = [
            value if type(value) is expected else CONVERTER.structure(value, expected)
            for value, expected in zip(row, types, strict=False)
        ]
        return kind(*values)

    return structure


# The converter's own functions look up the fields of a class for each instance.
CONVERTER.register_unstructure_hook_factory(is_dataclass, make_unstructure)
CONVERTER.register_structure_hook_factory(is_dataclass, make_structure)


class MessageTable:
    """Codec of the given classes; a class is encoded as its position."""

    def __init__(self, kinds: tuple[type, ...]):
        self.kinds = kinds
        self.numbers = {kind: number for number, kind in enumerate(kinds)}

    def encode(self, message: object) -> bytes:
        """Encode a message after the number of its class."""
        number = self.numbers[type(message)]
        return cbor2.dumps([number, CONVERTER.unstructure(message)])

    def encode_many(self, head: int, messages: tuple[object, ...]) -> bytes:
        """Encode a leading number and messages."""
        rows = [
            [self.numbers[type(one)], CONVERTER.unstructure(one)] for one in messages
        ]
        return cbor2.dumps([head, rows])

    def decode_many(self, data: bytes) -> tuple[int, tuple[Any, ...]]:
        """
        Decode what :meth:`encode_many` wrote.

        Raises
        ------
        ValueError
            If the data is damaged or has a message that is not in the table.
        """
        try:
            head, rows = cbor2.loads(data)
            messages = tuple(
                CONVERTER.structure(fields, self.kinds[number])
                for number, fields in rows
            )
        except DECODE_ERRORS as error:
            raise ValueError(f"cannot decode messages: {error}") from error
        return head, messages

    def decode(self, data: bytes) -> Any:
        """
        Decode a message.

        Raises
        ------
        ValueError
            If the data is damaged or the message is not in the table.
        """
        try:
            number, fields = cbor2.loads(data)
            return CONVERTER.structure(fields, self.kinds[number])
        except DECODE_ERRORS as error:
            raise ValueError(f"cannot decode message: {error}") from error
