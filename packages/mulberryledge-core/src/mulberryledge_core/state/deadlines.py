"""
mulberryledge_core.state.deadlines
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Longest deadline of the calls that may still run.
"""

from collections.abc import Iterator
from functools import lru_cache

from mulberryledge_core.documents import MAX_DEADLINE_MS, read_document
from mulberryledge_core.model.services import Service
from mulberryledge_core.state.tables import ClusterState

__all__ = ["longest_deadline_ms"]

MAX_CACHED_TEXTS = 4_096


def longest_deadline_ms(state: ClusterState) -> int:
    """
    Return the longest deadline that any call dispatched by now may have.

    Considers the versions in force during the last ``MAX_DEADLINE_MS``; where
    earlier versions are no longer stored, ``MAX_DEADLINE_MS`` itself counts.
    """
    since_ms = state.now_ms - MAX_DEADLINE_MS
    if state.service_removed_ms and state.service_removed_ms > since_ms:
        return MAX_DEADLINE_MS
    deadlines = (
        deadline
        for service in state.services.values()
        for deadline in _recent_deadlines(service, since_ms)
    )
    return max(deadlines, default=0)


def _recent_deadlines(service: Service, since_ms: int) -> Iterator[int]:
    oldest = service.history[0]
    if oldest.version > 1 and oldest.accepted_ms > since_ms:
        yield MAX_DEADLINE_MS
    replaced_ms = None
    for version in reversed(service.history):
        if replaced_ms is not None and replaced_ms <= since_ms:
            break
        yield _deadline_ms(version.text)
        replaced_ms = version.accepted_ms


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def _deadline_ms(text: str) -> int:
    document = read_document(text).document
    if document is None:
        return MAX_DEADLINE_MS
    return document.calls.deadline_ms if document.calls is not None else 0
