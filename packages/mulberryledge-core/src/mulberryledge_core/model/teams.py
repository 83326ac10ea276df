"""
mulberryledge_core.model.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Teams, their quotas and the keys that prove membership.
"""

from dataclasses import dataclass

__all__ = ["Team", "TeamKey"]


@dataclass(frozen=True, slots=True)
class Team:
    """
    A customer organisation unit that owns services and presents keys.

    Attributes
    ----------
    name : str
        Unique name.
    share : float
        Weight under contention, greater than zero.
    upper_limit : int
        Calls and jobs that may run at once in the whole fleet.
    """

    name: str
    share: float = 1.0
    upper_limit: int = 64


@dataclass(frozen=True, slots=True)
class TeamKey:
    """
    A stored team key; the secret itself is never stored.

    Attributes
    ----------
    key_id : str
        Public part of the key.
    team : str
        Owning team.
    salt, digest : bytes
        Salt and salted hash of the secret part.
    given_ms : int
        Log time of issue in milliseconds.
    """

    key_id: str
    team: str
    salt: bytes
    digest: bytes
    given_ms: int = 0
