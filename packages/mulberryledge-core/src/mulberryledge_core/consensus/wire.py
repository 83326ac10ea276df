"""
mulberryledge_core.consensus.wire
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Positional CBOR encoding of typed messages, for frequent messages and for records on
disk. The order of classes and of their fields is the format.
"""

from typing import Any

import cbor2
from cattrs import BaseValidationError, Converter, UnstructureStrategy

__all__ = ["MessageTable"]

DECODE_ERRORS = (TypeError, LookupError, cbor2.CBORDecodeError, BaseValidationError)
CONVERTER = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


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
