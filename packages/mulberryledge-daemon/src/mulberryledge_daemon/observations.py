"""
mulberryledge_daemon.observations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Observations of finished calls, the input of the metrics and of the report on
error-budget burn.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mulberryledge_core.outcomes import RunOutcome

__all__ = ["CallObservation", "Observe", "ignore"]


@dataclass(frozen=True, slots=True)
class CallObservation:
    """
    One finished call.

    Attributes
    ----------
    service, team : str
        Called service and calling team.
    run : RunOutcome
        Whether the call ran, as far as is known.
    code : str
        ``ok`` for a complete answer, else the code of the refusal.
    status : int
        HTTP status sent to the caller.
    seconds : float
        Time from admission to the reply.
    tries : int
        Number of dispatches to targets.
    """

    service: str
    team: str
    run: RunOutcome
    code: str
    status: int
    seconds: float
    tries: int = 1


Observe = Callable[[CallObservation], None]


def ignore(observation: CallObservation) -> None:
    """Discard an observation."""
