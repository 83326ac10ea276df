"""
mulberryledge_daemon.observations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Observations of finished calls, the input of the metrics and of the report on
error-budget burn.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mulberryledge_core.outcomes import RunOutcome

__all__ = ["CallObservation", "CallObserver", "discard_observation"]


@dataclass(frozen=True, slots=True)
class CallObservation:
    """
    One finished call.

    Attributes
    ----------
    service, team : str
        Called service and calling team.
    run_outcome : RunOutcome
        Whether the call ran, as far as is known.
    code : str
        ``ok`` for a complete answer, else the code of the refusal.
    status : int
        HTTP status sent to the caller.
    duration_s : float
        Time from admission to the reply.
    dispatches : int
        Number of dispatches to targets.
    """

    service: str
    team: str
    run_outcome: RunOutcome
    code: str
    status: int
    duration_s: float
    dispatches: int = 1


CallObserver = Callable[[CallObservation], None]


def discard_observation(observation: CallObservation) -> None:
    """Discard an observation."""
