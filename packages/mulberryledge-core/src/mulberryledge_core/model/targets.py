"""
mulberryledge_core.model.targets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Targets: the processes on hosts that answer calls and take jobs.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["DEFAULT_CONNECTIONS", "DEFAULT_SLOTS", "Target", "TargetPhase"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


class TargetPhase(StrEnum):
    """Lifecycle phase of a target."""

    SERVING = "serving"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Target:
    """
    A process that announced itself under a lease.

    Attributes
    ----------
    name : str
        Unique name.
    host : str
        Host that runs the target.
    service : str
        Service that the target serves.
    address : str
        IP address.
    port : int
        TCP port of the target's HTTP server; zero if it only takes jobs.
    slots : int
        Calls and jobs that the target runs at once.
    connections : int
        Connections that the target accepts in total.
    generation : int
        Log index of the announcement; a restarted target gets a new one.
    announced_ms : int
        Log time of the announcement in milliseconds.
    phase : TargetPhase
        Lifecycle phase.
    key : str
        Identifier of the team key with which the target announced itself.
    instance : str
        Identifier that the target chooses at each start of its process.
    """

    name: str
    host: str
    service: str
    address: str
    port: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    generation: int = 0
    announced_ms: int = 0
    phase: TargetPhase = TargetPhase.SERVING
    key: str = ""
    instance: str = ""
