"""
mulberryledge_daemon.http.headers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Headers of requests and answers, as frozen data.
"""

from dataclasses import dataclass

__all__ = ["Header"]


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str
