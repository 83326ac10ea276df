"""
mulberryledge_core.model.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sessions of the daemons, and their loans. A loan is capacity (slots and permits)
granted to a daemon's session until it is returned or recalled.
"""

from dataclasses import dataclass

__all__ = ["ServiceSlots", "Session", "SlotGrant", "TeamGrant"]


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Slots of one target lent to one daemon."""

    target: str
    generation: int
    slots: int


@dataclass(frozen=True, slots=True)
class ServiceSlots:
    """A number of slots of any targets of one service."""

    service: str
    slots: int


@dataclass(frozen=True, slots=True)
class TeamGrant:
    """Permits under one team's upper limit lent to one daemon."""

    team: str
    permits: int


@dataclass(frozen=True, slots=True)
class Session:
    """
    One incarnation of a daemon as an entry.

    The loan of a session counts as used until it is returned or the session is
    closed. A session is closed only once its freshness lease, the
    longest deadline of a call and the drift margin have all passed.

    Attributes
    ----------
    daemon, session : str
        Name of the daemon and identifier of this incarnation.
    slots : tuple of SlotGrant
        Target slots on loan.
    permits : tuple of TeamGrant
        Team permits on loan.
    returns : int
        Sequence number of the last return that took effect.
    """

    daemon: str
    session: str
    slots: tuple[SlotGrant, ...] = ()
    permits: tuple[TeamGrant, ...] = ()
    returns: int = 0
