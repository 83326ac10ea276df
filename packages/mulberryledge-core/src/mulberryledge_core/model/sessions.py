"""
mulberryledge_core.model.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sessions of the daemons and the capacity that is lent to them.
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
    One life of a daemon as an entry.

    What is lent to a session counts as used until it is given back or until the
    session is closed. A session is closed only once its freshness lease, the
    longest deadline of a call and the drift margin have all passed.

    Attributes
    ----------
    daemon, session : str
        Name of the daemon and identifier of this life of it.
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
