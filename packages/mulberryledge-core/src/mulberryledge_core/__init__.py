"""
mulberryledge_core
~~~~~~~~~~~~~~~~~~

Frozen data, decisions and the replicated log. Nothing here opens a socket or a
file, reads a clock or draws a random number: each of these is an argument.
"""

from mulberryledge_core.codec import decode_command, encode_command
from mulberryledge_core.documents import parse_document
from mulberryledge_core.keys import make_key
from mulberryledge_core.state import ClusterState, apply

__all__ = [
    "ClusterState",
    "apply",
    "decode_command",
    "encode_command",
    "make_key",
    "parse_document",
]
