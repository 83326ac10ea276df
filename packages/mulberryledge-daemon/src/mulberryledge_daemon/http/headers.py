"""
mulberryledge_daemon.http.headers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP header fields of requests and answers.
"""

from dataclasses import dataclass

__all__ = ["Header"]


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str
