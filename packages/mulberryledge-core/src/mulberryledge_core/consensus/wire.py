"""
mulberryledge_core.consensus.wire
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

CBOR encoding of typed messages by position, for messages that are sent often and
for records on disk.
"""

from typing import Any

import cbor2
from cattrs import BaseValidationError, Converter, UnstructureStrategy

__all__ = ["MessageTable"]

DECODE_ERRORS = (TypeError, LookupError, cbor2.CBORDecodeError, BaseValidationError)
CONVERTER = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


class MessageTable:
    """Encodes the given kinds of messages; their order numbers them."""

    def __init__(self, kinds: tuple[type, ...]):
        self.kinds = kinds
        self.numbers = {kind: number for number, kind in enumerate(kinds)}

    def encode(self, message: object) -> bytes:
        """Encode a message with its number."""
        number = self.numbers[type(message)]
        return cbor2.dumps([number, CONVERTER.unstructure(message)])

    def encode_many(self, head: int, messages: tuple[object, ...]) -> bytes:
        """Encode a number and messages after it."""
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
            If the data holds anything but messages of the table.
        """
        try:
            head, rows = cbor2.loads(data)
            messages = tuple(
                CONVERTER.structure(fields, self.kinds[number])
                for number, fields in rows
            )
        except DECODE_ERRORS as error:
            raise ValueError(f"no messages of this table: {error}") from error
        return head, messages

    def decode(self, data: bytes) -> Any:
        """
        Decode a message.

        Raises
        ------
        ValueError
            If the data is no message of the table.
        """
        try:
            number, fields = cbor2.loads(data)
            return CONVERTER.structure(fields, self.kinds[number])
        except DECODE_ERRORS as error:
            raise ValueError(f"no message of this table: {error}") from error
