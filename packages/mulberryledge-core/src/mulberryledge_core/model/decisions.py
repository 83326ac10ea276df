"""
mulberryledge_core.model.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of decisions with their causes, for operators.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Decision", "DecisionKind"]


class DecisionKind(StrEnum):
    """Kind of action that was decided."""

    HOLD = "hold"
    REFUSE = "refuse"
    MOVE = "move"
    STOP = "stop"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    QUARANTINE = "quarantine"
    PERMIT = "permit"
    PAUSE = "pause"
    REPAIR = "repair"
    LEND = "lend"


@dataclass(frozen=True, slots=True)
class Decision:
    """
    One decision and its cause.

    Attributes
    ----------
    at_ms : int
        Log time in milliseconds.
    kind : DecisionKind
        Kind of action.
    subject : str
        Affected object as ``kind/name``, for example ``host/host-1``.
    cause : str
        Sentence with the rule and the values that led to it.
    """

    at_ms: int
    kind: DecisionKind
    subject: str
    cause: str
