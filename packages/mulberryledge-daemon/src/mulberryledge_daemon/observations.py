"""
mulberryledge_daemon.observations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the entry's tasks report for metrics and for the report on service-level burn.
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
        What is known of the run.
    code : str
        ``ok`` for a whole answer, else the code of the refusal.
    status : int
        HTTP status sent to the caller.
    seconds : float
        Time from admission to the reply.
    tries : int
        Dispatches to targets.
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
    """Drop an observation."""
