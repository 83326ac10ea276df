"""
mulberryledge_daemon.peers.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between daemons other than those of consensus.
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
    "Form",
    "Hello",
    "MemberDirectory",
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
        Session of the daemon: identifies one incarnation of its process.
    address, port, availability_zone : str, int, str
        Where the daemon listens for its peers, and its availability zone.
    gateway : bool
        Whether the daemon only forwards requests, and holds no state.
    reads_directories : bool
        Whether a daemon that is no gateway accepts a :class:`MemberDirectory`; earlier
        releases stop on it.
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
    reads_directories: bool = False


@dataclass(frozen=True, slots=True)
class Form:
    """Assigns a daemon without a cluster to one."""

    cluster: str
    members: Configuration


@dataclass(frozen=True, slots=True)
class MemberDirectory:
    """
    Members and leader known to the sender, for daemons that don't have the log.

    Attributes
    ----------
    leader : str
        Name of the leader; empty if the sender knows none.
    index : int
        Last log entry that the sender knows to be committed.
    """

    term: int
    leader: str
    members: Configuration
    index: int = 0

    def rank(self) -> tuple[int, bool, int]:
        """Return what is higher for the newer one of two directories."""
        return self.term, self.leader != "", self.index


@dataclass(frozen=True, slots=True)
class Propose:
    """A command for the leader to append to the log."""

    session: str
    sequence: int
    floor: int
    is_member_change: bool
    data: bytes


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """The leader's refusal of a proposal."""

    sequence: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to the tasks of the leader."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AskReply:
    """The leader's reply, or its refusal."""

    number: int
    data: bytes = b""
    refusal: Refusal | None = None


TABLE = MessageTable(
    (
        *CONSENSUS_MESSAGES,
        Hello,
        Form,
        Propose,
        ProposeReply,
        Ask,
        AskReply,
        MemberDirectory,
    )
)
