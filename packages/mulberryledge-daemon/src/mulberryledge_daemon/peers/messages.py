"""
mulberryledge_daemon.peers.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between daemons besides those of the replicated log itself.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.members import Configuration
from mulberryledge_core.consensus.messages import MESSAGES as CONSENSUS_MESSAGES
from mulberryledge_core.consensus.wire import MessageTable
from mulberryledge_core.outcomes import Refusal

__all__ = [
    "TABLE",
    "Ask",
    "AskReply",
    "Directory",
    "Form",
    "Hello",
    "Propose",
    "ProposeReply",
]


@dataclass(frozen=True, slots=True)
class Hello:
    """
    First message on a connection.

    Attributes
    ----------
    cluster : str
        Identity of the cluster; empty as long as the daemon belongs to none.
    generation : int
        Generation of the cluster.
    folder : str
        Identity of the data folder; empty without one.
    session : str
        Identifier of this life of the daemon.
    address, port, availability_zone : str, int, str
        Where the daemon listens for its peers, and where it stands.
    gateway : bool
        Whether the daemon only hands requests on, and holds no state.
    """

    name: str
    cluster: str
    generation: int
    folder: str
    session: str
    address: str = ""
    port: int = 0
    availability_zone: str = ""
    gateway: bool = False


@dataclass(frozen=True, slots=True)
class Form:
    """Tells a daemon without a cluster which one it belongs to."""

    cluster: str
    members: Configuration


@dataclass(frozen=True, slots=True)
class Directory:
    """
    Tells a gateway who the members are, and who leads as far as the sender knows.

    Attributes
    ----------
    leader : str
        Empty if the sender knows of none.
    """

    term: int
    leader: str
    members: Configuration


@dataclass(frozen=True, slots=True)
class Propose:
    """A command for the leader to append; ``change`` marks a change of members."""

    session: str
    sequence: int
    floor: int
    change: bool
    data: bytes


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """Why the leader did not append a proposal."""

    sequence: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to the tasks of the leader."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AskReply:
    """The leader's reply, or why there is none."""

    number: int
    data: bytes = b""
    refusal: Refusal | None = None


TABLE = MessageTable(
    (*CONSENSUS_MESSAGES, Hello, Form, Propose, ProposeReply, Ask, AskReply, Directory)
)
